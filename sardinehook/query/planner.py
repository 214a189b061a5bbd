"""Plans a search: its services, their replicas in order, and its snapshots."""

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
    """What a ``Search`` needs of the environment."""

    services: tuple[ServicePlan, ...]
    snapshots: Mapping[str, Snapshot]


class SnapshotChoice(NamedTuple):
    """A chosen snapshot, when it was chosen and from which holdings."""

    snapshot: Snapshot | None
    revision: int
    chosen_at: float


class Planner:
    """Knows the environment in force and plans searches by it.

    A snapshot is chosen anew when the holdings have changed, at most once in
    ``SNAPSHOT_REFRESH_S`` for each index.
    """

    def __init__(self, policy: SearchPolicy) -> None:
        self.policy = policy
        self.indexes: dict[str, dict[str, tuple[Placement, ...]]] = {}
        self.choices: dict[str, SnapshotChoice] = {}

    def apply(self, document: EnvironmentDocument) -> None:
        """Put ``document`` in force for the searches to come."""
        self.policy.limits = document.limits
        self.policy.chooser.set_out(
            name
            for name, data_centre in document.data_centres.items()
            if data_centre.state is DataCentreState.OUT
        )
        self.indexes = {
            name: placements_of(index) for name, index in document.indexes.items()
        }
        self.choices.clear()
        names = {
            placement.replica
            for services in self.indexes.values()
            for placements in services.values()
            for placement in placements
        }
        self.policy.chooser.retain(names)
        self.policy.holdings.retain(names)

    def observe_report(self, view: ReplicaReport, now: float) -> None:
        """Take in what an owner tells of its replica."""
        self.policy.chooser.observe_report(view, now)
        self.policy.holdings.observe_report(view)

    def plan(
        self, workload: Workload, service: str, now: float
    ) -> Result[Plan, Problem]:
        """Plan a search of ``workload``.

        ``service`` names the one to ask for ``Scope.ONE`` and is ignored else. Fails
        with ``NOT_FOUND`` if it is of none of the indexes.
        """
        snapshots: dict[str, Snapshot] = {}
        services: list[ServicePlan] = []
        for name in workload.indexes:
            asked = self.services_asked(name, workload, service)
            if not asked:
                continue
            snapshot = self.choose(name, now)
            if snapshot is not None:
                snapshots[name] = snapshot
            services.extend(
                ServicePlan(name, asked_name, self.order(placements, snapshot, now))
                for asked_name, placements in asked.items()
            )
        if not services:
            detail = f"no service {service!r} in {', '.join(workload.indexes)}"
            return Failure(Problem(ErrorKind.NOT_FOUND, detail))
        return Success(Plan(tuple(services), snapshots))

    def count_services(self, workload: Workload, service: str) -> int:
        """Count the services that a search would ask, without planning it."""
        return sum(
            len(self.services_asked(name, workload, service))
            for name in workload.indexes
        )

    def services_asked(
        self, index: str, workload: Workload, service: str
    ) -> Mapping[str, tuple[Placement, ...]]:
        """Return the services of an index that a search of ``workload`` asks."""
        services = self.indexes.get(index, {})
        match workload.scope:
            case Scope.ALL:
                return services
            case Scope.ONE:
                placements = services.get(service)
                return {} if placements is None else {service: placements}

    def choose(self, index: str, now: float) -> Snapshot | None:
        """Return the snapshot of an index, ``None`` if nothing is known."""
        choice = self.choices.get(index)
        revision = self.policy.holdings.revision
        if choice is not None:
            fresh = now - choice.chosen_at < SNAPSHOT_REFRESH_S
            if choice.revision == revision or (fresh and choice.snapshot is not None):
                return choice.snapshot
        usable = [
            self.policy.chooser.usable(placements)
            for placements in self.indexes[index].values()
        ]
        snapshot = choose_snapshot(usable, self.policy.holdings)
        self.choices[index] = SnapshotChoice(snapshot, revision, now)
        return snapshot

    def order(
        self, placements: Sequence[Placement], snapshot: Snapshot | None, now: float
    ) -> tuple[str, ...]:
        """Order replicas: those known to hold other snapshots only come last."""
        ordered = self.policy.chooser.order(placements, now)
        if snapshot is None or len(ordered) < 2:
            return ordered
        held = self.policy.holdings.held
        lacking = [name for name in ordered if snapshot not in held.get(name, ())]
        if not lacking:
            return ordered
        holding = [name for name in ordered if name not in lacking]
        return (*holding, *lacking)


def placements_of(index: Index) -> dict[str, tuple[Placement, ...]]:
    """Return where the replicas of each service of an index live."""
    return {
        service: tuple(
            Placement(replica.name, replica.data_centre) for replica in replicas
        )
        for service, replicas in index.services.items()
    }
