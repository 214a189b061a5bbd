"""An order that this process is running or recording."""

from __future__ import annotations

from typing import NamedTuple

from returns.result import Failure, Result, Success
from twisted.internet.defer import Deferred

from sardinehook.errors import ErrorKind, Problem
from sardinehook.order.claim import ClaimState, OrderClaim, OrderRequest
from sardinehook.store.port import CREATE
from sardinehook.transport.reactor import Timers

__all__ = ["OpenOrder", "OrderAnswer", "answer_from_claim"]


class OrderAnswer(NamedTuple):
    """The answer to an order that ran.

    ``body`` is the target's answer, empty with ``body_kept`` false if it was lost or
    too large to record. ``repeated`` is set if another request with the same key
    ran the order.
    """

    body: bytes
    body_kept: bool
    repeated: bool
    attempt: str


class OpenOrder:
    """The state of an order: its callers, its claim and what remains to record.

    ``deadline`` is in seconds of the reactor's clock. ``claiming`` is set until the
    order is sent or given up. Once ``given_up`` is set nothing is sent; once
    ``sent`` is set the order cannot be given up. ``revision`` is the revision of
    the stored claim that the next write expects.
    """

    def __init__(self, request: OrderRequest, deadline: float) -> None:
        self.request = request
        self.deadline = deadline
        self.claiming = True
        self.given_up = False
        self.sent = False
        self.awaits_reply = False
        self.recording = False
        self.result: Result[OrderAnswer, Problem] | None = None
        self.waiters: list[Deferred[Result[OrderAnswer, Problem]]] = []
        self.claim: OrderClaim | None = None
        self.recorded: OrderClaim | None = None
        self.revision = CREATE

    def set_result(self, result: Result[OrderAnswer, Problem]) -> None:
        """Answer all waiting callers; callers that join later get the latest result."""
        self.result = result
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            waiter.callback(result)

    async def wait_for_result(
        self, timers: Timers, deadline: float
    ) -> Result[OrderAnswer, Problem]:
        """Wait for the result until ``deadline``, in seconds of the reactor's clock.

        After the deadline it fails with ``ORDER_IN_PROGRESS``.
        """
        if self.result is not None:
            return self.result
        waiter: Deferred[Result[OrderAnswer, Problem]] = Deferred()
        self.waiters.append(waiter)
        left = max(deadline - timers.seconds(), 0.0)
        timer = timers.callLater(left, self._on_wait_timeout, waiter)
        try:
            return await waiter
        finally:
            if timer.active():
                timer.cancel()

    def _on_wait_timeout(self, waiter: Deferred[Result[OrderAnswer, Problem]]) -> None:
        if waiter in self.waiters:
            self.waiters.remove(waiter)
            detail = "this process is still processing the order"
            waiter.callback(Failure(Problem(ErrorKind.ORDER_IN_PROGRESS, detail)))

    @property
    def unrecorded(self) -> bool:
        """Whether the outcome is known to this process but not yet stored."""
        if self.claim is None or self.claim.state is ClaimState.CLAIMED:
            return False
        return self.claim != self.recorded

    @property
    def closed(self) -> bool:
        """Whether no reply, claim or record is pending."""
        if self.result is None or self.claiming or self.awaits_reply:
            return False
        return not (self.recording or self.unrecorded)


def answer_from_claim(
    claim: OrderClaim, repeated: bool, body: bytes | None = None
) -> Result[OrderAnswer, Problem]:
    """Return the answer of a claim that is done, with ``body`` if it is given."""
    if body is None:
        kept = claim.body_kept
        return Success(OrderAnswer(claim.body, kept, repeated, claim.attempt))
    return Success(OrderAnswer(body, True, repeated, claim.attempt))
