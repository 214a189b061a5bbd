"""Runs callers' searches under the current document, replica state and policy."""

from __future__ import annotations

from dataclasses import replace

import structlog
from returns.result import Failure, Success
from twisted.internet.defer import Deferred, succeed

from sardinehook.entry.dispatcher import Dispatcher
from sardinehook.entry.front import BodyResponse, Response
from sardinehook.entry.requests import CallerRequest
from sardinehook.entry.search_run import SearchRun
from sardinehook.environment.document import (
    EnvironmentDocument,
    Hedge,
    Workload,
)
from sardinehook.errors import Problem
from sardinehook.messages import ReplicaReport
from sardinehook.observe.clock import HybridClock
from sardinehook.observe.events import EventName, log_event
from sardinehook.observe.metrics import Metrics
from sardinehook.observe.sampling import QueryLog, QuerySampler
from sardinehook.query.actions import Settle
from sardinehook.query.admission import AdmissionController, AdmittedRequest
from sardinehook.query.answer import SearchAnswer, encode_answer
from sardinehook.query.hedging import FixedDelayHedge, NoHedge
from sardinehook.query.planner import Plan, Planner
from sardinehook.query.policy import SearchPolicy
from sardinehook.query.search import Search, SearchRequest
from sardinehook.transport.reactor import Timers

__all__ = ["SearchHandler"]

logger = structlog.get_logger(__name__)

MS_PER_S = 1000.0
HTTP_OK = 200
LOG_SAMPLE_ONE_IN = 100


class SearchHandler:
    """Plans, admits and runs searches, and counts those in flight."""

    def __init__(
        self,
        reactor: Timers,
        dispatcher: Dispatcher,
        policy: SearchPolicy,
        metrics: Metrics,
        clock: HybridClock,
    ) -> None:
        self.reactor = reactor
        self.dispatcher = dispatcher
        self.policy = policy
        self.planner = Planner(policy)
        self.admission = AdmissionController(policy.limits, policy.memory)
        self.metrics = metrics
        self.clock = clock
        self.sampler = QuerySampler(LOG_SAMPLE_ONE_IN)
        self.in_flight = 0

    def configure(self, document: EnvironmentDocument) -> None:
        """Use the services of a new document."""
        self.planner.apply(document)
        self.admission.limits = document.limits

    def on_report(self, report: ReplicaReport) -> None:
        """Record an owner's report on its replica."""
        self.planner.observe_report(report, self.reactor.seconds())

    def run(self, request: CallerRequest) -> Deferred[Response]:
        """Run a search; cancelling the result also cancels it at the targets."""
        now = self.reactor.seconds()
        planned = self.planner.plan(request.workload, request.service, now)
        match planned:
            case Failure(problem):
                return succeed(self.refuse(request, problem))
            case Success(plan):
                return self.admit(request, plan, now)
        raise AssertionError("a result is a success or a failure")

    def admit(
        self, request: CallerRequest, plan: Plan, now: float
    ) -> Deferred[Response]:
        """Apply admission control to a planned search and run it if admitted."""
        admitted = self.admission.admit(
            request.workload_name,
            request.workload,
            len(plan.services),
            request.deadline_ms,
            now,
        )
        match admitted:
            case Failure(problem):
                return succeed(self.refuse(request, problem))
            case Success(admitted_request):
                return self.run_admitted(request, plan, admitted_request)
        raise AssertionError("a result is a success or a failure")

    def run_admitted(
        self, request: CallerRequest, plan: Plan, admitted_request: AdmittedRequest
    ) -> Deferred[Response]:
        """Run an admitted search."""
        search = self.build_search(request, plan, admitted_request.admitted_at)
        log = QueryLog(logger, self.clock, self.sampler, request.request_id)
        result: Deferred[Response] = Deferred(lambda _result: run.cancel())

        def on_settle(settle: Settle) -> None:
            self.in_flight -= 1
            response = self.finish(request, run, admitted_request, settle)
            if not result.called:
                result.callback(response)

        run = SearchRun(self.reactor, search, self.dispatcher, log, on_settle)
        self.in_flight += 1
        self.metrics.in_flight.set(self.in_flight)
        log.record(
            EventName.QUERY_RECEIVED,
            workload=request.workload_name,
            deadline_ms=request.deadline_ms,
            asked=len(plan.services),
        )
        run.start()
        return result

    def build_search(self, request: CallerRequest, plan: Plan, now: float) -> Search:
        """Build the search for a request and its plan."""
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
            workload_policy(request.workload, self.policy),
            now,
        )

    def refuse(self, request: CallerRequest, problem: Problem) -> Problem:
        """Count and log a refused search."""
        self.metrics.observe_refusal(request.workload_name, 0.0, problem.kind)
        log_event(
            logger,
            EventName.QUERY_REFUSED,
            request=request.request_id,
            workload=request.workload_name,
            kind=problem.kind.value,
            detail=problem.detail,
        )
        return problem

    def finish(
        self,
        request: CallerRequest,
        run: SearchRun,
        admitted_request: AdmittedRequest,
        settle: Settle,
    ) -> Response:
        """Update metrics, log a settled search and build its response."""
        now = self.reactor.seconds()
        name = request.workload_name
        took_s = now - admitted_request.admitted_at
        answered = isinstance(settle.outcome, SearchAnswer)
        self.metrics.in_flight.set(self.in_flight)
        self.admission.finish(
            admitted_request, run.search.was_congested(), answered, now
        )
        for attempt, count in run.attempts.items():
            self.metrics.count_sub_queries(name, attempt, count)
        match settle.outcome:
            case Problem() as problem:
                self.metrics.observe_refusal(name, took_s, problem.kind)
                self.log_end(EventName.QUERY_FAILED, run, settle, took_s, problem)
                return problem
            case answer:
                self.metrics.observe_answer(name, took_s, answer.coverage.ratio)
                self.log_end(EventName.QUERY_ANSWERED, run, settle, took_s, None)
                return BodyResponse(HTTP_OK, encode_answer(answer))

    def log_end(
        self,
        event: EventName,
        run: SearchRun,
        settle: Settle,
        took_s: float,
        problem: Problem | None,
    ) -> None:
        """Log the end of a search; its events are kept if sampled or failed."""
        coverage = settle.coverage
        written = run.log.end(
            event,
            problem is not None,
            kind=problem.kind.value if problem else "",
            asked=coverage.asked,
            answered=coverage.answered,
            took_ms=took_s * MS_PER_S,
        )
        self.metrics.log_queries.labels(str(written).lower()).inc()


def workload_policy(workload: Workload, policy: SearchPolicy) -> SearchPolicy:
    """Return a workload's policy; learned state is shared by all workloads."""
    match workload.hedge:
        case Hedge.ADAPTIVE:
            return policy
        case Hedge.FIXED:
            fixed = FixedDelayHedge(workload.hedge_delay_ms)
            return replace(policy, hedge=fixed, enforces_budget=False)
        case Hedge.NONE:
            return replace(policy, hedge=NoHedge(), reply_timeout_ratio=1.0)
