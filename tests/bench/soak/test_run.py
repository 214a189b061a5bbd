"""A short soak, and that a fault put into the gateways is found."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from bench.soak.mutant import MUTANTS
from bench.soak.regressions import REGRESSIONS, Regression
from bench.soak.schedule import Topology, make_schedule

REPOSITORY = Path(__file__).resolve().parents[3]
TIMEOUT_S = 150.0


SHORT = ("--seed", "1", "--minutes", "0.25", "--gateways", "4")
FAULTY = ("--seed", "1", "--minutes", "0.1", "--gateways", "2", "--mutant")


class Soaks:
    """Soaks as processes of their own, all at once, since they mostly wait."""

    def __init__(self) -> None:
        self.running = {
            arguments: subprocess.Popen(
                [sys.executable, "-m", "bench", "soak", *arguments],
                cwd=REPOSITORY,
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                text=True,
            )
            for arguments in [
                SHORT,
                (*FAULTY, "drop-records"),
                *(arguments_of(case) for case in REGRESSIONS),
            ]
        }

    def result(self, *arguments: str) -> tuple[int, str]:
        """Return the exit code and the output of a soak."""
        process = self.running[arguments]
        output, _ = process.communicate(timeout=TIMEOUT_S)
        return process.returncode, output

    def end(self) -> None:
        """End what still runs; a soak ends its gateways."""
        for process in self.running.values():
            if process.poll() is None:
                process.terminate()
                process.wait()


def arguments_of(case: Regression) -> tuple[str, ...]:
    """Return the arguments that run a case again."""
    return ("--seed", str(case.seed), "--minutes", str(case.minutes))


@pytest.fixture(scope="module")
def soaks() -> Iterator[Soaks]:
    """Start all soaks of this module."""
    started = Soaks()
    yield started
    started.end()


class TestShortSoak:
    def test_no_promise_is_broken(self, soaks: Soaks) -> None:
        code, output = soaks.result(*SHORT)
        assert code == 0, output

    def test_a_fault_in_the_gateways_is_found(self, soaks: Soaks) -> None:
        code, output = soaks.result(*FAULTY, "drop-records")
        assert code == 1, output
        assert "whole answer" in output


class TestRegressions:
    @pytest.mark.parametrize("case", REGRESSIONS, ids=lambda case: str(case.seed))
    def test_a_seed_that_once_failed_passes(
        self, soaks: Soaks, case: Regression
    ) -> None:
        code, output = soaks.result(*arguments_of(case))
        assert code == 0, f"{case.cause}: {output}"


class TestSchedule:
    @pytest.mark.parametrize("seed", range(5))
    def test_a_seed_gives_the_same_faults_again(self, seed: int) -> None:
        topology = Topology(6, 28, 3)
        first = make_schedule(seed, topology, 60.0, 1.0)
        assert first == make_schedule(seed, topology, 60.0, 1.0)
        assert len(first) > 20

    def test_all_kinds_are_drawn(self) -> None:
        topology = Topology(6, 28, 3)
        kinds = {type(one.fault) for one in make_schedule(1, topology, 600.0, 1.0)}
        assert len(kinds) == 12


class TestMutants:
    def test_each_says_what_is_wrong_with_it(self) -> None:
        assert all(mutant.__doc__ for mutant in MUTANTS.values())
