"""Runs callers' searches with the document, views and policy of this process."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from twisted.internet.defer import Deferred

from sardinehook.entry.dispatcher import Dispatcher
from sardinehook.entry.front import BodyResponse, Response
from sardinehook.entry.requests import CallerRequest
from sardinehook.entry.search_run import SearchRun
from sardinehook.environment.document import EnvironmentDocument
from sardinehook.errors import Problem
from sardinehook.messages import ReplicaView
from sardinehook.observe.metrics import Metrics
from sardinehook.platform.timers import Timers
from sardinehook.query.actions import Settle
from sardinehook.query.answer import encode_answer
from sardinehook.query.policy import SearchPolicy
from sardinehook.query.replica_choice import Placement
from sardinehook.query.search import Search, SearchRequest, ServicePlan, Snapshot

__all__ = ["SearchDesk"]

MS_PER_S = 1000.0
OK = 200


class ServiceHome(NamedTuple):
    """A service of the document in force: its index and where its replicas are."""

    index_name: str
    placements: tuple[Placement, ...]


class SearchDesk:
    """Plans, runs and answers searches; counts those in flight."""

    def __init__(
        self,
        reactor: Timers,
        dispatcher: Dispatcher,
        policy: SearchPolicy,
        metrics: Metrics,
    ) -> None:
        self.reactor = reactor
        self.dispatcher = dispatcher
        self.policy = policy
        self.metrics = metrics
        self.homes: Mapping[str, ServiceHome] = {}
        self.in_flight = 0

    def configure(self, document: EnvironmentDocument) -> None:
        """Use the services of a new document."""
        self.policy.limits = document.limits
        self.homes = {
            service: ServiceHome(
                name,
                tuple(Placement(one.name, one.data_centre) for one in replicas),
            )
            for name, index in document.indexes.items()
            for service, replicas in index.services.items()
        }

    def take_view(self, view: ReplicaView) -> None:
        """Use what an owner tells of its replica."""
        self.policy.chooser.observe_view(view, self.reactor.seconds())

    def run(self, request: CallerRequest) -> Deferred[Response]:
        """Run a search; cancelling the result abandons it at the targets too."""
        now = self.reactor.seconds()
        search = self.build(request, now)
        result: Deferred[Response] = Deferred(lambda _result: run.abandon())

        def settled(settle: Settle) -> None:
            self.in_flight -= 1
            response = self.finish(request, settle, self.reactor.seconds() - now)
            if not result.called:
                result.callback(response)

        run = SearchRun(self.reactor, search, self.dispatcher, settled)
        self.in_flight += 1
        run.begin()
        return result

    def build(self, request: CallerRequest, now: float) -> Search:
        """Build the search of a request."""
        plans = [
            ServicePlan(
                target.index_name,
                target.service,
                self.policy.chooser.order(self.homes[target.service].placements, now),
            )
            for target in request.services
        ]
        search_request = SearchRequest(
            request_id=request.request_id,
            workload=request.workload_name,
            deadline_at=now + request.deadline_ms / MS_PER_S,
            limit=request.limit,
            body=request.body,
        )
        return Search(
            search_request,
            request.workload,
            plans,
            self.choose_snapshots(request),
            self.policy,
            now,
        )

    def choose_snapshots(self, request: CallerRequest) -> dict[str, Snapshot]:
        """Choose the snapshot of each index that the request asks."""
        return {}

    def finish(self, request: CallerRequest, settle: Settle, took_s: float) -> Response:
        """Count a settled search and build its response."""
        name = request.workload_name
        match settle.outcome:
            case Problem() as problem:
                self.metrics.observe_refusal(name, took_s, problem.kind)
                return problem
            case answer:
                self.metrics.observe_answer(name, took_s, answer.coverage.ratio)
                return BodyResponse(OK, encode_answer(answer))
