"""One attempt at an order: claim its key, send it once, record what became of it."""

from __future__ import annotations

from typing import Unpack

from returns.result import Failure, Result, Success
from structlog import get_logger
from structlog.typing import FilteringBoundLogger
from twisted.internet.defer import maybeDeferred
from twisted.python.failure import Failure as TwistedFailure

from sardinehook.errors import ErrorKind, Problem
from sardinehook.messages import ANY_VERSION, SubQuery, SubReply
from sardinehook.observe.events import EventFields, EventName, log_event
from sardinehook.order.claim import (
    ClaimState,
    OrderClaim,
    first_claim,
    judge_reply,
)
from sardinehook.order.claim_store import (
    Behind,
    Gone,
    Other,
    Swap,
    Unavailable,
    Unreadable,
    Written,
)
from sardinehook.order.open_order import OpenOrder, OrderAnswer, answer_of
from sardinehook.order.pause import pause
from sardinehook.order.ports import AttemptPorts, conflict, target_ran
from sardinehook.store.port import CREATE

__all__ = ["Attempt"]

NOTHING_SENT = "this request ran nothing, an earlier one with its key may have"
MAX_CLAIM_TRIES = 8
SETTLE_TRIES = 3
SETTLE_PAUSE_SECONDS = 0.05
MIN_WATCH_MS = 1.0
WATCH_MS = 1000.0
WATCH_PAUSE_SECONDS = 0.1
MIN_SEND_MS = 1.0
LATE_REPLY_SECONDS = 60.0
MS_PER_SECOND = 1000.0

logger: FilteringBoundLogger = get_logger()


class Attempt:
    """Runs one order.

    The key's record is created before anything is sent. Whether that took effect
    is settled by repeating the same compare-and-swap; while it is not settled
    nothing is sent, and the claim is marked "not run" afterwards, however long
    that takes. After the claim stands, the order is sent at once or not at all.
    """

    def __init__(self, ports: AttemptPorts, order: OpenOrder) -> None:
        self.ports = ports
        self.order = order
        self.blocked_by = Problem(
            ErrorKind.STORE_UNAVAILABLE, f"{NOTHING_SENT}: no claim in time"
        )
        left = max(order.deadline - ports.timers.seconds(), 0.0)
        self.deadline_timer = ports.timers.callLater(left, self._at_deadline)

    async def run(self) -> None:
        """Claim the order's key and send the order."""
        claim = await self._claim()
        if claim is not None:
            self._send(claim)
        self._end_claiming()

    def fail(self, failure: TwistedFailure) -> None:
        """Answer after an error of the program itself."""
        log_event(logger, EventName.UNHANDLED_ERROR, detail=failure.getTraceback())
        self.order.given_up = True
        self._refuse(Problem(ErrorKind.INTERNAL, failure.getErrorMessage()))
        self._end_claiming()

    def _end_claiming(self) -> None:
        self.order.claiming = False
        self.ports.recorder.on_change(self.order)

    async def _claim(self) -> OrderClaim | None:
        """Return the claim once it stands, None if the order was refused."""
        expect = CREATE
        for _ in range(MAX_CLAIM_TRIES):
            match await self._try_claim(expect):
                case OrderClaim() as claim:
                    return claim
                case Other(claim, revision):
                    replaceable = await self._yield_to(claim, revision)
                    if replaceable is None:
                        return None
                    expect = replaceable
                case Gone():
                    expect = CREATE
                case None:
                    return None
        detail = "other attempts at the key kept coming first"
        self._refuse(Problem(ErrorKind.ORDER_IN_PROGRESS, detail))
        return None

    async def _try_claim(self, expect: int) -> OrderClaim | Other | Gone | None:
        """Return the claim that stands, who else holds the key, or None if refused."""
        ports = self.ports
        lease = await ports.claims.current_lease()
        if isinstance(lease, Unavailable):
            self._refuse(
                Problem(ErrorKind.STORE_UNAVAILABLE, f"{NOTHING_SENT}: {lease.detail}")
            )
            return None
        claim = first_claim(
            self.order.request, ports.claimant, ports.new_attempt(), ports.wall_ms()
        )
        swap = await self._swap_until_settled(claim, expect, lease)
        match swap:
            case Written(revision) | Behind(revision):
                self._hold(claim, revision)
                self._log(EventName.ORDER_CLAIMED)
                return claim
            case Other() | Gone():
                return swap
            case Unreadable(problem):
                self._refuse(problem)
            case Unavailable(detail, may_have_taken_effect):
                detail = f"{NOTHING_SENT}: {detail}"
                problem = Problem(ErrorKind.STORE_UNAVAILABLE, detail)
                if may_have_taken_effect:
                    self._hold(claim, expect)
                    self._withdraw(claim, problem)
                self._refuse(problem)
        return None

    async def _swap_until_settled(
        self, claim: OrderClaim, expect: int, lease: str
    ) -> Swap:
        """Repeat a swap whose reply was lost, within bounds."""
        may_have_taken_effect = False
        pause_seconds = SETTLE_PAUSE_SECONDS
        detail = "the order was given up before its key was claimed"
        for _ in range(SETTLE_TRIES):
            if self.order.given_up:
                break
            swap = await self.ports.claims.swap(claim, expect, lease)
            if not isinstance(swap, Unavailable):
                return swap
            detail = swap.detail
            may_have_taken_effect |= swap.may_have_taken_effect
            if not may_have_taken_effect:
                break
            await pause(self.ports.timers, pause_seconds)
            pause_seconds *= 2
        return Unavailable(detail, may_have_taken_effect)

    def _hold(self, claim: OrderClaim, revision: int) -> None:
        self.order.claim = claim
        self.order.recorded = claim
        self.order.revision = revision

    async def _yield_to(self, claim: OrderClaim, revision: int) -> int | None:
        """Wait for another attempt; return the revision if it may be replaced."""
        while not self.order.given_up:
            if claim.digest != self.order.request.digest:
                self._refuse(conflict(claim.key))
                return None
            if claim.state is ClaimState.NOT_RUN:
                return revision
            wall_ms = self.ports.wall_ms()
            if claim.state is not ClaimState.CLAIMED or claim.abandoned(wall_ms):
                await self._repeat(claim)
                return None
            self._blocked(claim)
            newer = await self._await_change(claim, revision)
            if newer is not None:
                claim, revision = newer.claim, newer.revision
        return None

    async def _await_change(self, claim: OrderClaim, revision: int) -> Other | None:
        timers = self.ports.timers
        left_ms = (self.order.deadline - timers.seconds()) * MS_PER_SECOND
        wait_ms = max(min(left_ms, WATCH_MS), MIN_WATCH_MS)
        seen = await self.ports.claims.await_change(claim, revision, wait_ms)
        if isinstance(seen, Other):
            return seen
        await pause(timers, WATCH_PAUSE_SECONDS)
        return None

    def _blocked(self, claim: OrderClaim) -> None:
        match claim.result(self.ports.wall_ms()):
            case Failure(problem):
                self.blocked_by = problem

    async def _repeat(self, claim: OrderClaim) -> None:
        """Tell this order's callers what became of another attempt."""
        self._blocked(claim)
        if claim.state is not ClaimState.DONE:
            if await target_ran(self.ports.ask_target, claim):
                claim = claim.done_elsewhere()
        match claim.result(self.ports.wall_ms()):
            case Success(done):
                self._settle(answer_of(done, repeated=True))
            case Failure(problem):
                self._refuse(problem)

    def _send(self, claim: OrderClaim) -> None:
        """Send the order, unless its time is over; nothing is awaited before."""
        order = self.order
        left_ms = (order.deadline - self.ports.timers.seconds()) * MS_PER_SECOND
        if order.given_up or left_ms < MIN_SEND_MS:
            problem = Problem(ErrorKind.DEADLINE_TOO_SHORT, "no time was left to send")
            self._withdraw(claim, problem)
            self._refuse(problem)
            return
        order.sent = True
        order.awaits_reply = True
        sub_query = self._sub_query(left_ms)
        self._log(EventName.ORDER_SENT, sub_query=sub_query.sub_query_id)
        reply = maybeDeferred(self.ports.send, sub_query)
        reply.addCallbacks(
            self._on_reply, self._on_lost, callbackArgs=(sub_query.sub_query_id,)
        )
        reply.addErrback(self.fail)

    def _sub_query(self, left_ms: float) -> SubQuery:
        request = self.order.request
        return SubQuery(
            sub_query_id=next(self.ports.sub_query_ids),
            request_id=request.request_id,
            service=request.service,
            replica=request.replica,
            index_version=ANY_VERSION,
            partitioning=ANY_VERSION,
            deadline_ms=left_ms,
            priority=request.priority,
            order_key=request.key,
            body=request.body,
        )

    def _on_reply(self, reply: SubReply, sub_query_id: int) -> None:
        claim = self.order.claim
        if claim is None:
            return
        if reply.sub_query_id != sub_query_id:
            self.order.awaits_reply = False
            self._end_unknown("the reply belongs to another sub-query")
            return
        ended = judge_reply(claim, reply)
        self.order.awaits_reply = False
        self._end(ended, reply.body)

    def _on_lost(self, failure: TwistedFailure) -> None:
        self.order.awaits_reply = False
        self._end_unknown(failure.getErrorMessage())

    def _end_unknown(self, detail: str) -> None:
        if self.order.claim is not None:
            problem = Problem(ErrorKind.OUTCOME_UNKNOWN, detail)
            self._end(self.order.claim.unknown(problem), b"")

    def _end(self, claim: OrderClaim, body: bytes) -> None:
        """Take the outcome that was learned, tell the callers and record it."""
        self.order.claim = claim
        match claim.result(self.ports.wall_ms()):
            case Success(done):
                self._settle(answer_of(done, repeated=False, body=body))
            case Failure(problem):
                self._refuse(problem)
        self._log(EventName.ORDER_ENDED, outcome=claim.state.value, detail=claim.detail)
        self.ports.recorder.record(self.order)

    def _withdraw(self, claim: OrderClaim, problem: Problem) -> None:
        """Mark the claim "not run"; nothing of it was sent nor will be."""
        self.order.given_up = True
        self.order.claim = claim.not_run(problem)
        self._log(EventName.ORDER_WITHDRAWN, detail=problem.detail)
        self.ports.recorder.record(self.order)

    def _at_deadline(self) -> None:
        order = self.order
        if order.result is not None:
            return
        if not order.sent:
            order.given_up = True
            self._refuse(self.blocked_by)
            return
        self.ports.timers.callLater(LATE_REPLY_SECONDS, self._stop_waiting)
        self._end_unknown("no reply came before the deadline")

    def _stop_waiting(self) -> None:
        self.order.awaits_reply = False
        self.ports.recorder.on_change(self.order)

    def _refuse(self, problem: Problem) -> None:
        self._settle(Failure(problem))

    def _settle(self, result: Result[OrderAnswer, Problem]) -> None:
        if self.deadline_timer.active():
            self.deadline_timer.cancel()
        self.order.settle(result)

    def _log(self, event: EventName, **fields: Unpack[EventFields]) -> None:
        request = self.order.request
        fields["request"] = request.request_id
        fields["order"] = request.key
        fields["target"] = request.replica
        if self.order.claim is not None:
            fields["attempt"] = self.order.claim.attempt
        log_event(logger, event, **fields)
