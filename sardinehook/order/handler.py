"""Validates callers' orders and encodes the answers."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol, TypedDict

import msgspec
from returns.result import Failure, Result

from sardinehook.decoding import DECODE_ERRORS
from sardinehook.environment.document import Workload
from sardinehook.errors import ErrorKind, Problem
from sardinehook.order.claim import OrderRequest
from sardinehook.order.coordinator import OrderCoordinator, OrderStatus
from sardinehook.order.open_order import OrderAnswer

__all__ = ["CallerOrder", "OrderBody", "OrderHandler", "OrderStatusBody"]

JSON_NULL = msgspec.Raw(b"null")


class CallerOrder(Protocol):
    """The part of a caller's request that an order uses."""

    @property
    def request_id(self) -> str:
        """The caller's request id."""

    @property
    def workload_name(self) -> str:
        """The name of the workload."""

    @property
    def workload(self) -> Workload:
        """The workload as the document in force declares it."""

    @property
    def service(self) -> str:
        """The service to run the order on, empty if none was given."""

    @property
    def deadline_ms(self) -> float:
        """Time left in milliseconds."""

    @property
    def body(self) -> bytes:
        """The caller's body, forwarded unparsed."""


class OrderBody(TypedDict):
    """The answer to an order that ran.

    ``answer`` is the target's answer, null if it was lost or too large to record
    (``answer_kept`` is then false) or is not JSON.
    """

    request_id: str
    order_key: str
    repeated: bool
    answer_kept: bool
    answer: msgspec.Raw


class OrderStatusBody(TypedDict):
    """The answer to a look-up of an order key."""

    order_key: str
    state: str
    detail: str
    answer_kept: bool
    answer: msgspec.Raw


class OrderHandler:
    """Validates callers' orders and encodes their answers.

    ``choose_replica`` returns the replica of a service to send an order to, None if
    none is available.
    """

    def __init__(
        self,
        coordinator: OrderCoordinator,
        choose_replica: Callable[[Workload, str], str | None],
    ) -> None:
        self.coordinator = coordinator
        self.choose_replica = choose_replica

    async def place(
        self, request: CallerOrder, key: str | None
    ) -> Result[bytes, Problem]:
        """Place an order and return the body of its answer."""
        problem = request_problem(request, key)
        if problem is not None:
            return Failure(problem)
        replica = self.choose_replica(request.workload, request.service)
        if replica is None:
            detail = f"no replica of service {request.service} is available for orders"
            return Failure(Problem(ErrorKind.TARGET_UNAVAILABLE, detail))
        order = OrderRequest(
            request_id=request.request_id,
            workload=request.workload_name,
            key=key or "",
            service=request.service,
            replica=replica,
            deadline_ms=request.deadline_ms,
            priority=request.workload.priority,
            body=request.body,
        )
        placed = await self.coordinator.place(order)
        return placed.map(lambda answer: encode_answer(order, answer))

    async def look_up(self, key: str) -> Result[bytes, Problem]:
        """Return the encoded status of an order."""
        found = await self.coordinator.look_up(key)
        return found.map(lambda status: encode_status(key, status))


def request_problem(request: CallerOrder, key: str | None) -> Problem | None:
    """Return why a caller's order is invalid, None if it is valid."""
    if key is None:
        return Problem(ErrorKind.BAD_REQUEST, "order has no Idempotency-Key header")
    if request.workload.idempotent:
        detail = f"workload {request.workload_name!r} is idempotent and takes no orders"
        return Problem(ErrorKind.BAD_REQUEST, detail)
    if not request.service:
        return Problem(ErrorKind.BAD_REQUEST, "order must name one service")
    return None


def encode_answer(order: OrderRequest, answer: OrderAnswer) -> bytes:
    """Encode the answer to an order that ran."""
    body = OrderBody(
        request_id=order.request_id,
        order_key=order.key,
        repeated=answer.repeated,
        answer_kept=answer.body_kept,
        answer=raw_json(answer.body),
    )
    return msgspec.json.encode(body)


def encode_status(key: str, status: OrderStatus) -> bytes:
    """Encode the answer to a look-up."""
    body = OrderStatusBody(
        order_key=key,
        state=status.state.value,
        detail=status.detail,
        answer_kept=status.body_kept,
        answer=raw_json(status.body),
    )
    return msgspec.json.encode(body)


def raw_json(body: bytes) -> msgspec.Raw:
    """Return a target's body for embedding, null if it is not JSON.

    >>> bytes(raw_json(b'{"ok": 1}')), bytes(raw_json(b"{]"))
    (b'{"ok": 1}', b'null')
    """
    try:
        msgspec.json.decode(body)
    except DECODE_ERRORS:
        return JSON_NULL
    return msgspec.Raw(body)
