"""What a gateway believes of the store: watches, outages, versions, leases."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection
from random import Random

import msgspec
from returns.result import Failure, Result, Success
from twisted.internet.defer import Deferred
from twisted.internet.testing import MemoryReactorClock

from sardinehook.gateway.answer import CallerAnswer
from sardinehook.gateway.configuration import Configuration
from sardinehook.gateway.directory import Directory
from sardinehook.gateway.fleet import GATEWAY_PREFIX, GatewayFleet, GatewayRecord
from sardinehook.gateway.follower import StoreFollower
from sardinehook.gateway.relay import changes_query
from sardinehook.gateway.settings import Bounds
from sardinehook.gateway.store import (
    Changes,
    HistoryGone,
    Item,
    LeaseGone,
    StoreProblem,
)
from sardinehook.gateway.watch_cache import StateUpdate, decode_update, encode_update
from sardinehook.platform.discovery import PlatformKeys
from sardinehook.store.port import StoreUnavailable


class ScriptedStore:
    """Answers listings and watches when a test says so."""

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.waiting: deque[Deferred[Result[Changes, StoreProblem]]] = deque()
        self.lease_gone = False
        self.dropped = 0

    async def read_all(self, prefix: str) -> Result[Changes, StoreProblem]:
        """Wait for the test to answer."""
        self.calls.append("read_all")
        return await self.hold()

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> Result[Changes, StoreProblem]:
        """Wait for the test to answer."""
        self.calls.append(f"watch {after}")
        return await self.hold()

    async def put(
        self, key: str, value: bytes, lease: int
    ) -> Result[int, StoreProblem]:
        """Accept a write."""
        self.calls.append(f"put {key}")
        return Success(1)

    async def grant_lease(self, ttl_s: float) -> Result[int, StoreProblem]:
        """Grant a lease."""
        self.calls.append("grant")
        return Success(7)

    async def renew_lease(self, lease: int) -> Result[None, StoreProblem]:
        """Renew a lease, unless it is gone."""
        self.calls.append("renew")
        return Failure(LeaseGone()) if self.lease_gone else Success(None)

    async def end_lease(self, lease: int) -> Result[None, StoreProblem]:
        """End a lease."""
        self.calls.append("end")
        return Success(None)

    def drop_connections(self) -> None:
        """Count the call."""
        self.dropped += 1

    def hold(self) -> Deferred[Result[Changes, StoreProblem]]:
        """Return what the next answer ends."""
        held: Deferred[Result[Changes, StoreProblem]] = Deferred()
        self.waiting.append(held)
        return held

    def tell(self, revision: int, *items: Item) -> None:
        """Answer the call that waits."""
        self.waiting.popleft().callback(Success(Changes(items, revision)))

    def fail(self, problem: StoreProblem) -> None:
        """Fail the call that waits."""
        self.waiting.popleft().callback(Failure(problem))


class ScriptedPeers:
    """Other gateways, each answering as its follower's relay does."""

    def __init__(self) -> None:
        self.rigs: dict[str, FollowerRig] = {}
        self.asked: list[str] = []
        self.silent: set[str] = set()
        self.broken = False

    async def ask_any(
        self, addresses: Collection[str], after: int | None
    ) -> Result[StateUpdate, str]:
        """Ask the first peer that is there."""
        for address in addresses:
            if address in self.rigs:
                return await self.ask(address, after, 0.0)
        return Failure("no peer is known")

    async def ask(
        self, address: str, after: int | None, wait_s: float
    ) -> Result[StateUpdate, str]:
        """Ask one peer."""
        if self.broken:
            raise RuntimeError("a fault of ours")
        self.asked.append(address)
        rig = self.rigs.get(address)
        if rig is None or address in self.silent:
            return Failure("no answer in time")
        answered: Deferred[CallerAnswer] = Deferred()
        query = changes_query(after, wait_s).partition(b"?")[2]
        rig.follower.relay.answer(query, answered.callback)
        answer = await answered
        return decode_update(answer.body) if answer.status == 200 else Failure("503")


class FollowerRig:
    """A follower of a scripted store."""

    def __init__(
        self,
        reactor: MemoryReactorClock | None = None,
        node: str = "g-1",
        peers: ScriptedPeers | None = None,
    ) -> None:
        self.reactor = reactor or MemoryReactorClock()
        self.peers = peers or ScriptedPeers()
        self.reactor.advance(100.0)
        self.store = ScriptedStore()
        self.directory = Directory(self.reactor, 3.0)
        self.versions: list[int] = []
        self.names: list[frozenset[str]] = []
        self.fleet = GatewayFleet(
            self.reactor,
            self.store,
            node,
            GatewayRecord(f"{node}:1", "here"),
            self.names.append,
        )
        self.follower = StoreFollower(
            self.reactor,
            self.store,
            self.peers,
            PlatformKeys(),
            self.directory,
            self.fleet,
            self.note_version,
            Random(1),
        )
        self.follower.configure(Bounds(drain_s=5.0, configuration_s=5.0))
        self.peers.rigs[f"{node}:1"] = self
        self.follower.start()

    def note_version(self, configuration: Configuration) -> None:
        """Note a version that goes in force."""
        self.versions.append(configuration.version)

    def settle(self) -> None:
        """Let the pauses between calls pass."""
        self.reactor.pump([0.5] * 4)


def replica(
    name: str, revision: int, state: str = "ready", born: int = 1, port: int = 80
) -> Item:
    """Make an entry of discovery."""
    value = {
        "Service": "desk",
        "Addr": f"10.0.0.9:{port}",
        "Zone": "here",
        "State": state,
        "Slots": 2,
        "Seq": revision,
        "ColdLeftMs": 0,
        "born": born,
    }
    return Item(f"servers/{name}", msgspec.json.encode(value), revision)


def version(number: int, revision: int) -> Item:
    """Make a configuration."""
    value = {"Version": number, "Routes": [], "Services": []}
    return Item("op/config", msgspec.json.encode(value), revision)


class TestWatching:
    def test_goes_on_from_the_revision_of_the_listing(self) -> None:
        rig = FollowerRig()
        rig.store.tell(5, replica("a", 3))
        rig.settle()
        assert rig.store.calls == ["read_all", "watch 5"]
        assert [r.replica_id for r in rig.directory.replicas_of("desk")] == ["a"]

    def test_reads_anew_where_the_history_is_gone(self) -> None:
        rig = FollowerRig()
        rig.store.tell(5, replica("a", 3))
        rig.settle()
        rig.store.fail(HistoryGone())
        rig.settle()
        assert rig.store.calls[-1] == "read_all"

    def test_goes_on_after_an_outage(self) -> None:
        rig = FollowerRig()
        rig.store.tell(5)
        rig.settle()
        rig.store.fail(StoreUnavailable("status 503", False))
        rig.settle()
        assert rig.store.calls[-1] == "watch 5"
        assert rig.follower.down_since is not None
        rig.store.tell(6, version(3, 6))
        rig.settle()
        assert rig.versions == [3]
        assert rig.follower.down_since is None


class TestUnexpectedErrors:
    def test_following_resumes_with_a_listing(self) -> None:
        rig = FollowerRig()
        rig.store.tell(5, replica("a", 3))
        rig.settle()
        rig.store.waiting.popleft().errback(RuntimeError("a fault of ours"))
        rig.settle()
        assert rig.store.calls[-1] == "read_all"
        rig.store.tell(6, replica("a", 3), version(3, 6))
        rig.settle()
        assert rig.versions == [3]


class TestConfiguration:
    def test_never_goes_back(self) -> None:
        rig = FollowerRig()
        rig.store.tell(5, version(7, 5))
        rig.settle()
        rig.store.tell(6, version(4, 6))
        rig.settle()
        assert rig.versions == [7]

    def test_one_that_is_malformed_is_dropped_and_nothing_else(self) -> None:
        rig = FollowerRig()
        rig.store.tell(5, Item("op/config", b"{", 4), replica("a", 5))
        rig.settle()
        assert rig.versions == []
        assert len(rig.directory.replicas_of("desk")) == 1


class TestReplicas:
    def test_a_draining_one_gets_nothing_more(self) -> None:
        rig = FollowerRig()
        rig.store.tell(5, replica("a", 5))
        rig.settle()
        rig.store.tell(6, replica("a", 6, "draining"))
        rig.settle()
        assert rig.directory.replicas_of("desk") == []

    def test_an_unreadable_entry_names_none_and_the_others_hold(self) -> None:
        rig = FollowerRig()
        broken = Item("servers/b", b'{"Service": 4}', 4)
        rig.store.tell(5, replica("a", 3), broken)
        rig.settle()
        assert [r.replica_id for r in rig.directory.replicas_of("desk")] == ["a"]

    def test_one_that_lapsed_is_asked_a_while_and_then_gone(self) -> None:
        rig = FollowerRig()
        rig.store.tell(5, replica("a", 3))
        rig.settle()
        rig.store.tell(6, Item("servers/a", None, 6))
        rig.reactor.advance(1.0)
        assert len(rig.directory.replicas_of("desk")) == 1
        rig.reactor.advance(1.5)
        assert rig.directory.replicas_of("desk") == []

    def test_one_that_is_back_in_time_stays(self) -> None:
        rig = FollowerRig()
        rig.store.tell(5, replica("a", 3))
        rig.settle()
        rig.store.tell(6, Item("servers/a", None, 6))
        rig.reactor.pump([0.5] * 2)
        rig.store.tell(7, replica("a", 7))
        rig.reactor.pump([0.5] * 8)
        assert len(rig.directory.replicas_of("desk")) == 1

    def test_a_reused_address_ends_the_replica_before(self) -> None:
        rig = FollowerRig()
        rig.store.tell(5, replica("a", 3))
        rig.settle()
        rig.store.tell(6, replica("b", 6))
        rig.settle()
        assert list(rig.directory.replicas) == ["b"]

    def test_a_later_start_under_the_same_id_knows_nothing_of_before(self) -> None:
        rig = FollowerRig()
        rig.store.tell(5, replica("a", 3, born=1))
        rig.settle()
        first = rig.directory.replicas["a"]
        rig.store.tell(6, replica("a", 6, born=2))
        rig.settle()
        assert rig.directory.replicas["a"] is not first
        assert first.pool.closed

    def test_an_entry_of_an_earlier_start_is_dropped(self) -> None:
        rig = FollowerRig()
        rig.store.tell(5, replica("a", 5, born=9))
        rig.settle()
        rig.store.tell(6, replica("a", 6, "draining", born=3))
        rig.settle()
        assert len(rig.directory.replicas_of("desk")) == 1


class TestEvacuation:
    def test_a_data_centre_is_taken_out_and_back_in(self) -> None:
        rig = FollowerRig()
        rig.store.tell(5, replica("a", 3), Item("op/evacuate/here", b"{}", 5))
        rig.settle()
        assert rig.directory.replicas_of("desk") == []
        rig.store.tell(6, Item("op/evacuate/here", None, 6))
        rig.settle()
        assert len(rig.directory.replicas_of("desk")) == 1


class TestGateways:
    def test_one_that_left_counts_on_for_a_while(self) -> None:
        rig = FollowerRig()
        record = msgspec.json.encode(GatewayRecord("10.0.0.2:1", "there"))
        rig.store.tell(5, Item(GATEWAY_PREFIX + "g-2", record, 5))
        rig.settle()
        rig.fleet.apply_record("g-2", None)
        assert len(rig.names[-1]) == 2
        rig.reactor.advance(31.0)
        rig.fleet.count()
        assert rig.names[-1] == {"g-1"}

    def test_a_lost_lease_is_replaced(self) -> None:
        rig = FollowerRig()
        rig.fleet.start()
        rig.store.lease_gone = True
        rig.reactor.advance(2.6)
        rig.store.lease_gone = False
        rig.settle()
        calls = [call for call in rig.store.calls if "a" in call]
        assert calls.count("grant") == 2


class TestPeers:
    """Answers the pattern: a gateway starts while the store is away."""

    def test_what_one_knows_another_can_start_from(self) -> None:
        first, second = FollowerRig(), FollowerRig()
        assert not first.follower.loaded
        first.store.tell(5, version(3, 2), replica("a", 3), replica("b", 4, port=81))
        first.settle()
        first.store.tell(6, Item("servers/b", None, 6))
        first.settle()
        update = decode_update(encode_update(first.follower.relay.tell(-1))).unwrap()
        assert second.follower.apply_update(update)
        assert second.versions == [3]
        assert list(second.directory.replicas) == ["a"]
        assert second.follower.cache.revision == 6

    def test_without_a_peer_the_store_is_asked_again(self) -> None:
        rig = FollowerRig()
        rig.store.fail(StoreUnavailable("status 503", False))
        rig.settle()
        assert rig.store.calls == ["read_all", "read_all"]
