"""Observations of callers, replicas and the store during a soak."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

__all__ = [
    "Answer",
    "Arrival",
    "Attempt",
    "Execution",
    "History",
    "Interval",
    "Notice",
    "ReplicaAnswer",
    "Revision",
    "RolloutRecord",
    "Withdrawal",
]


class ReplicaAnswer(NamedTuple):
    """An answer that a replica sent, identified by its ``X-Server-Stamp`` signature."""

    signature: str
    service: str
    replica: str
    body: bytes


class Execution(NamedTuple):
    """Execution of a request by a replica; ``at`` is monotonic, in seconds."""

    request: str
    replica: str
    service: str
    at: float
    method: str
    target: str
    body: bytes
    deadline_ms: float


class Arrival(NamedTuple):
    """A request that reached a replica, whether it ran or was refused."""

    request: str
    replica: str
    at: float


class Notice(NamedTuple):
    """An answer to a request in which a replica said something of itself.

    ``kind`` is ``leaving``, ``pause`` with a ``value`` in seconds, or ``limit`` with
    one in requests per second. ``period`` counts the times for which the replica says
    something.
    """

    kind: str
    replica: str
    request: str
    at: float
    value: float
    period: int = 0


class Answer(NamedTuple):
    """A complete answer that a caller received."""

    status: int
    headers: dict[str, str]
    body: bytes
    at: float


@dataclass
class Attempt:
    """A request of a caller to one gateway, and how it ended.

    ``end`` is ``answered``, ``closed``, ``unconnected``, ``expired`` or ``left``.
    ``reused_connection`` is set if the connection had carried earlier requests.
    """

    request: str
    kind: str
    gateway: str
    incarnation: int
    method: str
    target: str
    body: bytes
    timeout_s: float
    sent_at: float
    reused_connection: bool = False
    end: str = ""
    ended_at: float = 0.0
    answer: Answer | None = None


class Revision(NamedTuple):
    """A configuration version with the times of its write and acknowledgement.

    ``services`` maps a route prefix to the services that may run its requests.
    """

    version: int
    sent_at: float
    acked_at: float
    services: dict[str, tuple[str, ...]]


class Withdrawal(NamedTuple):
    """A period in which a draining or evacuated replica must get no new requests."""

    replica: str
    acked_at: float
    until: float


class Interval(NamedTuple):
    """A time span of a gateway, a replica or the store, in seconds."""

    name: str
    start: float
    end: float


@dataclass
class RolloutRecord:
    """A rollout: the replicas of both versions, and what the status said when.

    ``bad_answers`` are the times of failed and slow answers of the new version.
    ``at_old_when_completed`` is how many requests were at old replicas then.
    """

    service: str
    defect: str
    ordered_at: float = 0.0
    deadline_at: float = 0.0
    old: list[str] = field(default_factory=list)
    new: list[str] = field(default_factory=list)
    bad_answers: list[float] = field(default_factory=list)
    found_good_at: float | None = None
    decision: str = ""
    decided_at: float = 0.0
    later_decision: str = ""
    at_old_when_completed: int = 0


@dataclass
class History:
    """All observations that the checks evaluate."""

    attempts: dict[str, Attempt] = field(default_factory=dict)
    executions: list[Execution] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    notices: list[Notice] = field(default_factory=list)
    replica_answers: dict[str, ReplicaAnswer] = field(default_factory=dict)
    revisions: list[Revision] = field(default_factory=list)
    draining: list[Withdrawal] = field(default_factory=list)
    evacuated: list[Withdrawal] = field(default_factory=list)
    # Cold start periods by replica.
    cold_starts: list[Interval] = field(default_factory=list)
    disturbances: list[Interval] = field(default_factory=list)
    planned_stops: list[Interval] = field(default_factory=list)
    rollouts: list[RolloutRecord] = field(default_factory=list)
    # From when the store went away until its lost keys were written again.
    restores: list[Interval] = field(default_factory=list)
    connections: dict[str, int] = field(default_factory=dict)
    recovered_at: float = 0.0
    # Whether some gateways run the searches of others.
    has_delegates: bool = False
    # For each gateway, the gateways that may send its requests to replicas.
    forwarders: dict[str, tuple[str, ...]] = field(default_factory=dict)

    def record_disturbance(self, name: str, start: float, end: float) -> None:
        """Record that a gateway, a replica or the store is disturbed for a time."""
        self.disturbances.append(Interval(name, start, end))

    def is_undisturbed(self, names: tuple[str, ...], start: float, end: float) -> bool:
        """Return whether none of the names was disturbed in a time span."""
        return not any(
            interval.name in names and interval.start < end and interval.end > start
            for interval in self.disturbances
        )

    def executions_by_request(self) -> dict[str, list[Execution]]:
        """Group the executions by request."""
        grouped: dict[str, list[Execution]] = {}
        for execution in self.executions:
            grouped.setdefault(execution.request, []).append(execution)
        return grouped
