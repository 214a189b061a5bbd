"""Who a process is in its fleet, and what replicas ask of it."""

from __future__ import annotations

from typing import NamedTuple

from sardinehook.fleet.member import Member

__all__ = ["Identity", "ReplicaCapacity"]


class Identity(NamedTuple):
    """Who a process is; ``boot`` is drawn anew at each start."""

    environment: str
    member: Member
    boot: int
    vm_incarnation: int


class ReplicaCapacity(NamedTuple):
    """What a replica bears in total, as the document says."""

    slots: int
    connections: int
