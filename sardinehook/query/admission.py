"""Admission control: which requests are run and which are rejected at once."""

from __future__ import annotations

from typing import NamedTuple

from returns.result import Failure, Result, Success

from sardinehook.environment.document import Limits, Workload
from sardinehook.errors import ErrorKind, Problem
from sardinehook.query.latency import LatencyEstimates
from sardinehook.query.memory import MemoryBudget

__all__ = ["AdmissionController", "AdmittedRequest"]

INITIAL_LIMIT = 256.0
MIN_LIMIT = 16.0
MAX_SMALL_COST = 4
MAX_LIMIT = 1_000_000.0
INCREASE_PER_WINDOW = 8.0
DECREASE_RATIO = 0.85
DECREASE_INTERVAL_S = 0.1
GROWTH_USE_RATIO = 0.5
MAX_MEMORY_RATIO = 0.8
DEADLINE_QUANTILE = 0.1


class AdmittedRequest(NamedTuple):
    """A request in progress; ``cost`` is its number of sub-queries."""

    workload: str
    priority: int
    cost: int
    admitted_at: float


class PriorityClass:
    """The limit of one priority and its number of sub-queries in flight."""

    __slots__ = ("decreased_at", "in_flight", "limit")

    def __init__(self) -> None:
        self.limit = INITIAL_LIMIT
        self.in_flight = 0
        self.decreased_at = -1e9


class AdmissionController:
    """Limits the sub-queries in flight to what the queues of the targets can absorb.

    The limit adapts by additive increase and multiplicative decrease (D. Chiu and
    R. Jain, "Analysis of the increase and decrease algorithms for congestion
    avoidance in computer networks", 1989): it grows while it is used and requests
    meet no congestion, and shrinks at most once in ``DECREASE_INTERVAL_S`` when one
    does.

    Each priority has its own limit, which counts the sub-queries in flight of this
    priority and of higher ones. Targets serve their queues by priority, so the lowest
    priorities meet congestion first and are rejected first, and their congestion
    doesn't shrink the limit of a higher priority. A request is always admitted if none
    is in flight, so that a wrong estimate can't reject all requests for ever.

    A request of at most ``MAX_SMALL_COST`` sub-queries competes with its own priority
    only: its load is negligible beside a fan-out, and a limit that one slow look-up
    has shrunk would reject it whenever a single search is in flight.
    """

    def __init__(self, limits: Limits, memory: MemoryBudget | None = None) -> None:
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
        """Admit a request of the workload ``name``, or reject it as not run.

        Fails with ``DEADLINE_TOO_SHORT`` if the time left is below the
        ``DEADLINE_QUANTILE`` of the workload's latencies, and with ``OVERLOADED``
        beyond one of the limits.
        """
        problem = self.rejection(name, workload, cost, time_left_ms)
        if problem is not None:
            return Failure(problem)
        self.priority_class(workload.priority).in_flight += cost
        self.request_count += 1
        self.requests[name] = self.requests.get(name, 0) + 1
        return Success(AdmittedRequest(name, workload.priority, cost, now))

    def rejection(
        self, name: str, workload: Workload, cost: int, time_left_ms: float
    ) -> Problem | None:
        """Return why a request must be rejected, ``None`` if it is admitted."""
        if self.request_count >= self.limits.requests_in_flight:
            detail = (
                f"{self.request_count} requests in flight,"
                f" limit {self.limits.requests_in_flight}"
            )
            return Problem(ErrorKind.OVERLOADED, detail)
        if self.memory is not None and self.is_memory_low(self.memory):
            detail = (
                f"replies hold {self.memory.reserved_bytes} of"
                f" {self.memory.max_bytes} bytes"
            )
            return Problem(ErrorKind.OVERLOADED, detail)
        if time_left_ms <= 0.0:
            return Problem(ErrorKind.DEADLINE_TOO_SHORT, "deadline already passed")
        needed_ms = self.latencies.quantile(name, DEADLINE_QUANTILE) or 0.0
        if needed_ms > time_left_ms and self.requests.get(name, 0):
            detail = f"{time_left_ms:.1f} ms left, at least {needed_ms:.1f} ms needed"
            return Problem(ErrorKind.DEADLINE_TOO_SHORT, detail)
        state = self.priority_class(workload.priority)
        small = cost <= MAX_SMALL_COST
        in_flight = state.in_flight if small else self.in_flight(workload.priority)
        if in_flight and in_flight + cost > state.limit:
            detail = (
                f"{in_flight} sub-queries in flight and {cost} wanted,"
                f" limit {state.limit:.1f}"
            )
            return Problem(ErrorKind.OVERLOADED, detail)
        return None

    def is_memory_low(self, memory: MemoryBudget) -> bool:
        """Tell whether replies hold more than ``MAX_MEMORY_RATIO`` of the memory."""
        return memory.reserved_bytes > MAX_MEMORY_RATIO * memory.max_bytes

    def priority_class(self, priority: int) -> PriorityClass:
        """Return the state of a priority, created on first use."""
        state = self.classes.get(priority)
        if state is None:
            state = self.classes[priority] = PriorityClass()
        return state

    def in_flight(self, priority: int) -> int:
        """Count the sub-queries in flight of ``priority`` and of higher ones."""
        return sum(
            state.in_flight
            for known, state in self.classes.items()
            if known <= priority
        )

    def finish(
        self, request: AdmittedRequest, congested: bool, answered: bool, now: float
    ) -> None:
        """Release an admitted request and adjust the limit by how it went.

        ``congested`` tells whether it met congestion. Only the latencies of requests
        that were ``answered`` are recorded.
        """
        self.adjust_limit(request, congested, now)
        self.priority_class(request.priority).in_flight -= request.cost
        self.request_count -= 1
        self.requests[request.workload] -= 1
        if answered:
            elapsed_ms = (now - request.admitted_at) * 1000.0
            self.latencies.record(request.workload, elapsed_ms)

    def adjust_limit(
        self, request: AdmittedRequest, congested: bool, now: float
    ) -> None:
        """Adjust the limit of a priority by how one of its requests went."""
        state = self.priority_class(request.priority)
        in_flight = self.in_flight(request.priority)
        if congested:
            if now - state.decreased_at >= DECREASE_INTERVAL_S:
                base = min(state.limit, float(in_flight))
                state.limit = max(MIN_LIMIT, base * DECREASE_RATIO)
                state.decreased_at = now
        elif in_flight > GROWTH_USE_RATIO * state.limit:
            step = INCREASE_PER_WINDOW * request.cost / state.limit
            state.limit = min(MAX_LIMIT, state.limit + step)
