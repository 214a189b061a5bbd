"""Experiment: the whole request path at the current size, without faults."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from bench.experiment import AT_LEAST, AT_MOST, Bound, Experiment, Options, Trial
from bench.experiments.common import lookup_stream, storm_stream, szovetseg_deployment
from bench.history_bounds import rule_bounds
from bench.results import RunResult

__all__ = ["PATH"]

P99_SOURCE = "size to design for: 99 in 100 within 150 ms"


def build_trials(options: Options) -> Sequence[Trial]:
    """Build the trial: searches and look-ups, 3 entry VMs in each data centre."""
    streams = (storm_stream(options), lookup_stream(options))
    return [Trial("product", szovetseg_deployment(entries=3), streams)]


def evaluate(results: Mapping[str, RunResult]) -> Sequence[Bound]:
    """Check latency, and that every request was answered."""
    run = results["product"]
    p99_ms = run.latency_ms(0.99, "storm-night")
    return [
        *rule_bounds(results),
        Bound("storm_p99_ms", p99_ms, AT_MOST, 150, P99_SOURCE),
        Bound("answered", run.answered_ratio(), AT_LEAST, 1.0, "no fault, no refusal"),
    ]


def compute_figures(results: Mapping[str, RunResult]) -> Mapping[str, float]:
    """Return latencies, coverage, extra load, processor time and memory."""
    run = results["product"]
    sub_queries = max(1, run.count_events("begun"))
    return {
        "calls": len(run.measured_calls()),
        "storm_p50_ms": run.latency_ms(0.5, "storm-night"),
        "lookup_p50_ms": run.latency_ms(0.5, "counter-lookup"),
        "lookup_p99_ms": run.latency_ms(0.99, "counter-lookup"),
        "coverage": run.mean_coverage(),
        "extra_load": run.extra_load(),
        "processor_us_per_sub_query": 1e6 * sum(run.processor_s.values()) / sub_queries,
        "memory_mb": max(run.memory_mb.values()),
    }


PATH = Experiment(
    "path",
    "The whole path at today's size without faults",
    build_trials,
    evaluate,
    compute_figures,
)
