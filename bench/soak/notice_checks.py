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
    """Check that all gateways together keep to a limit while a replica states it."""
    periods: dict[tuple[str, int], list[tuple[Notice, Sender]]] = defaultdict(list)
    for notice, sender in told(history, "limit"):
        periods[notice.replica, notice.period].append((notice, sender))
    grouped = arrivals_by_sender(history)
    for (replica, _), stated in periods.items():
        told_at: dict[Sender, float] = {}
        for notice, sender in stated:
            told_at.setdefault(sender, notice.at)
        first, last = stated[0][0], stated[-1][0]
        times = [
            arrival.at
            for sender, since in told_at.items()
            for arrival in grouped.get((replica, sender), ())
            if max(since + TOLD_AFTER_S, first.at + guarantees.stability_s)
            <= arrival.at
            <= last.at
            and is_calm(history, guarantees, sender, arrival.at)
        ]
        allowed = TOLERATED_RATIO * first.value * LIMIT_WINDOW_S + TOLERATED_REQUESTS
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
