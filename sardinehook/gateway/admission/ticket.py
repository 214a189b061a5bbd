"""A request that asks for admission, and the decisions about it."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

__all__ = [
    "Decision",
    "LaneKey",
    "RefusalReason",
    "Refused",
    "Started",
    "Ticket",
    "Waiting",
]


class LaneKey(NamedTuple):
    """The services that a request needs, and the data centre that asks them."""

    services: tuple[str, ...]
    data_centre: str


class RefusalReason(StrEnum):
    """Why a request was refused; the values are labels of a metric."""

    QUEUE = "queue"  # it would wait, or has waited, too long
    OBJECTIVE = "objective"  # it cannot be answered within its objective
    FULL = "full"  # too many requests wait
    STOPPING = "stopping"


@dataclass(slots=True, eq=False)
class Ticket:
    """One request; times are those of the gateway's clock.

    ``weight`` is that of the organisation. ``begun`` is set for work that another
    gateway handed over. ``cost_s`` is the time that the request occupies each service,
    ``expected_s`` how long its answer takes. A refusal is useful until ``refuse_by``
    and an answer until ``answer_by``.
    """

    key: LaneKey
    organisation: str
    weight: float
    priority: int
    begun: bool
    cost_s: float
    expected_s: float
    refuse_by: float
    answer_by: float
    size_bytes: int = 0
    offered_at: float = 0.0
    started_at: float = 0.0
    start_tag: float = field(default=0.0, repr=False)

    @property
    def start_by(self) -> float:
        """The latest time at which it is started; it is refused after that."""
        return min(self.refuse_by, self.answer_by - self.expected_s)

    @property
    def start_reason(self) -> RefusalReason:
        """Why it is refused after ``start_by``."""
        if self.answer_by - self.expected_s < self.refuse_by:
            return RefusalReason.OBJECTIVE
        return RefusalReason.QUEUE


@dataclass(frozen=True, slots=True)
class Started:
    """The request starts now, after having waited."""

    ticket: Ticket
    waited_s: float


@dataclass(frozen=True, slots=True)
class Waiting:
    """The request waits for a later decision."""

    ticket: Ticket


@dataclass(frozen=True, slots=True)
class Refused:
    """The request has not run and is refused."""

    ticket: Ticket
    reason: RefusalReason


Decision = Started | Waiting | Refused
