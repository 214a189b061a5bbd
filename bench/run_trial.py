"""Runs one trial: starts the rig and the load, runs the steps, collects the records."""

from __future__ import annotations

import time
import urllib.request
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
import psutil

from bench.experiment import Options, Trial
from bench.load import LoadPlan, read_calls
from bench.ports import LOOPBACK
from bench.processes import Child
from bench.results import RunResult, StepTime, TargetRecords
from bench.rig import ROOT, Rig

__all__ = ["run_trial"]

FETCH_TIMEOUT_S = 20.0
LOAD_END_MARGIN_S = 20.0
BYTES_PER_MB = 1024 * 1024


def run_trial(
    trial: Trial,
    options: Options,
    directory: Path,
    report_progress: Callable[[str], None],
) -> RunResult:
    """Run a trial and return its records; stops all processes that it started."""
    rig = Rig(trial.deployment._replace(seed=options.seed), directory)
    with rig:
        report_progress(f"{trial.name}: {len(rig.entries)} entry processes are ready")
        loads = start_load(rig, trial, options, directory)
        started_at = wait_for_start(loads)
        before = read_processor_seconds(rig)
        machine_before = read_machine_time()
        steps = run_steps(rig, trial, started_at, report_progress)
        for load in loads:
            load.wait(trial.duration_s + LOAD_END_MARGIN_S)
        after = read_processor_seconds(rig)
        stolen = stolen_ratio(machine_before, read_machine_time())
        memory = read_memory_use(rig)
        records = [fetch_records(port) for port in rig.control_ports]
        counts = fetch(rig.platform_address, "/counts")
    calls = [
        call
        for number in range(trial.load_processes)
        for call in read_calls(directory / f"load-{number}.jsonl")
    ]
    return RunResult(
        name=trial.name,
        started_at=started_at,
        measure_from=started_at + trial.measure_from_s,
        calls=sorted(calls, key=lambda call: call.intended_at),
        events=sorted(event for part in records for event in part.events),
        counters={name: one for part in records for name, one in part.counters.items()},
        left_out=sum(part.left_out for part in records),
        platform_counts=msgspec.json.decode(counts),
        steps=steps,
        processor_s={name: after[name] - before.get(name, 0.0) for name in after},
        memory_mb=memory,
        log_lines={
            entry.node: (directory / f"{entry.node}.log").read_text().splitlines()
            for entry in rig.entries
        },
        exit_codes={
            entry.node: rig.children[entry.node].exit_code for entry in rig.entries
        },
        stolen_ratio=stolen,
        document=trial.deployment.document,
    )


def start_load(
    rig: Rig, trial: Trial, options: Options, directory: Path
) -> list[Child]:
    """Start the load processes; each sends an equal share of every stream."""
    load_processes = trial.load_processes
    streams = tuple(
        stream._replace(rate_per_s=stream.rate_per_s / load_processes)
        for stream in trial.streams
    )
    entries = {entry.node: entry.http_address for entry in rig.entries}
    loads = []
    for number in range(load_processes):
        seed = options.seed * 100 + number
        plan = LoadPlan(entries, streams, seed, f"load{number}")
        path = directory / f"load-{number}.json"
        path.write_bytes(msgspec.json.encode(plan))
        output = directory / f"load-{number}.jsonl"
        arguments = ["-m", "bench.load", str(path), str(output)]
        load = Child(
            f"load-{number}", arguments, directory / f"load-{number}.log", ROOT
        )
        rig.children[load.name] = load
        load.start()
        loads.append(load)
    return loads


def wait_for_start(loads: list[Child]) -> float:
    """Wait for all load processes; returns the earliest start time."""
    starts = []
    for load in loads:
        line = load.wait_for_line("started ")
        starts.append(float(line.partition("at=")[2].split()[0]))
    return min(starts)


def run_steps(
    rig: Rig, trial: Trial, started_at: float, report_progress: Callable[[str], None]
) -> list[StepTime]:
    """Run each step at its time and return the actual times."""
    done = []
    for step in sorted(trial.steps, key=lambda one: one.at_s):
        time.sleep(max(0.0, started_at + step.at_s - time.monotonic()))
        at = time.monotonic()
        step.act(rig)
        done.append(StepTime(step.label, at))
        report_progress(f"{trial.name}: {step.at_s:.1f} s {step.label}")
    return done


class MachineTime(NamedTuple):
    """Processor seconds of the whole machine: total, and stolen by the hypervisor."""

    total: float
    stolen: float


def read_machine_time() -> MachineTime:
    """Return the processor time of the machine since boot."""
    times = psutil.cpu_times()
    return MachineTime(float(sum(times)), float(getattr(times, "steal", 0.0)))


def stolen_ratio(before: MachineTime, after: MachineTime) -> float:
    """Return the steal time between two readings as a fraction of the total."""
    return (after.stolen - before.stolen) / max(after.total - before.total, 1e-9)


def read_processor_seconds(rig: Rig) -> dict[str, float]:
    """Return the processor time used by each running entry process."""
    used = {}
    for entry in rig.entries:
        child = rig.children[entry.node]
        if child.running:
            times = psutil.Process(child.pid).cpu_times()
            used[entry.node] = times.user + times.system
    return used


def read_memory_use(rig: Rig) -> dict[str, float]:
    """Return the resident memory of each running entry process in MB."""
    return {
        entry.node: psutil.Process(rig.children[entry.node].pid).memory_info().rss
        / BYTES_PER_MB
        for entry in rig.entries
        if rig.children[entry.node].running
    }


def fetch(address: str, path: str) -> bytes:
    """GET a path from a simulated server and return the response body."""
    url = f"http://{address}{path}"
    with urllib.request.urlopen(url, timeout=FETCH_TIMEOUT_S) as response:
        body: Any = response.read()
    return bytes(body)


def fetch_records(port: int) -> TargetRecords:
    """Return the records of one process of simulated targets."""
    body = fetch(f"{LOOPBACK}:{port}", "/records")
    return msgspec.json.decode(body, type=TargetRecords)
