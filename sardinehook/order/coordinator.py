"""Runs each order at most once and answers look-ups of order outcomes."""

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
    NoRecord,
    StoredClaim,
    Unavailable,
    Unreadable,
)
from sardinehook.order.open_order import OpenOrder, OrderAnswer
from sardinehook.order.pause import pause
from sardinehook.order.ports import (
    AskTarget,
    AttemptPorts,
    SendSubQuery,
    key_conflict,
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
    """What is known about an order key.

    ``UNSEEN`` does not prove "not run": a stale read may miss a recent claim.
    Repeating the order with the same key is safe in every state.
    """

    RUN = "run"
    NOT_RUN = "not_run"
    IN_PROGRESS = "in_progress"
    UNKNOWN = "unknown"
    UNSEEN = "unseen"


class OrderStatus(NamedTuple):
    """The result of looking up an order key."""

    state: OrderState
    detail: str
    body: bytes = b""
    body_kept: bool = True


class OrderCoordinator:
    """Runs the orders of one entry process.

    Before anything is sent to a target, the order key is claimed by creating a
    record in the platform's store. Then exactly one sub-query is sent; it is never
    hedged or retried. ``send`` sends a sub-query and fires with its reply, or fails
    if the outcome cannot be learned. ``ask_target`` asks a replica whether it ran
    an order key. ``wall_clock`` returns seconds since the epoch.
    """

    def __init__(
        self,
        store: Store,
        environment: str,
        claimant: Claimant,
        timers: Timers,
        wall_clock: Callable[[], float],
        send: SendSubQuery,
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
            wall_clock=wall_clock,
            send=send,
            sub_query_ids=sub_query_ids,
            new_attempt=new_attempt,
            ask_target=ask_target,
        )
        self.open: dict[str, OpenOrder] = {}
        self.stopping = False

    async def place(self, request: OrderRequest) -> Result[OrderAnswer, Problem]:
        """Run an order at most once and return its answer.

        A problem that implies "not run" refers to this request only: a repeat may
        be refused with "not run" although an earlier request with its key ran.
        """
        result = await self._place(request)
        self.metrics.count_order(order_outcome(result))
        return result

    async def _place(self, request: OrderRequest) -> Result[OrderAnswer, Problem]:
        deadline = self.timers.seconds() + request.deadline_ms / MS_PER_SECOND
        problem = key_problem(request.key)
        if problem is not None:
            return Failure(problem)
        order = self.open.get(request.key)
        if order is None:
            problem = self._admission_problem()
            if problem is not None:
                return Failure(problem)
            return await self._start(request, deadline).wait_for_result(
                self.timers, deadline
            )
        if order.request.digest != request.digest:
            return Failure(key_conflict(request.key))
        log_event(
            logger,
            EventName.ORDER_REPEATED,
            request=request.request_id,
            order=request.key,
            cause=order.request.request_id,
        )
        return mark_repeated(await order.wait_for_result(self.timers, deadline))

    def _admission_problem(self) -> Problem | None:
        if self.stopping:
            return Problem(
                ErrorKind.STOPPING, "this process is stopping and accepts no new orders"
            )
        if len(self.open) >= MAX_OPEN_ORDERS:
            return Problem(
                ErrorKind.OVERLOADED,
                f"this process has reached its limit of {MAX_OPEN_ORDERS} open orders",
            )
        return None

    def _start(self, request: OrderRequest, deadline: float) -> OpenOrder:
        order = OpenOrder(request, deadline)
        self.open[request.key] = order
        attempt = Attempt(self.ports, order)
        Deferred.fromCoroutine(attempt.run()).addErrback(attempt.fail)
        return order

    def close_order(self, order: OpenOrder) -> None:
        """Remove an order once it has nothing pending; update the metric."""
        key = order.request.key
        if order.closed and self.open.get(key) is order:
            del self.open[key]
        waiting = sum(order.unrecorded for order in self.open.values())
        self.metrics.orders_unrecorded.set(waiting)

    async def look_up(self, key: str) -> Result[OrderStatus, Problem]:
        """Return what this process or the store knows about an order key."""
        problem = key_problem(key)
        if problem is not None:
            return Failure(problem)
        order = self.open.get(key)
        if order is not None and order.result is None:
            return Success(
                OrderStatus(
                    OrderState.IN_PROGRESS, "this process is processing the order"
                )
            )
        if order is not None and isinstance(order.result, Success):
            answer = order.result.unwrap()
            status = OrderStatus(OrderState.RUN, "", answer.body, answer.body_kept)
            return Success(status)
        seen = await self.claims.read(key)
        if isinstance(seen, StoredClaim) and seen.claim.state is ClaimState.NOT_RUN:
            seen = await self.claims.confirm(seen)
        match seen:
            case StoredClaim(claim, _):
                return Success(await self._status(claim))
            case NoRecord():
                return Success(
                    OrderStatus(
                        OrderState.UNSEEN, "no record of the order key was found"
                    )
                )
            case Unreadable(problem):
                return Failure(problem)
            case Unavailable(detail, _):
                return Failure(Problem(ErrorKind.STORE_UNAVAILABLE, detail))

    async def _status(self, claim: OrderClaim) -> OrderStatus:
        status = status_of(claim, self.ports.wall_ms())
        if status.state is not OrderState.UNKNOWN:
            return status
        if await target_ran(self.ports.ask_target, claim):
            return status_of(claim.done_without_answer(), self.ports.wall_ms())
        return status

    async def drain(self) -> None:
        """Refuse new orders; wait until all open ones have ended and are recorded."""
        self.stopping = True
        while self.open:
            await pause(self.timers, DRAIN_POLL_SECONDS)


def key_problem(key: str) -> Problem | None:
    """Return why a caller's order key is invalid, None if it is valid."""
    if not 0 < len(key) <= MAX_KEY_CHARACTERS:
        detail = (
            f"order key must have 1 to {MAX_KEY_CHARACTERS} characters, got {len(key)}"
        )
        return Problem(ErrorKind.BAD_REQUEST, detail)
    if not all("!" <= character <= "~" for character in key):
        detail = "order key must consist of printable ASCII characters without spaces"
        return Problem(ErrorKind.BAD_REQUEST, detail)
    return None


def order_outcome(result: Result[OrderAnswer, Problem]) -> OrderOutcome:
    """Return the outcome that a result reports, as the metrics label it."""
    match result:
        case Success(_):
            return OrderOutcome.RUN
        case Failure(problem) if problem.kind is ErrorKind.ORDER_IN_PROGRESS:
            return OrderOutcome.IN_PROGRESS
        case Failure(problem) if problem.response.not_run:
            return OrderOutcome.NOT_RUN
    return OrderOutcome.UNKNOWN


def mark_repeated(
    result: Result[OrderAnswer, Problem],
) -> Result[OrderAnswer, Problem]:
    """Mark an answer as given to a repeat of the request that ran."""
    return result.map(lambda answer: answer._replace(repeated=True))


def status_of(claim: OrderClaim, wall_ms: int) -> OrderStatus:
    """Return the status that a stored claim implies."""
    match claim.result(wall_ms):
        case Success(done):
            return OrderStatus(OrderState.RUN, "", done.body, done.body_kept)
        case Failure(problem):
            outcome = order_outcome(Failure(problem))
            return OrderStatus(OrderState(outcome.value), problem.detail)
    raise AssertionError("unreachable")
