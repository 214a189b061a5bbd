"""Snapshots: the index version and partitioning that an answer is taken from."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Sequence
from typing import NamedTuple

from sardinehook.messages import ANY_VERSION, ReplicaReport

__all__ = ["ANY_SNAPSHOT", "ReplicaSnapshots", "Snapshot", "choose_snapshot"]

MIN_REPLICA_RATIO = 0.75
NO_SNAPSHOTS: frozenset[Snapshot] = frozenset()


class Snapshot(NamedTuple):
    """One version of an index under one partitioning of its records.

    Snapshots are ordered by age: the greater one is the newer.

    >>> Snapshot(41, 2) < Snapshot(42, 1)
    True
    """

    index_version: int
    partitioning: int


ANY_SNAPSHOT = Snapshot(ANY_VERSION, ANY_VERSION)


class ReplicaSnapshots:
    """The snapshots that each replica is known to hold.

    A report of the owner replaces the entry of its replica. Replies of targets correct
    it: an answer shows that its snapshot is held, a reply of a wrong version that the
    wanted one is not. ``revision`` grows with each change.
    """

    def __init__(self) -> None:
        self.snapshots: dict[str, frozenset[Snapshot]] = {}
        self.revision = 0

    def of(self, replica: str) -> frozenset[Snapshot]:
        """Return the snapshots that ``replica`` holds, empty if unknown."""
        return self.snapshots.get(replica, NO_SNAPSHOTS)

    def observe_report(self, report: ReplicaReport) -> None:
        """Replace the entry of a replica by the report of its owner."""
        snapshots = frozenset(
            Snapshot(version, report.partitioning) for version in report.index_versions
        )
        self.update(report.replica, snapshots)

    def confirm(self, replica: str, snapshot: Snapshot) -> None:
        """Record that ``replica`` answered from ``snapshot``.

        Snapshots of other partitionings are removed, because a replica holds one
        partitioning at a time.
        """
        snapshots = self.snapshots.get(replica, NO_SNAPSHOTS)
        if snapshot not in snapshots:
            kept = {
                old for old in snapshots if old.partitioning == snapshot.partitioning
            }
            self.update(replica, frozenset(kept | {snapshot}))

    def correct(self, replica: str, wanted: Snapshot, named: Snapshot) -> None:
        """Record that ``replica`` doesn't hold ``wanted`` but holds ``named``.

        ``named`` is ``ANY_SNAPSHOT`` if the reply names none.
        """
        snapshots = self.of(replica) - {wanted}
        if named.index_version != ANY_VERSION and named != wanted:
            snapshots |= {named}
        self.update(replica, snapshots)

    def retain(self, replicas: Collection[str]) -> None:
        """Drop the entries of all replicas but these."""
        self.snapshots = {
            name: snapshots
            for name, snapshots in self.snapshots.items()
            if name in replicas
        }
        self.revision += 1

    def update(self, replica: str, snapshots: frozenset[Snapshot]) -> None:
        """Set the snapshots of ``replica``; a change increments ``revision``."""
        if self.snapshots.get(replica) != snapshots:
            self.snapshots[replica] = snapshots
            self.revision += 1


def choose_snapshot(
    services: Iterable[Sequence[str]], replica_snapshots: ReplicaSnapshots
) -> Snapshot | None:
    """Choose the snapshot of an index, given the usable replicas of each service.

    Candidates are the snapshots held by replicas of the most services. The newest of
    them wins that has at least ``MIN_REPLICA_RATIO`` of the replicas of the most
    replicated one: while a new version is rolled out, half of the replicas must not
    serve the whole load. Returns ``None`` if no snapshot is known.

    >>> replica_snapshots = ReplicaSnapshots()
    >>> replica_snapshots.confirm("a-1", Snapshot(41, 1))
    >>> replica_snapshots.confirm("b-1", Snapshot(41, 1))
    >>> replica_snapshots.confirm("b-1", Snapshot(42, 1))
    >>> choose_snapshot([["a-1"], ["b-1"]], replica_snapshots)
    Snapshot(index_version=41, partitioning=1)
    """
    service_counts: Counter[Snapshot] = Counter()
    replica_counts: Counter[Snapshot] = Counter()
    for replicas in services:
        in_service: set[Snapshot] = set()
        for replica in replicas:
            snapshots = replica_snapshots.of(replica)
            replica_counts.update(snapshots)
            in_service |= snapshots
        service_counts.update(in_service)
    if not service_counts:
        return None
    most_services = max(service_counts.values())
    candidates = [
        snapshot
        for snapshot in service_counts
        if service_counts[snapshot] == most_services
    ]
    most_replicas = max(replica_counts[snapshot] for snapshot in candidates)
    min_replicas = MIN_REPLICA_RATIO * most_replicas
    return max(
        snapshot for snapshot in candidates if replica_counts[snapshot] >= min_replicas
    )
