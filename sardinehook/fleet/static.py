"""A fleet whose members are fixed by settings and taken to be alive."""

from __future__ import annotations

from collections.abc import Sequence

from sardinehook.environment.document import Index, Replica
from sardinehook.fleet.member import Member
from sardinehook.fleet.ownership import NOTHING, Allowance, Role, allowance, owner_of

__all__ = ["Member", "StaticFleet"]


class StaticFleet:
    """The members given, each owning its part of the replicas of its data centre.

    >>> fleet = StaticFleet("e1", [Member("e1", "szolnok-b", "127.0.0.1:1", "")])
    >>> replica = Replica("counters-1a", "szolnok-b", "127.0.0.1:2")
    >>> fleet.owner_of(replica)
    'e1'
    """

    def __init__(self, node: str, members: Sequence[Member]) -> None:
        self.node = node
        self.by_data_centre: dict[str, tuple[Member, ...]] = {}
        for member in members:
            others = self.by_data_centre.get(member.data_centre, ())
            self.by_data_centre[member.data_centre] = (*others, member)

    def members(self, data_centre: str) -> tuple[Member, ...]:
        """Return the members of a data centre."""
        return self.by_data_centre.get(data_centre, ())

    def is_self(self, node: str) -> bool:
        """Whether a node is this process."""
        return node == self.node

    def owner_of(self, replica: Replica) -> str | None:
        """Return the node that owns a replica; None when its data centre has none."""
        names = [member.name for member in self.members(replica.data_centre)]
        return owner_of(replica.name, names)

    def allowance(self, replica: Replica, index: Index) -> Allowance:
        """Return what this process may use of a replica."""
        owner = self.owner_of(replica)
        if owner is None or not self.is_self(owner):
            return NOTHING
        return allowance(Role.OWNER, True, index.slots, index.connections)
