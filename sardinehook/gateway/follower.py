"""Follows the store: configuration, evacuations, replicas and gateways."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random

import structlog
from returns.result import Failure, Success
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater
from twisted.python.failure import Failure as TwistedFailure

from sardinehook.gateway.configuration import Configuration
from sardinehook.gateway.directory import Directory
from sardinehook.gateway.fleet import GATEWAY_PREFIX, GatewayFleet
from sardinehook.gateway.peers import PeerClient, encode_state
from sardinehook.gateway.ports import StoreDialect
from sardinehook.gateway.reactor import GatewayReactor
from sardinehook.gateway.settings import Bounds
from sardinehook.gateway.store import Changes, GatewayStore, HistoryGone, Item
from sardinehook.observe.events import EventName, log_event

__all__ = ["StoreFollower"]

logger = structlog.get_logger(__name__)

WATCH_WAIT_S = 20.0  # each watch is a call, so a quiet one should last
COALESCE_RATIO = 0.2  # of the shortest promise on changes, since they come in groups
FIRST_RETRY_S = 0.1  # wait after a first failed call
PEER_AFTER_S = 1.0  # the store may turn only this gateway away
LAST_RETRY_S = 1.0  # wait after many: the promises leave a few seconds
ALL_KEYS = ""


class StoreFollower:
    """Keeps what this gateway believes in step with the store.

    One watch covers all keys. Where the history that it needs is gone, everything is
    read anew. ``on_configuration`` is called with each version that goes in force;
    versions only grow.
    """

    def __init__(
        self,
        reactor: GatewayReactor,
        store: GatewayStore,
        dialect: StoreDialect,
        directory: Directory,
        fleet: GatewayFleet,
        on_configuration: Callable[[Configuration], None],
        random: Random,
    ) -> None:
        self.reactor = reactor
        self.store = store
        self.dialect = dialect
        self.directory = directory
        self.fleet = fleet
        self.on_configuration = on_configuration
        self.random = random
        self.revision: int | None = None
        self.version = -1
        self.evacuated: set[str] = set()
        self.running = False
        self.retry_s = 0.0
        self.down_since: float | None = None
        self.loaded = False
        self.known: dict[str, Item] = {}
        self.peers = PeerClient(reactor, random)
        self.seeds: tuple[str, ...] = ()
        self.coalesce_s = 0.0

    def configure(self, bounds: Bounds) -> None:
        """Take the promises of the deployment."""
        shortest_s = min(bounds.drain_s, bounds.configuration_s, bounds.evacuation_s)
        self.coalesce_s = COALESCE_RATIO * shortest_s

    def start(self) -> None:
        """Begin to follow; an unexpected error is logged and following resumes."""
        self.running = True
        following = Deferred.fromCoroutine(self.follow())
        following.addErrback(self.resume)

    def resume(self, failure: TwistedFailure) -> None:
        """Read everything anew after an unexpected error."""
        log_event(logger, EventName.UNHANDLED_ERROR, detail=str(failure))
        self.revision = None
        if self.running:
            self.reactor.callLater(LAST_RETRY_S, self.start)

    def stop(self) -> None:
        """Follow no more."""
        self.running = False

    async def follow(self) -> None:
        """Read and watch until stopped."""
        while self.running:
            if self.revision is None:
                result = await self.store.read_all(ALL_KEYS)
            else:
                result = await self.store.watch(ALL_KEYS, self.revision, WATCH_WAIT_S)
            match result:
                case Success(changes):
                    self.note_up()
                    self.take(changes)
                    if changes.items:
                        await deferLater(self.reactor, self.coalesce_s)
                case Failure(problem):
                    await self.recover(problem)

    async def recover(self, problem: object) -> None:
        """Wait before the next call, or read anew where the history is gone."""
        if isinstance(problem, HistoryGone):
            log_event(logger, EventName.STORE_DOWN, detail="history gone, reading anew")
            self.revision = None
            return
        if self.down_since is None:
            self.down_since = self.reactor.seconds()
            log_event(logger, EventName.STORE_DOWN, detail=str(problem))
        down_s = self.reactor.seconds() - self.down_since
        if not self.loaded or down_s > PEER_AFTER_S:
            await self.ask_peers()
        self.retry_s = min(max(2 * self.retry_s, FIRST_RETRY_S), LAST_RETRY_S)
        await deferLater(self.reactor, self.retry_s * (0.5 + self.random.random()))

    async def ask_peers(self) -> None:
        """Take what another gateway knows if it is newer, while the store is away."""
        match await self.peers.fetch([*self.seeds, *self.fleet.peers()]):
            case Success(changes) if changes.revision > (self.revision or 0):
                self.revision = None
                log_event(
                    logger,
                    EventName.STATE_FROM_PEER,
                    revision=changes.revision,
                    count=len(changes.items),
                )
                self.take(changes)
            case Failure(detail) if not self.loaded:
                log_event(logger, EventName.STATE_FROM_PEER, detail=str(detail))

    def state(self) -> bytes | None:
        """Return what this gateway knows, for others; None before it knows anything."""
        if self.revision is None or not self.loaded:
            return None
        return encode_state(self.revision, self.known.values())

    def note_up(self) -> None:
        """Note that the store answers."""
        self.retry_s = 0.0
        if self.down_since is not None:
            down_s = self.reactor.seconds() - self.down_since
            self.down_since = None
            log_event(logger, EventName.STORE_UP, took_ms=down_s * 1000.0)

    def take(self, changes: Changes) -> None:
        """Take in a listing or the events of a watch."""
        listing = self.revision is None
        if listing:
            self.known.clear()
            self.forget_missing(changes.items)
        for item in changes.items:
            if item.value is None:
                self.known.pop(item.key, None)
            else:
                self.known[item.key] = item
            self.take_item(item)
        self.revision = changes.revision
        self.loaded = True

    def forget_missing(self, items: Sequence[Item]) -> None:
        """Note what a listing does not have any more."""
        now = self.reactor.seconds()
        replicas = self.dialect.replica_prefix
        names = [item.key for item in items]
        self.directory.retain(
            [name[len(replicas) :] for name in names if name.startswith(replicas)], now
        )
        prefix = self.dialect.evacuation_prefix
        self.evacuated = {
            name[len(prefix) :] for name in names if name.startswith(prefix)
        }
        self.directory.set_evacuated(set(self.evacuated))
        self.fleet.retain(
            [n[len(GATEWAY_PREFIX) :] for n in names if n.startswith(GATEWAY_PREFIX)]
        )

    def take_item(self, item: Item) -> None:
        """Take in one key."""
        dialect = self.dialect
        if item.key == dialect.configuration_key:
            if item.value is not None:
                self.take_configuration(item.value)
        elif item.key.startswith(dialect.replica_prefix):
            self.take_replica(item.key[len(dialect.replica_prefix) :], item.value)
        elif item.key.startswith(dialect.evacuation_prefix):
            self.take_evacuation(item.key[len(dialect.evacuation_prefix) :], item.value)
        elif item.key.startswith(GATEWAY_PREFIX):
            self.fleet.note(item.key[len(GATEWAY_PREFIX) :], item.value)

    def take_configuration(self, value: bytes) -> bool:
        """Put a configuration in force if it is newer."""
        match self.dialect.read_configuration(value):
            case Success(configuration):
                if configuration.version <= self.version:
                    return False
                self.version = configuration.version
                self.on_configuration(configuration)
                return True
            case Failure(detail):
                log_event(logger, EventName.REVISION_REFUSED, detail=str(detail))
        return False

    def take_replica(self, replica_id: str, value: bytes | None) -> None:
        """Take in an entry of discovery; an unreadable one names no replica."""
        now = self.reactor.seconds()
        if value is None:
            self.directory.remove(replica_id, now)
            return
        match self.dialect.read_replica(replica_id, value):
            case Success(entry):
                self.directory.put(entry, now)
            case Failure(detail):
                log_event(
                    logger,
                    EventName.TARGET_STATE,
                    target=replica_id,
                    state="entry refused",
                    detail=str(detail),
                )
                self.directory.remove(replica_id, now)

    def take_evacuation(self, data_centre: str, value: bytes | None) -> None:
        """Take a data centre out, or back in."""
        if value is None:
            self.evacuated.discard(data_centre)
        else:
            self.evacuated.add(data_centre)
        self.directory.set_evacuated(set(self.evacuated))
