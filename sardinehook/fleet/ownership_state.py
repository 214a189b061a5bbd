"""Which replicas a node holds while ownership moves from epoch to epoch."""

from __future__ import annotations

from sardinehook.fleet.ownership import owner_of
from sardinehook.fleet.roster import EMPTY_ROSTER, Roster, RosterMember

__all__ = ["OwnershipState"]

PendingRelease = tuple[tuple[str, ...], frozenset[str]]


class OwnershipState:
    """What one process may hold of its data centre's replicas.

    A replica is usable once no other member of the roster can still hold it. A member
    tells by ``Released`` up to which epoch it uses nothing that is not its own; it can
    hold what it owned in that epoch or in a later one. A process that is no longer in
    the roster left by its own release, or is known to be dead.
    """

    def __init__(self, name: str, boot: int) -> None:
        self.name = name
        self.boot = boot
        self.roster: Roster = EMPTY_ROSTER
        self.released: dict[tuple[str, int], int] = {}
        self.pending_releases: list[PendingRelease] = []
        self.history_truncated = False
        self.lagging_members: dict[str, int] = {}

    @property
    def is_member(self) -> bool:
        """Whether this very process is in the roster."""
        known = self.roster.find(self.name)
        return known is not None and known.boot == self.boot

    def set_roster(self, roster: Roster) -> bool:
        """Use a newer roster; False when it is not newer."""
        if roster.epoch <= self.roster.epoch:
            return False
        self.roster = roster
        self.update_pending_releases()
        return True

    def note_released(self, name: str, boot: int, epoch: int) -> bool:
        """Note that a process uses only its own as of an epoch; True if it is news."""
        if self.released.get((name, boot), 0) >= epoch:
            return False
        self.released[(name, boot)] = epoch
        self.update_pending_releases()
        return True

    def released_epoch(self, member: RosterMember) -> int:
        """Return the latest epoch up to which a member is known to have released."""
        told = self.released.get((member.name, member.boot), 0)
        return max(told, member.since_epoch)

    def update_pending_releases(self) -> None:
        """Work out who can still hold what by an earlier epoch."""
        others = [m for m in self.roster.members if m.name != self.name]
        lagging_members = {m.name: self.released_epoch(m) for m in others}
        lagging_members = {
            n: e for n, e in lagging_members.items() if e < self.roster.epoch
        }
        self.lagging_members = lagging_members
        self.pending_releases = []
        self.history_truncated = False
        for epoch in range(min(lagging_members.values(), default=0), self.roster.epoch):
            names = self.roster.names_at(epoch)
            holders = frozenset(
                n for n, since in lagging_members.items() if since <= epoch
            )
            if names is None:
                self.history_truncated = self.history_truncated or bool(holders)
            elif holders:
                self.pending_releases.append((names, holders))

    def owns(self, replica: str) -> bool:
        """Whether this process is the owner of a replica by its roster."""
        return self.is_member and owner_of(replica, self.roster.names) == self.name

    def usable(self, replica: str) -> bool:
        """Whether this process may use its part of a replica that it owns now."""
        if not self.owns(replica) or self.history_truncated:
            return False
        return all(
            owner_of(replica, names) not in holders
            for names, holders in self.pending_releases
        )
