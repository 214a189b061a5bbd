"""Deployments, load streams and steps that several experiments share."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from bench.experiment import Options, Step
from bench.load import Stream
from bench.rig import Deployment, Rig, load_example
from sardinehook.environment.document import (
    EnvironmentDocument,
    Hedge,
    Workload,
)

__all__ = [
    "change_workload",
    "control_step",
    "lookup_stream",
    "replicas_of",
    "services_of",
    "storm_stream",
    "szovetseg_deployment",
    "with_hedge",
]

STORM_RATE_PER_S = 40.0
LOOKUP_RATE_PER_S = 40.0
STORM_WORKLOAD = "storm-night"


def szovetseg_deployment(
    entries: int = 2, **behaviour: float | int | str | bool | list[int]
) -> Deployment:
    """Return a deployment of the Szovetseg production example.

    ``entries`` is the number of entry VMs in each data centre, ``behaviour`` the
    settings of the simulated targets.
    """
    document = load_example("szovetseg-production")
    return Deployment(document, entries, behaviour=behaviour)


def services_of(document: EnvironmentDocument, index: str) -> tuple[str, ...]:
    """Return the names of the services of an index."""
    return tuple(document.indexes[index].services)


def replicas_of(
    document: EnvironmentDocument, *indexes: str, data_centre: str = ""
) -> list[str]:
    """Return the names of the replicas of the given indexes, by default of all.

    With ``data_centre`` only replicas in that data centre are included.
    """
    return [
        replica.name
        for index in indexes or tuple(document.indexes)
        for replicas in document.indexes[index].services.values()
        for replica in replicas
        if data_centre in ("", replica.data_centre)
    ]


def change_workload(
    document: EnvironmentDocument, name: str, change: Callable[[Workload], Workload]
) -> EnvironmentDocument:
    """Return a copy of the document with ``change`` applied to one workload."""
    workloads = {**document.workloads, name: change(document.workloads[name])}
    return document._replace(workloads=workloads)


def with_hedge(deployment: Deployment, hedge: Hedge, delay_ms: float) -> Deployment:
    """Return a copy of the deployment with another hedge policy for storm searches."""
    document = change_workload(
        deployment.document,
        STORM_WORKLOAD,
        lambda workload: workload._replace(hedge=hedge, hedge_delay_ms=delay_ms),
    )
    return deployment._replace(document=document)


def storm_stream(options: Options, to_s: float = 8.0, factor: float = 1.0) -> Stream:
    """Return the load of storm-night searches over all fifty services."""
    rate = STORM_RATE_PER_S * options.scale * factor
    return Stream(STORM_WORKLOAD, rate, 0.0, to_s, 150.0, limit=20)


def lookup_stream(options: Options, to_s: float = 8.0) -> Stream:
    """Return the load of look-ups of a single counter."""
    rate = LOOKUP_RATE_PER_S * options.scale
    services = services_of(load_example("szovetseg-production"), "memberbook")
    return Stream("counter-lookup", rate, 0.0, to_s, 300.0, services, limit=5)


def control_step(
    at_s: float,
    label: str,
    replicas: Sequence[str],
    do: str = "",
    set_fields: Mapping[str, object] | None = None,
) -> Step:
    """Return a step that changes the given replicas, or all if none is given."""
    control = {"replicas": list(replicas), "do": do, "set": dict(set_fields or {})}

    def act(rig: Rig) -> None:
        rig.control_targets(control)

    return Step(at_s, label, act)
