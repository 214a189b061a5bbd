"""Experiment: load of twice the capacity of the targets."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from bench.experiment import AT_LEAST, Bound, Experiment, Options, Trial
from bench.experiments.common import szovetseg_deployment
from bench.history_bounds import rule_bounds
from bench.load import Stream
from bench.results import RunResult

__all__ = ["OVERLOAD"]

SERVICE_MS = 60.0
SLOTS = 2
REPLICAS = 2
SERVICES = 20
LOAD_S = 10.0
DEADLINE_MS = 300.0
STORM_WORKLOAD = "order-search"


def build_trials(options: Options) -> Sequence[Trial]:
    """Build the trials: searches of one index at 0.75 and 2 times its capacity."""
    base = szovetseg_deployment(service_ms=SERVICE_MS)
    document = base.document
    storm = document.workloads["storm-night"]._replace(
        indexes=["logfinder"], deadline_ms=DEADLINE_MS
    )
    document = document._replace(
        workloads={**document.workloads, STORM_WORKLOAD: storm}
    )
    deployment = base._replace(document=document)
    capacity = REPLICAS * SLOTS * 1000.0 / SERVICE_MS
    return [
        Trial(
            name,
            deployment,
            (
                Stream(
                    STORM_WORKLOAD, capacity * factor, 0.0, LOAD_S, DEADLINE_MS, limit=5
                ),
            ),
            duration_s=LOAD_S,
            measure_from_s=3.0,
        )
        for name, factor in {"product": 2.0, "calm": 0.75}.items()
    ]


def goodput(run: RunResult) -> float:
    """Return the answers per second that arrive within 1.1 times the deadline."""
    calls = run.measured_calls()
    good = sum(call.ok and call.latency_ms <= DEADLINE_MS * 1.1 for call in calls)
    return good / (LOAD_S - 3.0)


def evaluate(results: Mapping[str, RunResult]) -> Sequence[Bound]:
    """Check goodput against the capacity of the targets."""
    capacity = REPLICAS * SLOTS * 1000.0 / SERVICE_MS
    ratio = goodput(results["product"]) / capacity
    source = "aim: goodput at 2x overload 90 % or more of capacity"
    return [
        *rule_bounds(results),
        Bound("goodput_ratio", ratio, AT_LEAST, 0.9, source),
    ]


def compute_figures(results: Mapping[str, RunResult]) -> Mapping[str, float]:
    """Return goodput, the share of requests not run, and latency."""
    run = results["product"]
    calls = run.measured_calls()
    not_run = sum(c.answer.get("error", {}).get("not_run", False) for c in calls)
    return {
        "goodput_per_s": goodput(run),
        "calm_goodput_per_s": goodput(results["calm"]),
        "calm_answered": results["calm"].answered_ratio(),
        "not_run_ratio": not_run / max(1, len(calls)),
        "p99_ms": run.latency_ms(0.99),
        "extra_load": run.extra_load(),
    }


OVERLOAD = Experiment(
    "overload",
    "Twice the load that the targets bear",
    build_trials,
    evaluate,
    compute_figures,
)
