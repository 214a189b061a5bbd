"""What a search is asked, and whom it may ask."""

from __future__ import annotations

from typing import NamedTuple

from sardinehook.query.coverage import MissingReason
from sardinehook.query.replica_choice import ReplicaChooser
from sardinehook.query.snapshot import Snapshot

__all__ = ["Attempt", "SearchRequest", "ServicePlan", "ServiceState"]

MOST_ATTEMPTS = 3
REPEATABLE = frozenset(
    {MissingReason.CONNECTION_LOST, MissingReason.GARBLED, MissingReason.LATE}
)


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
    """A sub-query that is out.

    ``number`` counts the attempts of its service from one. ``snapshot`` is ``None``
    if any was asked for.
    """

    sub_query_id: int
    service: ServiceState
    number: int
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

    def next_replica(self, chooser: ReplicaChooser) -> str | None:
        """Return the replica to try next, ``None`` if there is none.

        Replicas that were not asked go first, unless the next one is known to be much
        slower than one that may be asked again: one whose failure tells nothing of
        the next try, as a lost connection or a reply that is merely slow.
        """
        if self.attempt_count >= MOST_ATTEMPTS:
            return None
        untried = next((name for name in self.replicas if name not in self.tried), None)
        again = next(
            (name for name in self.replicas if self.tried.get(name) in REPEATABLE), None
        )
        if untried is None or again is None:
            return untried or again
        return again if chooser.is_much_slower(untried, again) else untried
