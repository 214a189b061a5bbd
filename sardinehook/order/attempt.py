"""One attempt at an order: claims its key, sends it once, records the outcome."""

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
    apply_reply,
    new_claim,
)
from sardinehook.order.claim_store import (
    NoRecord,
    OlderState,
    StoredClaim,
    SwapResult,
    Unavailable,
    Unreadable,
    Written,
)
from sardinehook.order.open_order import OpenOrder, OrderAnswer, answer_from_claim
from sardinehook.order.pause import pause
from sardinehook.order.ports import AttemptPorts, key_conflict, target_ran
from sardinehook.store.port import CREATE

__all__ = ["Attempt"]

NOTHING_SENT_DETAIL = (
    "this request ran nothing, an earlier request with its key may have"
)
MAX_CLAIM_TRIES = 8
MAX_SWAP_TRIES = 3
SWAP_RETRY_DELAY_SECONDS = 0.05
MIN_WATCH_MS = 1.0
MAX_WATCH_MS = 1000.0
WATCH_RETRY_DELAY_SECONDS = 0.1
MIN_SEND_MS = 1.0
LATE_REPLY_TIMEOUT_SECONDS = 60.0
MS_PER_SECOND = 1000.0

logger: FilteringBoundLogger = get_logger()


class Attempt:
    """Runs one order.

    The claim on the key is stored before anything is sent. If the reply of the
    store is lost, the same compare-and-swap is repeated to learn whether it took
    effect. While that is unknown nothing is sent; if it stays unknown, the recorder
    marks the claim "not run" in the background. Once the claim is stored, the order
    is sent immediately or not at all.
    """

    def __init__(self, ports: AttemptPorts, order: OpenOrder) -> None:
        self.ports = ports
        self.order = order
        self.deadline_problem = Problem(
            ErrorKind.STORE_UNAVAILABLE,
            f"{NOTHING_SENT_DETAIL}: no claim stored before the deadline",
        )
        left = max(order.deadline - ports.timers.seconds(), 0.0)
        self.deadline_timer = ports.timers.callLater(left, self._on_deadline)

    async def run(self) -> None:
        """Claim the order's key; if that succeeds, send the order."""
        claim = await self._claim()
        if claim is not None:
            self._send(claim)
        self._finish_claiming()

    def fail(self, failure: TwistedFailure) -> None:
        """Log an unhandled error and answer the callers with ``INTERNAL``."""
        log_event(logger, EventName.UNHANDLED_ERROR, detail=failure.getTraceback())
        self.order.given_up = True
        self._fail_callers(Problem(ErrorKind.INTERNAL, failure.getErrorMessage()))
        self._finish_claiming()

    def _finish_claiming(self) -> None:
        self.order.claiming = False
        self.ports.recorder.on_change(self.order)

    async def _claim(self) -> OrderClaim | None:
        """Return the claim once it is stored, None if no claim was made."""
        expect = CREATE
        for _ in range(MAX_CLAIM_TRIES):
            match await self._try_claim(expect):
                case OrderClaim() as claim:
                    return claim
                case StoredClaim(claim, revision):
                    replaceable = await self._wait_for_holder(claim, revision)
                    if replaceable is None:
                        return None
                    expect = replaceable
                case NoRecord():
                    expect = CREATE
                case None:
                    return None
        detail = (
            f"order key not claimed in {MAX_CLAIM_TRIES} tries due to other attempts"
        )
        self._fail_callers(Problem(ErrorKind.ORDER_IN_PROGRESS, detail))
        return None

    async def _try_claim(
        self, expect: int
    ) -> OrderClaim | StoredClaim | NoRecord | None:
        """Return the stored claim, what the key holds instead, or None if it failed."""
        ports = self.ports
        lease = await ports.claims.current_lease()
        if isinstance(lease, Unavailable):
            self._fail_callers(
                Problem(
                    ErrorKind.STORE_UNAVAILABLE,
                    f"{NOTHING_SENT_DETAIL}: {lease.detail}",
                )
            )
            return None
        claim = new_claim(
            self.order.request, ports.claimant, ports.new_attempt(), ports.wall_ms()
        )
        swap = await self._swap_with_retries(claim, expect, lease)
        match swap:
            case Written(revision) | OlderState(revision):
                self._set_claim(claim, revision)
                self._log(EventName.ORDER_CLAIMED)
                return claim
            case StoredClaim() | NoRecord():
                return swap
            case Unreadable(problem):
                self._fail_callers(problem)
            case Unavailable(detail, may_have_taken_effect):
                detail = f"{NOTHING_SENT_DETAIL}: {detail}"
                problem = Problem(ErrorKind.STORE_UNAVAILABLE, detail)
                if may_have_taken_effect:
                    self._set_claim(claim, expect)
                    self._withdraw(claim, problem)
                self._fail_callers(problem)
        return None

    async def _swap_with_retries(
        self, claim: OrderClaim, expect: int, lease: str
    ) -> SwapResult:
        """Repeat a swap whose reply was lost, up to ``MAX_SWAP_TRIES`` times."""
        may_have_taken_effect = False
        delay_seconds = SWAP_RETRY_DELAY_SECONDS
        detail = "the order was given up before its key was claimed"
        for _ in range(MAX_SWAP_TRIES):
            if self.order.given_up:
                break
            swap = await self.ports.claims.swap(claim, expect, lease)
            if not isinstance(swap, Unavailable):
                return swap
            detail = swap.detail
            may_have_taken_effect |= swap.may_have_taken_effect
            if not may_have_taken_effect:
                break
            await pause(self.ports.timers, delay_seconds)
            delay_seconds *= 2
        return Unavailable(detail, may_have_taken_effect)

    def _set_claim(self, claim: OrderClaim, revision: int) -> None:
        self.order.claim = claim
        self.order.recorded = claim
        self.order.revision = revision

    async def _wait_for_holder(self, claim: OrderClaim, revision: int) -> int | None:
        """Wait for the attempt that holds the key.

        Returns the revision of its claim if that may be replaced, else None.
        """
        while not self.order.given_up:
            if claim.digest != self.order.request.digest:
                self._fail_callers(key_conflict(claim.key))
                return None
            if claim.state is ClaimState.NOT_RUN:
                return revision
            wall_ms = self.ports.wall_ms()
            if claim.state is not ClaimState.CLAIMED or claim.is_abandoned(wall_ms):
                await self._answer_from_claim(claim)
                return None
            self._update_deadline_problem(claim)
            newer = await self._await_change(claim, revision)
            if newer is not None:
                claim, revision = newer.claim, newer.revision
        return None

    async def _await_change(
        self, claim: OrderClaim, revision: int
    ) -> StoredClaim | None:
        timers = self.ports.timers
        left_ms = (self.order.deadline - timers.seconds()) * MS_PER_SECOND
        wait_ms = max(min(left_ms, MAX_WATCH_MS), MIN_WATCH_MS)
        seen = await self.ports.claims.wait_for_change(claim, revision, wait_ms)
        if isinstance(seen, StoredClaim):
            return seen
        await pause(timers, WATCH_RETRY_DELAY_SECONDS)
        return None

    def _update_deadline_problem(self, claim: OrderClaim) -> None:
        match claim.result(self.ports.wall_ms()):
            case Failure(problem):
                self.deadline_problem = problem

    async def _answer_from_claim(self, claim: OrderClaim) -> None:
        """Answer this order's callers with the outcome of another attempt."""
        self._update_deadline_problem(claim)
        if claim.state is not ClaimState.DONE:
            if await target_ran(self.ports.ask_target, claim):
                claim = claim.done_without_answer()
        match claim.result(self.ports.wall_ms()):
            case Success(done):
                self._answer_callers(answer_from_claim(done, repeated=True))
            case Failure(problem):
                self._fail_callers(problem)

    def _send(self, claim: OrderClaim) -> None:
        """Send the order unless its deadline is over.

        Not a coroutine: an await between this check and the sending could let the
        deadline pass.
        """
        order = self.order
        left_ms = (order.deadline - self.ports.timers.seconds()) * MS_PER_SECOND
        if order.given_up or left_ms < MIN_SEND_MS:
            problem = Problem(
                ErrorKind.DEADLINE_TOO_SHORT,
                "no time was left before the deadline to send the order",
            )
            self._withdraw(claim, problem)
            self._fail_callers(problem)
            return
        order.sent = True
        order.awaits_reply = True
        sub_query = self._sub_query(left_ms)
        self._log(EventName.ORDER_SENT, sub_query=sub_query.sub_query_id)
        reply = maybeDeferred(self.ports.send, sub_query)
        reply.addCallbacks(
            self._on_reply,
            self._on_send_failure,
            callbackArgs=(sub_query.sub_query_id,),
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
            self._set_outcome_unknown("reply carries the id of another sub-query")
            return
        ended = apply_reply(claim, reply)
        self.order.awaits_reply = False
        self._set_outcome(ended, reply.body)

    def _on_send_failure(self, failure: TwistedFailure) -> None:
        self.order.awaits_reply = False
        self._set_outcome_unknown(failure.getErrorMessage())

    def _set_outcome_unknown(self, detail: str) -> None:
        if self.order.claim is not None:
            problem = Problem(ErrorKind.OUTCOME_UNKNOWN, detail)
            self._set_outcome(self.order.claim.unknown(problem), b"")

    def _set_outcome(self, claim: OrderClaim, body: bytes) -> None:
        """Set the claim's outcome, answer the callers and record it."""
        self.order.claim = claim
        match claim.result(self.ports.wall_ms()):
            case Success(done):
                self._answer_callers(answer_from_claim(done, repeated=False, body=body))
            case Failure(problem):
                self._fail_callers(problem)
        self._log(EventName.ORDER_ENDED, outcome=claim.state.value, detail=claim.detail)
        self.ports.recorder.record(self.order)

    def _withdraw(self, claim: OrderClaim, problem: Problem) -> None:
        """Mark the claim "not run"; nothing was sent and nothing will be."""
        self.order.given_up = True
        self.order.claim = claim.not_run(problem)
        self._log(EventName.ORDER_WITHDRAWN, detail=problem.detail)
        self.ports.recorder.record(self.order)

    def _on_deadline(self) -> None:
        order = self.order
        if order.result is not None:
            return
        if not order.sent:
            order.given_up = True
            self._fail_callers(self.deadline_problem)
            return
        self.ports.timers.callLater(
            LATE_REPLY_TIMEOUT_SECONDS, self._stop_awaiting_reply
        )
        self._set_outcome_unknown("no reply before the deadline")

    def _stop_awaiting_reply(self) -> None:
        self.order.awaits_reply = False
        self.ports.recorder.on_change(self.order)

    def _fail_callers(self, problem: Problem) -> None:
        self._answer_callers(Failure(problem))

    def _answer_callers(self, result: Result[OrderAnswer, Problem]) -> None:
        if self.deadline_timer.active():
            self.deadline_timer.cancel()
        self.order.set_result(result)

    def _log(self, event: EventName, **fields: Unpack[EventFields]) -> None:
        request = self.order.request
        fields["request"] = request.request_id
        fields["order"] = request.key
        fields["target"] = request.replica
        if self.order.claim is not None:
            fields["attempt"] = self.order.claim.attempt
        log_event(logger, event, **fields)
