"""Measures what the start of a gateway costs, as a ratio to the interpreter's own."""

from __future__ import annotations

import os
import resource
import subprocess
import sys
import time
from typing import Annotated, NamedTuple

import typer

__all__ = ["ModuleCost", "import_costs", "parse_import_times"]

MODULE = "sardinehook.gateway.run"
ROUNDS = 7
MS_PER_S = 1000.0
US_PER_MS = 1000.0


class StartCost(NamedTuple):
    """Processor time and elapsed time of one start, in seconds."""

    processor_s: float
    elapsed_s: float


class ModuleCost(NamedTuple):
    """A module with the time of its own code and with that of all it imports."""

    name: str
    own_ms: float
    total_ms: float


def run_python(path: str, *arguments: str) -> subprocess.CompletedProcess[str]:
    """Run the interpreter as the deployment does, without site-packages' path files."""
    return subprocess.run(
        [sys.executable, "-S", *arguments],
        env={**os.environ, "PYTHONPATH": path},
        capture_output=True,
        text=True,
        check=True,
    )


def measure_start(path: str, code: str) -> StartCost:
    """Return the cost of running ``code``, the least of ``ROUNDS`` runs."""
    costs = []
    for _ in range(ROUNDS):
        before = resource.getrusage(resource.RUSAGE_CHILDREN)
        began = time.perf_counter()
        run_python(path, "-c", code)
        elapsed_s = time.perf_counter() - began
        after = resource.getrusage(resource.RUSAGE_CHILDREN)
        spent_s = after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime
        costs.append(StartCost(spent_s, elapsed_s))
    return min(costs)


def parse_import_times(text: str) -> list[ModuleCost]:
    """Parse what ``python -X importtime`` prints.

    >>> parse_import_times("import time:  1500 |  2500 |   msgspec")
    [ModuleCost(name='msgspec', own_ms=1.5, total_ms=2.5)]
    """
    costs = []
    for line in text.splitlines():
        fields = line.removeprefix("import time:").split("|")
        if len(fields) == 3 and fields[0].strip().isdigit():
            own, total = (int(field) / US_PER_MS for field in fields[:2])
            costs.append(ModuleCost(fields[2].strip(), own, total))
    return costs


def import_costs(path: str) -> list[ModuleCost]:
    """Return the cost of each module that a gateway loads, the largest first."""
    printed = run_python(path, "-X", "importtime", "-c", f"import {MODULE}").stderr
    return sorted(parse_import_times(printed), key=lambda cost: -cost.total_ms)


def main(
    libraries: Annotated[
        str, typer.Option(help="Folder of the deployment's libraries.")
    ] = "target/deps",
    modules: Annotated[int, typer.Option(help="How many to list.")] = 15,
) -> None:
    """Print the cost of a start, and of the modules that cost most.

    The libraries matter: some import others that happen to be installed.
    """
    path = os.pathsep.join([libraries, os.getcwd()])
    bare = measure_start(path, "pass")
    gateway = measure_start(path, f"import {MODULE}")
    costs = import_costs(path)
    ratio = gateway.processor_s / bare.processor_s
    sys.stdout.write(
        f"processor {gateway.processor_s * MS_PER_S:.0f} ms, {ratio:.1f} times the "
        f"interpreter's {bare.processor_s * MS_PER_S:.0f} ms; elapsed "
        f"{gateway.elapsed_s * MS_PER_S:.0f} ms; {len(costs)} modules\n"
    )
    for cost in costs[:modules]:
        sys.stdout.write(
            f"{cost.total_ms:8.1f} ms, own {cost.own_ms:6.1f} ms  {cost.name}\n"
        )


if __name__ == "__main__":
    typer.run(main)
