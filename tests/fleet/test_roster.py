"""Tests of the roster, its updates and the transfer of ownership by epoch."""

from __future__ import annotations

from random import Random

from sardinehook.fleet.ownership import owner_of
from sardinehook.fleet.ownership_state import OwnershipState
from sardinehook.fleet.roster import (
    CHANGE_HISTORY_LIMIT,
    EMPTY_ROSTER,
    VM_LIST_MARGIN_MS,
    Roster,
    RosterMember,
    decode_roster,
    encode_roster,
    evict,
    join,
    release,
    roster_key,
)
from sardinehook.fleet.roster_updater import RosterUpdater
from sardinehook.store.vm_list import HttpVmList, Vm, VmList, VmState
from tests.fleet.support import reactor
from tests.store.platform_case import TIMEOUT_MS, PlatformCase

REPLICAS = [f"counters-{number}" for number in range(40)]
DATA_CENTRE = "szolnok-b"


def member(name: str, boot: int, vm_incarnation: int = 0) -> RosterMember:
    return RosterMember(name, boot, vm_incarnation, 1000.0, 0)


def roster_of(*names: str) -> Roster:
    roster = EMPTY_ROSTER
    for boot, name in enumerate(names):
        roster = join(roster, member(name, boot))
    return roster


class TestEviction:
    def test_early_list_or_leaving_vm_evicts_nobody(self) -> None:
        roster = roster_of("e1")
        early = VmList(1000.0 + VM_LIST_MARGIN_MS - 1.0, ())
        leaving = Vm("e1", DATA_CENTRE, "10.0.0.1", 0, VmState.LEAVING)
        assert evict(roster, early) == roster
        assert evict(roster, VmList(1e9, (leaving,))) == roster

    def test_removed_or_restarted_vm_is_evicted(self) -> None:
        roster = join(join(EMPTY_ROSTER, member("e1", 1, 7)), member("e2", 2, 7))
        restarted = Vm("e1", DATA_CENTRE, "10.0.0.1", 8, VmState.LIVE)
        assert evict(roster, VmList(1e9, (restarted,))).names == ()
        same = restarted._replace(incarnation=7)
        assert evict(roster, VmList(1e9, (same,))).names == ("e1",)

    def test_release_keeps_a_later_process_of_the_same_name(self) -> None:
        roster = join(roster_of("e1"), member("e1", 99))
        assert release(roster, "e1", 0) == roster
        assert release(roster, "e1", 99).names == ()


class TestOwnershipState:
    def test_joiner_waits_only_for_previous_owners(self) -> None:
        roster = roster_of("e1", "e2", "e3")
        ownership = OwnershipState("e3", 2)
        ownership.set_roster(roster)
        before = {r: owner_of(r, ("e1", "e2")) for r in REPLICAS}
        gained = [r for r in REPLICAS if ownership.owns(r)]
        assert gained and not any(ownership.usable(r) for r in gained)
        ownership.note_released("e1", 0, roster.epoch)
        assert all(ownership.usable(r) == (before[r] == "e1") for r in gained)
        ownership.note_released("e2", 99, roster.epoch)
        assert not all(ownership.usable(r) for r in gained)
        ownership.note_released("e2", 1, roster.epoch)
        assert all(ownership.usable(r) for r in gained)

    def test_truncated_history_blocks_use(self) -> None:
        roster = roster_of("e1", "e2")
        for boot in range(CHANGE_HISTORY_LIMIT):
            roster = release(join(roster, member("e3", boot)), "e3", boot)
        ownership = OwnershipState("e1", 0)
        ownership.set_roster(roster)
        assert not any(ownership.usable(r) for r in REPLICAS)
        ownership.note_released("e2", 1, roster.epoch)
        assert any(ownership.usable(r) for r in REPLICAS)

    def test_older_roster_is_ignored(self) -> None:
        ownership = OwnershipState("e1", 0)
        assert ownership.set_roster(roster_of("e1", "e2"))
        assert not ownership.set_roster(roster_of("e1"))

    def test_encoded_roster_decodes_unchanged(self) -> None:
        roster = roster_of("e1", "e2")
        assert decode_roster(encode_roster(roster)) == roster
        assert decode_roster(b"garbage") is None


class TestRosterUpdater(PlatformCase):
    def roster_updater(self, seen: list[Roster]) -> RosterUpdater:
        self.vm_list = HttpVmList(reactor, self.address, TIMEOUT_MS)
        return RosterUpdater(
            reactor,
            self.store,
            self.vm_list,
            DATA_CENTRE,
            lambda roster, written: seen.append(roster),
            Random(1),
        )

    async def close(self) -> None:
        await self.vm_list.close()
        await super().close()

    async def test_join_with_a_lost_reply_is_applied_once(self) -> None:
        seen: list[Roster] = []
        roster_updater = self.roster_updater(seen)
        self.platform.control({"lose_replies": 1, "lose_replies_prefix": "roster/"})
        await roster_updater.join(member("e1", 1))
        assert seen[-1].epoch == 1 and seen[-1].names == ("e1",)

    async def test_malformed_roster_is_not_overwritten(self) -> None:
        roster_updater = self.roster_updater([])
        await self.store.put(roster_key(DATA_CENTRE), b"garbage", 0)
        assert not await roster_updater.release("e1", 1, attempts=1)
        held = (await self.store.get(roster_key(DATA_CENTRE))).unwrap()
        assert held is not None and held.value == b"garbage"
