"""Readers: gateways that watch the store for the others of their data centre."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

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
from tests.gateway.fake_transport import RecordingReactor
from tests.gateway.test_follower import (
    FollowerRig,
    ScriptedPeers,
    peer_address,
    replica,
    version,
)

GATEWAYS = 12
STEP_S = 0.25
DRAIN_S = 5.0
PROPAGATION_BOUND_S = 2.5  # half of the shortest time bound; the watch may use the rest
UNAVAILABLE = StoreUnavailable("status 503", False)


def registration(node: str, revision: int) -> Item:
    """Make a gateway's record."""
    record = GatewayRecord(peer_address(node), "here")
    return Item(GATEWAY_PREFIX + node, msgspec.json.encode(record), revision)


class ReaderFleet:
    """Registered gateways of one data centre."""

    def __init__(self, gateways: int = GATEWAYS) -> None:
        self.reactor = RecordingReactor()
        self.peers = ScriptedPeers()
        self.rigs = [
            FollowerRig(self.reactor, f"g-{number}", self.peers)
            for number in range(gateways)
        ]
        self.revision = gateways
        self.answer_store(*[registration(f"g-{n}", n + 1) for n in range(gateways)])
        self.pass_time(3.0)
        self.answer_store()
        self.pass_time(2.0)

    @property
    def readers(self) -> list[FollowerRig]:
        """The gateways that watch the store."""
        return [rig for rig in self.rigs if rig.follower.reader_selector.is_reader]

    @property
    def others(self) -> list[FollowerRig]:
        """The gateways that poll readers."""
        return [rig for rig in self.rigs if not rig.follower.reader_selector.is_reader]

    def answer_store(
        self, *items: Item, to: Iterable[FollowerRig] | None = None
    ) -> None:
        """Answer all waiting calls to the store."""
        self.revision = max([self.revision, *[item.revision for item in items]])
        for rig in self.rigs if to is None else to:
            if rig.store.waiting:
                rig.store.answer(self.revision, *items)

    def pass_time(self, seconds: float) -> None:
        """Advance the clock in steps."""
        self.reactor.pump([STEP_S] * int(seconds / STEP_S))

    def count_store_calls(self, rigs: list[FollowerRig]) -> int:
        """Count the calls of some gateways to the store."""
        return sum(len(rig.store.calls) for rig in rigs)


class TestReaderSelection:
    def test_three_gateways_watch_and_all_receive_a_change(self) -> None:
        fleet = ReaderFleet()
        assert len(fleet.readers) == 3
        before = fleet.count_store_calls(fleet.others)
        fleet.answer_store(version(7, 40))
        fleet.pass_time(3.0)
        assert [rig.versions for rig in fleet.rigs] == [[7]] * GATEWAYS
        assert fleet.count_store_calls(fleet.others) == before

    def test_all_gateways_of_a_small_data_centre_watch(self) -> None:
        assert len(ReaderFleet(3).readers) == 3

    def test_gateways_of_other_data_centres_are_not_counted(self) -> None:
        rig = FollowerRig()
        records = {f"g-{n}": GatewayRecord("a:1", "there") for n in range(2, 9)}
        rig.follower.reader_selector.update(records)
        assert rig.follower.reader_selector.is_reader

    def test_pollers_prefer_readers_with_the_highest_bandwidth(self) -> None:
        rig = FollowerRig()
        records = {f"g-{n}": GatewayRecord(f"a:{n}", "here") for n in range(2, 30)}
        records["wide"] = GatewayRecord("a:99", "here", link_mbps=200.0)
        selector = rig.follower.reader_selector
        selector.update(records)
        assert [reader.name for reader in selector.usable(0.0)][0] == "wide"
        assert len(selector.usable(0.0)) == 3

    def test_gateways_with_the_highest_bandwidth_are_readers(self) -> None:
        rig = FollowerRig()
        records = {
            f"g-{n}": GatewayRecord("a:1", "here", "", 1000.0 if n > 6 else 20.0)
            for n in range(2, 12)
        }
        rig.follower.reader_selector.update(records)
        names = {reader.name for reader in rig.follower.reader_selector.readers}
        assert names <= {f"g-{n}" for n in range(7, 12)}


class TestFailingReaders:
    """Changes arrive in time while readers are down, paused or without the store."""

    @pytest.mark.parametrize("failure", ["unreachable", "rejected", "lagging"])
    def test_one_working_reader_propagates_changes_in_time(self, failure: str) -> None:
        fleet = ReaderFleet()
        good, *bad = fleet.readers
        for rig in bad:
            if failure == "unreachable":
                fleet.peers.unreachable.add(peer_address(rig.fleet.node))
            elif failure == "rejected":
                rig.store.fail(UNAVAILABLE)
        fleet.answer_store(replica("a", 40), to=[good])
        fleet.pass_time(PROPAGATION_BOUND_S)
        known = [len(rig.directory.replicas) for rig in fleet.others]
        assert known == [1] * len(known)

    def test_gateways_without_a_reader_read_the_store(self) -> None:
        fleet = ReaderFleet()
        fleet.peers.unreachable.update(
            peer_address(rig.fleet.node) for rig in fleet.readers
        )
        fleet.pass_time(2.0)
        fleet.answer_store(version(9, 50), to=fleet.others)
        assert [rig.versions for rig in fleet.others] == [[9]] * len(fleet.others)

    def test_recovered_readers_are_polled_again(self) -> None:
        fleet = ReaderFleet()
        names = {peer_address(rig.fleet.node) for rig in fleet.readers}
        fleet.peers.unreachable |= names
        fleet.pass_time(2.0)
        fleet.peers.unreachable -= names
        fleet.answer_store()
        fleet.pass_time(3.0)
        fleet.answer_store()
        fleet.pass_time(3.0)
        before = fleet.count_store_calls(fleet.others)
        fleet.pass_time(10.0)
        assert fleet.count_store_calls(fleet.others) == before

    def test_store_outage_causes_few_calls(self) -> None:
        fleet = ReaderFleet()
        before = fleet.count_store_calls(fleet.others)
        for _ in range(40):
            for rig in fleet.rigs:
                if rig.store.waiting:
                    rig.store.fail(UNAVAILABLE)
            fleet.pass_time(STEP_S)
        calls = fleet.count_store_calls(fleet.others) - before
        assert calls <= len(fleet.others) * 10.0

    def test_lagging_reader_does_not_revert_state(self) -> None:
        fleet = ReaderFleet()
        state = fleet.others[0].follower.state
        state.apply_changes(Changes((version(8, 60),), 60), False)
        assert not state.apply_update(StateUpdate(Changes((), 50), True, True))
        assert state.cache.revision == 60


class TestHalfOpenWatch:
    """The network drops an open connection without an error; new connections work."""

    def test_state_of_peers_is_applied_and_connection_dropped(self) -> None:
        fleet = ReaderFleet(3)
        stale, *others = fleet.rigs
        fleet.answer_store(replica("a", 40), to=others)
        fleet.pass_time(DRAIN_S)
        assert len(stale.directory.replicas) == 1
        assert stale.store.dropped == 1

    def test_slightly_late_watch_is_kept(self) -> None:
        fleet = ReaderFleet(3)
        slow, *others = fleet.rigs
        fleet.answer_store(replica("a", 40), to=others)
        fleet.pass_time(1.0)
        fleet.answer_store(replica("a", 40), to=[slow])
        fleet.pass_time(DRAIN_S)
        assert slow.store.dropped == 0


class TestUnexpectedErrors:
    def test_failing_watch_check_starts_no_second_watch(self) -> None:
        rig = FollowerRig()
        rig.store.answer(5, registration("g-2", 5))
        rig.pass_pauses()
        rig.peers.broken = True
        rig.reactor.pump([STEP_S] * 20)
        assert len(rig.store.waiting) == 1


class TestRelay:
    def test_call_waits_for_a_change(self) -> None:
        clock = RecordingReactor()
        cache = WatchCache()
        cache.replace(Changes((), 5))
        relay = ChangeRelay(clock, cache)
        relay.set_current(True)
        answers: list[object] = []
        assert relay.answer(b"after=5&wait_ms=1000", answers.append) is not None
        assert answers == []
        cache.apply(Changes((Item("a", b"1", 6),), 6))
        relay.answer_waiting()
        clock.advance(2.0)
        assert len(answers) == 1

    def test_call_is_answered_after_its_wait(self) -> None:
        clock = RecordingReactor()
        cache = WatchCache()
        cache.replace(Changes((), 5))
        relay = ChangeRelay(clock, cache)
        relay.set_current(True)
        answers: list[object] = []
        relay.answer(b"after=5&wait_ms=1000", answers.append)
        clock.advance(1.1)
        assert len(answers) == 1

    def test_relay_without_store_contact_answers_at_once(self) -> None:
        cache = WatchCache()
        cache.replace(Changes((), 5))
        relay = ChangeRelay(RecordingReactor(), cache)
        answers: list[object] = []
        relay.answer(b"after=5&wait_ms=1000", answers.append)
        assert len(answers) == 1


class TestUpdateSize:
    """Rapid configuration changes must not saturate links of low bandwidth."""

    def test_only_the_last_of_several_versions_is_sent(self) -> None:
        cache = WatchCache()
        cache.replace(Changes((), 0))
        for number in range(1, 13):
            cache.apply(Changes((version(number, number),), number))
        update = StateUpdate(cache.changes_after(2) or Changes((), 0), False, True)
        assert update.changes.items == (version(12, 12),)

    def test_large_configuration_is_compressed(self) -> None:
        routes = [{"Name": f"r-{n}", "Host": "a.example"} for n in range(2000)]
        value = msgspec.json.encode({"Version": 1, "Routes": routes})
        update = StateUpdate(Changes((Item("op/config", value, 3),), 3), False, True)
        body = encode_update(update)
        assert len(body) < len(value) / 4
        assert decode_update(body).unwrap() == update


class TestWatchCache:
    @given(
        st.lists(
            st.tuples(st.sampled_from("abcd"), st.none() | st.binary(max_size=2)),
            max_size=20,
        ),
        st.integers(0, 20),
    )
    def test_changes_after_any_revision_give_equal_items(
        self, writes: list[tuple[str, bytes | None]], at: int
    ) -> None:
        sender, receiver = WatchCache(), WatchCache()
        for cache in (sender, receiver):
            cache.replace(Changes((), 0))
        for number, (key, value) in enumerate(writes, 1):
            change = Changes((Item(key, value, number),), number)
            sender.apply(change)
            if number <= at:
                receiver.apply(change)
        changes = sender.changes_after(receiver.revision or 0)
        assert changes is not None
        receiver.apply(changes)
        assert receiver.items == sender.items
        assert receiver.revision == sender.revision
