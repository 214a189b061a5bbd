"""Roster of a data centre: the entry processes that share its replicas."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from sardinehook.decoding import DECODE_ERRORS
from sardinehook.store.vm_list import Vm, VmList

__all__ = [
    "EMPTY_ROSTER",
    "Roster",
    "RosterChange",
    "RosterMember",
    "decode_roster",
    "encode_roster",
    "evict",
    "join",
    "release",
    "roster_key",
    "vm_removed",
]

CHANGE_HISTORY_LIMIT = 64
VM_LIST_MARGIN_MS = 60_000.0
UNKNOWN_INCARNATION = 0


class RosterMember(NamedTuple):
    """A member of the roster.

    ``boot`` is a random number drawn by each process at its start.
    ``vm_incarnation`` is assigned by the platform, or ``UNKNOWN_INCARNATION``.
    ``as_of_ms`` is the platform's clock when the member joined, ``since_epoch`` the
    epoch in which it joined.
    """

    name: str
    boot: int
    vm_incarnation: int
    as_of_ms: float
    since_epoch: int


class RosterChange(NamedTuple):
    """The addition or removal of a name that started an epoch."""

    epoch: int
    name: str
    added: bool


class Roster(NamedTuple):
    """The members of a data centre; each change starts a new epoch.

    ``changes`` holds the most recent additions and removals of names, oldest first.
    """

    epoch: int
    members: tuple[RosterMember, ...]
    changes: tuple[RosterChange, ...]

    @property
    def names(self) -> tuple[str, ...]:
        """Return the names of the members, sorted."""
        return tuple(sorted(member.name for member in self.members))

    def find(self, name: str) -> RosterMember | None:
        """Return the member with a name, or None."""
        return next((member for member in self.members if member.name == name), None)

    def names_at(self, epoch: int) -> tuple[str, ...] | None:
        """Return the names in an earlier epoch; None if the history is too short.

        >>> first = join(EMPTY_ROSTER, RosterMember("e1", 1, 0, 0.0, 0))
        >>> second = join(first, RosterMember("e2", 2, 0, 0.0, 0))
        >>> second.names_at(1), second.names_at(2)
        (('e1',), ('e1', 'e2'))
        """
        oldest = self.changes[0].epoch if self.changes else self.epoch + 1
        if epoch < oldest - 1 and epoch < self.epoch:
            return None
        names = set(self.names)
        for change in reversed(self.changes):
            if change.epoch <= epoch:
                break
            if change.added:
                names.discard(change.name)
            else:
                names.add(change.name)
        return tuple(sorted(names))


EMPTY_ROSTER = Roster(0, (), ())


def next_epoch(
    roster: Roster, members: tuple[RosterMember, ...], name: str, added: bool | None
) -> Roster:
    """Return the roster of the next epoch.

    ``added`` is None if the list of names stays the same.
    """
    epoch = roster.epoch + 1
    changes = roster.changes
    if added is not None:
        changes = (*changes, RosterChange(epoch, name, added))
    return Roster(epoch, members, changes[-CHANGE_HISTORY_LIMIT:])


def join(roster: Roster, member: RosterMember) -> Roster:
    """Add a member; it replaces an earlier process with the same name."""
    known = roster.find(member.name)
    if known is not None and known.boot == member.boot:
        return roster
    others = tuple(other for other in roster.members if other.name != member.name)
    joined = member._replace(since_epoch=roster.epoch + 1)
    added = True if known is None else None
    return next_epoch(roster, (*others, joined), member.name, added)


def release(roster: Roster, name: str, boot: int) -> Roster:
    """Remove a process, unless a later process has taken over its name."""
    known = roster.find(name)
    if known is None or known.boot != boot:
        return roster
    others = tuple(member for member in roster.members if member.name != name)
    return next_epoch(roster, others, name, False)


def vm_removed(member: RosterMember, vm_list: VmList) -> bool:
    """Return whether the platform's list shows that a member's VM was removed.

    The list lags, so the absence of a VM counts only if the list was made at least
    ``VM_LIST_MARGIN_MS`` after the member joined. A VM that is listed as leaving is
    still running.

    >>> member = RosterMember("e1", 1, 4, 1000.0, 1)
    >>> vm_removed(member, VmList(1000.0, ())), vm_removed(member, VmList(90_000.0, ()))
    (False, True)
    """
    listed = [vm for vm in vm_list.vms if vm.name == member.name]
    if not listed:
        return vm_list.as_of_ms >= member.as_of_ms + VM_LIST_MARGIN_MS
    if member.vm_incarnation == UNKNOWN_INCARNATION:
        return False
    return all(restarted(vm, member) for vm in listed)


def restarted(vm: Vm, member: RosterMember) -> bool:
    """Return whether a VM was restarted since the member joined."""
    return vm.incarnation > member.vm_incarnation


def evict(roster: Roster, vm_list: VmList) -> Roster:
    """Remove the members whose VMs were removed; each removal starts an epoch."""
    for member in roster.members:
        if vm_removed(member, vm_list):
            roster = release(roster, member.name, member.boot)
    return roster


def roster_key(data_centre: str) -> str:
    """Return the key of a data centre's roster in the platform's store."""
    return f"roster/{data_centre}"


encoder = msgspec.msgpack.Encoder()
decoder = msgspec.msgpack.Decoder(Roster)


def encode_roster(roster: Roster) -> bytes:
    """Encode a roster as MessagePack."""
    return encoder.encode(roster)


def decode_roster(data: bytes) -> Roster | None:
    """Decode a roster; return None if it is malformed."""
    try:
        return decoder.decode(data)
    except DECODE_ERRORS:
        return None
