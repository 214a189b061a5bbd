"""Checks a recorded history against the guarantees of sardinehook.

The checks use no code of sardinehook. Each one takes a history sorted by time and
returns the violations of one rule.
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


class CompleteReplies(NamedTuple):
    """The complete replies of targets, by request and service."""

    by_service: dict[tuple[str, str], list[TargetEnded]]

    def matching(self, answer: CallerAnswered, service: str) -> list[TargetEnded]:
        """Return a service's replies before the answer that match its snapshot."""
        replies = self.by_service.get((answer.request, service), [])
        return [
            reply
            for reply in replies
            if reply.at <= answer.at and matches_snapshot(answer, reply)
        ]


def matches_snapshot(answer: CallerAnswered, reply: TargetEnded) -> bool:
    """Return whether a target served the snapshot that an answer reports."""
    return answer.snapshots.get(reply.index) == reply.snapshot


def complete_replies(history: History) -> CompleteReplies:
    """Collect the complete replies of targets."""
    by_service: dict[tuple[str, str], list[TargetEnded]] = defaultdict(list)
    for reply in select(history, TargetEnded):
        if reply.whole:
            by_service[reply.request, reply.service].append(reply)
    return CompleteReplies(by_service)


def search_answers(history: History) -> list[CallerAnswered]:
    """Return the successful answers to searches."""
    orders = {sent.request for sent in select(history, CallerSent) if sent.order_key}
    return [
        answer
        for answer in select(history, CallerAnswered)
        if answer.told is CallerOutcome.ANSWERED and answer.request not in orders
    ]


def check_at_most_once(history: History) -> list[Violation]:
    """Check that work on an order key began at most once over all targets."""
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
    """Check that no request refused as "not run" began at a target.

    Work that begins after the refusal is a violation as well.
    """
    began = {event.request: event for event in select(history, TargetBegan)}
    return [
        Violation("not_run", answer.at, answer.request, f"ran at {event.target}")
        for answer in select(history, CallerAnswered)
        if answer.told is CallerOutcome.NOT_RUN
        and (event := began.get(answer.request)) is not None
    ]


def check_one_snapshot(history: History) -> list[Violation]:
    """Check that each service reported as answered served the answer's snapshot."""
    replies = complete_replies(history)
    violations = []
    for answer in search_answers(history):
        for service in answer.answered:
            served = replies.by_service.get((answer.request, service), [])
            if served and not any(matches_snapshot(answer, reply) for reply in served):
                detail = f"{service} served {served[0].snapshot}"
                violations.append(
                    Violation("one_snapshot", answer.at, answer.request, detail)
                )
    return violations


def check_coverage(history: History) -> list[Violation]:
    """Check that coverage is the ratio of services that actually served.

    Each service reported as answered needs a complete reply of a target to this
    request, with the answer's snapshot, before the answer. The answer must have no
    record that is in none of these replies, and must lack none unless truncated.
    """
    replies = complete_replies(history)
    violations = []
    for answer in search_answers(history):
        for detail in find_coverage_errors(answer, replies):
            violations.append(Violation("coverage", answer.at, answer.request, detail))
    return violations


def find_coverage_errors(answer: CallerAnswered, replies: CompleteReplies) -> list[str]:
    """Return the errors in the coverage that an answer reports."""
    errors = []
    asked = len(answer.answered) + len(answer.missing)
    actual_coverage = len(answer.answered) / asked if asked else 0.0
    if abs(actual_coverage - answer.coverage) > COVERAGE_TOLERANCE:
        errors.append(
            f"reports coverage {answer.coverage}, its lists give {actual_coverage}"
        )
    if len(set(answer.answered + answer.missing)) != asked:
        errors.append("a service is listed more than once")
    served = {service: replies.matching(answer, service) for service in answer.answered}
    errors += [
        f"{service} is reported as answered but did not serve"
        for service in served
        if not served[service]
    ]
    return errors + find_record_errors(answer, served)


def find_record_errors(
    answer: CallerAnswered, served: dict[str, list[TargetEnded]]
) -> list[str]:
    """Return how an answer's records differ from those that targets served.

    Returns nothing if a target did not record the ids that it served.
    """
    known: set[str] = set()
    for replies in served.values():
        for reply in replies:
            if reply.records is None:
                return []
            known.update(reply.records)
    errors = []
    unexpected = set(answer.records) - known
    if unexpected:
        errors.append(
            f"record {min(unexpected)} was served by no service reported as answered"
        )
    expected: set[str] = set()
    for replies in served.values():
        if replies:
            expected |= set.intersection(
                *(set(reply.records or ()) for reply in replies)
            )
    absent = expected - set(answer.records)
    if absent and not answer.truncated:
        errors.append(
            f"record {min(absent)} is missing from an answer that is not truncated"
        )
    return errors


def check_no_duplicate_records(history: History) -> list[Violation]:
    """Check that no answer contains a record more than once."""
    violations = []
    for answer in search_answers(history):
        counts = Counter(answer.records)
        violations += [
            Violation("no_record_doubled", answer.at, answer.request, record)
            for record, count in counts.items()
            if count > 1
        ]
    return violations


def check_own_answer(history: History) -> list[Violation]:
    """Check that each request got one answer, after it was sent, with its own id."""
    rule = "own_answer"
    sent = {event.request: event.at for event in select(history, CallerSent)}
    answers: Counter[str] = Counter()
    violations = []
    for answer in select(history, CallerAnswered):
        answers[answer.request] += 1
        sent_at = sent.get(answer.request)
        if sent_at is None or sent_at > answer.at:
            detail = "no request was sent before the answer"
            violations.append(Violation(rule, answer.at, answer.request, detail))
        if answer.echoed_request != answer.request:
            detail = f"answer has the request id {answer.echoed_request!r}"
            violations.append(Violation(rule, answer.at, answer.request, detail))
        if answers[answer.request] == 2:
            detail = "answered more than once"
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
    """Run every check and return the violations sorted by time."""
    violations = [violation for check in CHECKS for violation in check(history)]
    return sorted(violations, key=lambda violation: violation.at)
