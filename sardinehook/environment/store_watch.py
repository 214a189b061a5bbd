"""Watches the head of an environment in the platform's service."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import cast

import structlog
from returns.result import Failure, Success
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater
from twisted.python.failure import Failure as TwistedFailure

from sardinehook.environment.revision import Revision, decode_revision, head_key
from sardinehook.observe.events import EventName, log_event
from sardinehook.store.port import Entry, Store, StoreFailure
from sardinehook.transport.reactor import Timers

__all__ = ["StoreCounts", "StoreWatch"]

logger = structlog.get_logger(__name__)

WATCH_TIMEOUT_MS = 4_000.0
FULL_READ_INTERVAL_S = 300.0
INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 8.0


class StoreCounts:
    """Calls on the service and what came of them."""

    def __init__(self) -> None:
        self.calls = 0
        self.failures = 0
        self.bytes_in = 0
        self.refused = 0


class StoreWatch:
    """Keeps one watch waiting while it is started.

    A watch waits a few seconds only, since a connection may be silent for good. After
    a failure the next one comes after a random wait that grows with each failure, and
    reads anew whatever the revision.
    """

    def __init__(
        self,
        reactor: Timers,
        store: Store,
        environment: str,
        offer: Callable[[Revision], None],
        rng: random.Random,
    ) -> None:
        self.reactor = reactor
        self.store = store
        self.key = head_key(environment)
        self.offer = offer
        self.rng = rng
        self.counts = StoreCounts()
        self.failures_in_a_row = 0
        self.after = 0
        self.read_anew_at = 0.0
        self.running: Deferred[None] | None = None
        self.stops = 0

    def start(self, delay_s: float = 0.0) -> None:
        """Start to watch after a delay, unless started."""
        if self.running is None:
            self.running = Deferred.fromCoroutine(self.run(delay_s))
            self.running.addErrback(self.ended)

    def stop(self) -> None:
        """Stop watching."""
        self.stops += 1
        running, self.running = self.running, None
        if running is not None:
            running.cancel()

    async def run(self, delay_s: float) -> None:
        """Watch until stopped."""
        stops = self.stops
        await self.pause(delay_s)
        self.after = 0
        while stops == self.stops:
            await self.watch_once()

    async def watch_once(self) -> None:
        """Make one watch and take its answer."""
        now = self.reactor.seconds()
        if now >= self.read_anew_at:
            self.after = 0
            self.read_anew_at = now + FULL_READ_INTERVAL_S * self.rng.uniform(0.8, 1.2)
        self.counts.calls += 1
        wait_ms = WATCH_TIMEOUT_MS * self.rng.uniform(0.8, 1.2)
        match await self.store.watch(self.key, self.after, wait_ms):
            case Success(Entry() as entry):
                self.recover()
                self.take(entry)
            case Success(None):
                self.recover()
            case Failure(failure):
                await self.back_off(failure)

    def take(self, entry: Entry) -> None:
        """Offer the revision of an entry; an older one does no harm."""
        self.after = entry.revision
        self.counts.bytes_in += len(entry.value)
        match decode_revision(entry.value):
            case Success(revision):
                self.offer(revision)
            case Failure(problem):
                self.counts.refused += 1
                log_event(
                    logger,
                    EventName.REVISION_REFUSED,
                    key=self.key,
                    cause="store",
                    detail=problem.detail,
                )

    def recover(self) -> None:
        """Note that the service answers."""
        if self.failures_in_a_row:
            failures, self.failures_in_a_row = self.failures_in_a_row, 0
            log_event(logger, EventName.STORE_UP, key=self.key, count=failures)

    async def back_off(self, failure: StoreFailure) -> None:
        """Wait after a failure, longer after each and never all nodes alike."""
        self.counts.failures += 1
        self.failures_in_a_row += 1
        self.after = 0
        if self.failures_in_a_row == 1:
            log_event(logger, EventName.STORE_DOWN, key=self.key, detail=str(failure))
        ceiling = INITIAL_BACKOFF_S * 2.0 ** min(self.failures_in_a_row, 16)
        await self.pause(self.rng.uniform(0.1, 1.0) * min(MAX_BACKOFF_S, ceiling))

    async def pause(self, delay_s: float) -> None:
        """Wait."""
        await deferLater(cast(IReactorTime, self.reactor), delay_s)

    def ended(self, failure: TwistedFailure) -> None:
        """Take a cancellation; log any other end, after which a start is possible."""
        if isinstance(failure.value, CancelledError):
            return
        self.running = None
        detail = repr(failure.value)
        log_event(logger, EventName.UNHANDLED_ERROR, key=self.key, detail=detail)
