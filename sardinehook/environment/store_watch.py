"""Watches the head key of an environment in the platform's key-value store."""

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

__all__ = ["StoreWatch", "StoreWatchCounters"]

logger = structlog.get_logger(__name__)

WATCH_TIMEOUT_MS = 4_000.0
FULL_READ_INTERVAL_S = 300.0
INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 8.0


class StoreWatchCounters:
    """Counters of store calls, failures, bytes received and refused revisions."""

    def __init__(self) -> None:
        self.calls = 0
        self.failures = 0
        self.bytes_in = 0
        self.refused = 0


class StoreWatch:
    """Long-polls the head key while started, with one watch call at a time.

    A call waits for about ``WATCH_TIMEOUT_MS`` only, since a dead connection may stay
    silent forever. After a failure the next call is delayed by exponential backoff with
    jitter, and reads the key regardless of its revision.
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
        self.counts = StoreWatchCounters()
        self.consecutive_failures = 0
        self.after_revision = 0
        self.full_read_at = 0.0
        self.running: Deferred[None] | None = None
        self.stop_count = 0

    def start(self, delay_s: float = 0.0) -> None:
        """Start watching after a delay; does nothing if already started."""
        if self.running is None:
            self.running = Deferred.fromCoroutine(self.run(delay_s))
            self.running.addErrback(self.on_end)

    def stop(self) -> None:
        """Stop watching and cancel the call in progress."""
        self.stop_count += 1
        running, self.running = self.running, None
        if running is not None:
            running.cancel()

    async def run(self, delay_s: float) -> None:
        """Watch in a loop until stopped."""
        stop_count = self.stop_count
        await self.sleep(delay_s)
        self.after_revision = 0
        while stop_count == self.stop_count:
            await self.watch_once()

    async def watch_once(self) -> None:
        """Make one watch call and process its result."""
        now = self.reactor.seconds()
        if now >= self.full_read_at:
            self.after_revision = 0
            self.full_read_at = now + FULL_READ_INTERVAL_S * self.rng.uniform(0.8, 1.2)
        self.counts.calls += 1
        wait_ms = WATCH_TIMEOUT_MS * self.rng.uniform(0.8, 1.2)
        match await self.store.watch(self.key, self.after_revision, wait_ms):
            case Success(Entry() as entry):
                self.record_success()
                self.offer_entry(entry)
            case Success(None):
                self.record_success()
            case Failure(failure):
                await self.back_off(failure)

    def offer_entry(self, entry: Entry) -> None:
        """Offer the revision of an entry; the holder ignores outdated ones."""
        self.after_revision = entry.revision
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

    def record_success(self) -> None:
        """Reset the backoff; log recovery if the previous call failed."""
        if self.consecutive_failures:
            failures, self.consecutive_failures = self.consecutive_failures, 0
            log_event(logger, EventName.STORE_UP, key=self.key, count=failures)

    async def back_off(self, failure: StoreFailure) -> None:
        """Wait after a failure, with exponential backoff.

        The jitter keeps the nodes from retrying at the same time.
        """
        self.counts.failures += 1
        self.consecutive_failures += 1
        self.after_revision = 0
        if self.consecutive_failures == 1:
            log_event(logger, EventName.STORE_DOWN, key=self.key, detail=str(failure))
        ceiling = INITIAL_BACKOFF_S * 2.0 ** min(self.consecutive_failures, 16)
        await self.sleep(self.rng.uniform(0.1, 1.0) * min(MAX_BACKOFF_S, ceiling))

    async def sleep(self, delay_s: float) -> None:
        """Wait for ``delay_s`` on the reactor's clock."""
        await deferLater(cast(IReactorTime, self.reactor), delay_s)

    def on_end(self, failure: TwistedFailure) -> None:
        """Ignore a cancellation; log any other failure and allow a restart."""
        if isinstance(failure.value, CancelledError):
            return
        self.running = None
        detail = repr(failure.value)
        log_event(logger, EventName.UNHANDLED_ERROR, key=self.key, detail=detail)
