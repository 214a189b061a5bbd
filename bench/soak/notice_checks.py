"""Checks of what gateways do after replicas said that they leave, pause or limit."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from bench.soak.history import Arrival, Attempt, History, Notice
from bench.soak.violation import Guarantees, Violation

__all__ = ["check_leaving", "check_limits", "check_pauses"]

TOLD_AFTER_S = 0.5  # from an answer until its gateway has to keep to it
LIMIT_WINDOW_S = 4.0
TOLERATED_RATIO = 1.5
TOLERATED_REQUESTS = 5
REQUESTS_IN_PAUSE = 2

Sender = tuple[str, int]
"""A gateway and its incarnation."""


def sender_of(history: History, request: str) -> Sender | None:
    """Return who sent a request, if no other gateway may have sent it instead."""
    attempt: Attempt | None = history.attempts.get(request)
    if attempt is None or history.has_delegates:
        return None
    return attempt.gateway, attempt.incarnation


def arrivals_by_sender(history: History) -> dict[tuple[str, Sender], list[Arrival]]:
    """Group the arrivals at each replica by their sender."""
    grouped: dict[tuple[str, Sender], list[Arrival]] = defaultdict(list)
    for arrival in history.arrivals:
        sender = sender_of(history, arrival.request)
        if sender is not None:
            grouped[arrival.replica, sender].append(arrival)
    return grouped


def is_calm(
    history: History, guarantees: Guarantees, sender: Sender, at: float
) -> bool:
    """Return whether a gateway was undisturbed for the time that bounds need."""
    return history.is_undisturbed((sender[0],), at - guarantees.stability_s, at)


def check_leaving(history: History, guarantees: Guarantees) -> Iterator[Violation]:
    """Check that a replica that says that it leaves gets no later requests."""
    grouped = arrivals_by_sender(history)
    for notice, sender in told(history, "leaving"):
        due_at = notice.at + guarantees.drain_s
        for arrival in grouped.get((notice.replica, sender), ()):
            sent_at = history.attempts[arrival.request].sent_at
            if sent_at > due_at and is_calm(history, guarantees, sender, arrival.at):
                detail = f"{arrival.at - notice.at:.2f} s after {notice.replica} left"
                yield Violation("leaving", arrival.request, detail)


def check_pauses(history: History, guarantees: Guarantees) -> Iterator[Violation]:
    """Check that a replica that asked for a pause is left alone meanwhile."""
    grouped = arrivals_by_sender(history)
    for notice, sender in told(history, "pause"):
        start, end = notice.at + TOLD_AFTER_S, notice.at + notice.value
        during = [
            arrival
            for arrival in grouped.get((notice.replica, sender), ())
            if start < arrival.at < end
        ]
        calm = is_calm(history, guarantees, sender, end)
        if calm and len(during) > REQUESTS_IN_PAUSE:
            detail = f"{len(during)} requests in a pause of {notice.value:g} s"
            yield Violation("pause", during[0].request, f"{notice.replica}: {detail}")


def check_limits(history: History, guarantees: Guarantees) -> Iterator[Violation]:
    """Check that all gateways together keep to the limit that a replica states."""
    told_at: dict[tuple[str, Sender], float] = {}
    stated: dict[str, list[Notice]] = defaultdict(list)
    for notice, sender in told(history, "limit"):
        told_at.setdefault((notice.replica, sender), notice.at)
        stated[notice.replica].append(notice)
    counted: dict[str, list[float]] = defaultdict(list)
    for (replica, sender), arrivals in arrivals_by_sender(history).items():
        since = told_at.get((replica, sender), float("inf")) + TOLD_AFTER_S
        counted[replica].extend(
            arrival.at
            for arrival in arrivals
            if arrival.at > since and is_calm(history, guarantees, sender, arrival.at)
        )
    for replica, notices in stated.items():
        first = notices[0].at + guarantees.stability_s
        allowed = TOLERATED_RATIO * notices[0].value * LIMIT_WINDOW_S
        allowed += TOLERATED_REQUESTS
        times = [at for at in counted[replica] if first <= at <= notices[-1].at]
        for start in times:
            count = sum(start <= at < start + LIMIT_WINDOW_S for at in times)
            if count > allowed:
                detail = f"{replica} got {count} requests, allowed {allowed:.0f}"
                yield Violation("limit", "", detail)
                break


def told(history: History, kind: str) -> Iterator[tuple[Notice, Sender]]:
    """Return the notices of a kind, each with the gateway that got the answer."""
    for notice in history.notices:
        sender = sender_of(history, notice.request)
        if notice.kind == kind and sender is not None:
            yield notice, sender
