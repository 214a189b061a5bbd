"""What a search is asked, and whom it may ask."""

from __future__ import annotations

from typing import NamedTuple

from sardinehook.query.coverage import MissingReason
from sardinehook.query.snapshot import Snapshot

__all__ = ["Attempt", "SearchRequest", "ServicePlan", "ServiceState"]

MOST_ATTEMPTS = 3
REPEATABLE = frozenset({MissingReason.CONNECTION_LOST, MissingReason.GARBLED})


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

    ``reason`` is why it would be missing if the query were settled now. ``tried``
    holds the replicas asked and how each failed; one that has no reply yet holds
    ``LATE``.
    """

    __slots__ = (
        "attempt_count",
        "closed",
        "index",
        "outstanding",
        "reason",
        "replicas",
        "service",
        "tried",
    )

    def __init__(self, plan: ServicePlan) -> None:
        self.index, self.service, self.replicas = plan
        self.reopen()

    def reopen(self) -> None:
        """Forget all attempts."""
        self.outstanding: list[int] = []
        self.tried: dict[str, MissingReason] = {}
        self.attempt_count = 0
        self.reason = MissingReason.NOT_ASKED
        self.closed = False

    def next_replica(self) -> str | None:
        """Return the replica to try next, ``None`` if there is none.

        Replicas that were not asked go first. Then one may be asked again whose
        failure tells nothing of the next try, as a lost connection.
        """
        if self.attempt_count >= MOST_ATTEMPTS:
            return None
        for replica in self.replicas:
            if replica not in self.tried:
                return replica
        for replica in self.replicas:
            if self.tried[replica] in REPEATABLE:
                return replica
        return None
