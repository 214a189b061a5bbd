"""Places callers' orders through the order coordinator and the dispatcher."""

from __future__ import annotations

import time
from collections.abc import Iterator

from returns.pipeline import is_successful
from returns.result import Result, Success
from twisted.internet.defer import Deferred

from sardinehook.entry.dispatcher import Dispatcher
from sardinehook.entry.front import BodyResponse, Response
from sardinehook.entry.requests import CallerRequest
from sardinehook.environment.document import Limits, Workload
from sardinehook.errors import Problem
from sardinehook.messages import SubQuery, SubReply
from sardinehook.observe.metrics import Metrics
from sardinehook.order.claim import Claimant
from sardinehook.order.coordinator import OrderCoordinator
from sardinehook.order.handler import OrderHandler
from sardinehook.query.planner import Planner
from sardinehook.store.port import Store
from sardinehook.transport.reactor import Timers

__all__ = ["EntryOrderHandler"]

HTTP_OK = 200


class EntryOrderHandler:
    """Handles the orders of one entry process and counts those in flight."""

    def __init__(
        self,
        reactor: Timers,
        store: Store,
        environment: str,
        claimant: Claimant,
        dispatcher: Dispatcher,
        planner: Planner,
        sub_query_ids: Iterator[int],
        metrics: Metrics,
    ) -> None:
        self.reactor = reactor
        self.dispatcher = dispatcher
        self.planner = planner
        self.in_flight = 0
        self.coordinator = OrderCoordinator(
            store,
            environment,
            claimant,
            reactor,
            time.time,
            self.send,
            sub_query_ids,
            Limits().order_retention_ms,
            metrics,
        )
        self.handler = OrderHandler(self.coordinator, self.choose_replica)

    def configure(self, limits: Limits) -> None:
        """Use the limits of a new document."""
        self.coordinator.claims.retention_ms = limits.order_retention_ms

    def send(self, sub_query: SubQuery) -> Deferred[SubReply]:
        """Send the single sub-query of an order."""
        reply_received: Deferred[SubReply] = Deferred()
        self.dispatcher.send(sub_query, reply_received.callback)
        return reply_received

    def choose_replica(self, workload: Workload, service: str) -> str | None:
        """Choose the replica for an order, ``None`` if none is available."""
        plan_result = self.planner.plan(workload, service, self.reactor.seconds())
        match plan_result:
            case Success(plan):
                return next(iter(plan.services[0].replicas), None)
        return None

    def place(self, request: CallerRequest, key: str | None) -> Deferred[Response]:
        """Place an order; it continues if the caller disconnects."""
        return Deferred.fromCoroutine(self.place_counted(request, key))

    async def place_counted(self, request: CallerRequest, key: str | None) -> Response:
        """Place an order and count it as in flight until it ends."""
        self.in_flight += 1
        try:
            return to_response(await self.handler.place(request, key))
        finally:
            self.in_flight -= 1

    def look_up(self, key: str) -> Deferred[Response]:
        """Return the status of an order."""
        body = Deferred.fromCoroutine(self.handler.look_up(key))
        return body.addCallback(to_response)


def to_response(result: Result[bytes, Problem]) -> Response:
    """Convert a result to an HTTP response."""
    if is_successful(result):
        return BodyResponse(HTTP_OK, result.unwrap())
    return result.failure()
