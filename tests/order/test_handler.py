"""Tests of the validation of callers' orders and the encoding of answers."""

from __future__ import annotations

import msgspec
import pytest
from returns.result import Failure, Result, Success
from twisted.internet.defer import Deferred

from sardinehook.entry.requests import CallerRequest
from sardinehook.environment.document import Scope, Workload
from sardinehook.errors import ErrorKind, Problem
from sardinehook.order.handler import OrderHandler
from tests.order.rig import OrderRig

ORDERS = Workload(["order-desk"], Scope.ONE, 1000.0, 1.0, idempotent=False)


def request(workload: Workload = ORDERS, service: str = "s") -> CallerRequest:
    return CallerRequest("r-1", "orders", workload, service, 1000.0, 1, b'{"n":2}')


def place(
    rig: OrderRig,
    order: CallerRequest,
    key: str | None = "k",
    replica: str | None = "t1",
) -> Result[bytes, Problem]:
    handler = OrderHandler(rig.processes[0].desk, lambda _workload, _service: replica)
    results: list[Result[bytes, Problem]] = []
    Deferred.fromCoroutine(handler.place(order, key)).addCallback(results.append)
    rig.settle(2)
    return results[0]


class TestOrderHandler:
    def test_target_answer_that_is_not_json_is_null(self) -> None:
        rig = OrderRig()
        match place(rig, request()):
            case Success(body):
                answer = msgspec.json.decode(body)
        assert answer == {
            "request_id": "r-1",
            "order_key": "k",
            "repeated": False,
            "answer_kept": True,
            "answer": None,
        }
        assert rig.began("k") == 1

    def test_look_up_returns_the_state(self) -> None:
        rig = OrderRig()
        place(rig, request())
        handler = OrderHandler(rig.processes[1].desk, lambda _workload, _service: None)
        found: list[Result[bytes, Problem]] = []
        Deferred.fromCoroutine(handler.look_up("k")).addCallback(found.append)
        rig.settle(2)
        assert msgspec.json.decode(found[0].unwrap())["state"] == "run"

    @pytest.mark.parametrize(
        ("order", "key", "replica", "kind"),
        [
            (request(), None, "t1", ErrorKind.BAD_REQUEST),
            (request(service=""), "k", "t1", ErrorKind.BAD_REQUEST),
            (
                request(ORDERS._replace(idempotent=True)),
                "k",
                "t1",
                ErrorKind.BAD_REQUEST,
            ),
            (request(), "k", None, ErrorKind.TARGET_UNAVAILABLE),
        ],
    )
    def test_refused_orders_run_nothing(
        self,
        order: CallerRequest,
        key: str | None,
        replica: str | None,
        kind: ErrorKind,
    ) -> None:
        rig = OrderRig()
        result = place(rig, order, key, replica)
        assert isinstance(result, Failure)
        assert result.failure().kind is kind
        assert rig.history == []
