"""Writes the outcomes of orders to their records until the service takes them."""

from __future__ import annotations

from collections.abc import Callable

from structlog import get_logger
from structlog.typing import FilteringBoundLogger
from twisted.internet.defer import Deferred, DeferredSemaphore
from twisted.python.failure import Failure as TwistedFailure

from sardinehook.observe.events import EventName, log_event
from sardinehook.observe.metrics import Metrics
from sardinehook.order.claim_store import (
    Behind,
    ClaimStore,
    Gone,
    Unavailable,
    Written,
)
from sardinehook.order.open_order import OpenOrder
from sardinehook.order.pause import pause
from sardinehook.store.port import CREATE
from sardinehook.transport.reactor import Timers

__all__ = ["Recorder"]

WRITES_AT_ONCE = 2
RECORD_FOR_SECONDS = 3600.0
FIRST_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 5.0

logger: FilteringBoundLogger = get_logger()


class Recorder:
    """Records outcomes in the background, one write at a time for each order.

    ``on_change`` is told of each order of which something was recorded or given up.
    At most ``WRITES_AT_ONCE`` are under way or wait for their next try, so that a
    service in trouble is asked seldom, however many outcomes wait.
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
        self.pause_seconds = FIRST_PAUSE_SECONDS
        self.lanes = DeferredSemaphore(WRITES_AT_ONCE)

    def record(self, order: OpenOrder) -> None:
        """Begin to record an order's newest claim, unless that is under way."""
        if order.recording:
            return
        order.recording = True
        self.on_change(order)
        done = Deferred.fromCoroutine(self._record(order))
        done.addErrback(self._fail, order)

    async def _record(self, order: OpenOrder) -> None:
        until = self.timers.seconds() + RECORD_FOR_SECONDS
        while order.unrecorded and self.timers.seconds() < until:
            await self.lanes.acquire()
            try:
                if await self._write(order):
                    self.pause_seconds = FIRST_PAUSE_SECONDS
                else:
                    await self._back_off()
            finally:
                self.lanes.release()
        if order.unrecorded:
            self._give_up(order, "the service took no write in time")
        self._end(order)

    async def _back_off(self) -> None:
        seconds = self.pause_seconds
        self.pause_seconds = min(2 * seconds, MAX_PAUSE_SECONDS)
        await pause(self.timers, seconds)

    async def _write(self, order: OpenOrder) -> bool:
        """Write once; return whether the next try may follow at once."""
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
            case Behind(revision):
                moved = revision != order.revision
                order.revision = revision
                return moved
            case Gone() if order.revision == CREATE:
                return False
            case Unavailable():
                return False
            case _:
                # Another attempt holds the key, so this one's claim never stood.
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
