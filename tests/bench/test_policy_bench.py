"""Tests of the comparison of policies on a virtual clock."""

from __future__ import annotations

from bench.policy_bench import (
    BASELINE,
    CAPACITY_PER_S,
    FAULTS,
    FULL_COVERAGE_STORM,
    QUANTILE,
    compute_figures,
    simulate,
)
from bench.policy_rig import Arm, ArrivalProcess

LOAD = [ArrivalProcess("storm", FULL_COVERAGE_STORM, 0.2 * CAPACITY_PER_S)]
OVERLOAD = [ArrivalProcess("storm", FULL_COVERAGE_STORM, 2.0 * CAPACITY_PER_S)]


class TestSimulate:
    def test_hedges_cut_the_tail_within_the_budget(self) -> None:
        faults = FAULTS["slow-replies"]
        baseline = compute_figures(simulate(BASELINE, faults, LOAD, 0.3, 1, 0.2))
        hedged = compute_figures(simulate(QUANTILE, faults, LOAD, 0.3, 1, 0.2))
        assert hedged.p99_ms < baseline.p99_ms / 2
        assert hedged.extra_ratio < 0.06
        assert hedged.coverage == 1.0

    def test_same_seed_gives_the_same_run(self) -> None:
        runs = [simulate(QUANTILE, FAULTS["none"], LOAD, 0.1, 7, 0.0) for _ in range(2)]
        assert runs[0] == runs[1]

    def test_admission_refuses_before_any_work(self) -> None:
        arm = Arm("admission", QUANTILE.hedge, admits=True)
        finished = simulate(arm, FAULTS["none"], OVERLOAD, 0.1, 1, 0.0)
        refused = [request for request in finished if request.refused]
        assert refused
        assert all(request.first_attempts == 0 for request in refused)
