"""Experiments on slow replies and connections that stop responding."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from bench.experiment import AT_LEAST, AT_MOST, Bound, Experiment, Options, Trial
from bench.experiments.common import (
    control_step,
    replicas_of,
    storm_stream,
    szovetseg_deployment,
    with_hedge,
)
from bench.history_bounds import rule_bounds
from bench.results import RunResult
from sardinehook.environment.document import Hedge

__all__ = ["SILENT", "STRAGGLER"]

STORM_WORKLOAD = "storm-night"
LOAD_S = 6.0
STRAGGLER_RATE = 0.01
FIXED_DELAY_MS = 15.0
TAIL_SOURCE = "aim: storm-night p99 within 1.5 times the p99 without faults"
EXTRA_SOURCE = "aim: 5 % or less extra load"
SILENT_AT_S = 3.0


def build_straggler_trials(options: Options) -> Sequence[Trial]:
    """Build the trials with 1 % of replies 20 times slower, and one without faults.

    The product is compared with no hedging and with hedging after a fixed delay.
    """
    straggling = szovetseg_deployment(straggler_rate=STRAGGLER_RATE)
    deployments = {
        "product": straggling,
        "clean": szovetseg_deployment(),
        "no_hedge": with_hedge(straggling, Hedge.NONE, FIXED_DELAY_MS),
        "fixed_hedge": with_hedge(straggling, Hedge.FIXED, FIXED_DELAY_MS),
    }
    streams = (storm_stream(options, LOAD_S),)
    return [
        Trial(name, deployment, streams, duration_s=LOAD_S)
        for name, deployment in deployments.items()
    ]


def evaluate_straggler(results: Mapping[str, RunResult]) -> Sequence[Bound]:
    """Check tail latency and the extra load of hedges."""
    ratio = tail_ratio(results, "product")
    extra = results["product"].extra_load()
    return [
        *rule_bounds(results, "product"),
        Bound("p99_ratio", ratio, AT_MOST, 1.5, TAIL_SOURCE),
        Bound("extra_load", extra, AT_MOST, 0.05, EXTRA_SOURCE),
    ]


def tail_ratio(results: Mapping[str, RunResult], name: str) -> float:
    """Return the ratio of a trial's p99 to the p99 without faults."""
    clean_ms = results["clean"].latency_ms(0.99, STORM_WORKLOAD)
    return results[name].latency_ms(0.99, STORM_WORKLOAD) / clean_ms


def compute_straggler_figures(results: Mapping[str, RunResult]) -> Mapping[str, float]:
    """Return latency, extra load and coverage of each trial."""
    figures = {"clean_p99_ms": results["clean"].latency_ms(0.99, STORM_WORKLOAD)}
    for name, run in results.items():
        figures[f"{name}_p50_ms"] = run.latency_ms(0.5, STORM_WORKLOAD)
        figures[f"{name}_p99_ratio"] = tail_ratio(results, name)
        figures[f"{name}_extra"] = run.extra_load()
        figures[f"{name}_coverage"] = run.mean_coverage(STORM_WORKLOAD)
    return figures


STRAGGLER = Experiment(
    "straggler",
    "1 % of replies 20 times slow, against no hedge and a fixed delay",
    build_straggler_trials,
    evaluate_straggler,
    compute_straggler_figures,
)


def build_silent_trials(options: Options) -> Sequence[Trial]:
    """Build the trial: connections to a third of the replicas stop responding twice."""
    deployment = szovetseg_deployment()
    silent_replicas = replicas_of(deployment.document)[::3]
    steps = [
        control_step(at_s, "connections go silent", silent_replicas, do="silence")
        for at_s in (SILENT_AT_S, SILENT_AT_S + 3.0)
    ]
    return [Trial("product", deployment, (storm_stream(options),), steps)]


def evaluate_silent(results: Mapping[str, RunResult]) -> Sequence[Bound]:
    """Check that searches are still answered in time."""
    run = results["product"]
    p99_ms = run.latency_ms(0.99, STORM_WORKLOAD)
    source = "brief: connections can go silent while new ones work"
    return [
        *rule_bounds(results),
        Bound("answered", run.answered_ratio(), AT_LEAST, 0.99, source),
        Bound("p99_ms", p99_ms, AT_MOST, 160.0, "deadline of 150 ms and its answer"),
        Bound("coverage", run.mean_coverage(), AT_LEAST, 0.95, "enough_coverage"),
    ]


SILENT = Experiment(
    "silent",
    "Open connections to a third of the replicas go silent for good, twice",
    build_silent_trials,
    evaluate_silent,
)
