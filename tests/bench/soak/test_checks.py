"""Each check of the soak finds what it is there for, and nothing in a good history."""

from __future__ import annotations

import pytest

from bench.soak.checks import Guarantees, check_all
from bench.soak.history import (
    Answer,
    Attempt,
    Execution,
    History,
    Interval,
    ReplicaAnswer,
    Revision,
    Withdrawal,
)

SHARDS = ("s0", "s1")
BACK = Revision(3, 40.0, 40.0, {"/find/": SHARDS, "/one/": ("desk",)})
MOVED = Revision(2, 20.0, 20.0, {"/find/": SHARDS, "/one/": ("till",)})


def good_history() -> History:
    """Make a history in which all is well."""
    history = History()
    allowed = {"/find/": SHARDS, "/one/": ("desk",), "/order/": ("till",)}
    history.revisions.append(Revision(1, 0.0, 0.0, allowed))
    for number in range(3):
        add_search(history, f"r{number}", 10.0 + number)
    add_single(history, "one", "desk", 11.0)
    add_single(history, "order", "till", 12.0)
    return history


def add_search(history: History, request: str, at: float) -> Attempt:
    """Add a search with both parts in."""
    attempt = make_attempt(request, "search", at)
    bodies = [bytes([65 + place]) * 16 for place in range(len(SHARDS))]
    for shard, body in zip(SHARDS, bodies, strict=True):
        add_run(history, attempt, shard, at + 0.01)
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
    """Add a request to one replica."""
    attempt = make_attempt(kind, kind, at)
    add_run(history, attempt, service, at + 0.01)
    signature = f"{kind}.i-{service}"
    history.replica_answers[signature] = ReplicaAnswer(
        signature, service, f"i-{service}", b"told"
    )
    answer = Answer(200, {"x-server-stamp": signature}, b"told", at + 0.05)
    end(attempt, answer)
    history.attempts[kind] = attempt
    return attempt


def make_attempt(request: str, kind: str, at: float) -> Attempt:
    """Make a request that has just been sent."""
    prefix = {"search": "/find/", "one": "/one/", "order": "/order/"}[kind]
    return Attempt(request, kind, "g-0", 1, "GET", f"{prefix}1?q=1", b"", 2.0, at)


def add_run(
    history: History, attempt: Attempt, service: str, at: float, replica: str = ""
) -> None:
    """Add the work of a replica."""
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


def wrong_record(history: History) -> None:
    """Leave a record out of a merged answer."""
    attempt = history.attempts["r0"]
    assert attempt.answer is not None
    attempt.answer = attempt.answer._replace(body=attempt.answer.body[:16])


def foreign_part(history: History) -> None:
    """Take in a part of another request."""
    answer = history.attempts["r0"].answer
    assert answer is not None
    answer.headers["x-part-stamps"] = "r0.i-s0, r1.i-s1"


def doubled_part(history: History) -> None:
    """Take in two parts of one shard."""
    history.replica_answers["r0.other"] = ReplicaAnswer(
        "r0.other", "s0", "i-other", b""
    )
    answer = history.attempts["r0"].answer
    assert answer is not None
    answer.headers["x-part-stamps"] = "r0.i-s0, r0.other"


def false_coverage(history: History) -> None:
    """Leave out a shard without saying so."""
    answer = history.attempts["r0"].answer
    assert answer is not None
    answer.headers["x-part-stamps"] = "r0.i-s0"


def other_answer(history: History) -> None:
    """Answer with bytes of another request."""
    answer = history.attempts["one"].answer
    assert answer is not None
    answer.headers["x-server-stamp"] = "order.i-till"


def unknown_run(history: History) -> None:
    """Run what nobody sent."""
    ghost = make_attempt("ghost", "one", 12.0)
    add_run(history, ghost, "desk", 12.0)


def order_twice(history: History) -> None:
    """Run an order at two replicas."""
    add_run(history, history.attempts["order"], "till", 12.5, "i-till-2")


def false_refusal(history: History) -> None:
    """Refuse an order that ran."""
    end(history.attempts["order"], Answer(503, {}, b"", 12.1))


def too_many_attempts(history: History) -> None:
    """Run a search at three replicas of a shard."""
    for replica in ("i-x", "i-y"):
        add_run(history, history.attempts["r0"], "s0", 10.2, replica)


def too_many_repeats(history: History) -> None:
    """Repeat far beyond the budget, each request once."""
    for number in range(100):
        attempt = add_search(history, f"more-{number}", 14.0)
        add_run(history, attempt, "s0", 14.2, "i-x")


def work_after_drain(history: History) -> None:
    """Send work to a replica long after it drained."""
    history.draining.append(Withdrawal("i-desk", 5.0, 1e9))


def work_after_evacuation(history: History) -> None:
    """Send work to a data centre long after it was taken out."""
    history.evacuated.append(Withdrawal("i-desk", 4.0, 100.0))


def cold_replica_overrun(history: History) -> None:
    """Send a replica more in a second of its cold start than it bears."""
    history.cold_starts.append(Interval("i-desk", 30.0, 32.0))
    for number in range(9):
        add_single(history, "one", "desk", 30.5 + 0.1 * number)


def old_version(history: History) -> None:
    """Handle a request as an old version says."""
    history.revisions.append(MOVED)
    add_single(history, "one", "desk", 30.0)


def version_taken_back(history: History) -> None:
    """Handle requests by a new version and then by the old one."""
    history.revisions.append(MOVED)
    attempt = add_single(history, "one", "till", 21.0)
    history.attempts["later"] = make_attempt("later", "one", 22.0)
    add_run(history, history.attempts["later"], "desk", 22.01)
    assert attempt.gateway == history.attempts["later"].gateway


def never_allowed(history: History) -> None:
    """Send a request to a service that no version names for it."""
    add_run(history, history.attempts["one"], "s0", 11.02)


def held_too_long(history: History) -> None:
    """Hold requests far beyond the timeout of their route."""
    for number in range(10):
        attempt = make_attempt(f"held-{number}", "one", 30.0)
        attempt.timeout_s, attempt.end, attempt.ended_at = 9.0, "expired", 39.0
        history.attempts[attempt.request] = attempt


def cut_by_a_stop(history: History) -> None:
    """End a connection with a request at work during a planned stop."""
    attempt = make_attempt("cut", "one", 30.5)
    add_run(history, attempt, "desk", 30.51)
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


FAULTS = {
    wrong_record: "whole answer",
    foreign_part: "whole answer",
    doubled_part: "whole answer",
    false_coverage: "whole answer",
    other_answer: "whole answer",
    unknown_run: "asked for",
    order_twice: "at most once",
    false_refusal: "true refusal",
    too_many_attempts: "attempts",
    too_many_repeats: "budget",
    work_after_drain: "drain",
    work_after_evacuation: "evacuation",
    cold_replica_overrun: "cold",
    old_version: "configuration",
    version_taken_back: "never back",
    never_allowed: "routing",
    held_too_long: "timeout",
    cut_by_a_stop: "graceful stop",
    no_recovery: "recovery",
}


class TestChecks:
    def test_a_good_history_has_no_violation(self) -> None:
        assert check_all(good_history(), Guarantees()) == []

    @pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
    def test_a_fault_is_found(self, fault: object) -> None:
        history = good_history()
        assert callable(fault)
        fault(history)
        found = {violation.guarantee for violation in check_all(history, Guarantees())}
        assert FAULTS[fault] in found

    def test_a_late_hedge_of_an_older_version_proves_no_newer_one(self) -> None:
        history = good_history()
        history.revisions.append(MOVED)
        history.revisions.append(BACK)
        early = make_attempt("early", "one", 19.99)
        history.attempts["early"] = early
        add_single(history, "one", "till", 20.5)
        add_run(history, early, "desk", 20.6)
        later = make_attempt("later", "one", 21.0)
        history.attempts["later"] = later
        add_run(history, later, "till", 21.01)
        assert check_all(history, Guarantees()) == []

    def test_a_version_that_was_not_sent_yet_allows_nothing(self) -> None:
        history = good_history()
        history.revisions.append(MOVED)
        add_run(history, history.attempts["one"], "till", 11.5)
        found = [violation.guarantee for violation in check_all(history, Guarantees())]
        assert found == ["routing"]

    def test_what_happens_while_a_gateway_is_disturbed_is_not_judged(self) -> None:
        history = good_history()
        work_after_drain(history)
        history.record_disturbance("g-0", 8.0, 9.0)
        assert check_all(history, Guarantees()) == []
