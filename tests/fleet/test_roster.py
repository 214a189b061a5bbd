"""Tests of the roster, of holding through its epochs, and of its upkeep."""

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
PLACE = "szolnok-b"


def member(name: str, boot: int, vm_incarnation: int = 0) -> RosterMember:
    return RosterMember(name, boot, vm_incarnation, 1000.0, 0)


def roster_of(*names: str) -> Roster:
    roster = EMPTY_ROSTER
    for boot, name in enumerate(names):
        roster = join(roster, member(name, boot))
    return roster


class TestEviction:
    def test_silence_alone_evicts_nobody(self) -> None:
        roster = roster_of("e1")
        early = VmList(1000.0 + VM_LIST_MARGIN_MS - 1.0, ())
        leaving = Vm("e1", PLACE, "10.0.0.1", 0, VmState.LEAVING)
        assert evict(roster, early) == roster
        assert evict(roster, VmList(1e9, (leaving,))) == roster

    def test_vm_that_is_gone_or_started_anew_is_evicted(self) -> None:
        roster = join(join(EMPTY_ROSTER, member("e1", 1, 7)), member("e2", 2, 7))
        anew = Vm("e1", PLACE, "10.0.0.1", 8, VmState.LIVE)
        assert evict(roster, VmList(1e9, (anew,))).names == ()
        same = anew._replace(incarnation=7)
        assert evict(roster, VmList(1e9, (same,))).names == ("e1",)

    def test_release_does_not_touch_a_later_process_of_the_name(self) -> None:
        roster = join(roster_of("e1"), member("e1", 99))
        assert release(roster, "e1", 0) == roster
        assert release(roster, "e1", 99).names == ()


class TestOwnershipState:
    def test_joiner_waits_only_for_those_that_held_its_replicas(self) -> None:
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

    def test_history_that_is_too_short_blocks(self) -> None:
        roster = roster_of("e1", "e2")
        for boot in range(CHANGE_HISTORY_LIMIT):
            roster = release(join(roster, member("e3", boot)), "e3", boot)
        ownership = OwnershipState("e1", 0)
        ownership.set_roster(roster)
        assert not any(ownership.usable(r) for r in REPLICAS)
        ownership.note_released("e2", 1, roster.epoch)
        assert any(ownership.usable(r) for r in REPLICAS)

    def test_older_roster_changes_nothing(self) -> None:
        ownership = OwnershipState("e1", 0)
        assert ownership.set_roster(roster_of("e1", "e2"))
        assert not ownership.set_roster(roster_of("e1"))

    def test_coding_keeps_a_roster(self) -> None:
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
            PLACE,
            lambda roster, written: seen.append(roster),
            Random(1),
        )

    async def close(self) -> None:
        await self.vm_list.close()
        await super().close()

    async def test_join_whose_reply_was_lost_is_done_once(self) -> None:
        seen: list[Roster] = []
        roster_updater = self.roster_updater(seen)
        self.platform.control({"lose_replies": 1, "lose_replies_prefix": "roster/"})
        await roster_updater.join(member("e1", 1))
        assert seen[-1].epoch == 1 and seen[-1].names == ("e1",)

    async def test_malformed_roster_is_not_overwritten(self) -> None:
        roster_updater = self.roster_updater([])
        await self.store.put(roster_key(PLACE), b"garbage", 0)
        assert not await roster_updater.release("e1", 1, attempts=1)
        held = (await self.store.get(roster_key(PLACE))).unwrap()
        assert held is not None and held.value == b"garbage"
