"""Checks of a history: what targets and nodes were made to bear, and when."""

from __future__ import annotations

from collections import defaultdict
from typing import NamedTuple

from bench.history import (
    ConnectionClosed,
    ConnectionOpened,
    HistoryEvent,
    NodeDown,
    NodeUp,
    RevisionAccepted,
    RevisionInForce,
    TargetBegan,
    TargetEnded,
    TargetState,
    WorkAllowed,
    WorkStopped,
    select,
)
from bench.violation import History, Violation

__all__ = [
    "check_configuration",
    "check_stopped_targets",
    "check_target_limits",
]

STOP_BOUND_SECONDS = 5.0
IN_FORCE_BOUND_SECONDS = 11.0


class TargetLoad:
    """What a target bears at a moment, counted over all entry VMs."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.in_flight = 0
        self.connections = 0
        self.state: TargetState | None = None

    def violation(self, event: HistoryEvent) -> Violation | None:
        """Return what the event overran, if anything."""
        if self.state is None:
            return None
        if isinstance(event, TargetBegan) and self.in_flight > self.state.bound:
            rule = "cold_start" if self.state.cold else "slots"
            detail = f"{self.in_flight} in flight, bears {self.state.bound}"
            return Violation(rule, event.at, self.target, detail)
        too_many = self.connections > self.state.connections
        if isinstance(event, ConnectionOpened) and too_many:
            detail = f"{self.connections} open, takes {self.state.connections}"
            return Violation("connection_cap", event.at, self.target, detail)
        return None

    def apply(self, event: HistoryEvent) -> None:
        """Count an event."""
        match event:
            case TargetBegan():
                self.in_flight += 1
            case TargetEnded():
                self.in_flight -= 1
            case ConnectionOpened():
                self.connections += 1
            case ConnectionClosed():
                self.connections -= 1
            case TargetState():
                self.state = event


def check_target_limits(history: History) -> list[Violation]:
    """Check cold-start bounds, slots and connection caps over all entry VMs.

    Work and connections that a target has when its bound falls may end; only
    what comes on top breaks the rule.
    """
    loads: dict[str, TargetLoad] = {}
    violations = []
    for event in history:
        match event:
            case (
                TargetBegan(target=target)
                | TargetEnded(target=target)
                | TargetState(target=target)
                | ConnectionOpened(target=target)
                | ConnectionClosed(target=target)
            ):
                load = loads.setdefault(target, TargetLoad(target))
                load.apply(event)
                violation = load.violation(event)
                if violation is not None:
                    violations.append(violation)
    return violations


def check_stopped_targets(
    history: History, bound_seconds: float = STOP_BOUND_SECONDS
) -> list[Violation]:
    """Check that a leaving target, or one taken out, gets no new work after a bound."""
    stopped: dict[str, float] = {}
    violations = []
    for event in history:
        match event:
            case WorkStopped(target=target):
                stopped.setdefault(target, event.at)
            case WorkAllowed(target=target):
                stopped.pop(target, None)
            case TargetBegan(target=target) if target in stopped:
                late = event.at - stopped[target]
                if late > bound_seconds:
                    detail = f"began {event.request} {late:.3f} s after"
                    violations.append(
                        Violation("stopped_target", event.at, target, detail)
                    )
    return violations


def check_configuration(
    history: History, bound_seconds: float = IN_FORCE_BOUND_SECONDS
) -> list[Violation]:
    """Check that revisions never revert on a node and are in force in time.

    A node that was up and in touch from a revision's acceptance, or from its own
    later start, until the bound after that must have it, or a newer one, by then.
    """
    return reverts(history) + late_revisions(history, bound_seconds)


def reverts(history: History) -> list[Violation]:
    """Return each step of a node back to an older revision."""
    newest: dict[str, int] = {}
    violations = []
    for event in select(history, RevisionInForce):
        before = newest.get(event.node, event.revision)
        if event.revision < before:
            detail = f"{event.revision} after {before}"
            violations.append(
                Violation("configuration_reverts", event.at, event.node, detail)
            )
        newest[event.node] = max(before, event.revision)
    return violations


class UpTime(NamedTuple):
    """A time in which a node was up and in touch."""

    node: str
    start: float
    end: float


def up_times(history: History) -> list[UpTime]:
    """Return the times in which nodes were up, until the end of the history."""
    starts: dict[str, float] = {}
    times = []
    for event in history:
        match event:
            case NodeUp(node=node):
                starts[node] = event.at
            case NodeDown(node=node) if node in starts:
                times.append(UpTime(node, starts.pop(node), event.at))
    end = history[-1].at if history else 0.0
    return times + [UpTime(node, start, end) for node, start in starts.items()]


def late_revisions(history: History, bound_seconds: float) -> list[Violation]:
    """Return each revision that a node in touch did not have in time."""
    in_force: dict[str, list[RevisionInForce]] = defaultdict(list)
    for event in select(history, RevisionInForce):
        in_force[event.node].append(event)
    times = up_times(history)
    violations = []
    for accepted in select(history, RevisionAccepted):
        for up in times:
            due = max(accepted.at, up.start) + bound_seconds
            if due > up.end:
                continue
            met = any(
                event.revision >= accepted.revision and event.at <= due
                for event in in_force[up.node]
            )
            if not met:
                detail = f"revision {accepted.revision} not in force in time"
                violations.append(Violation("configuration_late", due, up.node, detail))
    return violations
