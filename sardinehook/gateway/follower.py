"""Keeps configuration, evacuations, replicas and gateways in step with the store."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from random import Random
from typing import Any

import structlog
from returns.result import Failure, Result, Success

from sardinehook.gateway.confirmation_keeper import ConfirmationKeeper
from sardinehook.gateway.era import EraVerdict, Position
from sardinehook.gateway.fleet import GATEWAY_PREFIX, GatewayFleet
from sardinehook.gateway.peers import PeerCalls
from sardinehook.gateway.reactor import GatewayReactor
from sardinehook.gateway.readers import Reader, ReaderSelector
from sardinehook.gateway.relay import ChangeRelay
from sardinehook.gateway.settings import Bounds
from sardinehook.gateway.store import (
    Changes,
    GatewayStore,
    HistoryGone,
    StoreProblem,
)
from sardinehook.gateway.store_state import StoreState
from sardinehook.gateway.watch_monitor import WatchMonitor
from sardinehook.observe.errors import log_error
from sardinehook.observe.events import EventName, log_event
from sardinehook.store.port import StoreUnavailable
from sardinehook.transport.tasks import Promise, sleep, start_task

__all__ = ["StoreFollower"]

logger = structlog.get_logger(__name__)

FALLBACK_WATCH_WAIT_S = 1.0  # short, so that a non-reader soon retries the readers
PROBE_WATCH_WAIT_S = 0.5  # until the store has answered a watch of this gateway
# Of the shortest time bound on applying changes: what follows the wait of a lost watch,
# the time limit of the call, the backoff and the answer to the next call.
LOST_WATCH_MARGIN_S = 1.25
# The next three are fractions of that bound.
COALESCE_RATIO = 0.2  # wait after a change, since changes come in bursts
WATCH_CHECK_RATIO = 0.2  # interval of comparing a watch with another gateway
LONG_POLL_RATIO = 0.2  # how long a reader may hold a call
# Of the bound after which keys are not accepted without confirmation. The keys of a
# gateway that polls a reader are confirmed as of two waits, a pause after changes and a
# long poll ago at most, which are 0.8 of the bound together.
STRICT_WATCH_RATIO = 0.2
INITIAL_BACKOFF_S = 0.1
MAX_CONFIGURATION_WAIT_S = 0.15  # gateways answer within milliseconds; starts are short
ASK_PEERS_AFTER_S = 1.0  # the store may fail for this gateway only
MAX_BACKOFF_S = 1.0  # low, since the time bounds are a few seconds
ALL_KEYS = ""


class StoreFollower:
    """Keeps the cached state of this gateway in step with the store.

    Some gateways of each data centre watch the store; the others poll these readers.
    One watch covers all keys. If the store no longer has the changes that it needs, all
    keys are listed again.
    """

    def __init__(
        self,
        reactor: GatewayReactor,
        store: GatewayStore,
        peers: PeerCalls,
        state: StoreState,
        fleet: GatewayFleet,
        random: Random,
    ) -> None:
        self.reactor = reactor
        self.store = store
        self.peers = peers
        self.fleet = fleet
        self.random = random
        self.state = state
        self.relay = ChangeRelay(reactor, state.cache, state.confirmation)
        state.on_changed = self.relay.answer_waiting
        state.on_era.append(self.handle_era)
        self.reader_selector = ReaderSelector(fleet.node, fleet.record)
        self.monitor = WatchMonitor(
            reactor, store, peers, state, fleet, self.reader_selector, random
        )
        self.confirmation_keeper = ConfirmationKeeper(
            reactor, peers, state, fleet, random
        )
        self.running = False
        self.watch_proven = False
        self.backoff_s = 0.0
        self.down_since: float | None = None
        self.last_contact_at = reactor.seconds()
        self.seeds: tuple[str, ...] = ()
        self.min_bound_s = 0.0
        self.max_watch_s = float("inf")
        # Shorter while a rollout depends on contact with the store.
        self.max_watch_wait_s = float("inf")

    def configure(self, bounds: Bounds) -> None:
        """Derive poll and check intervals from the deployment's time bounds."""
        self.confirmation_keeper.bounds = bounds
        self.min_bound_s = min(
            bounds.drain_s, bounds.configuration_s, bounds.evacuation_s
        )
        if bounds.revocation_strict:
            self.min_bound_s = min(self.min_bound_s, bounds.revocation_s)
            self.max_watch_s = STRICT_WATCH_RATIO * bounds.revocation_s
        else:
            self.max_watch_s = float("inf")
        self.monitor.interval_s = WATCH_CHECK_RATIO * self.min_bound_s

    def start(self) -> None:
        """Start all tasks, each of which is restarted after an unexpected error."""
        self.running = True
        for task in (self.follow, self.monitor_watch, self.keep_confirmed):
            self.start_task(task)

    def start_task(self, task: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Start a task that is restarted if it raises."""
        start_task(task(), lambda error: self.restart_task(error, task))

    def restart_task(
        self, error: Exception, task: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Log an unexpected error, then restart the task with a new listing."""
        log_error(error)
        self.state.listing_needed = True
        self.monitor.end()
        if self.running:
            self.reactor.callLater(MAX_BACKOFF_S, self.start_task, task)

    def stop(self) -> None:
        """Stop all tasks after their current call."""
        self.running = False
        self.relay.set_current(False)

    async def follow(self) -> None:
        """Poll a reader, or read the store if no reader is usable, until stopped."""
        if not self.state.loaded:
            await self.read_gateways()
        while self.running:
            self.update_readers()
            readers = self.reader_selector.usable(self.reactor.seconds())
            if readers and self.can_poll_readers:
                await self.poll_readers(readers[0])
            else:
                await self.read_store()

    async def read_gateways(self) -> None:
        """List the gateways first, which tells who reads the store.

        When a large fleet starts at once, listings of all keys for all gateways would
        take longer on the store's link than everything else in the start.
        """
        match await self.store.read_all(GATEWAY_PREFIX):
            case Success(listing):
                self.record_contact("")
                self.state.apply_gateways(listing.items)
            case Failure(problem):
                await self.handle_failure(problem)

    @property
    def can_poll_readers(self) -> bool:
        """Whether readers can bring the state up to date.

        A starting gateway gets a listing from them. One that has lost history needs one
        from the store, since the readers may lack the same changes.
        """
        return not self.state.loaded or not self.state.listing_needed

    async def monitor_watch(self) -> None:
        """Compare pending watches with other gateways until stopped."""
        while self.running:
            await self.monitor.check()

    async def keep_confirmed(self) -> None:
        """Keep the state confirmed by other gateways until stopped."""
        while self.running:
            await self.confirmation_keeper.check()

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
        state = self.state
        whole = state.listing_needed or state.is_behind
        is_first = not state.loaded
        position = state.cache.position
        era = state.cache.era
        known = self.state.cache.revision
        called_at = self.reactor.seconds()
        if whole or known is None:
            result = await self.store.read_all(ALL_KEYS)
        else:
            wait_s = self.watch_wait_s
            self.log_watch_without_contact(known, wait_s)
            self.monitor.begin()
            result = await self.store.watch(ALL_KEYS, known, wait_s)
            self.monitor.end()
        match result.bind(self.check_era):
            case Success(changes):
                self.watch_proven = True
                self.record_contact("")
                self.relay.set_current(True)
                if not whole and (state.is_behind or changes.era != era):
                    return  # revisions of another era than that of the call
                if changes.era and (is_first or changes.era != era):
                    await self.await_configuration()
                if whole and self.is_outdated(changes, position):
                    return  # listed again, unless another gateway had all keys
                state.apply_changes(changes, whole, called_at)
                if changes.items:
                    await sleep(self.reactor, COALESCE_RATIO * self.min_bound_s)
            case Failure(problem):
                self.watch_proven = False
                self.relay.set_current(False)
                await self.handle_failure(problem)

    def is_outdated(self, listing: Changes, before: Position) -> bool:
        """Return whether another gateway told of a later state during the call.

        The listing would then be taken for an older copy of the store. ``before`` is
        the state that was held at the call.
        """
        known = self.state.cache.position
        return known != before and Position(listing.era, listing.revision) < known

    def check_era(self, changes: Changes) -> Result[Changes, StoreProblem]:
        """Return changes with the era in force; one that has ended is no answer."""
        if self.state.observe_era(changes.era) is EraVerdict.EARLIER:
            known = self.state.era.known
            detail = f"answer of era {changes.era}, in force is era {known}"
            return Failure(StoreUnavailable(detail, False))
        return Success(changes._replace(era=self.state.era.known or 0))

    def handle_era(self, _era: int) -> None:
        """End a watch that was sent in an earlier era, once the present call is over.

        It may be pending at a connection that the store has lost.
        """
        self.reactor.callLater(0.0, self.end_earlier_watch)

    def end_earlier_watch(self) -> None:
        """Drop the connection of a pending watch if it is of an earlier era."""
        if self.monitor.watching and self.state.is_behind:
            self.store.drop_connections()

    async def await_configuration(self) -> None:
        """Ask another gateway for a newer configuration, and wait for a short time.

        An answer in time is in force with the listing: no request is served by the
        older version, and the gateways which ask this one get the newer one.
        """
        answered: Promise[None] = Promise()

        def end_wait() -> None:
            if not answered.is_resolved:
                answered.resolve(None)

        async def fetch() -> None:
            await self.fetch_configuration()
            end_wait()

        start_task(fetch(), log_error)
        timer = self.reactor.callLater(MAX_CONFIGURATION_WAIT_S, end_wait)
        await answered
        if timer.active():
            timer.cancel()

    async def fetch_configuration(self) -> None:
        """Ask another gateway for a newer configuration than the known one, once.

        A store that came back from an older copy may lack the last versions until the
        operator has written them again.
        """
        match await self.peers.fetch_from_any(self.fleet.peers(), None):
            case Success(update):
                self.state.adopt_configuration(update)

    @property
    def watch_wait_s(self) -> float:
        """How long the next watch may wait for a change.

        A store that does not answer loses the call for good, and the connection shows
        no error. Longer waits are for a store that answered the previous call; it may
        also lose the answer to a pending watch without any other call failing. A lost
        watch is noticed, and replaced, within the shortest time bound.
        """
        if not self.watch_proven:
            return PROBE_WATCH_WAIT_S
        if not self.reader_selector.is_reader:
            return FALLBACK_WATCH_WAIT_S
        wait_s = min(self.min_bound_s - LOST_WATCH_MARGIN_S, self.max_watch_s)
        return min(max(PROBE_WATCH_WAIT_S, wait_s), self.max_watch_wait_s)

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
        self.watch_proven = False
        self.relay.set_current(False)
        await self.poll_reader(first, LONG_POLL_RATIO * self.min_bound_s)
        other = self.reader_selector.next_secondary(self.reactor.seconds())
        if other is not None and self.running:
            await self.poll_reader(other, 0.0)

    async def poll_reader(self, reader: Reader, wait_s: float) -> None:
        """Request changes from a reader once; it may hold the call for ``wait_s``."""
        called_at = self.reactor.seconds()
        answer = await self.peers.fetch(
            reader.address, self.state.cache.revision, wait_s
        )
        match answer:
            case Success(update):
                if update.current:
                    self.record_contact(reader.name)
                failure_detail = (
                    "" if update.current else "has no contact with the store"
                )
                self.record_reader_result(reader, failure_detail)
                # A reader without contact may lack what this gateway knew before its
                # restart, such as the withdrawal of a key. The store answered.
                if update.current or self.state.loaded:
                    self.state.apply_update(update)
                    self.state.confirm_through(update, called_at)
            case Failure(detail):
                self.record_reader_result(reader, detail)

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
            self.state.listing_needed = True
            return
        if self.down_since is None:
            self.down_since = self.reactor.seconds()
            log_event(logger, EventName.STORE_DOWN, detail=str(problem))
        down_s = self.reactor.seconds() - self.down_since
        if not self.state.loaded or down_s > ASK_PEERS_AFTER_S:
            await self.fetch_from_peers()
        first_s = INITIAL_BACKOFF_S if self.reader_selector.is_reader else MAX_BACKOFF_S
        self.backoff_s = min(max(2 * self.backoff_s, first_s), MAX_BACKOFF_S)
        await sleep(self.reactor, self.backoff_s * (0.5 + self.random.random()))

    async def fetch_from_peers(self) -> None:
        """Apply newer state of another gateway while the store is unavailable."""
        known = self.state.cache.revision
        peers = [*self.seeds, *self.fleet.peers()]
        called_at = self.reactor.seconds()
        match await self.peers.fetch_from_any(peers, known):
            case Success(update):
                if self.state.apply_update(update):
                    log_event(
                        logger,
                        EventName.STATE_FROM_PEER,
                        revision=update.changes.revision,
                        count=len(update.changes.items),
                    )
                self.state.confirm_through(update, called_at)
            case Failure(detail) if not self.state.loaded:
                log_event(logger, EventName.STATE_FROM_PEER, detail=str(detail))

    def record_contact(self, reader: str) -> None:
        """Record contact with the store, either direct or through ``reader``."""
        self.backoff_s = 0.0
        self.last_contact_at = self.reactor.seconds()
        if self.down_since is not None:
            down_s = self.reactor.seconds() - self.down_since
            self.down_since = None
            log_event(logger, EventName.STORE_UP, took_ms=down_s * 1000.0, peer=reader)
