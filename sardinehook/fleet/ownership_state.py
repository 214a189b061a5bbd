"""Transfer of replica ownership between the epochs of a roster."""

from __future__ import annotations

from sardinehook.fleet.ownership import owner_of
from sardinehook.fleet.roster import EMPTY_ROSTER, Roster, RosterMember

__all__ = ["OwnershipState"]

PendingRelease = tuple[tuple[str, ...], frozenset[str]]


class OwnershipState:
    """The replicas that one process owns and may already use.

    A replica is usable once no other member of the roster can still be using it. With
    ``Released`` a member reports the epoch as of which it uses only replicas that it
    owns; it can still use what it owned in that epoch or in a later one. A process
    that is no longer in the roster has either released everything or is known to be
    dead.
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
        """Return whether this process, not just its name, is in the roster."""
        known = self.roster.find(self.name)
        return known is not None and known.boot == self.boot

    def set_roster(self, roster: Roster) -> bool:
        """Apply a roster; return False if it is not newer than the current one."""
        if roster.epoch <= self.roster.epoch:
            return False
        self.roster = roster
        self.update_pending_releases()
        return True

    def note_released(self, name: str, boot: int, epoch: int) -> bool:
        """Record the release of a process; return whether its epoch advanced."""
        if self.released.get((name, boot), 0) >= epoch:
            return False
        self.released[(name, boot)] = epoch
        self.update_pending_releases()
        return True

    def released_epoch(self, member: RosterMember) -> int:
        """Return the latest epoch that a member is known to have released."""
        reported = self.released.get((member.name, member.boot), 0)
        return max(reported, member.since_epoch)

    def update_pending_releases(self) -> None:
        """Recompute which members may still use replicas of earlier epochs.

        If the roster's history is too short for a lagging member, no replica is
        usable.
        """
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
        """Return whether this process owns a replica by the current roster."""
        return self.is_member and owner_of(replica, self.roster.names) == self.name

    def usable(self, replica: str) -> bool:
        """Return whether this process owns a replica that nobody else still uses."""
        if not self.owns(replica) or self.history_truncated:
            return False
        return all(
            owner_of(replica, names) not in holders
            for names, holders in self.pending_releases
        )
