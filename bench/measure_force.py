"""Measures how soon a change is in force (``python -m bench.measure_force``).

Starts real entry processes on loopback, swaps the head in the stand-in platform and
reads from the processes' logs when each put the revision in force.
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
ENTRIES_A_DATA_CENTRE = (3, 10, 20)
CHANGES = 20
SETTLE_S = 8.0
CHANGE_S = 3.0
REST_S = 20.0
FORCED = re.compile(r" time=([0-9.]+) .*event=revision_in_force .*revision=(\d+)")
SLOW_MS = 500.0
DOWN_AFTER_S = 0.01
RECOVER_S = 2.0
TICKS_A_SECOND = 100


class Usage(NamedTuple):
    """Processor time and memory of the entry processes together."""

    cpu_s: float
    resident_mb: float


class Head:
    """The head key of the stand-in platform, changed without the command line."""

    def __init__(self, rig: Rig) -> None:
        self.rig = rig
        self.key = head_key(rig.document.environment)
        self.number = 1

    def url(self, path: str) -> str:
        """The URL of a path."""
        return f"http://{self.rig.platform_address}{path}"

    def accept(self, document: EnvironmentDocument) -> float:
        """Swap the head and return when its reply came, in wall clock seconds."""
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
        """The calls on the platform so far."""
        with urllib.request.urlopen(self.url("/counts")) as reply:
            calls: dict[str, int] = msgspec.json.decode(reply.read())["calls"]
        return calls


def forced_at(log: Path) -> dict[int, float]:
    """When a process put each revision in force, from its log."""
    found = FORCED.findall(log.read_text())
    return {int(number): float(at) for at, number in reversed(found)}


def usage(rig: Rig) -> Usage:
    """Read what the entry processes have used so far."""
    cpu_s = resident_mb = 0.0
    for place in rig.entries:
        process = rig.children[place.node].process
        assert process is not None
        stat = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
        cpu_s += (int(stat[11]) + int(stat[12])) / TICKS_A_SECOND
        status = Path(f"/proc/{process.pid}/status").read_text()
        match = re.search(r"VmRSS:\s+(\d+) kB", status)
        resident_mb += int(match.group(1)) / 1024 if match else 0.0
    return Usage(cpu_s, resident_mb)


class Fault(StrEnum):
    """What ails the store during the changes."""

    NONE = "none"
    SLOW = "slow"  # every call takes SLOW_MS longer
    DOWN = "down"  # it drops every call from DOWN_AFTER_S after each change


def measure(entries: int, fault: Fault) -> dict[str, float]:
    """Measure one size."""
    deployment = Deployment(
        load_example(EXAMPLE), entries_per_data_centre=entries, target_processes=1
    )
    with Rig(deployment) as rig:
        time.sleep(SETTLE_S)
        head = Head(rig)
        before, used = head.counts(), usage(rig)
        time.sleep(REST_S)
        after, used_later = head.counts(), usage(rig)
        if fault is Fault.SLOW:
            rig.control_platform({"delay_ms": SLOW_MS})
        down = fault is Fault.DOWN
        times = [at for n in range(CHANGES) for at in change_once(rig, head, n, down)]
        nodes = len(rig.entries)
    times.sort()
    cpu_s = used_later.cpu_s - used.cpu_s
    calls = sum(after.values()) - sum(before.values())
    kinds = {f"calls {kind}": n - before.get(kind, 0) for kind, n in after.items()}
    print(" ".join(f"{kind}={count}" for kind, count in kinds.items()))
    return {
        "nodes": nodes,
        "samples": len(times),
        "p50_ms": times[len(times) // 2],
        "p99_ms": times[int(len(times) * 0.99)],
        "max_ms": times[-1],
        "rest_store_calls_s": calls / REST_S,
        "rest_cpu_percent_a_node": cpu_s / REST_S / nodes * 100,
        "resident_mb_a_node": used_later.resident_mb / nodes,
    }


def change_once(rig: Rig, head: Head, place: int, down: bool) -> list[float]:
    """Accept one change and return how late each node had it, in milliseconds."""
    workloads = {
        name: workload._replace(deadline_ms=200.0 + place)
        for name, workload in rig.document.workloads.items()
    }
    accepted_at = head.accept(rig.document._replace(workloads=workloads))
    if down:
        time.sleep(DOWN_AFTER_S)
        rig.control_platform({"outage": "cut"})
    time.sleep(CHANGE_S)
    if down:
        rig.control_platform({"outage": "none"})
        time.sleep(RECOVER_S)
    logs = [forced_at(rig.directory / f"{place.node}.log") for place in rig.entries]
    assert all(head.number in log for log in logs), "not in force everywhere"
    return [(log[head.number] - accepted_at) * 1000 for log in logs]


def main() -> None:
    """Print a line for each size."""
    parser = argparse.ArgumentParser(prog="python -m bench.measure_force")
    parser.add_argument("--entries", type=int, nargs="*", default=ENTRIES_A_DATA_CENTRE)
    parser.add_argument("--fault", type=Fault, default=Fault.NONE)
    options = parser.parse_args()
    for entries in options.entries:
        figures = measure(entries, options.fault)
        print(" ".join(f"{k}={v:.4g}" for k, v in figures.items()), flush=True)


if __name__ == "__main__":
    main()
