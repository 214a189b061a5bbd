"""Checks of rollouts, by what replicas, callers and the status show."""

from __future__ import annotations

from collections.abc import Iterator

from bench.soak.history import Arrival, History, RolloutRecord
from bench.soak.violation import Guarantees, Violation

__all__ = ["check_rollouts"]

GOOD = "good"
CLEARLY_BAD_ANSWERS = 50


def check_rollouts(history: History, guarantees: Guarantees) -> Iterator[Violation]:
    """Check the share, the roll back, the decision and the drain of each rollout."""
    for record in history.rollouts:
        yield from check_share(history, guarantees, record)
        yield from check_roll_back(history, guarantees, record)
        yield from check_decision(history, record)
        yield from check_drained(history, guarantees, record)


def arrivals_at(history: History, names: list[str]) -> list[Arrival]:
    """Return the requests that reached some replicas, by time."""
    found = [one for one in history.arrivals if one.replica in names]
    return sorted(found, key=lambda arrival: arrival.at)


def check_share(
    history: History, guarantees: Guarantees, record: RolloutRecord
) -> Iterator[Violation]:
    """Check the new version's share from the order until it is found good."""
    until = min(record.deadline_at, record.found_good_at or record.deadline_at)
    new = total = 0
    for arrival in arrivals_at(history, [*record.old, *record.new]):
        if not record.ordered_at <= arrival.at < until:
            continue
        total += 1
        new += arrival.replica in record.new
        if new > guarantees.canary_share * total + guarantees.canary_slack:
            detail = f"{new} of {total} requests at the new version"
            yield Violation("canary share", arrival.request, detail)
            return


def check_roll_back(
    history: History, guarantees: Guarantees, record: RolloutRecord
) -> Iterator[Violation]:
    """Check that a bad version gets nothing later than the bound."""
    if record.defect == GOOD or len(record.bad_answers) < CLEARLY_BAD_ANSWERS:
        return
    bound = record.bad_answers[CLEARLY_BAD_ANSWERS - 1] + guarantees.rollback_s
    late = [one for one in arrivals_at(history, record.new) if one.at > bound]
    if late:
        detail = f"{len(late)} requests, the last {late[-1].at - bound:.2f} s late"
        yield Violation("roll back", late[0].request, detail)


def check_decision(history: History, record: RolloutRecord) -> Iterator[Violation]:
    """Check that the decision is right, in time, and final."""
    expected = "completed" if record.defect == GOOD else "rolled_back"
    if record.decision != expected:
        detail = f"{record.defect}: {record.decision or 'undecided'}"
        yield Violation("rollout", record.service, detail)
    elif record.decision == "completed" and record.decided_at > record.deadline_at:
        late_s = record.decided_at - record.deadline_at
        yield Violation("rollout", record.service, f"completed {late_s:.1f} s late")
    if record.later_decision:
        detail = f"{record.later_decision} after {record.decision}"
        yield Violation("rollout", record.service, detail)


def check_drained(
    history: History, guarantees: Guarantees, record: RolloutRecord
) -> Iterator[Violation]:
    """Check that nothing ran at the old replicas when the rollout was completed."""
    since = record.decided_at - guarantees.stability_s
    names = ("store", *history.forwarders)
    calm = history.is_undisturbed(names, since, record.decided_at)
    if record.at_old_when_completed and calm:
        detail = f"{record.at_old_when_completed} requests at old replicas"
        yield Violation("drained", record.service, detail)
