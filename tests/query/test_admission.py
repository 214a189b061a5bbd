"""Tests of admission control, congestion and the memory budget."""

from __future__ import annotations

import pytest

from sardinehook.environment.document import Limits, Scope, Workload
from sardinehook.errors import ErrorKind
from sardinehook.messages import Outcome
from sardinehook.query.admission import (
    INITIAL_LIMIT,
    AdmissionController,
    AdmittedRequest,
)
from sardinehook.query.coverage import MissingReason
from sardinehook.query.memory import MemoryBudget
from sardinehook.query.policy import SearchPolicy
from tests.query.support import (
    RETRYING,
    page_body,
    plans,
    reply_to,
    sent,
    settlement,
    start,
)

STORM = Workload(["logs"], Scope.ALL, 150.0, 0.5, priority=0)
LOOK_UP = Workload(["logs"], Scope.ONE, 300.0, 1.0, priority=2)
AUDIT = Workload(["logs"], Scope.ALL, 1000.0, 0.95, priority=9)


def admit(
    admission: AdmissionController, workload: Workload, cost: int, now: float
) -> AdmittedRequest:
    return admission.admit("any", workload, cost, 100.0, now).unwrap()


class TestAdmissionController:
    def test_congestion_rejects_audits_before_storm_counts(self) -> None:
        admission = AdmissionController(Limits())
        for number in range(40):
            now = number * 0.2
            request = admit(admission, AUDIT, 50, now)
            admission.finish(request, True, True, now)
        admit(admission, STORM, 50, 9.0)
        problem = admission.admit("audit", AUDIT, 50, 900.0, 9.0).failure()
        assert problem.kind is ErrorKind.OVERLOADED
        assert problem.response.not_run
        for _ in range(int(INITIAL_LIMIT / 50) - 1):
            admit(admission, STORM, 50, 9.0)

    def test_audits_in_flight_do_not_block_storm_counts(self) -> None:
        admission = AdmissionController(Limits())
        admit(admission, AUDIT, int(INITIAL_LIMIT), 0.0)
        admit(admission, STORM, int(INITIAL_LIMIT), 0.0)
        assert admission.admit("audit", AUDIT, 1, 900.0, 0.0).failure()

    def test_a_slow_look_up_does_not_block_the_next_beside_a_search(self) -> None:
        admission = AdmissionController(Limits())
        slow = admit(admission, LOOK_UP, 1, 0.0)
        admission.finish(slow, True, True, 0.0)
        admit(admission, STORM, 50, 1.0)
        admit(admission, LOOK_UP, 1, 1.0)
        admit(admission, LOOK_UP, 1, 1.0)

    def test_limit_shrinks_under_congestion_and_grows_again(self) -> None:
        admission = AdmissionController(Limits())
        for number in range(40):
            now = number * 0.2
            request = admit(admission, STORM, 50, now)
            admission.finish(request, True, True, now)
        shrunk = admission.priority_class(0).limit
        assert shrunk < 50
        for number in range(100):
            now = 10.0 + number * 0.2
            request = admit(admission, STORM, 50, now)
            admission.finish(request, False, True, now)
        assert admission.priority_class(0).limit > shrunk

    def test_limit_does_not_grow_unused(self) -> None:
        admission = AdmissionController(Limits())
        admission.finish(admit(admission, STORM, 1, 0.0), False, True, 0.1)
        assert admission.priority_class(0).limit == INITIAL_LIMIT

    def test_limit_shrinks_once_within_the_decrease_interval(self) -> None:
        admission = AdmissionController(Limits())
        requests = [admit(admission, STORM, 50, 0.0) for _ in range(5)]
        limits = []
        for request in requests:
            admission.finish(request, True, True, 0.1)
            limits.append(admission.priority_class(0).limit)
        assert len(set(limits)) == 1

    def test_a_request_is_always_admitted_if_none_is_in_flight(self) -> None:
        admission = AdmissionController(Limits())
        admission.priority_class(9).limit = 1.0
        admit(admission, AUDIT, 740, 0.0)

    def test_deadline_that_cannot_be_met_is_rejected(self) -> None:
        admission = AdmissionController(Limits())
        for number in range(100):
            request = admit(admission, STORM, 1, number)
            admission.finish(request, False, True, number + 0.05)
        admit(admission, STORM, 1, 200.0)
        problem = admission.admit("any", STORM, 1, 20.0, 200.0).failure()
        assert problem.kind is ErrorKind.DEADLINE_TOO_SHORT
        assert admission.admit("any", STORM, 1, 60.0, 200.0).unwrap()

    def test_requests_in_flight_are_limited(self) -> None:
        admission = AdmissionController(Limits(requests_in_flight=1))
        request = admit(admission, STORM, 1, 0.0)
        problem = admission.admit("any", STORM, 1, 100.0, 0.0).failure()
        assert problem.kind is ErrorKind.OVERLOADED
        admission.finish(request, False, True, 0.1)
        admit(admission, STORM, 1, 0.1)

    def test_request_is_rejected_when_memory_is_low(self) -> None:
        memory = MemoryBudget(100)
        memory.reserve(90)
        admission = AdmissionController(Limits(), memory)
        problem = admission.admit("any", STORM, 1, 100.0, 0.0).failure()
        assert problem.kind is ErrorKind.OVERLOADED


class TestCongestion:
    @pytest.mark.parametrize(("slow", "congested"), [(1, False), (3, True)])
    def test_a_single_straggler_is_not_congestion(
        self, slow: int, congested: bool
    ) -> None:
        search, actions = start(plans(4, replicas=1))
        for number, query in enumerate(sent(actions)):
            queued_ms = 40.0 if number < slow else 0.0
            search.on_reply(reply_to(query)._replace(queued_ms=queued_ms), 0.05)
        assert search.settled
        assert search.was_congested() is congested

    def test_no_reply_by_the_deadline_is_congestion(self) -> None:
        search, _ = start(plans(4, replicas=1))
        search.on_timer(0.15)
        assert search.was_congested()


class TestMemoryBudget:
    def test_replies_beyond_the_process_limit_are_missing(self) -> None:
        body = page_body(("a", 1.0, "x" * 100))
        policy = SearchPolicy(memory=MemoryBudget(2 * len(body)))
        search, actions = start(plans(4, replicas=1), policy=policy)
        for query in sent(actions):
            actions = search.on_reply(reply_to(query, body=body), 0.01)
        missing = settlement(actions).coverage.missing
        assert [service.reason for service in missing] == [MissingReason.NO_MEMORY] * 2
        assert policy.memory.reserved_bytes == 0

    def test_memory_is_released_at_the_settlement(self) -> None:
        policy = SearchPolicy()
        search, actions = start(plans(4), RETRYING, policy=policy)
        first, second, *_ = sent(actions)
        search.on_reply(reply_to(first), 0.01)
        search.on_reply(reply_to(second, Outcome.FAILED), 0.01)
        assert policy.memory.reserved_bytes > 0
        search.on_timer(0.15)
        assert policy.memory.reserved_bytes == 0
