"""Each check of the soak detects its violation and accepts a correct history."""

from __future__ import annotations

import pytest

from bench.soak.checks import Guarantees, check_all
from bench.soak.history import (
    Answer,
    Arrival,
    Attempt,
    Execution,
    History,
    Interval,
    Notice,
    ReplicaAnswer,
    Revision,
    Withdrawal,
)

SHARDS = ("s0", "s1")
REVERTED = Revision(3, 40.0, 40.0, {"/find/": SHARDS, "/one/": ("desk",)})
MOVED = Revision(2, 20.0, 20.0, {"/find/": SHARDS, "/one/": ("till",)})


def correct_history() -> History:
    """Return a history without violations."""
    history = History()
    allowed = {"/find/": SHARDS, "/one/": ("desk",), "/order/": ("till",)}
    history.revisions.append(Revision(1, 0.0, 0.0, allowed))
    for number in range(3):
        add_search(history, f"r{number}", 10.0 + number)
    add_single(history, "one", "desk", 11.0)
    add_single(history, "order", "till", 12.0)
    return history


def add_search(history: History, request: str, at: float) -> Attempt:
    """Add a search that both shards answered."""
    attempt = make_attempt(request, "search", at)
    bodies = [bytes([65 + place]) * 16 for place in range(len(SHARDS))]
    for shard, body in zip(SHARDS, bodies, strict=True):
        add_execution(history, attempt, shard, at + 0.01)
        signature = f"{request}.i-{shard}"
        history.replica_answers[signature] = ReplicaAnswer(
            signature, shard, f"i-{shard}", body
        )
    headers = {
        "x-part-stamps": ", ".join(f"{request}.i-{shard}" for shard in SHARDS),
        "x-missing-parts": "0",
    }
    end(attempt, Answer(200, headers, bodies[1] + bodies[0], at + 0.05))
    history.attempts[request] = attempt
    return attempt


def add_single(history: History, kind: str, service: str, at: float) -> Attempt:
    """Add a request that one replica answered."""
    attempt = make_attempt(kind, kind, at)
    add_execution(history, attempt, service, at + 0.01)
    signature = f"{kind}.i-{service}"
    history.replica_answers[signature] = ReplicaAnswer(
        signature, service, f"i-{service}", b"told"
    )
    answer = Answer(200, {"x-server-stamp": signature}, b"told", at + 0.05)
    end(attempt, answer)
    history.attempts[kind] = attempt
    return attempt


def make_attempt(request: str, kind: str, at: float) -> Attempt:
    """Return a request without an answer."""
    prefix = {"search": "/find/", "one": "/one/", "order": "/order/"}[kind]
    return Attempt(request, kind, "g-0", 1, "GET", f"{prefix}1?q=1", b"", 2.0, at)


def add_execution(
    history: History, attempt: Attempt, service: str, at: float, replica: str = ""
) -> None:
    """Add an execution by a replica."""
    history.executions.append(
        Execution(
            attempt.request,
            replica or f"i-{service}",
            service,
            at,
            attempt.method,
            attempt.target,
            attempt.body,
            1000.0,
        )
    )


def end(attempt: Attempt, answer: Answer) -> None:
    """End a request with an answer."""
    attempt.end = "answered"
    attempt.ended_at = answer.at
    attempt.answer = answer


def missing_record(history: History) -> None:
    """Leave a record out of a merged answer."""
    attempt = history.attempts["r0"]
    assert attempt.answer is not None
    attempt.answer = attempt.answer._replace(body=attempt.answer.body[:16])


def foreign_part(history: History) -> None:
    """Name a part that belongs to another request."""
    answer = history.attempts["r0"].answer
    assert answer is not None
    answer.headers["x-part-stamps"] = "r0.i-s0, r1.i-s1"


def duplicate_part(history: History) -> None:
    """Name two parts of the same shard."""
    history.replica_answers["r0.other"] = ReplicaAnswer(
        "r0.other", "s0", "i-other", b""
    )
    answer = history.attempts["r0"].answer
    assert answer is not None
    answer.headers["x-part-stamps"] = "r0.i-s0, r0.other"


def unreported_missing_shard(history: History) -> None:
    """Omit a shard without reporting it as missing."""
    answer = history.attempts["r0"].answer
    assert answer is not None
    answer.headers["x-part-stamps"] = "r0.i-s0"


def foreign_answer(history: History) -> None:
    """Name the answer to another request."""
    answer = history.attempts["one"].answer
    assert answer is not None
    answer.headers["x-server-stamp"] = "order.i-till"


def unrequested_execution(history: History) -> None:
    """Execute a request that no caller sent."""
    unsent = make_attempt("ghost", "one", 12.0)
    add_execution(history, unsent, "desk", 12.0)


def order_executed_twice(history: History) -> None:
    """Execute an order at two replicas."""
    add_execution(history, history.attempts["order"], "till", 12.5, "i-till-2")


def false_refusal(history: History) -> None:
    """Refuse an order that was executed."""
    end(history.attempts["order"], Answer(503, {}, b"", 12.1))


def too_many_attempts(history: History) -> None:
    """Execute a search at three replicas of a shard."""
    for replica in ("i-x", "i-y"):
        add_execution(history, history.attempts["r0"], "s0", 10.2, replica)


def retry_budget_exceeded(history: History) -> None:
    """Exceed the retry budget, with one repeat for each request."""
    for number in range(100):
        attempt = add_search(history, f"more-{number}", 14.0)
        add_execution(history, attempt, "s0", 14.2, "i-x")


def request_after_drain(history: History) -> None:
    """Send a request to a replica long after it began to drain."""
    history.draining.append(Withdrawal("i-desk", 5.0, 1e9))


def request_after_evacuation(history: History) -> None:
    """Send a request to a data centre long after its evacuation."""
    history.evacuated.append(Withdrawal("i-desk", 4.0, 100.0))


def request_after_restore(history: History) -> None:
    """Send a request to a drained replica when the store is back with an old copy."""
    history.draining.append(Withdrawal("i-desk", 5.0, 1e9))
    history.restores.append(Interval("store", 10.5, 15.0))
    history.record_disturbance("store", 10.5, 15.0)


def cold_start_limit_exceeded(history: History) -> None:
    """Exceed the request rate limit of a replica in its cold start."""
    history.cold_starts.append(Interval("i-desk", 30.0, 32.0))
    for number in range(9):
        add_single(history, "one", "desk", 30.5 + 0.1 * number)


def outdated_version(history: History) -> None:
    """Route a request by an outdated version."""
    history.revisions.append(MOVED)
    add_single(history, "one", "desk", 30.0)


def version_reverted(history: History) -> None:
    """Route a request by a new version and a later one by the old version."""
    history.revisions.append(MOVED)
    attempt = add_single(history, "one", "till", 21.0)
    history.attempts["later"] = make_attempt("later", "one", 22.0)
    add_execution(history, history.attempts["later"], "desk", 22.01)
    assert attempt.gateway == history.attempts["later"].gateway


def disallowed_service(history: History) -> None:
    """Send a request to a service that no version allows for it."""
    add_execution(history, history.attempts["one"], "s0", 11.02)


def route_timeout_exceeded(history: History) -> None:
    """Leave requests without an answer beyond the timeout of their route."""
    for number in range(10):
        attempt = make_attempt(f"held-{number}", "one", 30.0)
        attempt.timeout_s, attempt.end, attempt.ended_at = 9.0, "expired", 39.0
        history.attempts[attempt.request] = attempt


def request_aborted_by_stop(history: History) -> None:
    """Close a connection with a request in flight during a planned stop."""
    attempt = make_attempt("cut", "one", 30.5)
    add_execution(history, attempt, "desk", 30.51)
    attempt.end, attempt.ended_at = "closed", 30.6
    history.attempts["cut"] = attempt
    history.planned_stops.append(Interval("g-0", 30.0, 36.0))


def no_recovery(history: History) -> None:
    """Fail most requests after the last fault."""
    history.recovered_at = 50.0
    for number in range(10):
        attempt = make_attempt(f"late-{number}", "one", 51.0)
        end(attempt, Answer(503, {}, b"", 51.1))
        history.attempts[attempt.request] = attempt


VIOLATIONS = {
    missing_record: "whole answer",
    foreign_part: "whole answer",
    duplicate_part: "whole answer",
    unreported_missing_shard: "whole answer",
    foreign_answer: "whole answer",
    unrequested_execution: "asked for",
    order_executed_twice: "at most once",
    false_refusal: "true refusal",
    too_many_attempts: "attempts",
    retry_budget_exceeded: "budget",
    request_after_drain: "drain",
    request_after_evacuation: "evacuation",
    request_after_restore: "restore",
    cold_start_limit_exceeded: "cold",
    outdated_version: "configuration",
    version_reverted: "never back",
    disallowed_service: "routing",
    route_timeout_exceeded: "timeout",
    request_aborted_by_stop: "graceful stop",
    no_recovery: "recovery",
}


class TestChecks:
    def test_correct_history_has_no_violation(self) -> None:
        assert check_all(correct_history(), Guarantees()) == []

    @pytest.mark.parametrize("fault", VIOLATIONS, ids=lambda fault: fault.__name__)
    def test_violation_is_detected(self, fault: object) -> None:
        history = correct_history()
        assert callable(fault)
        fault(history)
        found = {violation.guarantee for violation in check_all(history, Guarantees())}
        assert VIOLATIONS[fault] in found

    def test_late_hedge_of_an_older_version_proves_no_newer_version(self) -> None:
        history = correct_history()
        history.revisions.append(MOVED)
        history.revisions.append(REVERTED)
        early = make_attempt("early", "one", 19.99)
        history.attempts["early"] = early
        add_single(history, "one", "till", 20.5)
        add_execution(history, early, "desk", 20.6)
        later = make_attempt("later", "one", 21.0)
        history.attempts["later"] = later
        add_execution(history, later, "till", 21.01)
        assert check_all(history, Guarantees()) == []

    def test_version_not_yet_sent_allows_nothing(self) -> None:
        history = correct_history()
        history.revisions.append(MOVED)
        add_execution(history, history.attempts["one"], "till", 11.5)
        found = [violation.guarantee for violation in check_all(history, Guarantees())]
        assert found == ["routing"]

    def test_executions_by_a_disturbed_gateway_are_not_checked(self) -> None:
        history = correct_history()
        request_after_drain(history)
        history.record_disturbance("g-0", 8.0, 9.0)
        assert check_all(history, Guarantees()) == []

    def test_a_withdrawal_right_before_a_restore_is_not_checked(self) -> None:
        """The store may lose it before the gateways have it."""
        history = correct_history()
        request_after_restore(history)
        history.draining[0] = history.draining[0]._replace(acked_at=8.0)
        assert check_all(history, Guarantees()) == []


def notice_history(notice: Notice, arrivals: list[float]) -> History:
    """Return a history with a notice and later requests to the same replica."""
    history = correct_history()
    told = make_attempt("told", "one", notice.at - 0.01)
    history.attempts["told"] = told
    history.notices.append(notice)
    for number, at in enumerate(arrivals):
        request = f"later-{number}"
        history.attempts[request] = make_attempt(request, "one", at - 0.01)
        history.arrivals.append(Arrival(request, notice.replica, at))
    return history


def violated(history: History) -> set[str]:
    """Return the guarantees of notices that are violated."""
    found = {one.guarantee for one in check_all(history, Guarantees())}
    return found & {"leaving", "pause", "limit"}


class TestNotices:
    def test_request_to_a_leaving_replica_is_detected(self) -> None:
        notice = Notice("leaving", "i-1", "told", 50.0, 0.0)
        assert violated(notice_history(notice, [51.0, 52.9])) == set()
        assert violated(notice_history(notice, [53.5])) == {"leaving"}

    def test_requests_in_a_pause_are_detected(self) -> None:
        notice = Notice("pause", "i-1", "told", 50.0, 1.5)
        assert violated(notice_history(notice, [50.3, 50.4, 50.4, 51.6])) == set()
        assert violated(notice_history(notice, [50.6, 50.7, 50.8])) == {"pause"}

    def test_more_than_the_limit_is_detected(self) -> None:
        notice = Notice("limit", "i-1", "told", 50.0, 2.0)
        for count, expected in ((17, set()), (18, {"limit"})):
            history = notice_history(notice, [55.0 + 0.1 * n for n in range(count)])
            history.notices.append(notice._replace(at=60.0))
            assert violated(history) == expected

    def test_time_without_a_limit_between_two_is_not_judged(self) -> None:
        notice = Notice("limit", "i-1", "told", 50.0, 2.0, 1)
        history = notice_history(notice, [60.0 + 0.1 * n for n in range(30)])
        history.notices.append(notice._replace(at=55.0))
        again = notice._replace(at=70.0, period=3)
        history.notices += [again, again._replace(at=80.0)]
        assert violated(history) == set()
        more = notice_history(notice, [75.0 + 0.1 * n for n in range(18)])
        more.notices += history.notices
        assert violated(more) == {"limit"}

    def test_restarted_gateway_is_excused(self) -> None:
        notice = Notice("leaving", "i-1", "told", 50.0, 0.0)
        history = notice_history(notice, [54.0])
        history.attempts["later-0"].incarnation += 1
        assert violated(history) == set()
