"""Checks of a history: limits of targets, stopped targets and configuration."""

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

STOP_LIMIT_S = 5.0
IN_FORCE_LIMIT_S = 11.0


class TargetLoad:
    """The current load and state of a target, summed over all entry VMs."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.in_flight = 0
        self.connections = 0
        self.state: TargetState | None = None

    def find_violation(self, event: HistoryEvent) -> Violation | None:
        """Return the limit that the event exceeds, if any."""
        if self.state is None:
            return None
        if isinstance(event, TargetBegan) and self.in_flight > self.state.bound:
            rule = "cold_start" if self.state.cold else "slots"
            detail = f"{self.in_flight} in flight, limit {self.state.bound}"
            return Violation(rule, event.at, self.target, detail)
        too_many = self.connections > self.state.connections
        if isinstance(event, ConnectionOpened) and too_many:
            detail = f"{self.connections} open, limit {self.state.connections}"
            return Violation("connection_cap", event.at, self.target, detail)
        return None

    def apply(self, event: HistoryEvent) -> None:
        """Update the load and state by an event."""
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
    """Check cold-start limits, slots and connection limits over all entry VMs.

    Work and connections that exist when a limit is lowered may continue; only
    new ones above the limit are violations.
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
                violation = load.find_violation(event)
                if violation is not None:
                    violations.append(violation)
    return violations


def check_stopped_targets(
    history: History, limit_s: float = STOP_LIMIT_S
) -> list[Violation]:
    """Check that a stopped target gets no new work once ``limit_s`` has passed.

    A target is stopped while it is leaving or its data centre is out.
    """
    stopped: dict[str, float] = {}
    violations = []
    for event in history:
        match event:
            case WorkStopped(target=target):
                stopped.setdefault(target, event.at)
            case WorkAllowed(target=target):
                stopped.pop(target, None)
            case TargetBegan(target=target) if target in stopped:
                elapsed_s = event.at - stopped[target]
                if elapsed_s > limit_s:
                    detail = f"began {event.request} {elapsed_s:.3f} s after the stop"
                    violations.append(
                        Violation("stopped_target", event.at, target, detail)
                    )
    return violations


def check_configuration(
    history: History, limit_s: float = IN_FORCE_LIMIT_S
) -> list[Violation]:
    """Check that revisions never revert on a node and are in force in time.

    The limit counts from the acceptance of a revision or the start of the node,
    whichever is later. A node that is up and connected until the limit must have
    put this revision or a newer one in force by then.
    """
    return find_reversions(history) + find_late_revisions(history, limit_s)


def find_reversions(history: History) -> list[Violation]:
    """Return a violation for each node that went back to an older revision."""
    newest: dict[str, int] = {}
    violations = []
    for event in select(history, RevisionInForce):
        before = newest.get(event.node, event.revision)
        if event.revision < before:
            detail = f"revision {event.revision} in force after {before}"
            violations.append(
                Violation("configuration_reverts", event.at, event.node, detail)
            )
        newest[event.node] = max(before, event.revision)
    return violations


class UptimeInterval(NamedTuple):
    """An interval in which a node was up and connected."""

    node: str
    start: float
    end: float


def uptime_intervals(history: History) -> list[UptimeInterval]:
    """Return the intervals in which nodes were up; open ones end with the history."""
    starts: dict[str, float] = {}
    times = []
    for event in history:
        match event:
            case NodeUp(node=node):
                starts[node] = event.at
            case NodeDown(node=node) if node in starts:
                times.append(UptimeInterval(node, starts.pop(node), event.at))
    end = history[-1].at if history else 0.0
    return times + [UptimeInterval(node, start, end) for node, start in starts.items()]


def find_late_revisions(history: History, limit_s: float) -> list[Violation]:
    """Return a violation for each revision that a connected node got too late."""
    in_force: dict[str, list[RevisionInForce]] = defaultdict(list)
    for event in select(history, RevisionInForce):
        in_force[event.node].append(event)
    times = uptime_intervals(history)
    violations = []
    for accepted in select(history, RevisionAccepted):
        for uptime in times:
            due = max(accepted.at, uptime.start) + limit_s
            if due > uptime.end:
                continue
            met = any(
                event.revision >= accepted.revision and event.at <= due
                for event in in_force[uptime.node]
            )
            if not met:
                detail = (
                    f"revision {accepted.revision} not in force within {limit_s:g} s"
                )
                violations.append(
                    Violation("configuration_late", due, uptime.node, detail)
                )
    return violations
