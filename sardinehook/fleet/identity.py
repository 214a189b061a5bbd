"""Identity of a process in its fleet, and the capacity of replicas."""

from __future__ import annotations

from typing import NamedTuple

from sardinehook.fleet.member import Member

__all__ = ["Identity", "ReplicaCapacity"]


class Identity(NamedTuple):
    """Identity of a process; ``boot`` is a random number drawn at each start."""

    environment: str
    member: Member
    boot: int
    vm_incarnation: int


class ReplicaCapacity(NamedTuple):
    """Total capacity of a replica, as configured in the document."""

    slots: int
    connections: int
