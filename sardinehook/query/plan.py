"""The request of a search and the state of the services it asks."""

from __future__ import annotations

from typing import NamedTuple

from sardinehook.query.coverage import MissingReason
from sardinehook.query.replica_choice import ReplicaChooser
from sardinehook.query.snapshot import Snapshot

__all__ = ["Attempt", "SearchRequest", "ServicePlan", "ServiceState"]

MAX_ATTEMPTS = 3
RETRYABLE_ON_SAME_REPLICA = frozenset(
    {MissingReason.CONNECTION_LOST, MissingReason.GARBLED, MissingReason.LATE}
)


class SearchRequest(NamedTuple):
    """A caller's search.

    ``workload`` is a name in the environment document, ``deadline_at`` a time of the
    monotonic clock in seconds, ``limit`` the maximum number of records and ``body`` the
    caller's JSON body, which is forwarded to targets undecoded.
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
    """An outstanding sub-query.

    ``number`` counts the attempts of its service from one. ``snapshot`` is ``None``
    if the target may choose it.
    """

    sub_query_id: int
    service: ServiceState
    number: int
    replica: str
    snapshot: Snapshot | None
    sent_at: float


class ServiceState:
    """The progress of one service of a search.

    ``reason`` is why it would be missing if the search were settled now. ``tried``
    maps the replicas asked to how they failed, ``LATE`` if there is no reply yet.
    ``outstanding`` lists sub-query ids in the order of sending.
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
        """Reset the service to its initial state, without attempts."""
        self.outstanding: list[int] = []
        self.tried: dict[str, MissingReason] = {}
        self.attempt_count = 0
        self.reason = MissingReason.NOT_ASKED
        self.closed = False

    def next_replica(self, chooser: ReplicaChooser) -> str | None:
        """Return the replica of the next attempt, ``None`` if there is none.

        Replicas not tried yet are preferred, unless the next one is known to be much
        slower than one that can be retried. A replica can be retried if its failure
        does not predict the next result, such as a lost connection or a slow reply.
        """
        if self.attempt_count >= MAX_ATTEMPTS:
            return None
        untried = next((name for name in self.replicas if name not in self.tried), None)
        retried = next(
            (
                name
                for name in self.replicas
                if self.tried.get(name) in RETRYABLE_ON_SAME_REPLICA
            ),
            None,
        )
        if untried is None or retried is None:
            return untried or retried
        return retried if chooser.is_much_slower(untried, retried) else untried
