"""Which requests are begun and which are refused before any work."""

from __future__ import annotations

from typing import NamedTuple

from returns.result import Failure, Result, Success

from sardinehook.environment.document import Limits, Workload
from sardinehook.errors import ErrorKind, Problem
from sardinehook.query.latency import LatencyEstimates
from sardinehook.query.memory import MemoryMeter

__all__ = ["AdmissionController", "AdmittedRequest"]

FIRST_LIMIT = 256.0
LEAST_LIMIT = 16.0
SMALL_COST = 4
MOST_LIMIT = 1_000_000.0
INCREASE_PER_WINDOW = 8.0
DECREASE_RATIO = 0.85
DECREASE_INTERVAL_S = 0.1
USED_RATIO = 0.5
MEMORY_RATIO = 0.8
DEADLINE_QUANTILE = 0.1


class AdmittedRequest(NamedTuple):
    """A request that was begun; ``cost`` is its number of sub-queries."""

    workload: str
    priority: int
    cost: int
    admitted_at: float


class PriorityClass:
    """The bound and the sub-queries in flight of one priority."""

    __slots__ = ("decreased_at", "in_flight", "limit")

    def __init__(self) -> None:
        self.limit = FIRST_LIMIT
        self.in_flight = 0
        self.decreased_at = -1e9


class AdmissionController:
    """Bounds the sub-queries in flight by what the targets' queues bear.

    The bound adapts by additive increase and multiplicative decrease (D. Chiu and
    R. Jain, "Analysis of the increase and decrease algorithms for congestion
    avoidance in computer networks", 1989): it grows while it is used and requests
    aren't congested, and shrinks at most once in ``DECREASE_INTERVAL_S`` when one is.

    Each priority has a bound of its own for the sub-queries in flight of itself and
    of better ones. Targets' queues are served by priority, so the last classes feel
    congestion first and are refused first, and theirs doesn't shrink the bound of a
    better class. A request is always begun if none is in flight, so that the
    estimates can't lock it out. One of at most ``SMALL_COST`` sub-queries competes
    with its own class only: beside a fan-out it adds next to nothing, and a bound that
    one slow look-up has shrunk would refuse it whenever a single search is in flight.
    """

    def __init__(self, limits: Limits, memory: MemoryMeter | None = None) -> None:
        self.limits = limits
        self.memory = memory
        self.classes: dict[int, PriorityClass] = {}
        self.requests: dict[str, int] = {}
        self.request_count = 0
        self.latencies = LatencyEstimates()

    def admit(
        self,
        name: str,
        workload: Workload,
        cost: int,
        time_left_ms: float,
        now: float,
    ) -> Result[AdmittedRequest, Problem]:
        """Begin a request of the workload ``name``, or refuse it as not run.

        Fails with ``DEADLINE_TOO_SHORT`` if hardly any request of the workload was
        ever answered in the time left, and with ``OVERLOADED`` beyond the bounds.
        """
        problem = self.refusal(name, workload, cost, time_left_ms)
        if problem is not None:
            return Failure(problem)
        self.class_of(workload.priority).in_flight += cost
        self.request_count += 1
        self.requests[name] = self.requests.get(name, 0) + 1
        return Success(AdmittedRequest(name, workload.priority, cost, now))

    def refusal(
        self, name: str, workload: Workload, cost: int, time_left_ms: float
    ) -> Problem | None:
        """Tell why a request must be refused, ``None`` if it may begin."""
        if self.request_count >= self.limits.requests_in_flight:
            return Problem(ErrorKind.OVERLOADED, "too many requests in flight")
        if self.memory is not None and self.is_memory_short(self.memory):
            return Problem(ErrorKind.OVERLOADED, "replies fill the memory")
        if time_left_ms <= 0.0:
            return Problem(ErrorKind.DEADLINE_TOO_SHORT, "no time is left")
        usual_ms = self.latencies.quantile(name, DEADLINE_QUANTILE) or 0.0
        if usual_ms > time_left_ms and self.requests.get(name, 0):
            detail = f"{time_left_ms:.1f} ms left, at least {usual_ms:.1f} ms needed"
            return Problem(ErrorKind.DEADLINE_TOO_SHORT, detail)
        held = self.class_of(workload.priority)
        small = cost <= SMALL_COST
        in_flight = held.in_flight if small else self.in_flight(workload.priority)
        if in_flight and in_flight + cost > held.limit:
            return Problem(ErrorKind.OVERLOADED, "too many sub-queries in flight")
        return None

    def is_memory_short(self, memory: MemoryMeter) -> bool:
        """Tell whether replies in flight leave too little memory."""
        return memory.held_bytes > MEMORY_RATIO * memory.most_bytes

    def class_of(self, priority: int) -> PriorityClass:
        """Return what is known of a priority."""
        held = self.classes.get(priority)
        if held is None:
            held = self.classes[priority] = PriorityClass()
        return held

    def in_flight(self, priority: int) -> int:
        """Return the sub-queries in flight of ``priority`` and of better ones."""
        return sum(
            held.in_flight for known, held in self.classes.items() if known <= priority
        )

    def finish(
        self, ticket: AdmittedRequest, congested: bool, answered: bool, now: float
    ) -> None:
        """Take in the end of a request that was admitted."""
        self.adapt(ticket, congested, now)
        self.class_of(ticket.priority).in_flight -= ticket.cost
        self.request_count -= 1
        self.requests[ticket.workload] -= 1
        if answered:
            elapsed_ms = (now - ticket.admitted_at) * 1000.0
            self.latencies.record(ticket.workload, elapsed_ms)

    def adapt(self, ticket: AdmittedRequest, congested: bool, now: float) -> None:
        """Move the bound of a class by how a request of it went."""
        held = self.class_of(ticket.priority)
        in_flight = self.in_flight(ticket.priority)
        if congested:
            if now - held.decreased_at >= DECREASE_INTERVAL_S:
                base = min(held.limit, float(in_flight))
                held.limit = max(LEAST_LIMIT, base * DECREASE_RATIO)
                held.decreased_at = now
        elif in_flight > USED_RATIO * held.limit:
            step = INCREASE_PER_WINDOW * ticket.cost / held.limit
            held.limit = min(MOST_LIMIT, held.limit + step)
