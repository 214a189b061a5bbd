"""What a search is asked, and whom it may ask."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from sardinehook.query.coverage import MissingReason
from sardinehook.query.snapshot import Snapshot

__all__ = ["Attempt", "SearchRequest", "ServicePlan", "ServiceState"]


class SearchRequest(NamedTuple):
    """A caller's search.

    ``workload`` is a name of the environment document, ``deadline_at`` a time of the
    monotonic clock in seconds, ``limit`` the most records wanted and ``body`` the
    caller's JSON body, which targets receive unread.
    """

    request_id: str
    workload: str
    deadline_at: float
    limit: int
    body: bytes


class ServicePlan(NamedTuple):
    """One service to ask, with its replicas in order of preference."""

    index: str  # type: ignore[assignment]
    service: str
    replicas: tuple[str, ...]


class Attempt(NamedTuple):
    """A sub-query that is out. ``snapshot`` is ``None`` if any was asked for."""

    sub_query_id: int
    service: ServiceState
    replica: str
    snapshot: Snapshot | None
    sent_at: float


class ServiceState:
    """How far one service of a query has come.

    ``reason`` is why it would be missing if the query were settled now.
    """

    __slots__ = ("closed", "index", "outstanding", "reason", "replicas", "service")

    def __init__(self, plan: ServicePlan) -> None:
        self.index = plan.index
        self.service = plan.service
        self.replicas: Sequence[str] = plan.replicas
        self.outstanding: list[int] = []
        self.reason = MissingReason.NOT_ASKED
        self.closed = False
