"""Decides from a history whether the promises of the product held.

Nothing here uses the product's code. Each check takes a history in the order of
time and returns its violations, none if the rule held.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable
from typing import NamedTuple

from bench.history import (
    CallerAnswered,
    CallerOutcome,
    CallerSent,
    TargetBegan,
    TargetEnded,
    select,
)
from bench.load_checks import (
    check_configuration,
    check_stopped_targets,
    check_target_limits,
)
from bench.violation import History, Violation

__all__ = [
    "CHECKS",
    "check_all",
    "check_at_most_once",
    "check_coverage",
    "check_no_duplicate_records",
    "check_not_run",
    "check_one_snapshot",
    "check_own_answer",
]

COVERAGE_TOLERANCE = 1e-6


class Ends(NamedTuple):
    """The whole replies of targets for each request and service."""

    by_service: dict[tuple[str, str], list[TargetEnded]]

    def of(self, answer: CallerAnswered, service: str) -> list[TargetEnded]:
        """Return the whole replies of a service until the answer, of its snapshot."""
        ends = self.by_service.get((answer.request, service), [])
        return [end for end in ends if end.at <= answer.at and of_snapshot(answer, end)]


def of_snapshot(answer: CallerAnswered, end: TargetEnded) -> bool:
    """Tell whether a target served the snapshot that an answer states."""
    return answer.snapshots.get(end.index) == end.snapshot


def whole_ends(history: History) -> Ends:
    """Collect the whole replies of targets."""
    by_service: dict[tuple[str, str], list[TargetEnded]] = defaultdict(list)
    for end in select(history, TargetEnded):
        if end.whole:
            by_service[end.request, end.service].append(end)
    return Ends(by_service)


def searches(history: History) -> list[CallerAnswered]:
    """Return the answers to searches."""
    orders = {sent.request for sent in select(history, CallerSent) if sent.order_key}
    return [
        answer
        for answer in select(history, CallerAnswered)
        if answer.told is CallerOutcome.ANSWERED and answer.request not in orders
    ]


def check_at_most_once(history: History) -> list[Violation]:
    """Check that no order key began at targets more than once."""
    began: Counter[str] = Counter()
    violations = []
    for event in select(history, TargetBegan):
        if not event.order_key:
            continue
        began[event.order_key] += 1
        if began[event.order_key] > 1:
            detail = f"began {began[event.order_key]} times, again at {event.target}"
            violations.append(
                Violation("at_most_once", event.at, event.order_key, detail)
            )
    return violations


def check_not_run(history: History) -> list[Violation]:
    """Check that no request refused "not run" began at a target, ever.

    Work that begins after the refusal breaks the promise as well.
    """
    began = {event.request: event for event in select(history, TargetBegan)}
    return [
        Violation("not_run", answer.at, answer.request, f"ran at {event.target}")
        for answer in select(history, CallerAnswered)
        if answer.told is CallerOutcome.NOT_RUN
        and (event := began.get(answer.request)) is not None
    ]


def check_one_snapshot(history: History) -> list[Violation]:
    """Check that each service counted as answered served the answer's snapshot."""
    ends = whole_ends(history)
    violations = []
    for answer in searches(history):
        for service in answer.answered:
            served = ends.by_service.get((answer.request, service), [])
            if served and not any(of_snapshot(answer, end) for end in served):
                detail = f"{service} served {served[0].snapshot}"
                violations.append(
                    Violation("one_snapshot", answer.at, answer.request, detail)
                )
    return violations


def check_coverage(history: History) -> list[Violation]:
    """Check that coverage is the ratio of services that really served.

    Each service counted as answered needs a whole reply of a target to this
    request, of the answer's snapshot, before the answer; and no record may be
    there that none of these replies has, nor be lacking unless truncated.
    """
    ends = whole_ends(history)
    violations = []
    for answer in searches(history):
        for detail in coverage_faults(answer, ends):
            violations.append(Violation("coverage", answer.at, answer.request, detail))
    return violations


def coverage_faults(answer: CallerAnswered, ends: Ends) -> list[str]:
    """Return what is untrue in the coverage that an answer states."""
    faults = []
    asked = len(answer.answered) + len(answer.missing)
    true_coverage = len(answer.answered) / asked if asked else 0.0
    if abs(true_coverage - answer.coverage) > COVERAGE_TOLERANCE:
        faults.append(f"states {answer.coverage}, lists make {true_coverage}")
    if len(set(answer.answered + answer.missing)) != asked:
        faults.append("a service is listed twice")
    served = {service: ends.of(answer, service) for service in answer.answered}
    faults += [f"{service} did not serve" for service in served if not served[service]]
    return faults + record_faults(answer, served)


def record_faults(
    answer: CallerAnswered, served: dict[str, list[TargetEnded]]
) -> list[str]:
    """Return how an answer's records differ from those that targets served."""
    known: set[str] = set()
    for ends in served.values():
        for end in ends:
            if end.records is None:
                return []
            known.update(end.records)
    faults = []
    foreign = set(answer.records) - known
    if foreign:
        faults.append(f"no counted target served {min(foreign)}")
    certain: set[str] = set()
    for ends in served.values():
        if ends:
            certain |= set.intersection(*(set(end.records or ()) for end in ends))
    lacking = certain - set(answer.records)
    if lacking and not answer.truncated:
        faults.append(f"{min(lacking)} is lacking though counted")
    return faults


def check_no_duplicate_records(history: History) -> list[Violation]:
    """Check that no answer has a record twice."""
    violations = []
    for answer in searches(history):
        counts = Counter(answer.records)
        violations += [
            Violation("no_record_doubled", answer.at, answer.request, record)
            for record, count in counts.items()
            if count > 1
        ]
    return violations


def check_own_answer(history: History) -> list[Violation]:
    """Check that each request got one answer, after it was sent, and its own."""
    rule = "own_answer"
    sent = {event.request: event.at for event in select(history, CallerSent)}
    answers: Counter[str] = Counter()
    violations = []
    for answer in select(history, CallerAnswered):
        answers[answer.request] += 1
        sent_at = sent.get(answer.request)
        if sent_at is None or sent_at > answer.at:
            detail = "answered without having been sent"
            violations.append(Violation(rule, answer.at, answer.request, detail))
        if answer.echoed_request != answer.request:
            detail = f"carries the id {answer.echoed_request!r}"
            violations.append(Violation(rule, answer.at, answer.request, detail))
        if answers[answer.request] == 2:
            detail = "was answered twice"
            violations.append(Violation(rule, answer.at, answer.request, detail))
    return violations


CHECKS: tuple[Callable[[History], list[Violation]], ...] = (
    check_at_most_once,
    check_not_run,
    check_one_snapshot,
    check_coverage,
    check_no_duplicate_records,
    check_own_answer,
    check_target_limits,
    check_stopped_targets,
    check_configuration,
)


def check_all(history: History) -> list[Violation]:
    """Run every check and return the violations in the order of time."""
    violations = [violation for check in CHECKS for violation in check(history)]
    return sorted(violations, key=lambda violation: violation.at)
