"""Events recorded at callers, targets, nodes and the store, on one time base."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import StrEnum
from typing import NamedTuple, TypeVar

import msgspec

__all__ = [
    "CallerAnswered",
    "CallerOutcome",
    "CallerSent",
    "ConnectionClosed",
    "ConnectionOpened",
    "HistoryEvent",
    "NodeDown",
    "NodeUp",
    "Recorder",
    "RevisionAccepted",
    "RevisionInForce",
    "Snapshot",
    "TargetBegan",
    "TargetEnded",
    "TargetState",
    "WorkAllowed",
    "WorkStopped",
    "read_history",
    "select",
    "write_history",
]


class CallerOutcome(StrEnum):
    """The outcome that a caller was given for its request."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    FAILED = "failed"  # an error without the guarantee "not run"


class Snapshot(NamedTuple):
    """An index version with a partitioning."""

    index_version: int
    partitioning: int


NO_SNAPSHOT = Snapshot(0, 0)


class HistoryEvent(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """An event; ``at`` is in seconds on the run's time base."""

    at: float


class CallerSent(HistoryEvent, frozen=True, kw_only=True, tag=True):
    """A caller sent a request; ``order_key`` is empty for a search."""

    request: str
    workload: str
    order_key: str = ""


class CallerAnswered(HistoryEvent, frozen=True, kw_only=True, tag=True):
    """A caller received a response on the connection of its ``request``.

    ``echoed_request`` is the request id in the response. ``records`` are record ids
    in the order of the response. ``coverage`` is the reported ratio and ``snapshots``
    the reported snapshot of each index.
    """

    request: str
    told: CallerOutcome
    kind: str = ""
    echoed_request: str = ""
    snapshots: dict[str, Snapshot] = {}
    answered: tuple[str, ...] = ()
    missing: tuple[str, ...] = ()
    coverage: float = 0.0
    records: tuple[str, ...] = ()
    truncated: bool = False


class TargetBegan(HistoryEvent, frozen=True, kw_only=True, tag=True):
    """A target began work on a sub-query."""

    target: str
    service: str
    request: str
    sub_query: str
    order_key: str = ""


class TargetEnded(HistoryEvent, frozen=True, kw_only=True, tag=True):
    """A target ended work; ``whole`` if it sent a complete and valid reply.

    ``records`` is None if the target did not record the ids that it served.
    """

    target: str
    service: str
    request: str
    sub_query: str
    whole: bool
    index: str = ""
    snapshot: Snapshot = NO_SNAPSHOT
    records: tuple[str, ...] | None = None


class TargetState(HistoryEvent, frozen=True, kw_only=True, tag=True):
    """The limits of a target from now on.

    ``bound`` is the limit of concurrent sub-queries.
    """

    target: str
    cold: bool
    bound: int
    connections: int


class ConnectionOpened(HistoryEvent, frozen=True, kw_only=True, tag=True):
    """A target accepted a connection."""

    target: str


class ConnectionClosed(HistoryEvent, frozen=True, kw_only=True, tag=True):
    """A connection to a target was closed."""

    target: str


class WorkStopped(HistoryEvent, frozen=True, kw_only=True, tag=True):
    """A target must get no new work: it is leaving or its data centre is out."""

    target: str


class WorkAllowed(HistoryEvent, frozen=True, kw_only=True, tag=True):
    """A target may get new work again."""

    target: str


class RevisionAccepted(HistoryEvent, frozen=True, kw_only=True, tag=True):
    """The store accepted a revision of the environment document."""

    revision: int


class RevisionInForce(HistoryEvent, frozen=True, kw_only=True, tag=True):
    """A node put a revision in force."""

    node: str
    revision: int


class NodeUp(HistoryEvent, frozen=True, kw_only=True, tag=True):
    """A node started and can reach the store; ``node`` names one incarnation."""

    node: str


class NodeDown(HistoryEvent, frozen=True, kw_only=True, tag=True):
    """A node stopped, or was partitioned from the store and all other nodes."""

    node: str


AnyEvent = (
    CallerSent
    | CallerAnswered
    | TargetBegan
    | TargetEnded
    | TargetState
    | ConnectionOpened
    | ConnectionClosed
    | WorkStopped
    | WorkAllowed
    | RevisionAccepted
    | RevisionInForce
    | NodeUp
    | NodeDown
)

Kind = TypeVar("Kind", bound=HistoryEvent)


class Recorder:
    """Collects events; ``now`` returns seconds on the run's time base."""

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.events: list[HistoryEvent] = []

    def add(self, event: HistoryEvent) -> None:
        """Append an event."""
        self.events.append(event)


def select(history: Iterable[HistoryEvent], kind: type[Kind]) -> list[Kind]:
    """Return the events of one type, in the order of the history.

    >>> select([NodeUp(at=0.0, node="a"), NodeDown(at=1.0, node="a")], NodeDown)
    [NodeDown(at=1.0, node='a')]
    """
    return [event for event in history if isinstance(event, kind)]


def write_history(history: Iterable[HistoryEvent]) -> bytes:
    """Encode events as JSON lines."""
    return msgspec.json.Encoder().encode_lines(list(history))


def read_history(*files: bytes) -> list[HistoryEvent]:
    """Decode JSON lines of several recorders and merge them by time."""
    decoder = msgspec.json.Decoder(AnyEvent)
    events: list[HistoryEvent] = []
    for lines in files:
        events.extend(decoder.decode_lines(lines))
    return sorted(events, key=lambda event: event.at)
