"""Runs callers' searches with the document, views and policy of this process."""

from __future__ import annotations

from returns.result import Failure, Success
from twisted.internet.defer import Deferred, succeed

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
from sardinehook.query.planner import Plan, Planner
from sardinehook.query.policy import SearchPolicy
from sardinehook.query.search import Search, SearchRequest

__all__ = ["SearchDesk"]

MS_PER_S = 1000.0
OK = 200


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
        self.planner = Planner(policy)
        self.metrics = metrics
        self.in_flight = 0

    def configure(self, document: EnvironmentDocument) -> None:
        """Use the services of a new document."""
        self.planner.apply(document)

    def take_view(self, view: ReplicaView) -> None:
        """Use what an owner tells of its replica."""
        self.planner.observe_view(view, self.reactor.seconds())

    def run(self, request: CallerRequest) -> Deferred[Response]:
        """Run a search; cancelling the result abandons it at the targets too."""
        now = self.reactor.seconds()
        planned = self.planner.plan(request.workload, request.service, now)
        match planned:
            case Failure(problem):
                return succeed(problem)
            case Success(plan):
                return self.run_plan(request, plan, now)
        raise AssertionError("a result is a success or a failure")

    def run_plan(
        self, request: CallerRequest, plan: Plan, now: float
    ) -> Deferred[Response]:
        """Run a planned search."""
        search = self.build(request, plan, now)
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

    def build(self, request: CallerRequest, plan: Plan, now: float) -> Search:
        """Build the search of a request."""
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
            plan.services,
            plan.snapshots,
            self.policy,
            now,
        )

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
