"""Experiments on cold starts, draining, data centre removal and index versions."""

from __future__ import annotations

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
    control_step,
    lookup_stream,
    replicas_of,
    storm_stream,
    szovetseg_deployment,
)
from bench.history_bounds import rule_bounds
from bench.results import RunResult
from bench.rig import Rig
from sardinehook.environment.document import DataCentreState

__all__ = ["COLD_START", "DATA_CENTRE_OUT", "DRAIN", "SNAPSHOT"]

FAULT_AT_S = 3.0
SECOND_FAULT_AT_S = 5.0
TAKEN_OUT = "szolnok-b"
MAX_STOP_S = 3.0
STOP_SOURCE = "brief: no new work after a few seconds"


def build_cold_trials(options: Options) -> Sequence[Trial]:
    """Build the trial: a fifth of the targets restart cold, others turn cold later."""
    deployment = szovetseg_deployment()
    names = replicas_of(deployment.document)
    steps = [
        control_step(FAULT_AT_S, "a fifth restarts cold", names[::5], do="restart"),
        control_step(
            SECOND_FAULT_AT_S, "others turn cold unheard", names[1::5], do="cold"
        ),
    ]
    streams = (storm_stream(options), lookup_stream(options))
    return [Trial("product", deployment, streams, steps)]


def evaluate_cold(results: Mapping[str, RunResult]) -> Sequence[Bound]:
    """Check that no cold target got more than its cold-start slots."""
    run = results["product"]
    overruns = sum(one["cold_overruns"] for one in run.counters.values())
    source = "brief: never more than a cold target can bear"
    return [
        *rule_bounds(results),
        Bound("cold_overruns", overruns, AT_MOST, 0, source),
        Bound("coverage", run.mean_coverage(), AT_LEAST, 0.9, "few doubled replicas"),
    ]


def compute_cold_figures(results: Mapping[str, RunResult]) -> Mapping[str, float]:
    """Return the peak concurrency at cold targets, answers and latency."""
    run = results["product"]
    peak = max(one["peak_in_flight_cold"] for one in run.counters.values())
    return {
        "peak_in_flight_cold": peak,
        "answered": run.answered_ratio(),
        "storm_p99_ms": run.latency_ms(0.99, "storm-night"),
    }


COLD_START = Experiment(
    "coldstart",
    "A fifth of the targets restart cold, others turn cold without a sign",
    build_cold_trials,
    evaluate_cold,
    compute_cold_figures,
)


def build_drain_trials(options: Options) -> Sequence[Trial]:
    """Build the trial: one replica of each service of two indexes drains.

    A draining replica still runs what it is sent, so that late work is counted.
    """
    deployment = szovetseg_deployment()
    draining = replicas_of(deployment.document, "logfinder", "memberbook")[::2]
    keeps_working = {"works_while_draining": True}
    steps = [
        control_step(FAULT_AT_S, "half drain", draining, "drain", keeps_working),
    ]
    streams = (storm_stream(options), lookup_stream(options))
    return [Trial("product", deployment, streams, steps)]


def evaluate_drain(results: Mapping[str, RunResult]) -> Sequence[Bound]:
    """Check that draining targets get no new work after ``MAX_STOP_S``."""
    run = results["product"]
    document = szovetseg_deployment().document
    draining = set(replicas_of(document, "logfinder", "memberbook")[::2])
    last_s = last_begun_after_s(run, "half drain", draining)
    return [
        *rule_bounds(results),
        Bound("last_new_work_s", last_s, AT_MOST, MAX_STOP_S, STOP_SOURCE),
        Bound("answered", run.answered_ratio(), AT_LEAST, 0.99, "cuts off no request"),
        Bound("coverage", run.mean_coverage(), AT_LEAST, 0.95, "enough_coverage"),
    ]


def last_begun_after_s(run: RunResult, label: str, replicas: set[str]) -> float:
    """Return how long after a step the given replicas last began new work."""
    at = next(step.at for step in run.steps if step.label == label)
    later = [
        event.at - at
        for event in run.events
        if event.kind == "begun" and event.replica in replicas and event.at > at
    ]
    return max(later, default=0.0)


DRAIN = Experiment(
    "drain",
    "Half of the replicas of two indexes drain",
    build_drain_trials,
    evaluate_drain,
)


def data_centre_step(state: DataCentreState, edited_from: int) -> Step:
    """Return a step that sets the state of a data centre, as an operator does."""

    def act(rig: Rig) -> None:
        centres = dict(rig.document.data_centres)
        centres[TAKEN_OUT] = centres[TAKEN_OUT]._replace(state=state)
        rig.put_document(rig.document._replace(data_centres=centres), edited_from)

    at_s = {DataCentreState.OUT: 2.5, DataCentreState.IN: 8.0}[state]
    return Step(at_s, f"{TAKEN_OUT} {state.value}", act)


def build_data_centre_out_trials(options: Options) -> Sequence[Trial]:
    """Build the trial: a data centre is taken out and then brought back."""
    steps = [
        data_centre_step(DataCentreState.OUT, 1),
        data_centre_step(DataCentreState.IN, 2),
    ]
    streams = (storm_stream(options, 12.0), lookup_stream(options, 12.0))
    return [Trial("product", szovetseg_deployment(), streams, steps, duration_s=12.0)]


def evaluate_data_centre_out(results: Mapping[str, RunResult]) -> Sequence[Bound]:
    """Check that new work stops and resumes there, and that few calls are refused."""
    run = results["product"]
    replicas_out = set(
        replicas_of(szovetseg_deployment().document, data_centre=TAKEN_OUT)
    )
    out_at, in_at = (step.at for step in run.steps)
    begun = [
        event.at - out_at
        for event in run.events
        if event.kind == "begun" and event.replica in replicas_out
    ]
    last_s = max((at for at in begun if 0.0 < at < in_at - out_at), default=0.0)
    begun_after_return = sum(at > in_at - out_at for at in begun)
    refused = sum(not call.ok for call in run.calls)
    return [
        *rule_bounds(results),
        Bound("last_new_work_s", last_s, AT_MOST, MAX_STOP_S, STOP_SOURCE),
        Bound(
            "work_after_return",
            begun_after_return,
            AT_LEAST,
            1,
            "operators bring it back",
        ),
        Bound(
            "refused_ratio",
            refused / len(run.calls),
            AT_MOST,
            0.01,
            "service while a data centre leaves and returns",
        ),
    ]


DATA_CENTRE_OUT = Experiment(
    "dcout",
    "Operators take a data centre out and bring it back",
    build_data_centre_out_trials,
    evaluate_data_centre_out,
)


def build_snapshot_trials(options: Options) -> Sequence[Trial]:
    """Build the trial: replicas load a new index version, then drop the old one."""
    deployment = szovetseg_deployment()
    names = replicas_of(deployment.document, "logfinder", "memberbook")
    both_versions = {"versions": [1, 2]}
    new_version = {"versions": [2]}
    steps = [
        control_step(
            2.5, "half hold both versions", names[::2], set_fields=both_versions
        ),
        control_step(3.5, "all hold both versions", names, set_fields=both_versions),
        control_step(4.5, "half drop the old one", names[::2], set_fields=new_version),
        control_step(5.5, "all drop the old one", names, set_fields=new_version),
    ]
    return [Trial("product", deployment, (storm_stream(options),), steps)]


def evaluate_snapshot(results: Mapping[str, RunResult]) -> Sequence[Bound]:
    """Check that no answer mixes index versions and that coverage stays high."""
    run = results["product"]
    mixed = sum(
        has_mixed_versions(call.answer.get("records", [])) for call in run.calls
    )
    versions = {
        snapshot["index_version"]
        for call in run.calls
        for snapshot in call.answer.get("coverage", {}).get("snapshot", {}).values()
    }
    return [
        *rule_bounds(results),
        Bound("mixed_answers", mixed, AT_MOST, 0, "brief: one snapshot of the index"),
        Bound("versions_seen", len(versions), AT_LEAST, 2, "the roll-over was seen"),
        Bound("coverage", run.mean_coverage(), AT_LEAST, 0.95, "enough_coverage"),
    ]


def has_mixed_versions(records: Sequence[Mapping[str, object]]) -> bool:
    """Return whether records of one index come from different versions."""
    seen: dict[object, set[object]] = {}
    for record in records:
        fields = record.get("fields")
        if isinstance(fields, dict):
            seen.setdefault(record.get("index"), set()).add(fields.get("version"))
    return any(len(versions) > 1 for versions in seen.values())


SNAPSHOT = Experiment(
    "snapshot",
    "Index versions roll over under load",
    build_snapshot_trials,
    evaluate_snapshot,
)
