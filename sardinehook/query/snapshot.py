"""The index version and partitioning that a whole answer comes from."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Sequence
from typing import NamedTuple

from sardinehook.messages import ANY_VERSION, ReplicaReport

__all__ = ["ANY_SNAPSHOT", "Holdings", "Snapshot", "choose_snapshot"]

LEAST_REPLICA_RATIO = 0.75
NONE_HELD: frozenset[Snapshot] = frozenset()


class Snapshot(NamedTuple):
    """One version of an index under one partitioning of its records.

    Snapshots are ordered by age: the greater one is the newer.

    >>> Snapshot(41, 2) < Snapshot(42, 1)
    True
    """

    index_version: int
    partitioning: int


ANY_SNAPSHOT = Snapshot(ANY_VERSION, ANY_VERSION)


class Holdings:
    """Which snapshots each replica is known to hold.

    An owner's view replaces what was known of its replica. Real replies correct it:
    an answer shows that its snapshot is held, a refusal that the wanted one is not.
    ``revision`` grows with each change.
    """

    def __init__(self) -> None:
        self.held: dict[str, frozenset[Snapshot]] = {}
        self.revision = 0

    def of(self, replica: str) -> frozenset[Snapshot]:
        """Return the snapshots that ``replica`` holds, empty if unknown."""
        return self.held.get(replica, NONE_HELD)

    def observe_report(self, view: ReplicaReport) -> None:
        """Take in what an owner tells of its replica."""
        held = frozenset(
            Snapshot(version, view.partitioning) for version in view.index_versions
        )
        self.replace(view.replica, held)

    def confirm(self, replica: str, snapshot: Snapshot) -> None:
        """Note that ``replica`` answered from ``snapshot``.

        Snapshots of another partitioning are gone from a replica that answered from
        this one.
        """
        held = self.held.get(replica, NONE_HELD)
        if snapshot not in held:
            kept = {old for old in held if old.partitioning == snapshot.partitioning}
            self.replace(replica, frozenset(kept | {snapshot}))

    def refuse(self, replica: str, wanted: Snapshot, named: Snapshot) -> None:
        """Note that ``replica`` doesn't hold ``wanted`` but holds ``named``.

        ``named`` may be ``ANY_SNAPSHOT`` if the replica named none.
        """
        held = self.of(replica) - {wanted}
        if named.index_version != ANY_VERSION and named != wanted:
            held |= {named}
        self.replace(replica, held)

    def retain(self, replicas: Collection[str]) -> None:
        """Forget all replicas but these."""
        self.held = {name: held for name, held in self.held.items() if name in replicas}
        self.revision += 1

    def replace(self, replica: str, held: frozenset[Snapshot]) -> None:
        """Set what ``replica`` holds."""
        if self.held.get(replica) != held:
            self.held[replica] = held
            self.revision += 1


def choose_snapshot(
    services: Iterable[Sequence[str]], holdings: Holdings
) -> Snapshot | None:
    """Choose the snapshot of an index, given the usable replicas of each service.

    It is the newest among those that replicas of the most services hold, passing over
    one that has less than ``LEAST_REPLICA_RATIO`` of the replicas of the widest held:
    during a roll-over, half of the replicas must not bear all of the load. Returns
    ``None`` if nothing is known.

    >>> holdings = Holdings()
    >>> holdings.confirm("a-1", Snapshot(41, 1))
    >>> holdings.confirm("b-1", Snapshot(41, 1))
    >>> holdings.confirm("b-1", Snapshot(42, 1))
    >>> choose_snapshot([["a-1"], ["b-1"]], holdings)
    Snapshot(index_version=41, partitioning=1)
    """
    service_counts: Counter[Snapshot] = Counter()
    replica_counts: Counter[Snapshot] = Counter()
    for replicas in services:
        in_service: set[Snapshot] = set()
        for replica in replicas:
            held = holdings.of(replica)
            replica_counts.update(held)
            in_service |= held
        service_counts.update(in_service)
    if not service_counts:
        return None
    most_services = max(service_counts.values())
    widest = [held for held in service_counts if service_counts[held] == most_services]
    most_replicas = max(replica_counts[held] for held in widest)
    least_replicas = LEAST_REPLICA_RATIO * most_replicas
    return max(held for held in widest if replica_counts[held] >= least_replicas)
