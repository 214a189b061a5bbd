"""Messages between entry processes about sub-queries and replicas.

They are encoded as MessagePack arrays, one array per named tuple, so a field may be
added at the end only and needs a default.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

__all__ = [
    "ANY_VERSION",
    "NO_ORDER_KEY",
    "CancelSubQuery",
    "Outcome",
    "ReplicaReport",
    "SubQuery",
    "SubReply",
    "TargetState",
]

ANY_VERSION = 0
NO_ORDER_KEY = ""


class Outcome(IntEnum):
    """The outcome of a sub-query, as determined by the owner of its replica."""

    ANSWERED = 0
    NOT_RUN = 1  # rejected before a target can have begun
    SHED = 2  # rejected by the target, which states that it did not begin
    LATE = 3
    WRONG_VERSION = 4
    GARBLED = 5
    CONNECTION_LOST = 6  # bytes may have been sent, no answer was received
    FAILED = 7  # the target answered with an error
    CANCELLED = 8


class TargetState(IntEnum):
    """The readiness of a replica, as far as its owner knows."""

    UNKNOWN = 0
    COLD = 1
    WARM = 2
    DRAINING = 3
    GONE = 4


class SubQuery(NamedTuple):
    """A query to one replica of one service.

    ``sub_query_id`` is unique within the sending process. ``deadline_ms`` is the time
    left when the message was sent. ``index_version`` and ``partitioning`` name the
    snapshot wanted; ``ANY_VERSION`` leaves the choice to the target. Sub-queries of a
    lower ``priority`` value are served first. ``order_key`` is set for non-idempotent
    requests.
    """

    sub_query_id: int
    request_id: str
    service: str
    replica: str
    index_version: int
    partitioning: int
    deadline_ms: float
    priority: int
    order_key: str
    body: bytes


class SubReply(NamedTuple):
    """The reply to a sub-query, sent once for each ``SubQuery``.

    ``queued_ms`` is the time spent in the owner's queue and ``service_ms`` the time
    from the first byte sent to the target until its complete reply. ``body`` is the
    target's reply, empty unless ``outcome`` is ``ANSWERED``. ``began`` tells whether
    a target may have begun to run the sub-query.
    """

    sub_query_id: int
    outcome: Outcome
    index_version: int
    partitioning: int
    queued_ms: float
    service_ms: float
    began: bool
    detail: str
    body: bytes


class CancelSubQuery(NamedTuple):
    """Asks the owner of a replica to cancel a sub-query whose reply is not needed."""

    sub_query_id: int


class ReplicaReport(NamedTuple):
    """The state of a replica, as its owner reports it to the other entry processes.

    ``index_versions`` are the versions that the replica holds, newest last.
    ``wait_ms`` estimates the queueing and service time of a new sub-query.
    ``free_slots`` is the number of sub-queries that the owner can start at once.
    """

    replica: str
    state: TargetState
    index_versions: tuple[int, ...]
    partitioning: int
    wait_ms: float
    free_slots: int
