"""Keeps configuration, evacuations, replicas and gateways in step with the store."""

from __future__ import annotations

from collections.abc import Callable, Coroutine, Sequence
from random import Random
from typing import Any

import structlog
from returns.result import Failure, Result, Success
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater
from twisted.python.failure import Failure as TwistedFailure

from sardinehook.gateway.configuration import Configuration
from sardinehook.gateway.directory import Directory
from sardinehook.gateway.fleet import GATEWAY_PREFIX, GatewayFleet
from sardinehook.gateway.interfaces import StoreSchema
from sardinehook.gateway.peers import PeerCalls
from sardinehook.gateway.reactor import GatewayReactor
from sardinehook.gateway.readers import Reader, ReaderSelector
from sardinehook.gateway.relay import ChangeRelay
from sardinehook.gateway.settings import Bounds
from sardinehook.gateway.store import Changes, GatewayStore, HistoryGone, Item
from sardinehook.gateway.watch_cache import StateUpdate, WatchCache
from sardinehook.observe.events import EventName, log_event

__all__ = ["StoreFollower"]

logger = structlog.get_logger(__name__)

WATCH_WAIT_S = 20.0  # long, since each renewed watch costs a call
FALLBACK_WATCH_WAIT_S = 2.0  # short, so that a non-reader soon retries the readers
# The next three are fractions of the shortest time bound on applying changes.
COALESCE_RATIO = 0.2  # wait after a change, since changes come in bursts
WATCH_CHECK_RATIO = 0.2  # interval of comparing a watch with another gateway
LONG_POLL_RATIO = 0.2  # how long a reader may hold a call
INITIAL_BACKOFF_S = 0.1
ASK_PEERS_AFTER_S = 1.0  # the store may fail for this gateway only
MAX_BACKOFF_S = 1.0  # low, since the time bounds are a few seconds
ALL_KEYS = ""


class StoreFollower:
    """Keeps the cached state of this gateway in step with the store.

    Some gateways of each data centre watch the store; the others poll these readers.
    One watch covers all keys. If the store no longer has the changes that it needs, all
    keys are listed again. ``on_configuration`` is called with each configuration that
    comes into force; versions never decrease.
    """

    def __init__(
        self,
        reactor: GatewayReactor,
        store: GatewayStore,
        peers: PeerCalls,
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
        self.reader_selector = ReaderSelector(fleet.node, fleet.record)
        self.listing_needed = True
        self.version = -1
        self.evacuated: set[str] = set()
        self.running = False
        self.backoff_s = 0.0
        self.down_since: float | None = None
        self.last_contact_at = reactor.seconds()
        self.watching = False
        self.watch_sent_at = 0.0
        self.behind_revision: int | None = None
        self.last_comparison = ""
        self.seeds: tuple[str, ...] = ()
        self.min_bound_s = 0.0

    @property
    def loaded(self) -> bool:
        """Whether any state of the store is known, from the store or from a peer."""
        return self.cache.revision is not None

    @property
    def watch_pending_s(self) -> float:
        """How long the pending watch has waited for the store, 0 without one."""
        return self.reactor.seconds() - self.watch_sent_at if self.watching else 0.0

    def configure(self, bounds: Bounds) -> None:
        """Derive poll and check intervals from the deployment's time bounds."""
        self.min_bound_s = min(
            bounds.drain_s, bounds.configuration_s, bounds.evacuation_s
        )

    def start(self) -> None:
        """Start both tasks, each of which is restarted after an unexpected error."""
        self.running = True
        for task in (self.follow, self.check_watch):
            self.start_task(task)

    def start_task(self, task: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Start a task that is restarted if it raises."""
        running_task = Deferred.fromCoroutine(task())
        running_task.addErrback(self.restart_task, task)

    def restart_task(
        self, failure: TwistedFailure, task: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Log an unexpected error, then restart the task with a new listing."""
        log_event(logger, EventName.UNHANDLED_ERROR, detail=str(failure))
        self.listing_needed = True
        self.watching = False
        if self.running:
            self.reactor.callLater(MAX_BACKOFF_S, self.start_task, task)

    def stop(self) -> None:
        """Stop both tasks after their current call."""
        self.running = False
        self.relay.set_current(False)

    async def follow(self) -> None:
        """Poll a reader, or read the store if no reader is usable, until stopped."""
        while self.running:
            self.update_readers()
            readers = self.reader_selector.usable(self.reactor.seconds())
            if readers and not self.listing_needed:
                await self.poll_readers(readers[0])
            else:
                await self.read_store()

    def update_readers(self) -> None:
        """Select readers among the registered gateways, and log a change of readers."""
        if self.reader_selector.update(self.fleet.registered_records()):
            role = (
                "watches store" if self.reader_selector.is_reader else "polls readers"
            )
            names = ",".join(reader.name for reader in self.reader_selector.readers)
            log_event(logger, EventName.READER_STATE, state=role, detail=names)

    async def read_store(self) -> None:
        """List or watch the store once, and apply what it returns."""
        whole = self.listing_needed
        if whole or self.cache.revision is None:
            result = await self.store.read_all(ALL_KEYS)
        else:
            wait_s = (
                WATCH_WAIT_S
                if self.reader_selector.is_reader
                else FALLBACK_WATCH_WAIT_S
            )
            self.log_watch_without_contact(self.cache.revision, wait_s)
            self.watching = True
            self.watch_sent_at = self.reactor.seconds()
            result = await self.store.watch(ALL_KEYS, self.cache.revision, wait_s)
            self.watching = False
        match result:
            case Success(changes):
                self.record_contact("")
                self.relay.set_current(True)
                self.apply_changes(changes, whole)
                if changes.items:
                    await deferLater(self.reactor, COALESCE_RATIO * self.min_bound_s)
            case Failure(problem):
                self.relay.set_current(False)
                await self.handle_failure(problem)

    def log_watch_without_contact(self, revision: int, wait_s: float) -> None:
        """Log a watch that is sent while the store does not answer this gateway."""
        if self.down_since is not None:
            log_event(
                logger,
                EventName.STORE_WATCH,
                state="sent without contact",
                revision=revision,
                detail=f"waits up to {wait_s:.1f} s",
                took_ms=(self.reactor.seconds() - self.down_since) * 1000.0,
            )

    async def poll_readers(self, first: Reader) -> None:
        """Long-poll one reader, then call another one without waiting."""
        self.relay.set_current(False)
        await self.poll_reader(first, LONG_POLL_RATIO * self.min_bound_s)
        other = self.reader_selector.next_secondary(self.reactor.seconds())
        if other is not None and self.running:
            await self.poll_reader(other, 0.0)

    async def poll_reader(self, reader: Reader, wait_s: float) -> None:
        """Request changes from a reader once; it may hold the call for ``wait_s``."""
        answer = await self.peers.fetch(reader.address, self.cache.revision, wait_s)
        match answer:
            case Success(update):
                if update.current:
                    self.record_contact(reader.name)
                failure_detail = (
                    "" if update.current else "has no contact with the store"
                )
                self.record_reader_result(reader, failure_detail)
                self.apply_update(update)
            case Failure(detail):
                self.record_reader_result(reader, detail)

    async def check_watch(self) -> None:
        """Compare a pending watch with other gateways, to detect a dead connection.

        A connection that the network has lost shows no error at either end.
        """
        while self.running:
            await deferLater(self.reactor, WATCH_CHECK_RATIO * self.min_bound_s)
            known = self.cache.revision
            if not self.watching or known is None:
                self.behind_revision = None
                continue
            address = self.reader_selector.next_other_reader() or self.random_peer()
            if not address:
                continue
            result = await self.peers.fetch(address, known, 0.0)
            self.log_comparison(address, result)
            match result:
                case Success(update) if update.current and update.changes.items:
                    self.handle_newer_state(update, known)
                case _:
                    self.behind_revision = None

    def log_comparison(self, address: str, result: Result[StateUpdate, str]) -> None:
        """Log how the state of another gateway compares, when that changes."""
        revision = 0
        match result:
            case Success(update):
                revision = update.changes.revision
                state = "newer" if update.changes.items else "equal"
                if not update.current:
                    state += ", without contact with the store"
            case Failure(detail):
                state = f"unknown: {detail}"
        if state != self.last_comparison:
            self.last_comparison = state
            log_event(
                logger,
                EventName.WATCH_COMPARED,
                peer=address,
                state=state,
                revision=revision,
                took_ms=self.watch_pending_s * 1000.0,
            )

    def random_peer(self) -> str:
        """Return the address of a random other gateway, empty if none is known."""
        peers = self.fleet.peers()
        return self.random.choice(peers) if peers else ""

    def handle_newer_state(self, update: StateUpdate, known: int) -> None:
        """Handle newer changes at another gateway while the own watch is pending.

        The second time in a row they are applied and the store connections dropped.
        """
        if not self.watching or self.cache.revision != known:
            return
        if self.behind_revision != known:
            self.behind_revision = known
            return
        log_event(
            logger,
            EventName.STORE_DOWN,
            detail="watch returned nothing, another gateway has newer changes",
            revision=update.changes.revision,
        )
        self.behind_revision = None
        self.apply_update(update)
        self.store.drop_connections()

    def record_reader_result(self, reader: Reader, failure_detail: str) -> None:
        """Record the result of a call to a reader, and log a change."""
        now = self.reactor.seconds()
        if self.reader_selector.record_result(reader, not failure_detail, now):
            log_event(
                logger,
                EventName.READER_STATE,
                peer=reader.name,
                state="unavailable" if failure_detail else "available",
                detail=failure_detail,
            )

    async def handle_failure(self, problem: object) -> None:
        """Wait with backoff before the next call, or request a listing."""
        if isinstance(problem, HistoryGone):
            log_event(
                logger,
                EventName.STORE_DOWN,
                detail="change history discarded, listing again",
            )
            self.listing_needed = True
            return
        if self.down_since is None:
            self.down_since = self.reactor.seconds()
            log_event(logger, EventName.STORE_DOWN, detail=str(problem))
        down_s = self.reactor.seconds() - self.down_since
        if not self.loaded or down_s > ASK_PEERS_AFTER_S:
            await self.fetch_from_peers()
        first_s = INITIAL_BACKOFF_S if self.reader_selector.is_reader else MAX_BACKOFF_S
        self.backoff_s = min(max(2 * self.backoff_s, first_s), MAX_BACKOFF_S)
        await deferLater(self.reactor, self.backoff_s * (0.5 + self.random.random()))

    async def fetch_from_peers(self) -> None:
        """Apply newer state of another gateway while the store is unavailable."""
        known = self.cache.revision
        peers = [*self.seeds, *self.fleet.peers()]
        match await self.peers.fetch_from_any(peers, known):
            case Success(update) if self.apply_update(update):
                log_event(
                    logger,
                    EventName.STATE_FROM_PEER,
                    revision=update.changes.revision,
                    count=len(update.changes.items),
                )
            case Failure(detail) if not self.loaded:
                log_event(logger, EventName.STATE_FROM_PEER, detail=str(detail))

    def record_contact(self, reader: str) -> None:
        """Record contact with the store, either direct or through ``reader``."""
        self.backoff_s = 0.0
        self.last_contact_at = self.reactor.seconds()
        if self.down_since is not None:
            down_s = self.reactor.seconds() - self.down_since
            self.down_since = None
            log_event(logger, EventName.STORE_UP, took_ms=down_s * 1000.0, peer=reader)

    def apply_update(self, update: StateUpdate) -> bool:
        """Apply an update of another gateway if it is newer; return whether it was."""
        known = self.cache.revision
        if known is not None and update.changes.revision <= known:
            return False
        self.apply_changes(update.changes, update.whole)
        return True

    def apply_changes(self, changes: Changes, whole: bool) -> None:
        """Apply a full listing, or the changes after the cached revision."""
        if whole:
            self.cache.replace(changes)
            self.listing_needed = False
            self.remove_missing(changes.items)
        else:
            self.cache.apply(changes)
        for item in changes.items:
            self.apply_item(item)
        self.directory.log_changes()
        self.fleet.log_joined()
        if changes.items:
            self.relay.answer_waiting()

    def remove_missing(self, items: Sequence[Item]) -> None:
        """Remove what a listing no longer contains."""
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

    def apply_item(self, item: Item) -> None:
        """Apply the change of one key, according to its prefix."""
        dialect = self.dialect
        if item.key == dialect.configuration_key:
            if item.value is not None:
                self.apply_configuration(item.value)
        elif item.key.startswith(dialect.replica_prefix):
            self.apply_replica(item.key[len(dialect.replica_prefix) :], item.value)
        elif item.key.startswith(dialect.evacuation_prefix):
            self.apply_evacuation(
                item.key[len(dialect.evacuation_prefix) :], item.value
            )
        elif item.key.startswith(GATEWAY_PREFIX):
            self.fleet.apply_record(item.key[len(GATEWAY_PREFIX) :], item.value)

    def apply_configuration(self, value: bytes) -> bool:
        """Put a configuration in force if it is newer; return whether it was."""
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

    def apply_replica(self, replica_id: str, value: bytes | None) -> None:
        """Apply a discovery entry; a malformed one removes the replica."""
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
                    state="invalid entry",
                    detail=str(detail),
                )
                self.directory.deregister(replica_id, now)

    def apply_evacuation(self, data_centre: str, value: bytes | None) -> None:
        """Mark a data centre as evacuated, or as back in service."""
        if value is None:
            self.evacuated.discard(data_centre)
        else:
            self.evacuated.add(data_centre)
        self.directory.set_evacuated(set(self.evacuated))
