"""Follows the store: configuration, evacuations, replicas and gateways."""

from __future__ import annotations

from collections.abc import Callable, Coroutine, Sequence
from random import Random
from typing import Any

import structlog
from returns.result import Failure, Success
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater
from twisted.python.failure import Failure as TwistedFailure

from sardinehook.gateway.configuration import Configuration
from sardinehook.gateway.directory import Directory
from sardinehook.gateway.fleet import GATEWAY_PREFIX, GatewayFleet
from sardinehook.gateway.interfaces import StoreSchema
from sardinehook.gateway.peers import Peers
from sardinehook.gateway.reactor import GatewayReactor
from sardinehook.gateway.readers import Reader, ReaderRotation
from sardinehook.gateway.relay import ChangeRelay
from sardinehook.gateway.settings import Bounds
from sardinehook.gateway.store import Changes, GatewayStore, HistoryGone, Item
from sardinehook.gateway.watch_cache import StateUpdate, WatchCache
from sardinehook.observe.events import EventName, log_event

__all__ = ["StoreFollower"]

logger = structlog.get_logger(__name__)

WATCH_WAIT_S = 20.0  # each watch is a call, so a quiet one should last
STAND_IN_WAIT_S = 2.0  # a watch of one that is no reader, until readers are tried again
COALESCE_RATIO = 0.2  # of the shortest promise on changes, since they come in groups
CHECK_RATIO = 0.2  # of that promise, between two looks of a reader at another gateway
POLL_RATIO = 0.2  # of that promise: how long a reader may hold a call
FIRST_RETRY_S = 0.1  # wait after a first failed call
PEER_AFTER_S = 1.0  # the store may turn only this gateway away
LAST_RETRY_S = 1.0  # wait after many: the promises leave a few seconds
ALL_KEYS = ""


class StoreFollower:
    """Keeps what this gateway believes in step with the store.

    Some gateways of each data centre watch the store; the others ask those readers.
    One watch covers all keys. Where the history that it needs is gone, everything is
    read anew. ``on_configuration`` is called with each version that goes in force;
    versions only grow.
    """

    def __init__(
        self,
        reactor: GatewayReactor,
        store: GatewayStore,
        peers: Peers,
        dialect: StoreSchema,
        directory: Directory,
        fleet: GatewayFleet,
        on_configuration: Callable[[Configuration], None],
        random: Random,
    ) -> None:
        self.reactor = reactor
        self.store = store
        self.peers = peers
        self.dialect = dialect
        self.directory = directory
        self.fleet = fleet
        self.on_configuration = on_configuration
        self.random = random
        self.cache = WatchCache()
        self.relay = ChangeRelay(reactor, self.cache)
        self.rotation = ReaderRotation(fleet.node, fleet.record)
        self.listing_due = True
        self.version = -1
        self.evacuated: set[str] = set()
        self.running = False
        self.retry_s = 0.0
        self.down_since: float | None = None
        self.heard_at = reactor.seconds()
        self.watching = False
        self.behind_at: int | None = None
        self.seeds: tuple[str, ...] = ()
        self.shortest_s = 0.0

    @property
    def loaded(self) -> bool:
        """Whether anything is known of the store."""
        return self.cache.revision is not None

    def configure(self, bounds: Bounds) -> None:
        """Take the promises of the deployment."""
        self.shortest_s = min(
            bounds.drain_s, bounds.configuration_s, bounds.evacuation_s
        )

    def start(self) -> None:
        """Begin to follow; after an unexpected error, which is logged, work resumes."""
        self.running = True
        for work in (self.follow, self.compare):
            self.begin(work)

    def begin(self, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Begin one kind of work, and begin it again if it fails."""
        working = Deferred.fromCoroutine(work())
        working.addErrback(self.resume, work)

    def resume(
        self, failure: TwistedFailure, work: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Read everything anew after an unexpected error."""
        log_event(logger, EventName.UNHANDLED_ERROR, detail=str(failure))
        self.listing_due = True
        self.watching = False
        if self.running:
            self.reactor.callLater(LAST_RETRY_S, self.begin, work)

    def stop(self) -> None:
        """Follow no more."""
        self.running = False
        self.relay.set_current(False)

    async def follow(self) -> None:
        """Read and watch until stopped."""
        while self.running:
            self.update_readers()
            readers = self.rotation.usable(self.reactor.seconds())
            if readers and not self.listing_due:
                await self.ask_readers(readers[0])
            else:
                await self.read_store()

    def update_readers(self) -> None:
        """Take the gateways that are registered as possible readers."""
        if self.rotation.update(self.fleet.present()):
            role = "reads the store" if self.rotation.is_reader else "asks readers"
            names = ",".join(reader.name for reader in self.rotation.readers)
            log_event(logger, EventName.READER_STATE, state=role, detail=names)

    async def read_store(self) -> None:
        """List or watch the store, once."""
        whole = self.listing_due
        if whole or self.cache.revision is None:
            result = await self.store.read_all(ALL_KEYS)
        else:
            wait_s = WATCH_WAIT_S if self.rotation.is_reader else STAND_IN_WAIT_S
            self.watching = True
            result = await self.store.watch(ALL_KEYS, self.cache.revision, wait_s)
            self.watching = False
        match result:
            case Success(changes):
                self.note_up("")
                self.relay.set_current(True)
                self.take(changes, whole)
                if changes.items:
                    await deferLater(self.reactor, COALESCE_RATIO * self.shortest_s)
            case Failure(problem):
                self.relay.set_current(False)
                await self.recover(problem)

    async def ask_readers(self, first: Reader) -> None:
        """Wait for changes at one reader, then look in at another one."""
        self.relay.set_current(False)
        await self.ask_reader(first, POLL_RATIO * self.shortest_s)
        other = self.rotation.look_in(self.reactor.seconds())
        if other is not None and self.running:
            await self.ask_reader(other, 0.0)

    async def ask_reader(self, reader: Reader, wait_s: float) -> None:
        """Ask a reader for changes, once; it may hold the call until there are some."""
        answer = await self.peers.ask(reader.address, self.cache.revision, wait_s)
        match answer:
            case Success(update):
                if update.current:
                    self.note_up(reader.name)
                trouble = "" if update.current else "does not hear from the store"
                self.note_reader(reader, trouble)
                self.apply_update(update)
            case Failure(detail):
                self.note_reader(reader, detail)

    async def compare(self) -> None:
        """Look in at other gateways while a watch waits, which may have fallen silent.

        A connection that something between both ends has lost track of looks well.
        """
        while self.running:
            await deferLater(self.reactor, CHECK_RATIO * self.shortest_s)
            known = self.cache.revision
            if not self.watching or known is None:
                self.behind_at = None
                continue
            address = self.rotation.neighbour() or self.any_peer()
            if not address:
                continue
            match await self.peers.ask(address, known, 0.0):
                case Success(update) if update.current and update.changes.items:
                    self.note_ahead(update, known)
                case _:
                    self.behind_at = None

    def any_peer(self) -> str:
        """Return the address of some other gateway, empty if none is known."""
        peers = self.fleet.peers()
        return self.random.choice(peers) if peers else ""

    def note_ahead(self, update: StateUpdate, known: int) -> None:
        """Take what another gateway knows; twice in a row, the watch is given up."""
        if not self.watching or self.cache.revision != known:
            return
        if self.behind_at != known:
            self.behind_at = known
            return
        log_event(
            logger,
            EventName.STORE_DOWN,
            detail="the watch is silent and another gateway knows more",
            revision=update.changes.revision,
        )
        self.behind_at = None
        self.apply_update(update)
        self.store.drop_connections()

    def note_reader(self, reader: Reader, trouble: str) -> None:
        """Note whether a reader can be relied on."""
        now = self.reactor.seconds()
        if self.rotation.note(reader, not trouble, now):
            log_event(
                logger,
                EventName.READER_STATE,
                peer=reader.name,
                state="lost" if trouble else "regained",
                detail=trouble,
            )

    async def recover(self, problem: object) -> None:
        """Wait before the next call, or read anew where the history is gone."""
        if isinstance(problem, HistoryGone):
            log_event(logger, EventName.STORE_DOWN, detail="history gone, reading anew")
            self.listing_due = True
            return
        if self.down_since is None:
            self.down_since = self.reactor.seconds()
            log_event(logger, EventName.STORE_DOWN, detail=str(problem))
        down_s = self.reactor.seconds() - self.down_since
        if not self.loaded or down_s > PEER_AFTER_S:
            await self.ask_peers()
        first_s = FIRST_RETRY_S if self.rotation.is_reader else LAST_RETRY_S
        self.retry_s = min(max(2 * self.retry_s, first_s), LAST_RETRY_S)
        await deferLater(self.reactor, self.retry_s * (0.5 + self.random.random()))

    async def ask_peers(self) -> None:
        """Take what another gateway knows if it is newer, while the store is away."""
        known = self.cache.revision
        peers = [*self.seeds, *self.fleet.peers()]
        match await self.peers.ask_any(peers, known):
            case Success(update) if self.apply_update(update):
                log_event(
                    logger,
                    EventName.STATE_FROM_PEER,
                    revision=update.changes.revision,
                    count=len(update.changes.items),
                )
            case Failure(detail) if not self.loaded:
                log_event(logger, EventName.STATE_FROM_PEER, detail=str(detail))

    def note_up(self, reader: str) -> None:
        """Note that the store answers, perhaps through a reader."""
        self.retry_s = 0.0
        self.heard_at = self.reactor.seconds()
        if self.down_since is not None:
            down_s = self.reactor.seconds() - self.down_since
            self.down_since = None
            log_event(logger, EventName.STORE_UP, took_ms=down_s * 1000.0, peer=reader)

    def apply_update(self, update: StateUpdate) -> bool:
        """Take what another gateway tells if it is newer; tell whether it was."""
        known = self.cache.revision
        if known is not None and update.changes.revision <= known:
            return False
        self.take(update.changes, update.whole)
        return True

    def take(self, changes: Changes, whole: bool) -> None:
        """Take in a listing or the changes after what is known."""
        if whole:
            self.cache.replace(changes)
            self.listing_due = False
            self.forget_missing(changes.items)
        else:
            self.cache.apply(changes)
        for item in changes.items:
            self.take_item(item)
        self.directory.log_changes()
        self.fleet.log_newcomers()
        if changes.items:
            self.relay.release()

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
                self.apply_configuration(item.value)
        elif item.key.startswith(dialect.replica_prefix):
            self.take_replica(item.key[len(dialect.replica_prefix) :], item.value)
        elif item.key.startswith(dialect.evacuation_prefix):
            self.take_evacuation(item.key[len(dialect.evacuation_prefix) :], item.value)
        elif item.key.startswith(GATEWAY_PREFIX):
            self.fleet.apply_record(item.key[len(GATEWAY_PREFIX) :], item.value)

    def apply_configuration(self, value: bytes) -> bool:
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
            self.directory.deregister(replica_id, now)
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
                self.directory.deregister(replica_id, now)

    def take_evacuation(self, data_centre: str, value: bytes | None) -> None:
        """Take a data centre out, or back in."""
        if value is None:
            self.evacuated.discard(data_centre)
        else:
            self.evacuated.add(data_centre)
        self.directory.set_evacuated(set(self.evacuated))
