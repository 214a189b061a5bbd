"""Tests of the history that is built from a trial's records."""

from __future__ import annotations

from bench.load import AnswerBody, CallRecord
from bench.results import RunResult
from bench.rig import load_example
from bench.run_history import find_violations
from bench.target_records import WorkEvent

DOCUMENT = load_example("szovetseg-production")
SERVICES = {
    service: index_name
    for index_name in DOCUMENT.workloads["storm-night"].indexes
    for service in DOCUMENT.indexes[index_name].services
}


def work_event(at: float, kind: str, service: str, order_key: str = "") -> WorkEvent:
    replica = DOCUMENT.indexes[SERVICES[service]].services[service][0].name
    return WorkEvent(at, kind, replica, "r-1", "1", order_key, 4, 1, 0)


def served_events() -> list[WorkEvent]:
    begun = [work_event(1.0, "begun", service) for service in SERVICES]
    return begun + [work_event(2.0, "finished", service) for service in SERVICES]


def call_record(
    answer: AnswerBody, status: int = 200, order_key: str = ""
) -> CallRecord:
    return CallRecord(
        request="r-1",
        workload="storm-night",
        entry="e",
        intended_at=0.0,
        sent_at=0.0,
        ended_at=3.0,
        status=status,
        order_key=order_key,
        service="",
        answer=answer,
    )


def full_answer() -> AnswerBody:
    version = {"index_version": 4, "partitioning": 1}
    return {
        "request_id": "r-1",
        "records": [{"id": "logfinder-1"}],
        "coverage": {
            "asked": len(SERVICES),
            "answered": len(SERVICES),
            "ratio": 1.0,
            "missing": [],
            "snapshot": {index: version for index in SERVICES.values()},
        },
    }


def violated_rules(
    calls: list[CallRecord], events: list[WorkEvent], left_out: int = 0
) -> list[str]:
    run = RunResult(
        "t", 0.0, 0.0, calls, events, {}, left_out, {}, [], {}, {}, {}, {}, DOCUMENT
    )
    return [violation.rule for violation in find_violations(run, DOCUMENT)]


class TestFindViolations:
    def test_valid_search_has_no_violation(self) -> None:
        assert violated_rules([call_record(full_answer())], served_events()) == []

    def test_service_that_did_not_serve_is_found(self) -> None:
        assert violated_rules([call_record(full_answer())], served_events()[:-1]) == [
            "coverage"
        ]

    def test_other_version_is_found(self) -> None:
        events = served_events()
        events[-1] = events[-1]._replace(index_version=3)
        found = violated_rules([call_record(full_answer())], events)
        assert sorted(found) == ["coverage", "one_snapshot"]

    def test_order_that_ran_twice_and_was_refused_is_found(self) -> None:
        service = next(iter(SERVICES))
        events = [work_event(at, "begun", service, "k") for at in (1.0, 2.0)]
        refused: AnswerBody = {
            "request_id": "r-1",
            "error": {"kind": "stopping", "detail": "", "not_run": True},
        }
        found = violated_rules([call_record(refused, 503, "k")], events)
        assert sorted(found) == ["at_most_once", "not_run"]

    def test_overflow_of_event_log_is_reported(self) -> None:
        assert violated_rules([], [], left_out=1) == ["history_incomplete"]
