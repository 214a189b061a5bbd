"""Query planning: the services of a search, their replicas and the snapshots."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from returns.result import Failure, Result, Success

from sardinehook.environment.document import (
    DataCentreState,
    EnvironmentDocument,
    Index,
    Scope,
    Workload,
)
from sardinehook.errors import ErrorKind, Problem
from sardinehook.messages import ReplicaReport
from sardinehook.query.plan import ServicePlan
from sardinehook.query.policy import SearchPolicy
from sardinehook.query.replica_choice import Placement
from sardinehook.query.snapshot import Snapshot, choose_snapshot

__all__ = ["Plan", "Planner"]

SNAPSHOT_REFRESH_S = 0.05


class Plan(NamedTuple):
    """The services that a ``Search`` asks and the snapshot wanted of each index."""

    services: tuple[ServicePlan, ...]
    snapshots: Mapping[str, Snapshot]


class SnapshotChoice(NamedTuple):
    """A cached choice of a snapshot.

    ``revision`` is that of the ``ReplicaSnapshots`` it was made from.
    """

    snapshot: Snapshot | None
    revision: int
    chosen_at: float


class Planner:
    """Plans searches by the environment document in force.

    The snapshot of an index is chosen again when the snapshots known to be held have
    changed, at most once in ``SNAPSHOT_REFRESH_S`` for each index.
    """

    def __init__(self, policy: SearchPolicy) -> None:
        self.policy = policy
        self.indexes: dict[str, dict[str, tuple[Placement, ...]]] = {}
        self.snapshot_choices: dict[str, SnapshotChoice] = {}

    def apply(self, document: EnvironmentDocument) -> None:
        """Use ``document`` for subsequent searches."""
        self.policy.limits = document.limits
        self.policy.chooser.set_out_data_centres(
            name
            for name, data_centre in document.data_centres.items()
            if data_centre.state is DataCentreState.OUT
        )
        self.indexes = {
            name: placements_of(index) for name, index in document.indexes.items()
        }
        self.snapshot_choices.clear()
        names = {
            placement.replica
            for services in self.indexes.values()
            for placements in services.values()
            for placement in placements
        }
        self.policy.chooser.retain(names)
        self.policy.replica_snapshots.retain(names)

    def observe_report(self, report: ReplicaReport, now: float) -> None:
        """Store the latest report of a replica's owner."""
        self.policy.chooser.observe_report(report, now)
        self.policy.replica_snapshots.observe_report(report)

    def plan(
        self, workload: Workload, service: str, now: float
    ) -> Result[Plan, Problem]:
        """Plan a search of ``workload``.

        ``service`` names the only service to ask for ``Scope.ONE`` and is ignored
        otherwise. Fails with ``NOT_FOUND`` if there is no service to ask, such as when
        none of the workload's indexes contains ``service``.
        """
        snapshots: dict[str, Snapshot] = {}
        services: list[ServicePlan] = []
        for name in workload.indexes:
            asked = self.services_to_ask(name, workload, service)
            if not asked:
                continue
            snapshot = self.snapshot_of(name, now)
            if snapshot is not None:
                snapshots[name] = snapshot
            services.extend(
                ServicePlan(name, asked_name, self.order(placements, snapshot, now))
                for asked_name, placements in asked.items()
            )
        if not services:
            detail = f"no service {service!r} in indexes {', '.join(workload.indexes)}"
            return Failure(Problem(ErrorKind.NOT_FOUND, detail))
        return Success(Plan(tuple(services), snapshots))

    def count_services(self, workload: Workload, service: str) -> int:
        """Count the services that a search would ask, without planning it."""
        return sum(
            len(self.services_to_ask(name, workload, service))
            for name in workload.indexes
        )

    def services_to_ask(
        self, index: str, workload: Workload, service: str
    ) -> Mapping[str, tuple[Placement, ...]]:
        """Return the services of an index that a search of ``workload`` asks.

        The result maps their names to the placements of their replicas.
        """
        services = self.indexes.get(index, {})
        match workload.scope:
            case Scope.ALL:
                return services
            case Scope.ONE:
                placements = services.get(service)
                return {} if placements is None else {service: placements}

    def snapshot_of(self, index: str, now: float) -> Snapshot | None:
        """Return the snapshot to ask an index for, ``None`` if none is known."""
        choice = self.snapshot_choices.get(index)
        revision = self.policy.replica_snapshots.revision
        if choice is not None:
            fresh = now - choice.chosen_at < SNAPSHOT_REFRESH_S
            if choice.revision == revision or (fresh and choice.snapshot is not None):
                return choice.snapshot
        usable = [
            self.policy.chooser.usable(placements)
            for placements in self.indexes[index].values()
        ]
        snapshot = choose_snapshot(usable, self.policy.replica_snapshots)
        self.snapshot_choices[index] = SnapshotChoice(snapshot, revision, now)
        return snapshot

    def order(
        self, placements: Sequence[Placement], snapshot: Snapshot | None, now: float
    ) -> tuple[str, ...]:
        """Order replicas by cost, those not known to hold ``snapshot`` last."""
        ordered = self.policy.chooser.order(placements, now)
        if snapshot is None or len(ordered) < 2:
            return ordered
        snapshots = self.policy.replica_snapshots.snapshots
        lacking = [name for name in ordered if snapshot not in snapshots.get(name, ())]
        if not lacking:
            return ordered
        holding = [name for name in ordered if name not in lacking]
        return (*holding, *lacking)


def placements_of(index: Index) -> dict[str, tuple[Placement, ...]]:
    """Return the placements of the replicas of each service of an index."""
    return {
        service: tuple(
            Placement(replica.name, replica.data_centre) for replica in replicas
        )
        for service, replicas in index.services.items()
    }
