"""Experiments on rolling restarts, document changes, partitions and lost entry VMs."""

from __future__ import annotations

import re
import signal
from collections.abc import Mapping, Sequence

from bench.experiment import (
    AT_LEAST,
    AT_MOST,
    Bound,
    Experiment,
    Options,
    Step,
    Trial,
)
from bench.experiments.common import (
    change_workload,
    lookup_stream,
    storm_stream,
    szovetseg_deployment,
)
from bench.history_bounds import rule_bounds
from bench.load import CallRecord
from bench.results import RunResult, percentile
from bench.rig import EntryNode, Rig

__all__ = ["CONFIG", "MEMBERSHIP", "PARTITION", "ROLLING"]

STOP_SOURCE = "brief: every planned stop cuts off no request"
PROPAGATION_SOURCE = "today's aim: in force within 2 s at p99"
REVISION_IN_FORCE = re.compile(
    r" time=([0-9.]+) .*event=revision_in_force .*revision=(\d+)"
)
DATA_CENTRE_DELAY_MS = 4.5
CUT_OFF_DATA_CENTRE = "bekes-c"


def restart_entry(rig: Rig, entry: EntryNode) -> None:
    """Stop an entry process gracefully, start it again and wait until it is ready.

    Raises RuntimeError if the process ended with an error.
    """
    rig.upsert_vm(entry, "leaving")
    child = rig.children[entry.node]
    child.terminate()
    code = child.wait()
    if code:
        raise RuntimeError(f"entry process {entry.node} ended with exit code {code}")
    rig.start_entry(entry)
    rig.wait_ready(entry)


def build_rolling_trials(options: Options) -> Sequence[Trial]:
    """Build the trial that restarts every entry process in turn under load."""

    def step(number: int) -> Step:
        def act(rig: Rig) -> None:
            restart_entry(rig, rig.entries[number])

        return Step(2.0 + 4.0 * number, f"restart {number}", act)

    streams = (storm_stream(options, 28.0), lookup_stream(options, 28.0))
    steps = [step(number) for number in range(6)]
    return [Trial("product", szovetseg_deployment(), streams, steps, duration_s=28.0)]


def evaluate_rolling(results: Mapping[str, RunResult]) -> Sequence[Bound]:
    """Check that all processes were restarted and that no query failed."""
    run = results["product"]
    failed = sum(not call.ok for call in run.calls)
    return [
        *rule_bounds(results),
        Bound("failed", failed, AT_MOST, 0, STOP_SOURCE),
        Bound("restarts", len(run.steps), AT_LEAST, 6, "all were replaced"),
    ]


def compute_rolling_figures(results: Mapping[str, RunResult]) -> Mapping[str, float]:
    """Return latency and coverage during the restarts."""
    run = results["product"]
    return {
        "calls": len(run.calls),
        "storm_p99_ms": run.latency_ms(0.99, "storm-night"),
        "coverage": run.mean_coverage(),
    }


ROLLING = Experiment(
    "rolling",
    "Every entry process is replaced in turn under load",
    build_rolling_trials,
    evaluate_rolling,
    compute_rolling_figures,
)


def change_step(at_s: float, edited_from: int) -> Step:
    """Return a step that changes a workload's result limit, as an operator does."""

    def act(rig: Rig) -> None:
        changed = change_workload(
            rig.document,
            "audit",
            lambda one: one._replace(result_limit=1000 + edited_from),
        )
        rig.put_document(changed, edited_from)

    return Step(at_s, f"change {edited_from + 1}", act)


def platform_step(at_s: float, label: str, control: Mapping[str, object]) -> Step:
    """Return a step that injects faults into the simulated platform or removes them."""

    def act(rig: Rig) -> None:
        rig.control_platform(control)

    return Step(at_s, label, act)


def build_config_trials(options: Options) -> Sequence[Trial]:
    """Build the trial: changes while the store is healthy, slow and after an outage."""
    steps = [
        change_step(2.0, 1),
        platform_step(5.0, "slow", {"delay_ms": 200.0, "jitter_ms": 200.0}),
        change_step(5.5, 2),
        platform_step(10.0, "well", {"delay_ms": 0.0, "jitter_ms": 0.0}),
        change_step(10.5, 3),
        platform_step(14.0, "down", {"outage": "refuse"}),
        platform_step(17.0, "up", {"outage": "none"}),
        change_step(18.0, 4),
    ]
    streams = (lookup_stream(options, 23.0),)
    deployment = szovetseg_deployment(entries=3)
    return [Trial("product", deployment, streams, steps, duration_s=23.0)]


def propagation_delays_s(run: RunResult) -> list[float]:
    """Return how long after the first node each node put each change in force.

    The first node that has a revision in force has read it from the store. The
    initial revision is left out.
    """
    times: dict[str, list[float]] = {}
    for lines in run.log_lines.values():
        for line in lines:
            found = REVISION_IN_FORCE.search(line)
            if found:
                times.setdefault(found[2], []).append(float(found[1]))
    return [
        at - min(ats) for number, ats in times.items() if number != "1" for at in ats
    ]


def count_reverts(run: RunResult) -> int:
    """Count how often a node went back to an older revision."""
    count = 0
    for lines in run.log_lines.values():
        numbers = [
            int(found[2]) for line in lines if (found := REVISION_IN_FORCE.search(line))
        ]
        count += sum(b < a for a, b in zip(numbers, numbers[1:], strict=False))
    return count


def evaluate_config(results: Mapping[str, RunResult]) -> Sequence[Bound]:
    """Check that each change is in force on all nodes in time and none is reverted."""
    run = results["product"]
    delays_s = propagation_delays_s(run)
    nodes = len(run.log_lines)
    return [
        *rule_bounds(results),
        Bound("in_force", len(delays_s), AT_LEAST, 4 * nodes, "everywhere"),
        Bound("p99_s", percentile(delays_s, 0.99), AT_MOST, 2.0, PROPAGATION_SOURCE),
        Bound("reverts", count_reverts(run), AT_MOST, 0, "brief: never reverts"),
    ]


CONFIG = Experiment(
    "config",
    "Changes while the platform is well, slow and after an outage",
    build_config_trials,
    evaluate_config,
)


def network_step(
    at_s: float,
    label: str,
    cut_off: Mapping[str, object],
    outside: Mapping[str, object],
) -> Step:
    """Return a step that sets network faults inside and outside the cut-off centre."""

    def act(rig: Rig) -> None:
        for entry in rig.entries:
            faults = cut_off if entry.data_centre == CUT_OFF_DATA_CENTRE else outside
            rig.control_network(entry, faults)

    return Step(at_s, label, act)


def build_partition_trials(options: Options) -> Sequence[Trial]:
    """Build the trial: a data centre is cut off from the others and the platform."""
    others = [
        name
        for name in szovetseg_deployment().document.data_centres
        if name != CUT_OFF_DATA_CENTRE
    ]
    delay = {"delay_ms": DATA_CENTRE_DELAY_MS}
    steps = [
        network_step(0.0, "4.5 ms apart", delay, delay),
        network_step(
            4.0,
            "cut off",
            {"lost_from": others, "store_cut": True},
            {"lost_from": [CUT_OFF_DATA_CENTRE]},
        ),
        network_step(
            12.0,
            "healed",
            {"lost_from": [], "store_cut": False},
            {"lost_from": []},
        ),
    ]
    streams = (storm_stream(options, 20.0), lookup_stream(options, 20.0))
    deployment = szovetseg_deployment()._replace(faulty_network=True)
    return [Trial("product", deployment, streams, steps, duration_s=20.0)]


def evaluate_partition(results: Mapping[str, RunResult]) -> Sequence[Bound]:
    """Check coverage on both sides of the partition and after it has healed."""
    run = results["product"]
    connected = [
        c
        for c in run.measured_calls("storm-night", 5.0, 12.0)
        if CUT_OFF_DATA_CENTRE not in c.entry
    ]
    cut_off = [
        c
        for c in run.measured_calls("storm-night", 5.0, 12.0)
        if CUT_OFF_DATA_CENTRE in c.entry
    ]
    after = run.measured_calls("storm-night", 15.0)
    source = "brief: each has to go on serving what it can"
    return [
        *rule_bounds(results),
        Bound("majority_coverage", mean_coverage_of(connected), AT_LEAST, 0.9, source),
        Bound("cut_off_told", replied_ratio(cut_off), AT_LEAST, 1.0, source),
        Bound(
            "healed_coverage",
            mean_coverage_of(after),
            AT_LEAST,
            0.95,
            "enough_coverage",
        ),
    ]


def mean_coverage_of(calls: Sequence[CallRecord]) -> float:
    """Return the mean coverage of calls; a refusal counts as zero."""
    ratios = [call.answer.get("coverage", {}).get("ratio", 0.0) for call in calls]
    return sum(ratios) / len(ratios) if ratios else 0.0


def replied_ratio(calls: Sequence[CallRecord]) -> float:
    """Return the share of calls that got an answer or a refusal."""
    replied = sum(call.status != 0 for call in calls)
    return replied / len(calls) if calls else 0.0


def compute_partition_figures(results: Mapping[str, RunResult]) -> Mapping[str, float]:
    """Return what the cut-off data centre served, and the latency of all."""
    run = results["product"]
    cut_off = [
        c
        for c in run.measured_calls("storm-night", 5.0, 12.0)
        if CUT_OFF_DATA_CENTRE in c.entry
    ]
    return {
        "cut_off_calls": len(cut_off),
        "cut_off_ok": sum(call.ok for call in cut_off),
        "storm_p99_ms": run.latency_ms(0.99, "storm-night"),
    }


PARTITION = Experiment(
    "partition",
    "A data centre is cut off from the others and the platform for 8 s",
    build_partition_trials,
    evaluate_partition,
    compute_partition_figures,
)


def kill_step(at_s: float, number: int) -> Step:
    """Return a step that kills an entry VM without warning."""

    def act(rig: Rig) -> None:
        rig.kill_vm(rig.entries[number])

    return Step(at_s, "VM lost", act)


def pause_step(at_s: float, number: int, resume: bool) -> Step:
    """Return a step that pauses or resumes an entry process."""
    kind = signal.SIGCONT if resume else signal.SIGSTOP

    def act(rig: Rig) -> None:
        rig.children[rig.entries[number].node].signal(kind)

    return Step(at_s, "resumed" if resume else "paused", act)


def build_membership_trials(options: Options) -> Sequence[Trial]:
    """Build the trial: one entry VM is lost, another is paused for 8 s."""
    steps = [
        kill_step(4.0, 0),
        pause_step(6.0, 3, resume=False),
        pause_step(14.0, 3, resume=True),
    ]
    streams = (storm_stream(options, 24.0), lookup_stream(options, 24.0))
    deployment = szovetseg_deployment(entries=3)
    return [Trial("product", deployment, streams, steps, duration_s=24.0)]


def evaluate_membership(results: Mapping[str, RunResult]) -> Sequence[Bound]:
    """Check target limits over all VMs and that coverage has recovered."""
    run = results["product"]
    after = run.measured_calls("storm-night", 20.0)
    overruns = sum(one["cold_overruns"] for one in run.counters.values())
    peaks = max(one["peak_in_flight"] for one in run.counters.values())
    return [
        history_bound_of(results),
        Bound("cold_overruns", overruns, AT_MOST, 0, "cold targets over all VMs"),
        Bound("peak_in_flight", peaks, AT_MOST, 3, "slots of a target over all VMs"),
        Bound(
            "coverage_after", mean_coverage_of(after), AT_LEAST, 0.95, "enough_coverage"
        ),
    ]


def history_bound_of(results: Mapping[str, RunResult]) -> Bound:
    """Return only the bound on the history.

    The other rules do not apply, as calls to a killed process may be lost.
    """
    return rule_bounds(results)[-1]


def compute_membership_figures(results: Mapping[str, RunResult]) -> Mapping[str, float]:
    """Return how long coverage was low, and the number of lost calls."""
    run = results["product"]
    points = run.series(mean_coverage_of, 0.5)
    low = [at for at, value in points if at > 4.0 and value < 0.9]
    return {
        "half_seconds_below_90_percent": len(low),
        "last_below_s": max(low, default=0.0),
        "lost_calls": sum(call.status == 0 for call in run.calls),
    }


MEMBERSHIP = Experiment(
    "membership",
    "An entry VM is lost and another pauses for 8 s",
    build_membership_trials,
    evaluate_membership,
    compute_membership_figures,
)
