"""Places orders so that each runs at most once, and tells what became of them."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from enum import StrEnum
from typing import NamedTuple
from uuid import uuid4

from returns.result import Failure, Result, Success
from structlog import get_logger
from structlog.typing import FilteringBoundLogger
from twisted.internet.defer import Deferred

from sardinehook.errors import ErrorKind, Problem
from sardinehook.observe.events import EventName, log_event
from sardinehook.observe.metrics import Metrics, OrderOutcome
from sardinehook.order.attempt import Attempt
from sardinehook.order.claim import (
    MAX_KEY_CHARACTERS,
    Claimant,
    ClaimState,
    OrderClaim,
    OrderRequest,
)
from sardinehook.order.claim_store import (
    ClaimStore,
    Gone,
    Other,
    Unavailable,
    Unreadable,
)
from sardinehook.order.open_order import OpenOrder, OrderAnswer
from sardinehook.order.pause import pause
from sardinehook.order.ports import (
    AskTarget,
    AttemptPorts,
    Send,
    conflict,
    target_ran,
)
from sardinehook.order.recorder import Recorder
from sardinehook.store.port import Store
from sardinehook.transport.reactor import Timers

__all__ = ["OrderCoordinator", "OrderState", "OrderStatus"]

MAX_OPEN_ORDERS = 256
DRAIN_POLL_SECONDS = 0.1
MS_PER_SECOND = 1000.0

logger: FilteringBoundLogger = get_logger()


class OrderState(StrEnum):
    """What is known of an order's key.

    ``UNSEEN`` promises nothing: a claim of the last moments may not show yet. To
    place the order again with the same key is safe in every state.
    """

    RUN = "run"
    NOT_RUN = "not_run"
    IN_PROGRESS = "in_progress"
    UNKNOWN = "unknown"
    UNSEEN = "unseen"


class OrderStatus(NamedTuple):
    """The answer to a look-up of an order's key."""

    state: OrderState
    detail: str
    body: bytes = b""
    body_kept: bool = True


class OrderCoordinator:
    """Places orders for one entry process.

    An order's key is claimed by a create in the platform's service before any byte
    goes to a target; then exactly one sub-query is sent, never hedged or retried.
    ``send`` sends a sub-query and fires with its end, or fails if that cannot be
    learned. ``ask_target`` asks a replica whether it ran a key. ``wall`` returns
    seconds since the epoch.
    """

    def __init__(
        self,
        store: Store,
        environment: str,
        claimant: Claimant,
        timers: Timers,
        wall: Callable[[], float],
        send: Send,
        sub_query_ids: Iterator[int],
        retention_ms: float,
        metrics: Metrics,
        ask_target: AskTarget | None = None,
        new_attempt: Callable[[], str] = lambda: uuid4().hex,
    ) -> None:
        self.timers = timers
        self.metrics = metrics
        self.claims = ClaimStore(store, environment, retention_ms, timers.seconds)
        self.ports = AttemptPorts(
            claims=self.claims,
            recorder=Recorder(self.claims, timers, metrics, self.close_order),
            claimant=claimant,
            timers=timers,
            wall=wall,
            send=send,
            sub_query_ids=sub_query_ids,
            new_attempt=new_attempt,
            ask_target=ask_target,
        )
        self.open: dict[str, OpenOrder] = {}
        self.stopping = False

    async def place(self, request: OrderRequest) -> Result[OrderAnswer, Problem]:
        """Run an order at most once and return its answer.

        A problem whose kind promises "not run" says so of this request: a
        repetition of a key may be refused "not run" though an earlier one ran.
        """
        result = await self._place(request)
        self.metrics.count_order(told(result))
        return result

    async def _place(self, request: OrderRequest) -> Result[OrderAnswer, Problem]:
        deadline = self.timers.seconds() + request.deadline_ms / MS_PER_SECOND
        problem = invalid_key(request.key)
        if problem is not None:
            return Failure(problem)
        order = self.open.get(request.key)
        if order is None:
            problem = self._refusal()
            if problem is not None:
                return Failure(problem)
            return await self._begin(request, deadline).result_by(self.timers, deadline)
        if order.request.digest != request.digest:
            return Failure(conflict(request.key))
        log_event(
            logger,
            EventName.ORDER_REPEATED,
            request=request.request_id,
            order=request.key,
            cause=order.request.request_id,
        )
        return repeated(await order.result_by(self.timers, deadline))

    def _refusal(self) -> Problem | None:
        if self.stopping:
            return Problem(ErrorKind.STOPPING, "this process takes no new orders")
        if len(self.open) >= MAX_OPEN_ORDERS:
            return Problem(ErrorKind.OVERLOADED, "too many orders are open here")
        return None

    def _begin(self, request: OrderRequest, deadline: float) -> OpenOrder:
        order = OpenOrder(request, deadline)
        self.open[request.key] = order
        attempt = Attempt(self.ports, order)
        Deferred.fromCoroutine(attempt.run()).addErrback(attempt.fail)
        return order

    def close_order(self, order: OpenOrder) -> None:
        """Forget an order if nothing of it is left to learn or to record."""
        key = order.request.key
        if order.closed and self.open.get(key) is order:
            del self.open[key]
        waiting = sum(order.unrecorded for order in self.open.values())
        self.metrics.orders_unrecorded.set(waiting)

    async def look_up(self, key: str) -> Result[OrderStatus, Problem]:
        """Tell what is known of an order's key, here or in its record."""
        problem = invalid_key(key)
        if problem is not None:
            return Failure(problem)
        order = self.open.get(key)
        if order is not None and order.result is None:
            return Success(OrderStatus(OrderState.IN_PROGRESS, "at work on it here"))
        if order is not None and isinstance(order.result, Success):
            answer = order.result.unwrap()
            status = OrderStatus(OrderState.RUN, "", answer.body, answer.body_kept)
            return Success(status)
        seen = await self.claims.read(key)
        if isinstance(seen, Other) and seen.claim.state is ClaimState.NOT_RUN:
            seen = await self.claims.confirm(seen)
        match seen:
            case Other(claim, _):
                return Success(await self._status(claim))
            case Gone():
                return Success(OrderStatus(OrderState.UNSEEN, "no record of the key"))
            case Unreadable(problem):
                return Failure(problem)
            case Unavailable(detail, _):
                return Failure(Problem(ErrorKind.STORE_UNAVAILABLE, detail))

    async def _status(self, claim: OrderClaim) -> OrderStatus:
        status = status_of(claim, self.ports.wall_ms())
        if status.state is not OrderState.UNKNOWN:
            return status
        if await target_ran(self.ports.ask_target, claim):
            return status_of(claim.done_elsewhere(), self.ports.wall_ms())
        return status

    async def drain(self) -> None:
        """Take no new orders and wait for the open ones to end and be recorded."""
        self.stopping = True
        while self.open:
            await pause(self.timers, DRAIN_POLL_SECONDS)


def invalid_key(key: str) -> Problem | None:
    """Return what is wrong with a caller's order key, if anything."""
    if not 0 < len(key) <= MAX_KEY_CHARACTERS:
        detail = f"an order needs a key of 1 to {MAX_KEY_CHARACTERS} characters"
        return Problem(ErrorKind.BAD_REQUEST, detail)
    if not all("!" <= character <= "~" for character in key):
        detail = "an order's key is of ASCII letters, digits and marks, no spaces"
        return Problem(ErrorKind.BAD_REQUEST, detail)
    return None


def told(result: Result[OrderAnswer, Problem]) -> OrderOutcome:
    """Return in one word what a caller is told by a result."""
    match result:
        case Success(_):
            return OrderOutcome.RUN
        case Failure(problem) if problem.kind is ErrorKind.ORDER_IN_PROGRESS:
            return OrderOutcome.IN_PROGRESS
        case Failure(problem) if problem.response.not_run:
            return OrderOutcome.NOT_RUN
    return OrderOutcome.UNKNOWN


def repeated(
    result: Result[OrderAnswer, Problem],
) -> Result[OrderAnswer, Problem]:
    """Mark an answer as that to a repetition."""
    return result.map(lambda answer: answer._replace(repeated=True))


def status_of(claim: OrderClaim, wall_ms: int) -> OrderStatus:
    """Return the status that a claim in the store gives."""
    match claim.result(wall_ms):
        case Success(done):
            return OrderStatus(OrderState.RUN, "", done.body, done.body_kept)
        case Failure(problem):
            outcome = told(Failure(problem))
            return OrderStatus(OrderState(outcome.value), problem.detail)
    raise AssertionError("unreachable")
