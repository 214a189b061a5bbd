"""Resource usage of an owner, for the metrics."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from sardinehook.messages import TargetState
from sardinehook.target.replica_client import ReplicaClient

__all__ = ["OwnerCounts", "count_usage"]


class OwnerCounts(NamedTuple):
    """Resource usage summed over the replicas of one owner.

    ``connections_abandoned`` counts unresponsive connections since the start.
    """

    connections: int
    connections_allowed: int
    slots: int
    slots_allowed: int
    queued: int
    replicas: dict[TargetState, int]
    connections_abandoned: int


def count_usage(clients: Iterable[ReplicaClient]) -> OwnerCounts:
    """Sum up the resource usage of ``clients``."""
    held = list(clients)
    states = Counter(one.availability.state for one in held if one.has_allowance)
    return OwnerCounts(
        sum(len(one.pool.connections) for one in held),
        sum(one.allowance.connections for one in held),
        sum(one.exchanges.in_flight for one in held),
        sum(one.allowance.slots for one in held),
        sum(len(one.queue) for one in held),
        {state: states[state] for state in TargetState},
        sum(one.pool.connections_abandoned for one in held),
    )
