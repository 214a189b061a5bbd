"""Compares hedging and admission policies on a virtual clock.

Run ``python -m bench.policy_bench stragglers --seeds 3 --seconds 4``. The requests of
all seeds are pooled. ``x`` is the ratio of p99 to that of the same arm without faults
and ``xb`` to that of the baseline without faults.
"""

from __future__ import annotations

import sys
from argparse import ArgumentParser, Namespace
from collections.abc import Sequence
from math import exp
from random import Random
from typing import NamedTuple

import numpy as np

from bench.policy_rig import (
    DATA_CENTRE,
    SERVICE_MEDIAN_MS,
    SERVICE_SIGMA,
    Arm,
    ArrivalProcess,
    Faults,
    FinishedRequest,
    SimulatedEntry,
    SimulatedReplica,
    VirtualClock,
)
from sardinehook.environment.document import Scope, Wait, Workload
from sardinehook.query.hedging import FixedDelayHedge, NoHedge, QuantileHedge
from sardinehook.query.replica_choice import Placement

__all__ = ["main"]

SERVICES = 50
SLOTS = 2
ENTRIES = 6
WARM_UP_S = 1.0
MEAN_SERVICE_S = SERVICE_MEDIAN_MS * exp(SERVICE_SIGMA**2 / 2) / 1000.0
CAPACITY_PER_S = 2 * SLOTS / MEAN_SERVICE_S

AUDIT = Workload(["logs"], Scope.ALL, 1000.0, 0.95, priority=5)
STORM = Workload(
    ["logs"],
    Scope.ALL,
    150.0,
    0.5,
    wait=Wait.ENOUGH,
    enough_coverage=0.98,
    settle_ms=5.0,
    priority=0,
)
FULL_COVERAGE_STORM = STORM._replace(wait=Wait.FULL, enough_coverage=1.0)

BASELINE = Arm("random-no-hedge", NoHedge(), 1.0, False, random_replica=True)
FIXED = Arm(
    "random-fixed-no-budget", FixedDelayHedge(10.0), 1.0, False, random_replica=True
)
CHOOSER = Arm("chooser-no-hedge", NoHedge(), 1.0)
QUANTILE = Arm("quantile-budget", QuantileHedge())
STRAGGLER_ARMS = (BASELINE, FIXED, CHOOSER, QUANTILE)

SLOW_REPLICA = frozenset({"logs-7-a"})
FAULTS = {
    "none": Faults(),
    "slow-replies": Faults(0.01),
    "slow-replica": Faults(0.0, SLOW_REPLICA),
    "both": Faults(0.01, SLOW_REPLICA),
}


class Figures(NamedTuple):
    """Latency, coverage and load of one run, or of several pooled.

    ``extra_ratio`` is hedges and retries over first attempts.
    """

    p50_ms: float
    p99_ms: float
    p999_ms: float
    coverage: float
    extra_ratio: float
    answered_ratio: float
    offered: int


def simulate(
    arm: Arm,
    faults: Faults,
    load: Sequence[ArrivalProcess],
    seconds: float,
    seed: int,
    warm_up_s: float = WARM_UP_S,
) -> list[FinishedRequest]:
    """Simulate one arm and return the requests that arrived after the warm-up."""
    clock = VirtualClock()
    services = [
        (
            f"logs-{number}",
            tuple(Placement(f"logs-{number}-{copy}", DATA_CENTRE) for copy in "ab"),
        )
        for number in range(SERVICES)
    ]
    replicas = {
        placement.replica: SimulatedReplica(
            placement.replica,
            SLOTS,
            clock,
            Random(f"{seed}{placement.replica}"),
            faults,
        )
        for _, placements in services
        for placement in placements
    }
    entries = [
        SimulatedEntry(number, arm, services, replicas, clock, seed)
        for number in range(ENTRIES)
    ]
    end_s = warm_up_s + seconds
    for entry in entries:
        for arrivals in load:
            share = arrivals._replace(per_second=arrivals.per_second / ENTRIES)
            entry.schedule_first_arrival(share, end_s)
    clock.run()
    return [
        finished
        for entry in entries
        for finished in entry.finished
        if finished.arrived_at >= warm_up_s
    ]


def compute_figures(finished: Sequence[FinishedRequest]) -> Figures:
    """Compute the figures of finished requests; refused ones have no latency."""
    run = [request for request in finished if not request.refused]
    latencies = [request.latency_ms for request in run]
    p50, p99, p999 = np.percentile(latencies, [50.0, 99.0, 99.9])
    first = sum(request.first_attempts for request in run)
    extra = sum(request.extra_attempts for request in run)
    return Figures(
        float(p50),
        float(p99),
        float(p999),
        float(np.mean([request.coverage for request in run])),
        extra / first,
        sum(request.answered for request in finished) / len(finished),
        len(finished),
    )


def compare_stragglers(options: Namespace) -> None:
    """Print the latency of all arms under each fault, relative to runs without."""
    for name, workload in (("storm", STORM), ("storm-full", FULL_COVERAGE_STORM)):
        load = [ArrivalProcess(name, workload, options.load * CAPACITY_PER_S)]
        fault_free: dict[str, Figures] = {}
        for fault, faults in FAULTS.items():
            for arm in STRAGGLER_ARMS:
                if options.arm not in arm.name:
                    continue
                pooled = [
                    finished
                    for seed in range(options.seed, options.seed + options.seeds)
                    for finished in simulate(arm, faults, load, options.seconds, seed)
                ]
                figures = compute_figures(pooled)
                reference = fault_free.setdefault(arm.name, figures)
                baseline = next(iter(fault_free.values()))
                print(
                    f"{name:11}{fault:13}{arm.name:23}"
                    f" p50={figures.p50_ms:6.2f}ms p99={figures.p99_ms:7.2f}ms"
                    f" x{figures.p99_ms / reference.p99_ms:5.2f}"
                    f" xb{figures.p99_ms / baseline.p99_ms:5.2f}"
                    f" p99.9={figures.p999_ms:7.2f}ms"
                    f" coverage={figures.coverage:.4f} extra={figures.extra_ratio:.4f}"
                    f" n={figures.offered}",
                    flush=True,
                )


def compare_overload(options: Namespace) -> None:
    """Print goodput at twice the capacity with and without admission control."""
    arms = (
        Arm("fixed-no-budget", FixedDelayHedge(10.0), enforces_budget=False),
        Arm("no-admission", QuantileHedge()),
        Arm("admission", QuantileHedge(), admits=True),
    )
    for name, storm_ratio, audit_ratio in (
        ("storm-2x", 2.0, 0.0),
        ("storm-1x-audit-1x", 1.0, 1.0),
        ("storm-0.5x-audit-1.5x", 0.5, 1.5),
    ):
        load = [
            ArrivalProcess("storm", FULL_COVERAGE_STORM, storm_ratio * CAPACITY_PER_S),
            ArrivalProcess("audit", AUDIT, audit_ratio * CAPACITY_PER_S),
        ]
        load = [arrivals for arrivals in load if arrivals.per_second]
        for arm in arms:
            if options.arm not in arm.name:
                continue
            pooled = [
                finished
                for seed in range(options.seed, options.seed + options.seeds)
                for finished in simulate(
                    arm, FAULTS["none"], load, options.seconds, seed
                )
            ]
            print(f"{name:22}{arm.name:16}{goodput_line(pooled, options)}", flush=True)


def goodput_line(pooled: Sequence[FinishedRequest], options: Namespace) -> str:
    """Format goodput as a share of the capacity, in total and by workload."""
    duration_s = options.seconds * options.seeds
    parts = []
    total = 0.0
    for workload in ("storm", "audit"):
        arm_requests = [request for request in pooled if request.workload == workload]
        if arm_requests:
            rate = (
                sum(request.answered * request.coverage for request in arm_requests)
                / duration_s
            )
            total += rate / CAPACITY_PER_S
            figures = compute_figures(arm_requests)
            parts.append(
                f" {workload}: goodput={rate / CAPACITY_PER_S:.3f}"
                f" answered={figures.answered_ratio:.3f} p99={figures.p99_ms:.1f}ms"
                f" coverage={figures.coverage:.3f} extra={figures.extra_ratio:.3f}"
            )
    return f"goodput={total:.3f} of capacity;" + ";".join(parts)


def main(arguments: Sequence[str]) -> None:
    """Run the comparison that is selected on the command line."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("part", choices=["stragglers", "overload"])
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--load", type=float, default=0.3)
    parser.add_argument("--arm", default="")
    options = parser.parse_args(arguments)
    match options.part:
        case "stragglers":
            compare_stragglers(options)
        case "overload":
            compare_overload(options)


if __name__ == "__main__":
    main(sys.argv[1:])
