"""Tests of the history checks: histories that must pass and ones that must fail."""

from __future__ import annotations

from collections.abc import Sequence

import pytest

from bench.checks import check_all
from bench.history import (
    CallerAnswered,
    CallerOutcome,
    CallerSent,
    ConnectionClosed,
    ConnectionOpened,
    HistoryEvent,
    NodeDown,
    NodeUp,
    RevisionAccepted,
    RevisionInForce,
    Snapshot,
    TargetBegan,
    TargetEnded,
    TargetState,
    WorkAllowed,
    WorkStopped,
    read_history,
    select,
    write_history,
)


def sent(at: float, request: str = "r1", order_key: str = "") -> CallerSent:
    return CallerSent(at=at, request=request, workload="w", order_key=order_key)


def began(
    at: float, target: str = "t1", request: str = "r1", order_key: str = ""
) -> TargetBegan:
    return TargetBegan(
        at=at,
        target=target,
        service=f"s-{target}",
        request=request,
        sub_query="1",
        order_key=order_key,
    )


def ended(
    at: float,
    target: str = "t1",
    request: str = "r1",
    version: int = 7,
    records: tuple[str, ...] = ("a",),
    whole: bool = True,
) -> TargetEnded:
    return TargetEnded(
        at=at,
        target=target,
        service=f"s-{target}",
        request=request,
        sub_query="1",
        whole=whole,
        index="i",
        snapshot=Snapshot(version, 1),
        records=records,
    )


def answered(
    at: float,
    request: str = "r1",
    services: tuple[str, ...] = ("s-t1",),
    missing: tuple[str, ...] = (),
    coverage: float = 1.0,
    records: tuple[str, ...] = ("a",),
    echoed: str = "r1",
) -> CallerAnswered:
    return CallerAnswered(
        at=at,
        request=request,
        told=CallerOutcome.ANSWERED,
        echoed_request=echoed,
        snapshots={"i": Snapshot(7, 1)},
        answered=services,
        missing=missing,
        coverage=coverage,
        records=records,
    )


def refused(at: float, told: CallerOutcome, request: str = "r1") -> CallerAnswered:
    return CallerAnswered(at=at, request=request, told=told, echoed_request=request)


def limits(
    at: float, bound: int, cold: bool = False, connections: int = 1
) -> TargetState:
    return TargetState(
        at=at, target="t1", cold=cold, bound=bound, connections=connections
    )


TWO_SERVED_EVENTS: list[HistoryEvent] = [
    sent(0.0),
    began(0.1),
    began(0.1, target="t2"),
    ended(0.2),
    ended(0.2, target="t2", records=("b",)),
]
BOTH_SERVICES = ("s-t1", "s-t2")

PASSING: dict[str, Sequence[HistoryEvent]] = {
    "empty": [],
    "search": [
        *TWO_SERVED_EVENTS,
        answered(0.3, services=BOTH_SERVICES, records=("b", "a")),
    ],
    "partial": [
        sent(0.0),
        began(0.1),
        ended(0.2),
        answered(0.3, missing=("s-t2",), coverage=0.5),
    ],
    "hedge of another version": [
        sent(0.0),
        began(0.1),
        ended(0.2, version=6, records=("old",)),
        began(0.2),
        ended(0.3),
        answered(0.4),
    ],
    "order": [
        sent(0.0, order_key="k"),
        began(0.1, order_key="k"),
        ended(0.2),
        answered(0.3, services=(), records=()),
    ],
    "order unknown": [
        sent(0.0, order_key="k"),
        began(0.1, order_key="k"),
        refused(0.3, CallerOutcome.UNKNOWN),
    ],
    "order refused as not run, then run by a repeated request": [
        sent(0.0, order_key="k"),
        refused(0.1, CallerOutcome.NOT_RUN),
        sent(0.2, request="r2", order_key="k"),
        began(0.3, request="r2", order_key="k"),
    ],
    "target limits": [
        limits(0.0, bound=2),
        ConnectionOpened(at=0.0, target="t1"),
        began(0.1),
        began(0.1),
        limits(0.2, bound=1, cold=True),
        ended(0.3),
        ended(0.3),
        began(0.4),
        ConnectionClosed(at=0.5, target="t1"),
        ConnectionOpened(at=0.5, target="t1"),
    ],
    "stopped target": [
        WorkStopped(at=0.0, target="t1"),
        began(4.9),
        WorkAllowed(at=60.0, target="t1"),
        began(61.0),
    ],
    "configuration": [
        NodeUp(at=0.0, node="n1#1"),
        NodeUp(at=0.0, node="n2#1"),
        RevisionAccepted(at=1.0, revision=5),
        NodeDown(at=4.0, node="n2#1"),
        RevisionAccepted(at=5.0, revision=6),
        RevisionInForce(at=6.0, node="n1#1", revision=6),
        NodeUp(at=20.0, node="n2#2"),
        RevisionInForce(at=30.0, node="n2#2", revision=6),
        sent(99.0),
    ],
}

FAILING: dict[str, tuple[str, Sequence[HistoryEvent]]] = {
    "an order sent to a second target": (
        "at_most_once",
        [began(0.1, order_key="k"), began(0.9, target="t2", order_key="k")],
    ),
    "an order run again by a repeated request": (
        "at_most_once",
        [began(0.1, order_key="k"), began(0.9, request="r2", order_key="k")],
    ),
    "refused as not run after work began": (
        "not_run",
        [sent(0.0), began(0.1), refused(0.2, CallerOutcome.NOT_RUN)],
    ),
    "refused as not run before work began": (
        "not_run",
        [sent(0.0), refused(0.2, CallerOutcome.NOT_RUN), began(0.3)],
    ),
    "a service of another version reported as answered": (
        "one_snapshot",
        [
            *TWO_SERVED_EVENTS[:-1],
            ended(0.2, target="t2", version=8),
            answered(0.3, services=BOTH_SERVICES),
        ],
    ),
    "a service reported as answered that served nothing": (
        "coverage",
        [sent(0.0), began(0.1), ended(0.2), answered(0.3, services=BOTH_SERVICES)],
    ),
    "a service reported as answered that served incompletely": (
        "coverage",
        [sent(0.0), began(0.1), ended(0.2, whole=False), answered(0.3)],
    ),
    "a service reported as answered that served after the answer": (
        "coverage",
        [sent(0.0), began(0.1), answered(0.2), ended(0.3)],
    ),
    "a ratio that does not match the lists": (
        "coverage",
        [sent(0.0), began(0.1), ended(0.2), answered(0.3, missing=("s-t2",))],
    ),
    "a service listed twice": (
        "coverage",
        [sent(0.0), began(0.1), ended(0.2), answered(0.3, services=("s-t1", "s-t1"))],
    ),
    "a record of an answered service missing": (
        "coverage",
        [*TWO_SERVED_EVENTS, answered(0.3, services=BOTH_SERVICES, records=("a",))],
    ),
    "a record of another request": (
        "coverage",
        [
            sent(0.0),
            began(0.1),
            ended(0.2),
            ended(0.2, request="r2", records=("z",)),
            answered(0.3, records=("a", "z")),
        ],
    ),
    "a record twice": (
        "no_record_doubled",
        [sent(0.0), began(0.1), ended(0.2), answered(0.3, records=("a", "a"))],
    ),
    "the answer to another request": (
        "own_answer",
        [sent(0.0), began(0.1), ended(0.2), answered(0.3, echoed="r2")],
    ),
    "two answers": (
        "own_answer",
        [sent(0.0), began(0.1), ended(0.2), answered(0.3), answered(0.4)],
    ),
    "an answer without a request": ("own_answer", [refused(0.1, CallerOutcome.FAILED)]),
    "a cold target over its limit across two entry VMs": (
        "cold_start",
        [limits(0.0, bound=1, cold=True), began(0.1), began(0.1, request="r2")],
    ),
    "a warm target over its slots": (
        "slots",
        [limits(0.0, bound=1), began(0.1), began(0.1, request="r2")],
    ),
    "too many connections": (
        "connection_cap",
        [
            limits(0.0, bound=1),
            ConnectionOpened(at=0.0, target="t1"),
            ConnectionOpened(at=0.1, target="t1"),
        ],
    ),
    "new work for a leaving target": (
        "stopped_target",
        [WorkStopped(at=0.0, target="t1"), began(5.1)],
    ),
    "a repeated stop does not extend the limit": (
        "stopped_target",
        [
            WorkStopped(at=0.0, target="t1"),
            WorkStopped(at=4.0, target="t1"),
            began(6.0),
        ],
    ),
    "an older revision in force again": (
        "configuration_reverts",
        [
            RevisionInForce(at=0.0, node="n1#1", revision=6),
            RevisionInForce(at=1.0, node="n1#1", revision=5),
        ],
    ),
    "a revision in force too late": (
        "configuration_late",
        [
            NodeUp(at=0.0, node="n1#1"),
            RevisionAccepted(at=1.0, revision=5),
            RevisionInForce(at=12.5, node="n1#1", revision=5),
        ],
    ),
}


class TestCheckAll:
    @pytest.mark.parametrize("name", PASSING)
    def test_valid_history_has_no_violation(self, name: str) -> None:
        assert check_all(PASSING[name]) == []

    @pytest.mark.parametrize("name", FAILING)
    def test_violation_is_found(self, name: str) -> None:
        rule, history = FAILING[name]
        assert rule in {violation.rule for violation in check_all(history)}


class TestHistoryFile:
    def test_files_of_several_recorders_merge_by_time(self) -> None:
        history = [event for events in PASSING.values() for event in events]
        history.sort(key=lambda event: event.at)
        callers = [e for e in history if isinstance(e, CallerSent | CallerAnswered)]
        others = [e for e in history if e not in callers]
        merged = read_history(write_history(callers), write_history(others))
        assert [event.at for event in merged] == [event.at for event in history]
        assert select(merged, CallerAnswered) == select(history, CallerAnswered)
