"""Results of a trial and the figures derived from them."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

import msgspec
import numpy

from bench.load import CallRecord
from bench.target_records import WorkEvent
from sardinehook.environment.document import EnvironmentDocument

__all__ = ["RunResult", "TargetCounters", "percentile"]


class TargetCounters(msgspec.Struct):
    """Counters of one replica of a simulated target."""

    peak_in_flight: int = 0
    peak_cold_in_flight: int = 0
    peak_connections: int = 0
    overruns: int = 0
    begun: int = 0
    finished: int = 0


class TargetRecords(msgspec.Struct):
    """The body of a simulated target's ``GET /records``."""

    counters: dict[str, dict[str, Any]]
    events: list[WorkEvent]
    left_out: int


class StepTime(NamedTuple):
    """The time at which a step was done, by ``time.monotonic()`` in seconds."""

    label: str
    at: float


class RunResult(NamedTuple):
    """The records of one trial; times are ``time.monotonic()`` in seconds.

    ``stolen_ratio`` is the share of processor time that the hypervisor gave to other
    guests (steal time). With a high ratio, latencies are not meaningful. ``left_out``
    counts target events that were not recorded.
    """

    name: str
    started_at: float
    measure_from: float
    calls: list[CallRecord]
    events: list[WorkEvent]
    counters: dict[str, dict[str, Any]]
    left_out: int
    platform_counts: dict[str, Any]
    steps: list[StepTime]
    processor_s: dict[str, float]
    memory_mb: dict[str, float]
    log_lines: dict[str, list[str]]
    exit_codes: dict[str, int]
    document: EnvironmentDocument | None = None
    stolen_ratio: float = 0.0

    def measured_calls(
        self, workload: str = "", from_s: float = 0.0, to_s: float = 1e9
    ) -> list[CallRecord]:
        """Return the calls after the warm-up, of one workload or of all.

        ``from_s`` and ``to_s`` limit the intended start, in seconds of the run.
        """
        first = max(self.measure_from, self.started_at + from_s)
        last = self.started_at + to_s
        return [
            call
            for call in self.calls
            if first <= call.intended_at < last and workload in ("", call.workload)
        ]

    def latency_ms(self, quantile: float, workload: str = "") -> float:
        """Return a quantile of the latency of all measured calls, answered or not."""
        return percentile(
            [one.latency_ms for one in self.measured_calls(workload)], quantile
        )

    def answered_ratio(self, workload: str = "") -> float:
        """Return the share of measured calls with an answer, zero without calls."""
        calls = self.measured_calls(workload)
        return sum(call.ok for call in calls) / len(calls) if calls else 0.0

    def mean_coverage(self, workload: str = "") -> float:
        """Return the mean coverage of measured calls; a refusal counts as zero."""
        calls = self.measured_calls(workload)
        ratios = [call.answer.get("coverage", {}).get("ratio", 0.0) for call in calls]
        return float(numpy.mean(ratios)) if ratios else 0.0

    def extra_load(self) -> float:
        """Return the ratio of sub-queries begun to those needed, minus one.

        Each service that a measured call asked for needs one sub-query.
        """
        calls = self.measured_calls()
        needed = sum(call.answer.get("coverage", {}).get("asked", 0) for call in calls)
        requests = {call.request for call in calls}
        begun = sum(
            event.kind == "begun" and event.request_id in requests
            for event in self.events
        )
        return begun / needed - 1.0 if needed else 0.0

    def count_events(self, kind: str) -> int:
        """Return the number of target events of one kind."""
        return sum(event.kind == kind for event in self.events)

    def series(
        self, value: Callable[[Sequence[CallRecord]], float], step_s: float = 0.25
    ) -> list[tuple[float, float]]:
        """Return a time series: (seconds of the run, value) for each interval."""
        buckets: dict[int, list[CallRecord]] = defaultdict(list)
        for call in self.calls:
            buckets[int((call.intended_at - self.started_at) / step_s)].append(call)
        return [(key * step_s, value(buckets[key])) for key in sorted(buckets)]


def percentile(values: Sequence[float], quantile: float) -> float:
    """Return a quantile, ``nan`` without values.

    >>> percentile([1.0, 2.0, 3.0], 0.5)
    2.0
    """
    return float(numpy.quantile(values, quantile)) if values else float("nan")
