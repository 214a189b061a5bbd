"""Measures how control and the data path scale: processor time, memory, messages."""

from __future__ import annotations

import json
import re
import subprocess
import sys
import time
from collections.abc import Mapping

from bench.experiment import AT_MOST, Bound, Options
from bench.measure_force import HeadClient, read_usage
from bench.measurement import Measurement, MeasurementResult
from bench.membership_cost import measure as measure_membership
from bench.policy_cost import measure_policy_us
from bench.rig import Deployment, Rig, load_example
from bench.state_cost import SIZES, measure_in_subprocess

__all__ = ["CONTROL", "FANOUT_GROWTH", "MEMBERSHIP_COST", "SUBQUERY_COST"]

ENTRIES_PER_DATA_CENTRE = (1, 2, 5)
SETTLE_S = 3.0
IDLE_S = 4.0
FULL_SIZE = (550, 7)
MEMBERSHIP_SIZES = ((9, 3), (60, 3))
FAN_OUTS = (1, 10, 50, 200, 740)
LINK_BATCHES = (1, 10, 100)
POLICY_SAMPLES = 5
PROGRAM_TIMEOUT_S = 120.0
FIGURE_PATTERN = re.compile(r"(\w+)=([0-9.]+)")
CONTROL_SOURCE = "letter: 2.4 % of a core, 64 MB and 3 KB/s for control"
COST_SOURCE = "aim: 100 us or less for the whole path of a sub-query on an entry"


def measure_idle(entries: int) -> Mapping[str, float]:
    """Measure store calls, processor time and memory of idle entry processes."""
    document = load_example("szovetseg-trial")
    deployment = Deployment(document, entries, target_processes=1)
    with Rig(deployment) as rig:
        time.sleep(SETTLE_S)
        head = HeadClient(rig)
        calls_before, usage_before = head.counts(), read_usage(rig)
        time.sleep(IDLE_S)
        calls_after, usage_after = head.counts(), read_usage(rig)
        nodes = len(rig.entries)
    call_count = sum(calls_after.values()) - sum(calls_before.values())
    cpu_s = usage_after.cpu_s - usage_before.cpu_s
    return {
        f"nodes_{nodes}_store_calls_per_s": call_count / IDLE_S,
        f"nodes_{nodes}_processor_percent": 100.0 * cpu_s / IDLE_S / nodes,
        f"nodes_{nodes}_memory_mb": usage_after.resident_mb / nodes,
    }


def compute_control(options: Options) -> MeasurementResult:
    """Measure what control costs a node: processor time, memory and network bytes."""
    figures: dict[str, float] = {}
    for entries in ENTRIES_PER_DATA_CENTRE:
        figures.update(measure_idle(entries))
    for nodes, data_centres in MEMBERSHIP_SIZES:
        cost = measure_membership(nodes, data_centres)
        figures[f"membership_{nodes}_bytes_per_s"] = cost.bytes_per_s
        figures[f"membership_{nodes}_restarts_bytes_per_s"] = (
            cost.bytes_per_s_in_restarts
        )
    for size in SIZES:
        state = measure_in_subprocess(size)
        figures[f"replicas_{size}_memory_mb"] = state.memory_mb
        figures[f"replicas_{size}_apply_ms"] = state.apply_ms
    memory = max(v for k, v in figures.items() if re.match(r"nodes_\d+_memory", k))
    percents = [v for k, v in figures.items() if k.endswith("processor_percent")]
    rates = [v for k, v in figures.items() if k.endswith("bytes_per_s")]
    bounds = [
        Bound("processor_percent", max(percents), AT_MOST, 2.4, CONTROL_SOURCE),
        Bound("memory_mb", memory, AT_MOST, 64.0, CONTROL_SOURCE),
        Bound("bytes_per_s", max(rates), AT_MOST, 3000.0, CONTROL_SOURCE),
    ]
    return MeasurementResult(figures, bounds)


def run_module(module: str, *arguments: str) -> str:
    """Run a benchmark program in a subprocess and return its standard output."""
    command = [sys.executable, "-m", module, *arguments]
    completed = subprocess.run(
        command, capture_output=True, text=True, timeout=PROGRAM_TIMEOUT_S, check=False
    )
    return completed.stdout


def compute_sub_query(options: Options) -> MeasurementResult:
    """Measure the cost of policy, links and target transport for a sub-query."""
    output = run_module("bench.subquery_cost")
    figures = {f"transport_{k}": float(v) for k, v in FIGURE_PATTERN.findall(output)}
    figures["policy_us"] = measure_policy_us(50, POLICY_SAMPLES)
    for batch in LINK_BATCHES:
        output = run_module(
            "bench.link_cost", "--transport", "link", "--batch", str(batch)
        )
        cost = json.loads(output)["processor_us_per_message"]
        figures[f"link_batch_{batch}_us"] = float(cost)
    total_us = figures["transport_owner_us"] + figures["policy_us"]
    figures["agent_to_owner"] = figures.pop("transport_agent_to_owner")
    return MeasurementResult(
        figures, [Bound("whole_us", total_us, AT_MOST, 100.0, COST_SOURCE)]
    )


def compute_fan_out(options: Options) -> MeasurementResult:
    """Measure how the policy cost per sub-query grows with the fan-out."""
    figures = {
        f"fan_out_{one}_us": measure_policy_us(one, POLICY_SAMPLES) for one in FAN_OUTS
    }
    growth = figures["fan_out_740_us"] / figures["fan_out_50_us"]
    source = "cost of a sub-query does not grow with the fan-out"
    return MeasurementResult(figures, [Bound("growth", growth, AT_MOST, 1.5, source)])


def compute_membership(options: Options) -> MeasurementResult:
    """Measure membership at ``FULL_SIZE`` on a virtual clock."""
    cost = measure_membership(*FULL_SIZE)
    figures = {name: float(value) for name, value in cost._asdict().items()}
    in_restarts = cost.bytes_per_s_in_restarts
    bounds = [
        Bound("bytes_per_s_in_restarts", in_restarts, AT_MOST, 3000.0, CONTROL_SOURCE)
    ]
    return MeasurementResult(figures, bounds)


MEMBERSHIP_COST = Measurement(
    "membership-cost", "Membership of 550 nodes on a fake clock", compute_membership
)
CONTROL = Measurement(
    "control", "State and cost of control at several sizes", compute_control
)
SUBQUERY_COST = Measurement(
    "subquery-cost", "Processor time of a sub-query's path", compute_sub_query
)
FANOUT_GROWTH = Measurement(
    "fanout-growth",
    "Policy cost of a sub-query from 1 to 740 services",
    compute_fan_out,
)
