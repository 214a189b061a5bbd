"""Builds the history of a trial from the records of its load processes and targets."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from bench.checks import check_all
from bench.history import (
    CallerAnswered,
    CallerOutcome,
    CallerSent,
    HistoryEvent,
    Snapshot,
    TargetBegan,
    TargetEnded,
    WorkAllowed,
    WorkStopped,
)
from bench.load import CallRecord
from bench.results import RunResult
from bench.target_records import WorkEvent
from bench.violation import Violation
from sardinehook.environment.document import EnvironmentDocument, Scope

__all__ = ["build_history", "find_violations"]

HTTP_OK = 200
STOP_KINDS = frozenset({"drain", "leave"})
ALLOW_KINDS = frozenset({"return", "restart"})
INCOMPLETE_KINDS = frozenset({"cancelled", "expired", "lost", "fell_over"})


class ReplicaLocation(NamedTuple):
    """The service and index that a replica belongs to."""

    service: str
    index_name: str


def find_violations(run: RunResult, document: EnvironmentDocument) -> list[Violation]:
    """Return the violations in a trial.

    If a target's event log overflowed, the history is incomplete and can't be checked;
    returns this as the only violation.
    """
    if run.left_out:
        detail = f"event logs of targets overflowed by {run.left_out} events"
        return [Violation("history_incomplete", run.started_at, run.name, detail)]
    return check_all(build_history(run, document))


def build_history(run: RunResult, document: EnvironmentDocument) -> list[HistoryEvent]:
    """Return the events of a trial sorted by time."""
    locations = {
        replica.name: ReplicaLocation(service, index_name)
        for index_name, index in document.indexes.items()
        for service, replicas in index.services.items()
        for replica in replicas
    }
    events: list[HistoryEvent] = []
    for call in run.calls:
        events += caller_events(call, document)
    for event in run.events:
        events += target_events(event, locations)
    return sorted(events, key=lambda event: event.at)


def caller_events(
    call: CallRecord, document: EnvironmentDocument
) -> Iterator[HistoryEvent]:
    """Yield the events of a call; without a response there is no answer event."""
    yield CallerSent(
        at=call.sent_at,
        request=call.request,
        workload=call.workload,
        order_key=call.order_key,
    )
    if call.status:
        yield answer_event(call, document)


def answer_event(call: CallRecord, document: EnvironmentDocument) -> CallerAnswered:
    """Return the event of a response."""
    answer = call.answer
    coverage = answer.get("coverage", {})
    missing = tuple(one["service"] for one in coverage.get("missing", []))
    asked = () if call.order_key else services_asked(call, document)
    return CallerAnswered(
        at=call.ended_at,
        request=call.request,
        told=caller_outcome(call),
        kind=answer.get("error", {}).get("kind", ""),
        echoed_request=answer.get("request_id", ""),
        snapshots={
            index: Snapshot(one["index_version"], one["partitioning"])
            for index, one in coverage.get("snapshot", {}).items()
        },
        answered=tuple(service for service in asked if service not in missing),
        missing=missing,
        coverage=coverage.get("ratio", 0.0),
        records=tuple(record["id"] for record in answer.get("records", [])),
        truncated=answer.get("limited", False),
    )


def caller_outcome(call: CallRecord) -> CallerOutcome:
    """Return the outcome that a caller was given."""
    error = call.answer.get("error", {})
    if call.status == HTTP_OK:
        return CallerOutcome.ANSWERED
    if error.get("not_run", False):
        return CallerOutcome.NOT_RUN
    return (
        CallerOutcome.UNKNOWN
        if error.get("kind") == "outcome_unknown"
        else CallerOutcome.FAILED
    )


def services_asked(call: CallRecord, document: EnvironmentDocument) -> list[str]:
    """Return the services that a search must ask."""
    workload = document.workloads[call.workload]
    if workload.scope is Scope.ONE and call.service:
        return [call.service]
    return [
        service
        for index in workload.indexes
        for service in document.indexes[index].services
    ]


def target_events(
    event: WorkEvent, locations: Mapping[str, ReplicaLocation]
) -> Iterator[HistoryEvent]:
    """Translate an event of a target's log into events of the history."""
    location = locations.get(event.replica, ReplicaLocation("", ""))
    if event.kind == "begun":
        yield TargetBegan(
            at=event.at,
            target=event.replica,
            service=location.service,
            request=event.request_id,
            sub_query=event.sub_query_id,
            order_key=event.order_key,
        )
    elif event.kind == "finished" or event.kind in INCOMPLETE_KINDS:
        yield TargetEnded(
            at=event.at,
            target=event.replica,
            service=location.service,
            request=event.request_id,
            sub_query=event.sub_query_id,
            whole=event.kind == "finished",
            index=location.index_name,
            snapshot=Snapshot(event.index_version, event.partitioning),
        )
    elif event.kind in STOP_KINDS:
        yield WorkStopped(at=event.at, target=event.replica)
    elif event.kind in ALLOW_KINDS:
        yield WorkAllowed(at=event.at, target=event.replica)
