"""Which requests are begun and which are refused before any work."""

from __future__ import annotations

from typing import NamedTuple

from returns.result import Failure, Result, Success

from sardinehook.environment.document import Limits, Workload
from sardinehook.errors import ErrorKind, Problem
from sardinehook.query.latency import LatencyEstimates
from sardinehook.query.memory import MemoryMeter

__all__ = ["Admission", "Ticket"]

FIRST_LIMIT = 256.0
LEAST_LIMIT = 1.0
MOST_LIMIT = 1_000_000.0
INCREASE_PER_WINDOW = 8.0
DECREASE_RATIO = 0.85
DECREASE_INTERVAL_S = 0.1
RESERVE_RATIO = 0.5
LAST_PRIORITY = 9
USED_RATIO = 0.5
MEMORY_RATIO = 0.8
DEADLINE_QUANTILE = 0.1


class Ticket(NamedTuple):
    """A request that was begun; ``cost`` is its number of sub-queries."""

    workload: str
    cost: int
    admitted_at: float


class Admission:
    """Bounds the sub-queries in flight by what the targets' queues bear.

    The bound adapts by additive increase and multiplicative decrease (D. Chiu and
    R. Jain, "Analysis of the increase and decrease algorithms for congestion
    avoidance in computer networks", 1989): it grows while it is used and requests
    aren't congested, and shrinks at most once in ``DECREASE_INTERVAL_S`` when one is.

    A workload of a higher ``priority`` number may use a smaller part of the bound, so
    it is refused first; half of the bound is kept from the last class. A request is
    always begun if none is in flight, so that the estimates can't lock it out.
    """

    def __init__(self, limits: Limits, memory: MemoryMeter | None = None) -> None:
        self.limits = limits
        self.memory = memory
        self.limit = FIRST_LIMIT
        self.in_flight = 0
        self.requests: dict[str, int] = {}
        self.request_count = 0
        self.decreased_at = -1e9
        self.latencies = LatencyEstimates()

    def admit(
        self,
        name: str,
        workload: Workload,
        cost: int,
        time_left_ms: float,
        now: float,
    ) -> Result[Ticket, Problem]:
        """Begin a request of the workload ``name``, or refuse it as not run.

        Fails with ``DEADLINE_TOO_SHORT`` if hardly any request of the workload was
        ever answered in the time left, and with ``OVERLOADED`` beyond the bounds.
        """
        problem = self.refusal(name, workload, cost, time_left_ms)
        if problem is not None:
            return Failure(problem)
        self.in_flight += cost
        self.request_count += 1
        self.requests[name] = self.requests.get(name, 0) + 1
        return Success(Ticket(name, cost, now))

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
        if self.request_count and self.in_flight + cost > self.share(workload.priority):
            return Problem(ErrorKind.OVERLOADED, "too many sub-queries in flight")
        return None

    def is_memory_short(self, memory: MemoryMeter) -> bool:
        """Tell whether replies in flight leave too little memory."""
        return memory.held_bytes > MEMORY_RATIO * memory.most_bytes

    def share(self, priority: int) -> float:
        """Return the sub-queries in flight up to which a class is admitted."""
        return self.limit * (1.0 - RESERVE_RATIO * priority / LAST_PRIORITY)

    def finish(
        self, ticket: Ticket, congested: bool, answered: bool, now: float
    ) -> None:
        """Take in the end of a request that was admitted."""
        self.adapt(ticket, congested, now)
        self.in_flight -= ticket.cost
        self.request_count -= 1
        self.requests[ticket.workload] -= 1
        if answered:
            elapsed_ms = (now - ticket.admitted_at) * 1000.0
            self.latencies.record(ticket.workload, elapsed_ms)

    def adapt(self, ticket: Ticket, congested: bool, now: float) -> None:
        """Move the bound by how a request went."""
        if congested:
            if now - self.decreased_at >= DECREASE_INTERVAL_S:
                base = min(self.limit, float(self.in_flight))
                self.limit = max(LEAST_LIMIT, base * DECREASE_RATIO)
                self.decreased_at = now
        elif self.in_flight > USED_RATIO * self.limit:
            step = INCREASE_PER_WINDOW * ticket.cost / self.limit
            self.limit = min(MOST_LIMIT, self.limit + step)
