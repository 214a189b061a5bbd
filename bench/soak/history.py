"""What callers, replicas and the store saw in a soak."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

__all__ = [
    "Answer",
    "Attempt",
    "Execution",
    "History",
    "Interval",
    "ReplicaAnswer",
    "Revision",
    "Withdrawal",
]


class ReplicaAnswer(NamedTuple):
    """What a replica answered: its signature, and its records or bytes."""

    signature: str
    service: str
    replica: str
    body: bytes


class Execution(NamedTuple):
    """A request that a replica began to work on; times are monotonic seconds."""

    request: str
    replica: str
    service: str
    at: float
    method: str
    target: str
    body: bytes
    deadline_ms: float


class Answer(NamedTuple):
    """A whole answer to a caller."""

    status: int
    headers: dict[str, str]
    body: bytes
    at: float


@dataclass
class Attempt:
    """One request of a caller to one gateway; ``end`` tells how it ended.

    ``end`` is ``answered``, ``closed``, ``unconnected``, ``expired`` or ``left``.
    ``reused_connection`` is set where the connection had carried requests before.
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
    """A configuration, when it was sent and acknowledged, and what it allows.

    ``services`` has, for each prefix, the services that may run its requests.
    """

    version: int
    sent_at: float
    acked_at: float
    services: dict[str, tuple[str, ...]]


class Withdrawal(NamedTuple):
    """A replica, or a data centre, that was to get nothing from a moment on."""

    replica: str
    acked_at: float
    until: float


class Interval(NamedTuple):
    """A time in which something was disturbed."""

    name: str
    start: float
    end: float


@dataclass
class History:
    """Everything that the checks look at."""

    attempts: dict[str, Attempt] = field(default_factory=dict)
    executions: list[Execution] = field(default_factory=list)
    replica_answers: dict[str, ReplicaAnswer] = field(default_factory=dict)
    revisions: list[Revision] = field(default_factory=list)
    draining: list[Withdrawal] = field(default_factory=list)
    evacuated: list[Withdrawal] = field(default_factory=list)
    # Replicas in their cold start.
    cold_starts: list[Interval] = field(default_factory=list)
    disturbances: list[Interval] = field(default_factory=list)
    planned_stops: list[Interval] = field(default_factory=list)
    connections: dict[str, int] = field(default_factory=dict)
    recovered_at: float = 0.0
    # The gateways that may have sent on what one of them took.
    forwarders: dict[str, tuple[str, ...]] = field(default_factory=dict)

    def record_disturbance(self, name: str, start: float, end: float) -> None:
        """Note that a gateway, or the store, is disturbed for a time."""
        self.disturbances.append(Interval(name, start, end))

    def is_undisturbed(self, names: tuple[str, ...], start: float, end: float) -> bool:
        """Tell whether none of these was disturbed in a span."""
        return not any(
            interval.name in names and interval.start < end and interval.end > start
            for interval in self.disturbances
        )

    def executions_by_request(self) -> dict[str, list[Execution]]:
        """Group the runs by request."""
        found: dict[str, list[Execution]] = {}
        for execution in self.executions:
            found.setdefault(execution.request, []).append(execution)
        return found
