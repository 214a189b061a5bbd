"""What a member knows of all members, and which of it is still to be spread."""

from __future__ import annotations

from math import ceil, log10
from random import Random

from sardinehook.fleet.datagram import RosterEpoch
from sardinehook.fleet.member import Member, MemberState, overrides

__all__ = ["MemberTable"]

SPREAD_FACTOR = 4
NEWS_PER_DATAGRAM = 6
DEAD_KEPT_S = 300.0


class MemberTable:
    """Members by name, the news about them, and the epochs of the rosters.

    News is told a number of times that grows with the logarithm of the fleet; the
    rest of the table is told in rotation, so what a loss or a split kept back is made
    up for at a constant rate. All times are monotonic seconds.
    """

    def __init__(self, local_member: Member, seed: int) -> None:
        self.local_member = local_member
        self.random = Random(seed)
        self.members: dict[str, Member] = {local_member.name: local_member}
        self.to_tell: dict[str, int] = {}
        self.rotation: list[str] = []
        self.dead_since: dict[str, float] = {}
        self.epochs: dict[str, int] = {}
        self.changed: list[Member] = []
        self.spreads_new = False

    def merge(self, told: Member, now: float) -> bool:
        """Take in what is told of another member; True when it is news."""
        known = self.members.get(told.name)
        if known is not None and not overrides(told, known):
            return False
        if known is None and told.state is MemberState.DEAD:
            return False
        self.members[told.name] = told
        self.note_change(known, told, now)
        return True

    def note_change(self, known: Member | None, told: Member, now: float) -> None:
        """Record that a member changed, unless only its revision did."""
        if known is not None and known._replace(revision=told.revision) == told:
            return
        if told.state is MemberState.DEAD:
            self.dead_since[told.name] = now
        else:
            self.dead_since.pop(told.name, None)
        joined = known is None or known.state is MemberState.JOINING
        if self.spreads_new or not joined:
            self.spread(told.name)
        self.changed.append(told)

    def spread(self, name: str) -> None:
        """Tell what is known of a member with the next datagrams."""
        self.to_tell[name] = SPREAD_FACTOR * ceil(log10(len(self.members) + 1))

    def take_changes(self) -> list[Member]:
        """Return the members that changed since the last call."""
        changed, self.changed = self.changed, []
        return changed

    def in_data_centre(self, data_centre: str) -> list[Member]:
        """Return the members of a data centre that are not dead."""
        return [
            member
            for member in self.members.values()
            if member.data_centre == data_centre
            and member.state is not MemberState.DEAD
        ]

    def pick_updates(self, rotated: int, own_only: bool) -> tuple[Member, ...]:
        """Pick what to tell a member: news first, then some of the rest."""
        names = sorted(self.to_tell, key=self.to_tell.__getitem__, reverse=True)
        picked = names[:NEWS_PER_DATAGRAM]
        for name in picked:
            self.to_tell[name] -= 1
            if self.to_tell[name] <= 0:
                del self.to_tell[name]
        picked += self.rotate(rotated, own_only)
        unique = dict.fromkeys(
            name for name in picked if name != self.local_member.name
        )
        return tuple(self.members[name] for name in unique if name in self.members)

    def rotate(self, count: int, own_only: bool) -> list[str]:
        """Return the next names in rotation; only this data centre's to others."""
        picked: list[str] = []
        for _ in range(min(len(self.members), count * 8)):
            if len(picked) == count:
                break
            if not self.rotation:
                self.rotation = list(self.members)
                self.random.shuffle(self.rotation)
            member = self.members.get(self.rotation.pop())
            if member is None or member.state is MemberState.DEAD:
                continue
            if not own_only or member.data_centre == self.local_member.data_centre:
                picked.append(member.name)
        return picked

    def pick_epochs(self) -> tuple[RosterEpoch, ...]:
        """Pick this data centre's roster epoch and one other to tell."""
        own = self.local_member.data_centre
        others = [place for place in self.epochs if place != own]
        places = [own] if own in self.epochs else []
        if others:
            places.append(self.random.choice(others))
        return tuple(RosterEpoch(place, self.epochs[place]) for place in places)

    def forget_dead(self, now: float) -> None:
        """Drop members that have been dead for long."""
        for name, since in list(self.dead_since.items()):
            if now - since > DEAD_KEPT_S:
                del self.dead_since[name]
                self.members.pop(name, None)
                self.to_tell.pop(name, None)

    def retain(self, data_centre: str, names: frozenset[str]) -> None:
        """Drop members of another data centre that its roster no longer lists."""
        for member in self.in_data_centre(data_centre):
            if member.name not in names and member.name != self.local_member.name:
                del self.members[member.name]
                self.to_tell.pop(member.name, None)
