"""Writes the outcomes of orders to the claim store, with retries."""

from __future__ import annotations

from collections.abc import Callable

from structlog import get_logger
from structlog.typing import FilteringBoundLogger
from twisted.internet.defer import Deferred, DeferredSemaphore
from twisted.python.failure import Failure as TwistedFailure

from sardinehook.observe.events import EventName, log_event
from sardinehook.observe.metrics import Metrics
from sardinehook.order.claim_store import (
    ClaimStore,
    NoRecord,
    OlderState,
    Unavailable,
    Written,
)
from sardinehook.order.open_order import OpenOrder
from sardinehook.order.pause import pause
from sardinehook.store.port import CREATE
from sardinehook.transport.reactor import Timers

__all__ = ["Recorder"]

MAX_CONCURRENT_WRITES = 2
RECORD_TIMEOUT_SECONDS = 3600.0
MIN_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 5.0

logger: FilteringBoundLogger = get_logger()


class Recorder:
    """Records outcomes in the background, one write at a time per order.

    ``on_change`` is called with an order whenever its recording starts or ends.
    At most ``MAX_CONCURRENT_WRITES`` writes are in progress or in backoff, which
    bounds the load on a failing store however many outcomes are pending.
    """

    def __init__(
        self,
        claims: ClaimStore,
        timers: Timers,
        metrics: Metrics,
        on_change: Callable[[OpenOrder], None],
    ) -> None:
        self.claims = claims
        self.timers = timers
        self.metrics = metrics
        self.on_change = on_change
        self.backoff_seconds = MIN_BACKOFF_SECONDS
        self.write_slots = DeferredSemaphore(MAX_CONCURRENT_WRITES)

    def record(self, order: OpenOrder) -> None:
        """Start recording an order's latest claim, unless already in progress."""
        if order.recording:
            return
        order.recording = True
        self.on_change(order)
        done = Deferred.fromCoroutine(self._record(order))
        done.addErrback(self._fail, order)

    async def _record(self, order: OpenOrder) -> None:
        record_deadline = self.timers.seconds() + RECORD_TIMEOUT_SECONDS
        while order.unrecorded and self.timers.seconds() < record_deadline:
            await self.write_slots.acquire()
            try:
                if await self._write(order):
                    self.backoff_seconds = MIN_BACKOFF_SECONDS
                else:
                    await self._back_off()
            finally:
                self.write_slots.release()
        if order.unrecorded:
            self._give_up(
                order,
                f"the store accepted no write within {RECORD_TIMEOUT_SECONDS:.0f} s",
            )
        self._end(order)

    async def _back_off(self) -> None:
        seconds = self.backoff_seconds
        self.backoff_seconds = min(2 * seconds, MAX_BACKOFF_SECONDS)
        await pause(self.timers, seconds)

    async def _write(self, order: OpenOrder) -> bool:
        """Try one write; return false if the next try needs a backoff."""
        claim = order.claim
        if claim is None:
            return True
        lease = await self.claims.current_lease()
        if isinstance(lease, Unavailable):
            return False
        match await self.claims.swap(claim, order.revision, lease):
            case Written(revision):
                order.revision = revision
                order.recorded = claim
                return True
            case OlderState(revision):
                advanced = revision != order.revision
                order.revision = revision
                return advanced
            case NoRecord() if order.revision == CREATE:
                return False
            case Unavailable():
                return False
            case _:
                # Another attempt holds the key, so this claim never took effect.
                order.recorded = claim
                return True

    def _give_up(self, order: OpenOrder, detail: str) -> None:
        self.metrics.order_record_failures.inc()
        order.recorded = order.claim
        log_event(
            logger,
            EventName.ORDER_RECORD_FAILED,
            request=order.request.request_id,
            order=order.request.key,
            detail=detail,
        )

    def _fail(self, failure: TwistedFailure, order: OpenOrder) -> None:
        log_event(logger, EventName.UNHANDLED_ERROR, detail=failure.getTraceback())
        self._give_up(order, failure.getErrorMessage())
        self._end(order)

    def _end(self, order: OpenOrder) -> None:
        order.recording = False
        self.on_change(order)
