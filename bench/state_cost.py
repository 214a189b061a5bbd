"""Measures the memory per replica of a document (``python -m bench.state_cost``).

Each size runs in its own process, as freed memory is not returned to the system.
"""

from __future__ import annotations

import subprocess
import sys
import time

import psutil
from twisted.internet.task import Clock

from sardinehook.entry.dispatcher import IndexedReplica
from sardinehook.environment.canonical import canonical_bytes, document_from
from sardinehook.environment.document import (
    DataCentre,
    EnvironmentDocument,
    Index,
    Replica,
    Scope,
    Workload,
)
from sardinehook.messages import ReplicaReport, TargetState
from sardinehook.query.planner import Planner
from sardinehook.query.policy import SearchPolicy

__all__ = ["StateCost", "measure_in_subprocess"]

from typing import NamedTuple

SIZES = (100, 1000, 4300)
REPLICAS_PER_SERVICE = 2
DATA_CENTRES = 7
BYTES_PER_MB = 1024 * 1024


class StateCost(NamedTuple):
    """Memory and time that applying a document of a given size takes."""

    replicas: int
    memory_mb: float
    apply_ms: float


def make_document(replicas: int) -> EnvironmentDocument:
    """Return a document with one index and two replicas for each service."""
    data_centres = [f"centre-{number}" for number in range(DATA_CENTRES)]
    services = {
        f"logs-{service}": [
            Replica(
                f"logs-{service}-r{copy}",
                data_centres[(service + copy) % DATA_CENTRES],
                f"10.{copy}.{service // 250}.{service % 250}:7000",
            )
            for copy in range(REPLICAS_PER_SERVICE)
        ]
        for service in range(replicas // REPLICAS_PER_SERVICE)
    }
    return EnvironmentDocument(
        environment="production",
        data_centres={name: DataCentre("north") for name in data_centres},
        indexes={"logs": Index(2, 25, 6.0, services)},
        workloads={"search": Workload(["logs"], Scope.ALL, 150.0, 0.9)},
    )


def measure_in_process(replicas: int) -> StateCost:
    """Measure one size in this process."""
    canonical = canonical_bytes(make_document(replicas))
    process = psutil.Process()
    rss_before = process.memory_info().rss
    started = time.perf_counter()
    document = document_from(canonical).unwrap()
    planner = Planner(SearchPolicy())
    planner.apply(document)
    replicas_by_name = {
        replica.name: IndexedReplica(replica, index)
        for index in document.indexes.values()
        for group in index.services.values()
        for replica in group
    }
    now = Clock().seconds()
    for name in replicas_by_name:
        planner.observe_report(
            ReplicaReport(name, TargetState.WARM, (1, 2), 1, 1.0, 2), now
        )
    took_ms = (time.perf_counter() - started) * 1000.0
    growth_bytes = process.memory_info().rss - rss_before
    return StateCost(len(replicas_by_name), growth_bytes / BYTES_PER_MB, took_ms)


def measure_in_subprocess(replicas: int) -> StateCost:
    """Measure one size in a separate process."""
    arguments = [sys.executable, "-m", "bench.state_cost", str(replicas)]
    output = subprocess.run(arguments, capture_output=True, text=True, check=True)
    count, memory_mb, apply_ms = output.stdout.split()
    return StateCost(int(count), float(memory_mb), float(apply_ms))


def main() -> None:
    """Print the cost of the size on the command line, or of all sizes."""
    if len(sys.argv) > 1:
        print(*measure_in_process(int(sys.argv[1])))
        return
    for size in SIZES:
        print(*measure_in_subprocess(size))


if __name__ == "__main__":
    main()
