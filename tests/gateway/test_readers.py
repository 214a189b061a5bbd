"""Gateways that read the store for the others of their data centre."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.testing import MemoryReactorClock

from sardinehook.gateway.fleet import GATEWAY_PREFIX, GatewayRecord
from sardinehook.gateway.relay import ChangeRelay
from sardinehook.gateway.store import Changes, Item
from sardinehook.gateway.watch_cache import (
    StateUpdate,
    WatchCache,
    decode_update,
    encode_update,
)
from sardinehook.store.port import StoreUnavailable
from tests.gateway.test_follower import (
    FollowerRig,
    ScriptedPeers,
    replica,
    version,
)

GATEWAYS = 12
STEP_S = 0.25
DRAIN_S = 5.0
PASSING_ON_S = 2.5  # half of the shortest promise: the store's watch takes the rest
AWAY = StoreUnavailable("status 503", False)


def registration(node: str, revision: int) -> Item:
    """Make a gateway's record."""
    record = GatewayRecord(f"{node}:1", "here")
    return Item(GATEWAY_PREFIX + node, msgspec.json.encode(record), revision)


class Fleet:
    """Gateways of one data centre that know each other."""

    def __init__(self, gateways: int = GATEWAYS) -> None:
        self.reactor = MemoryReactorClock()
        self.peers = ScriptedPeers()
        self.rigs = [
            FollowerRig(self.reactor, f"g-{number}", self.peers)
            for number in range(gateways)
        ]
        self.revision = gateways
        self.tell(*[registration(f"g-{n}", n + 1) for n in range(gateways)])
        self.pass_time(3.0)
        self.tell()
        self.pass_time(2.0)

    @property
    def readers(self) -> list[FollowerRig]:
        """The gateways that watch the store."""
        return [rig for rig in self.rigs if rig.follower.rotation.is_reader]

    @property
    def others(self) -> list[FollowerRig]:
        """The gateways that ask readers."""
        return [rig for rig in self.rigs if not rig.follower.rotation.is_reader]

    def tell(self, *items: Item, to: Iterable[FollowerRig] | None = None) -> None:
        """Answer all calls that wait at the store."""
        self.revision = max([self.revision, *[item.revision for item in items]])
        for rig in self.rigs if to is None else to:
            if rig.store.waiting:
                rig.store.tell(self.revision, *items)

    def pass_time(self, seconds: float) -> None:
        """Let time pass in steps."""
        self.reactor.pump([STEP_S] * int(seconds / STEP_S))

    def store_calls(self, rigs: list[FollowerRig]) -> int:
        """Count the calls of some gateways."""
        return sum(len(rig.store.calls) for rig in rigs)


class TestWhoReads:
    def test_three_of_a_data_centre_watch_and_all_learn_of_a_change(self) -> None:
        fleet = Fleet()
        assert len(fleet.readers) == 3
        before = fleet.store_calls(fleet.others)
        fleet.tell(version(7, 40))
        fleet.pass_time(3.0)
        assert [rig.versions for rig in fleet.rigs] == [[7]] * GATEWAYS
        assert fleet.store_calls(fleet.others) == before

    def test_in_a_small_data_centre_all_watch(self) -> None:
        assert len(Fleet(3).readers) == 3

    def test_a_gateway_elsewhere_does_not_count(self) -> None:
        rig = FollowerRig()
        records = {f"g-{n}": GatewayRecord("a:1", "there") for n in range(2, 9)}
        rig.follower.rotation.update(records)
        assert rig.follower.rotation.is_reader

    def test_those_with_the_widest_links_read(self) -> None:
        rig = FollowerRig()
        records = {
            f"g-{n}": GatewayRecord("a:1", "here", "", 1000.0 if n > 6 else 20.0)
            for n in range(2, 12)
        }
        rig.follower.rotation.update(records)
        names = {reader.name for reader in rig.follower.rotation.readers}
        assert names <= {f"g-{n}" for n in range(7, 12)}


class TestReadersInTrouble:
    """Answers the pattern: a reader is killed, frozen, or cut off from the store."""

    @pytest.mark.parametrize("trouble", ["silent", "turned away", "lagging"])
    def test_all_others_learn_in_time_with_one_good_reader(self, trouble: str) -> None:
        fleet = Fleet()
        good, *bad = fleet.readers
        for rig in bad:
            if trouble == "silent":
                fleet.peers.silent.add(f"{rig.fleet.node}:1")
            elif trouble == "turned away":
                rig.store.fail(AWAY)
        fleet.tell(replica("a", 40), to=[good])
        fleet.pass_time(PASSING_ON_S)
        known = [len(rig.directory.replicas) for rig in fleet.others]
        assert known == [1] * len(known)

    def test_without_any_reader_the_others_read_the_store(self) -> None:
        fleet = Fleet()
        fleet.peers.silent.update(f"{rig.fleet.node}:1" for rig in fleet.readers)
        fleet.pass_time(2.0)
        fleet.tell(version(9, 50), to=fleet.others)
        assert [rig.versions for rig in fleet.others] == [[9]] * len(fleet.others)

    def test_after_the_trouble_the_others_ask_readers_again(self) -> None:
        fleet = Fleet()
        names = {f"{rig.fleet.node}:1" for rig in fleet.readers}
        fleet.peers.silent |= names
        fleet.pass_time(2.0)
        fleet.peers.silent -= names
        fleet.tell()
        fleet.pass_time(3.0)
        fleet.tell()
        fleet.pass_time(3.0)
        before = fleet.store_calls(fleet.others)
        fleet.pass_time(10.0)
        assert fleet.store_calls(fleet.others) == before

    def test_an_outage_of_the_store_costs_each_few_calls(self) -> None:
        fleet = Fleet()
        before = fleet.store_calls(fleet.others)
        for _ in range(40):
            for rig in fleet.rigs:
                if rig.store.waiting:
                    rig.store.fail(AWAY)
            fleet.pass_time(STEP_S)
        calls = fleet.store_calls(fleet.others) - before
        assert calls <= len(fleet.others) * 10.0

    def test_a_reader_that_lags_takes_nobody_back(self) -> None:
        fleet = Fleet()
        follower = fleet.others[0].follower
        follower.take(Changes((version(8, 60),), 60), False)
        assert not follower.apply_update(StateUpdate(Changes((), 50), True, True))
        assert follower.cache.revision == 60


class TestSilentWatch:
    """Answers the pattern: open connections fall silent for good, new ones work."""

    def test_what_others_know_is_taken_and_the_connection_given_up(self) -> None:
        fleet = Fleet(3)
        silent, *others = fleet.rigs
        fleet.tell(replica("a", 40), to=others)
        fleet.pass_time(DRAIN_S)
        assert len(silent.directory.replicas) == 1
        assert silent.store.dropped == 1

    def test_a_watch_that_is_a_moment_behind_is_kept(self) -> None:
        fleet = Fleet(3)
        slow, *others = fleet.rigs
        fleet.tell(replica("a", 40), to=others)
        fleet.pass_time(1.0)
        fleet.tell(replica("a", 40), to=[slow])
        fleet.pass_time(DRAIN_S)
        assert slow.store.dropped == 0


class TestUnexpectedErrors:
    def test_a_look_at_another_gateway_that_fails_begins_no_second_watch(self) -> None:
        rig = FollowerRig()
        rig.store.tell(5, registration("g-2", 5))
        rig.settle()
        rig.peers.broken = True
        rig.reactor.pump([STEP_S] * 20)
        assert len(rig.store.waiting) == 1


class TestRelay:
    def test_a_call_waits_for_a_change(self) -> None:
        clock = MemoryReactorClock()
        cache = WatchCache()
        cache.replace(Changes((), 5))
        relay = ChangeRelay(clock, cache)
        relay.set_current(True)
        answers: list[object] = []
        assert relay.answer(b"after=5&wait_ms=1000", answers.append) is not None
        assert answers == []
        cache.apply(Changes((Item("a", b"1", 6),), 6))
        relay.release()
        clock.advance(2.0)
        assert len(answers) == 1

    def test_a_call_is_answered_when_its_wait_ends(self) -> None:
        clock = MemoryReactorClock()
        cache = WatchCache()
        cache.replace(Changes((), 5))
        relay = ChangeRelay(clock, cache)
        relay.set_current(True)
        answers: list[object] = []
        relay.answer(b"after=5&wait_ms=1000", answers.append)
        clock.advance(1.1)
        assert len(answers) == 1

    def test_one_that_does_not_hear_from_the_store_lets_nobody_wait(self) -> None:
        cache = WatchCache()
        cache.replace(Changes((), 5))
        relay = ChangeRelay(MemoryReactorClock(), cache)
        answers: list[object] = []
        relay.answer(b"after=5&wait_ms=1000", answers.append)
        assert len(answers) == 1


class TestManyVersions:
    """Answers the pattern: configurations in quick succession, on narrow links."""

    def test_only_the_last_of_several_versions_is_told(self) -> None:
        cache = WatchCache()
        cache.replace(Changes((), 0))
        for number in range(1, 13):
            cache.apply(Changes((version(number, number),), number))
        update = StateUpdate(cache.changes_after(2) or Changes((), 0), False, True)
        assert update.changes.items == (version(12, 12),)

    def test_a_large_configuration_is_told_in_few_bytes(self) -> None:
        routes = [{"Name": f"r-{n}", "Host": "a.example"} for n in range(2000)]
        value = msgspec.json.encode({"Version": 1, "Routes": routes})
        update = StateUpdate(Changes((Item("op/config", value, 3),), 3), False, True)
        body = encode_update(update)
        assert len(body) < len(value) / 4
        assert decode_update(body).unwrap() == update


class TestKnowledge:
    @given(
        st.lists(
            st.tuples(st.sampled_from("abcd"), st.none() | st.binary(max_size=2)),
            max_size=20,
        ),
        st.integers(0, 20),
    )
    def test_changes_after_any_revision_lead_to_the_same_items(
        self, writes: list[tuple[str, bytes | None]], at: int
    ) -> None:
        teller, learner = WatchCache(), WatchCache()
        for cache in (teller, learner):
            cache.replace(Changes((), 0))
        for number, (key, value) in enumerate(writes, 1):
            change = Changes((Item(key, value, number),), number)
            teller.apply(change)
            if number <= at:
                learner.apply(change)
        changes = teller.changes_after(learner.revision or 0)
        assert changes is not None
        learner.apply(changes)
        assert learner.items == teller.items
        assert learner.revision == teller.revision
