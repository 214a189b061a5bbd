"""Short soak runs, regressions of earlier seeds, and the detection of a mutant."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from bench.soak.mutant import MUTANTS
from bench.soak.regressions import REGRESSIONS, Regression
from bench.soak.schedule import Topology, make_restores, make_schedule

REPOSITORY = Path(__file__).resolve().parents[3]
TIMEOUT_S = 150.0


SHORT = ("--seed", "1", "--minutes", "0.25", "--gateways", "4")
OVERLAPS = ("--seed", "3", "--minutes", "0.5", "--overlaps")
MUTATED = ("--seed", "1", "--minutes", "0.1", "--gateways", "2", "--mutant")


class Soaks:
    """Soak processes that run concurrently, since they mostly wait."""

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
                OVERLAPS,
                (*MUTATED, "drop-records"),
                *(arguments_of(case) for case in REGRESSIONS),
            ]
        }

    def result(self, *arguments: str) -> tuple[int, str]:
        """Return the exit code and the output of a soak."""
        process = self.running[arguments]
        output, _ = process.communicate(timeout=TIMEOUT_S)
        return process.returncode, output

    def end(self) -> None:
        """Terminate the running soaks; each terminates its gateways."""
        for process in self.running.values():
            if process.poll() is None:
                process.terminate()
                process.wait()


def arguments_of(case: Regression) -> tuple[str, ...]:
    """Return the command-line arguments that repeat a regression."""
    return ("--seed", str(case.seed), "--minutes", str(case.minutes))


@pytest.fixture(scope="module")
def soaks() -> Iterator[Soaks]:
    """Start all soaks of this module."""
    started = Soaks()
    yield started
    started.end()


class TestShortSoak:
    def test_short_soak_has_no_violation(self, soaks: Soaks) -> None:
        code, output = soaks.result(*SHORT)
        assert code == 0, output

    def test_outages_with_restarts_and_changes_have_no_violation(
        self, soaks: Soaks
    ) -> None:
        """Guards against CONFIG after a silent store, with real processes."""
        code, output = soaks.result(*OVERLAPS)
        assert code == 0, output

    def test_defect_in_the_gateways_is_detected(self, soaks: Soaks) -> None:
        code, output = soaks.result(*MUTATED, "drop-records")
        assert code == 1, output
        assert "whole answer" in output


class TestRegressions:
    @pytest.mark.parametrize("case", REGRESSIONS, ids=lambda case: str(case.seed))
    def test_seed_that_failed_before_passes(
        self, soaks: Soaks, case: Regression
    ) -> None:
        code, output = soaks.result(*arguments_of(case))
        assert code == 0, f"{case.cause}: {output}"


class TestSchedule:
    @pytest.mark.parametrize("seed", range(5))
    def test_same_seed_gives_the_same_schedule(self, seed: int) -> None:
        topology = Topology(6, 28, 3)
        first = make_schedule(seed, topology, 60.0, 1.0)
        assert first == make_schedule(seed, topology, 60.0, 1.0)
        assert len(first) > 20

    def test_all_kinds_of_faults_are_drawn(self) -> None:
        topology = Topology(6, 28, 3)
        kinds = {type(one.fault) for one in make_schedule(1, topology, 600.0, 1.0)}
        assert len(kinds) == 12


class TestRestores:
    @pytest.mark.parametrize("seed", range(5))
    def test_each_schedule_has_a_restore(self, seed: int) -> None:
        assert make_restores(seed, Topology(6, 28, 3), 20.0)


class TestMutants:
    def test_each_mutant_documents_its_defect(self) -> None:
        assert all(mutant.__doc__ for mutant in MUTANTS.values())
