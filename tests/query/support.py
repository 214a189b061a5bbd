"""Builders shared by the tests of the query package."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import msgspec

from sardinehook.environment.document import Scope, Workload
from sardinehook.messages import Outcome, SubQuery, SubReply
from sardinehook.query.actions import Action, Cancel, Send, Settle
from sardinehook.query.plan import SearchRequest, ServicePlan
from sardinehook.query.policy import SearchPolicy
from sardinehook.query.search import Search
from sardinehook.query.snapshot import Snapshot

NEW = Snapshot(42, 1)
OLD = Snapshot(41, 1)
WORKLOAD = Workload(["logs"], Scope.ALL, 150.0, 0.5, extra_load=0.0)
RETRYING = WORKLOAD._replace(extra_load=0.05)


def page_body(*records: tuple[str, float, object], truncated: bool = False) -> bytes:
    return msgspec.json.encode(
        {
            "records": [
                {"id": name, "rank": rank, "fields": fields}
                for name, rank, fields in records
            ],
            "truncated": truncated,
        }
    )


def plans(count: int, index: str = "logs", replicas: int = 2) -> list[ServicePlan]:
    return [
        ServicePlan(
            index,
            f"{index}-{number}",
            tuple(f"{index}-{number}-{letter}" for letter in "abcdef"[:replicas]),
        )
        for number in range(count)
    ]


def start(
    services: Sequence[ServicePlan],
    workload: Workload = WORKLOAD,
    snapshots: Mapping[str, Snapshot] | None = None,
    policy: SearchPolicy | None = None,
    deadline_at: float = 0.15,
) -> tuple[Search, list[Action]]:
    request = SearchRequest("r1", "storm", deadline_at, 100, b"{}")
    chosen = {"logs": NEW} if snapshots is None else snapshots
    policy = SearchPolicy() if policy is None else policy
    search = Search(request, workload, services, chosen, policy, 0.0)
    return search, search.begin(0.0)


def reply_to(
    sub_query: SubQuery,
    outcome: Outcome = Outcome.ANSWERED,
    snapshot: Snapshot = NEW,
    body: bytes | None = None,
    began: bool = True,
) -> SubReply:
    valid_body = page_body((sub_query.service, 1.0, {})) if body is None else body
    return SubReply(
        sub_query.sub_query_id,
        outcome,
        snapshot.index_version,
        snapshot.partitioning,
        0.0,
        1.0,
        began,
        "",
        valid_body if outcome is Outcome.ANSWERED else b"",
    )


def sent(actions: Sequence[Action]) -> list[SubQuery]:
    return [action.sub_query for action in actions if isinstance(action, Send)]


def cancelled(actions: Sequence[Action]) -> list[int]:
    return [action.sub_query_id for action in actions if isinstance(action, Cancel)]


def settlement(actions: Sequence[Action]) -> Settle:
    (settle,) = [action for action in actions if isinstance(action, Settle)]
    return settle
