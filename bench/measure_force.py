"""Measures the delay until a change is in force (``python -m bench.measure_force``).

Starts real entry processes on loopback, replaces the head key in the simulated
platform and reads from the logs when each process put the revision in force.
"""

from __future__ import annotations

import argparse
import re
import time
import urllib.request
from enum import StrEnum
from pathlib import Path
from typing import NamedTuple

import msgspec

from bench.rig import Deployment, Rig, load_example
from sardinehook.environment.document import EnvironmentDocument
from sardinehook.environment.revision import encode_revision, head_key, make_revision

__all__ = ["main"]

EXAMPLE = "szovetseg-trial"
ENTRIES_PER_DATA_CENTRE = (3, 10, 20)
CHANGES = 20
SETTLE_S = 8.0
CHANGE_WAIT_S = 3.0
IDLE_S = 20.0
REVISION_IN_FORCE = re.compile(
    r" time=([0-9.]+) .*event=revision_in_force .*revision=(\d+)"
)
SLOW_DELAY_MS = 500.0
OUTAGE_DELAY_S = 0.01
RECOVERY_WAIT_S = 2.0
CLOCK_TICKS_PER_S = 100


class ProcessUsage(NamedTuple):
    """Total processor time and memory of the entry processes."""

    cpu_s: float
    resident_mb: float


class HeadClient:
    """Writes the head key of the simulated platform directly, without the CLI."""

    def __init__(self, rig: Rig) -> None:
        self.rig = rig
        self.key = head_key(rig.document.environment)
        self.number = 1

    def url(self, path: str) -> str:
        """Return the URL of a path on the platform."""
        return f"http://{self.rig.platform_address}{path}"

    def put_revision(self, document: EnvironmentDocument) -> float:
        """Write the next revision and return the wall-clock time of the reply."""
        with urllib.request.urlopen(self.url(f"/kv/{self.key}")) as reply:
            revision = msgspec.json.decode(reply.read())["revision"]
        self.number += 1
        change = make_revision(self.number, f"change-{self.number}", "", "", document)
        url = self.url(f"/kv/{self.key}?expect={revision}")
        data = encode_revision(change)
        request = urllib.request.Request(url, data, method="PUT")
        urllib.request.urlopen(request).close()
        return time.time()

    def counts(self) -> dict[str, int]:
        """Return the number of calls to the platform by kind."""
        with urllib.request.urlopen(self.url("/counts")) as reply:
            calls: dict[str, int] = msgspec.json.decode(reply.read())["calls"]
        return calls


def read_in_force_times(log: Path) -> dict[int, float]:
    """Return when a process first put each revision in force, from its log."""
    found = REVISION_IN_FORCE.findall(log.read_text())
    return {int(number): float(at) for at, number in reversed(found)}


def read_usage(rig: Rig) -> ProcessUsage:
    """Read the resource usage of the entry processes from ``/proc``."""
    cpu_s = resident_mb = 0.0
    for entry in rig.entries:
        process = rig.children[entry.node].process
        assert process is not None
        stat = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
        cpu_s += (int(stat[11]) + int(stat[12])) / CLOCK_TICKS_PER_S
        status = Path(f"/proc/{process.pid}/status").read_text()
        match = re.search(r"VmRSS:\s+(\d+) kB", status)
        resident_mb += int(match.group(1)) / 1024 if match else 0.0
    return ProcessUsage(cpu_s, resident_mb)


class Fault(StrEnum):
    """The fault of the store during the changes."""

    NONE = "none"
    SLOW = "slow"  # every call takes SLOW_DELAY_MS longer
    DOWN = "down"  # all calls are dropped from OUTAGE_DELAY_S after each change


def measure(entries: int, fault: Fault) -> dict[str, float]:
    """Measure a fleet with ``entries`` entry VMs in each data centre."""
    deployment = Deployment(
        load_example(EXAMPLE), entries_per_data_centre=entries, target_processes=1
    )
    with Rig(deployment) as rig:
        time.sleep(SETTLE_S)
        head = HeadClient(rig)
        counts_before, usage_before = head.counts(), read_usage(rig)
        time.sleep(IDLE_S)
        counts_after, usage_after = head.counts(), read_usage(rig)
        if fault is Fault.SLOW:
            rig.control_platform({"delay_ms": SLOW_DELAY_MS})
        down = fault is Fault.DOWN
        delays_ms = [
            delay_ms
            for n in range(CHANGES)
            for delay_ms in measure_change(rig, head, n, down)
        ]
        nodes = len(rig.entries)
    delays_ms.sort()
    cpu_s = usage_after.cpu_s - usage_before.cpu_s
    calls = sum(counts_after.values()) - sum(counts_before.values())
    kinds = {
        f"calls {kind}": n - counts_before.get(kind, 0)
        for kind, n in counts_after.items()
    }
    print(" ".join(f"{kind}={count}" for kind, count in kinds.items()))
    return {
        "nodes": nodes,
        "samples": len(delays_ms),
        "p50_ms": delays_ms[len(delays_ms) // 2],
        "p99_ms": delays_ms[int(len(delays_ms) * 0.99)],
        "max_ms": delays_ms[-1],
        "rest_store_calls_s": calls / IDLE_S,
        "rest_cpu_percent_a_node": cpu_s / IDLE_S / nodes * 100,
        "resident_mb_a_node": usage_after.resident_mb / nodes,
    }


def measure_change(rig: Rig, head: HeadClient, number: int, down: bool) -> list[float]:
    """Write one change and return the delay in ms until each node has it in force."""
    workloads = {
        name: workload._replace(deadline_ms=200.0 + number)
        for name, workload in rig.document.workloads.items()
    }
    accepted_at = head.put_revision(rig.document._replace(workloads=workloads))
    if down:
        time.sleep(OUTAGE_DELAY_S)
        rig.control_platform({"outage": "cut"})
    time.sleep(CHANGE_WAIT_S)
    if down:
        rig.control_platform({"outage": "none"})
        time.sleep(RECOVERY_WAIT_S)
    logs = [
        read_in_force_times(rig.directory / f"{entry.node}.log")
        for entry in rig.entries
    ]
    assert all(head.number in log for log in logs), (
        f"revision {head.number} is not in force on every node"
    )
    return [(log[head.number] - accepted_at) * 1000 for log in logs]


def main() -> None:
    """Print one line of figures for each fleet size."""
    parser = argparse.ArgumentParser(prog="python -m bench.measure_force")
    parser.add_argument(
        "--entries", type=int, nargs="*", default=ENTRIES_PER_DATA_CENTRE
    )
    parser.add_argument("--fault", type=Fault, default=Fault.NONE)
    options = parser.parse_args()
    for entries in options.entries:
        figures = measure(entries, options.fault)
        print(" ".join(f"{k}={v:.4g}" for k, v in figures.items()), flush=True)


if __name__ == "__main__":
    main()
