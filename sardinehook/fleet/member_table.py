"""Table of all known members and the queue of updates to gossip."""

from __future__ import annotations

from math import ceil, log10
from random import Random

from sardinehook.fleet.datagram import RosterEpoch
from sardinehook.fleet.member import Member, MemberState, overrides

__all__ = ["MemberTable"]

RETRANSMIT_FACTOR = 4
QUEUED_UPDATES_PER_DATAGRAM = 6
DEAD_RETENTION_S = 300.0


class MemberTable:
    """Members by name, queued updates, and roster epochs by data centre.

    An update is retransmitted a number of times that grows with the logarithm of the
    fleet. The rest of the table is sent in rotation, so that updates missed through
    packet loss or a network partition are repaired at a constant rate. All times are
    monotonic seconds.
    """

    def __init__(self, local_member: Member, seed: int) -> None:
        self.local_member = local_member
        self.random = Random(seed)
        self.members: dict[str, Member] = {local_member.name: local_member}
        self.pending_updates: dict[str, int] = {}
        self.rotation: list[str] = []
        self.dead_since: dict[str, float] = {}
        self.epochs: dict[str, int] = {}
        self.changed: list[Member] = []
        self.gossip_joins = False

    def merge(self, update: Member, now: float) -> bool:
        """Apply an update of another member; return whether it changed the table.

        Unknown members that are already dead are ignored.
        """
        known = self.members.get(update.name)
        if known is not None and not overrides(update, known):
            return False
        if known is None and update.state is MemberState.DEAD:
            return False
        self.members[update.name] = update
        self.record_change(known, update, now)
        return True

    def record_change(self, known: Member | None, update: Member, now: float) -> None:
        """Queue and record a change, unless only the revision changed."""
        if known is not None and known._replace(revision=update.revision) == update:
            return
        if update.state is MemberState.DEAD:
            self.dead_since[update.name] = now
        else:
            self.dead_since.pop(update.name, None)
        joined = known is None or known.state is MemberState.JOINING
        if self.gossip_joins or not joined:
            self.queue_update(update.name)
        self.changed.append(update)

    def queue_update(self, name: str) -> None:
        """Queue the record of a member for the next datagrams."""
        self.pending_updates[name] = RETRANSMIT_FACTOR * ceil(
            log10(len(self.members) + 1)
        )

    def drain_changes(self) -> list[Member]:
        """Return and clear the members that changed since the last call."""
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

    def select_updates(
        self, rotation_count: int, local_only: bool
    ) -> tuple[Member, ...]:
        """Select records to send: queued updates first, then some in rotation."""
        names = sorted(
            self.pending_updates, key=self.pending_updates.__getitem__, reverse=True
        )
        picked = names[:QUEUED_UPDATES_PER_DATAGRAM]
        for name in picked:
            self.pending_updates[name] -= 1
            if self.pending_updates[name] <= 0:
                del self.pending_updates[name]
        picked += self.next_in_rotation(rotation_count, local_only)
        unique = dict.fromkeys(
            name for name in picked if name != self.local_member.name
        )
        return tuple(self.members[name] for name in unique if name in self.members)

    def next_in_rotation(self, count: int, local_only: bool) -> list[str]:
        """Return the next names in rotation, without dead members.

        With ``local_only`` these are members of the local data centre only.
        """
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
            if not local_only or member.data_centre == self.local_member.data_centre:
                picked.append(member.name)
        return picked

    def select_epochs(self) -> tuple[RosterEpoch, ...]:
        """Select the local roster epoch and a random remote one to send."""
        local = self.local_member.data_centre
        others = [name for name in self.epochs if name != local]
        selected = [local] if local in self.epochs else []
        if others:
            selected.append(self.random.choice(others))
        return tuple(RosterEpoch(name, self.epochs[name]) for name in selected)

    def remove_expired_dead(self, now: float) -> None:
        """Remove members that have been dead for longer than the retention period."""
        for name, since in list(self.dead_since.items()):
            if now - since > DEAD_RETENTION_S:
                del self.dead_since[name]
                self.members.pop(name, None)
                self.pending_updates.pop(name, None)

    def retain(self, data_centre: str, names: frozenset[str]) -> None:
        """Remove members of a data centre that are missing from its roster."""
        for member in self.in_data_centre(data_centre):
            if member.name not in names and member.name != self.local_member.name:
                del self.members[member.name]
                self.pending_updates.pop(member.name, None)
