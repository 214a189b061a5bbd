"""A short soak, and that a fault put into the gateways is found."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from bench.soak.mutant import MUTANTS
from bench.soak.regressions import REGRESSIONS, Regression
from bench.soak.schedule import Size, make_schedule

REPOSITORY = Path(__file__).resolve().parents[3]
TIMEOUT_S = 150.0


def run_soak(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Run a soak as a process of its own."""
    return subprocess.run(
        [sys.executable, "-m", "bench", "soak", *arguments],
        cwd=REPOSITORY,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )


class TestShortSoak:
    def test_no_promise_is_broken(self) -> None:
        ended = run_soak("--seed", "1", "--minutes", "0.25", "--gateways", "4")
        assert ended.returncode == 0, ended.stdout + ended.stderr

    def test_a_fault_in_the_gateways_is_found(self) -> None:
        arguments = ["--seed", "1", "--minutes", "0.1", "--mutant", "drop-records"]
        ended = run_soak(*arguments, "--gateways", "2")
        assert ended.returncode == 1, ended.stdout + ended.stderr
        assert "whole answer" in ended.stdout


class TestRegressions:
    @pytest.mark.parametrize("case", REGRESSIONS, ids=lambda case: str(case.seed))
    def test_a_seed_that_once_failed_passes(self, case: Regression) -> None:
        ended = run_soak("--seed", str(case.seed), "--minutes", str(case.minutes))
        assert ended.returncode == 0, f"{case.cause}: {ended.stdout}{ended.stderr}"


class TestSchedule:
    @pytest.mark.parametrize("seed", range(5))
    def test_a_seed_gives_the_same_faults_again(self, seed: int) -> None:
        size = Size(6, 28, 3)
        first = make_schedule(seed, size, 60.0, 1.0)
        assert first == make_schedule(seed, size, 60.0, 1.0)
        assert len(first) > 20

    def test_all_kinds_are_drawn(self) -> None:
        size = Size(6, 28, 3)
        kinds = {type(one.fault) for one in make_schedule(1, size, 600.0, 1.0)}
        assert len(kinds) == 12


class TestMutants:
    def test_each_says_what_is_wrong_with_it(self) -> None:
        assert all(mutant.__doc__ for mutant in MUTANTS.values())
