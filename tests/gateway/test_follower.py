"""Store follower: watches, outages, configuration versions, replicas and leases."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Collection, Sequence
from ipaddress import IPv4Address
from random import Random
from typing import Any
from zlib import crc32

import msgspec
from returns.result import Failure, Result, Success

from sardinehook.gateway.answer import CallerAnswer
from sardinehook.gateway.configuration import Configuration
from sardinehook.gateway.directory import Directory
from sardinehook.gateway.fleet import GATEWAY_PREFIX, GatewayFleet, GatewayRecord
from sardinehook.gateway.follower import StoreFollower
from sardinehook.gateway.relay import changes_query
from sardinehook.gateway.settings import Bounds
from sardinehook.gateway.store import (
    Changes,
    Conflict,
    HistoryGone,
    Item,
    LeaseGone,
    StoreProblem,
    Write,
)
from sardinehook.gateway.store_state import StoreState
from sardinehook.gateway.watch_cache import StateUpdate, decode_update, encode_update
from sardinehook.platform.discovery import PlatformKeys
from sardinehook.store.port import StoreUnavailable
from sardinehook.transport.tasks import Promise
from tests.gateway.fake_transport import RecordingReactor


class ScriptedStore:
    """A store whose listings and watches are answered by the test."""

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.waiting: deque[Promise[Result[Changes, StoreProblem] | Exception]] = (
            deque()
        )
        self.registered: tuple[Item, ...] = ()
        self.lease_gone = False
        self.dropped = 0
        self.on_era: Callable[[int], object] = lambda _era: None

    async def read_all(self, prefix: str) -> Result[Changes, StoreProblem]:
        """Return the registered gateways, or what the test supplies later."""
        if prefix == GATEWAY_PREFIX:
            return Success(Changes(self.registered, 1))
        self.calls.append("read_all")
        return await self.hold_call()

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> Result[Changes, StoreProblem]:
        """Return the result that the test supplies later."""
        self.calls.append(f"watch {after}")
        return await self.hold_call()

    async def put(
        self, key: str, value: bytes, lease: int
    ) -> Result[int, StoreProblem]:
        """Accept a write."""
        self.calls.append(f"put {key}")
        return Success(1)

    async def write_if(
        self, writes: Sequence[Write]
    ) -> Result[int, StoreProblem | Conflict]:
        """Accept a conditional write."""
        self.calls.extend(f"write_if {write.key}" for write in writes)
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

    async def hold_call(self) -> Result[Changes, StoreProblem]:
        """Wait for the test's answer, and return or raise it."""
        held: Promise[Result[Changes, StoreProblem] | Exception] = Promise()
        self.waiting.append(held)
        answer = await held
        if isinstance(answer, Exception):
            raise answer
        return answer

    def answer(self, revision: int, *items: Item) -> None:
        """Answer the oldest waiting call."""
        self.waiting.popleft().resolve(Success(Changes(items, revision)))

    def raise_error(self, error: Exception) -> None:
        """Let the oldest waiting call raise an error."""
        self.waiting.popleft().resolve(error)

    def fail(self, problem: StoreProblem) -> None:
        """Fail the oldest waiting call."""
        self.waiting.popleft().resolve(Failure(problem))


class ScriptedPeers:
    """Other gateways, each answered by the relay of its follower."""

    def __init__(self) -> None:
        self.rigs: dict[str, Any] = {}
        self.asked: list[str] = []
        self.unreachable: set[str] = set()
        self.broken = False

    async def fetch_from_any(
        self, addresses: Collection[str], after: int | None
    ) -> Result[StateUpdate, str]:
        """Call the first peer that exists."""
        for address in addresses:
            if address in self.rigs:
                return await self.fetch(address, after, 0.0)
        return Failure("no peer gateway is known")

    async def fetch(
        self, address: str, after: int | None, wait_s: float
    ) -> Result[StateUpdate, str]:
        """Call one peer."""
        if self.broken:
            raise RuntimeError("unexpected error")
        self.asked.append(address)
        rig = self.rigs.get(address)
        if rig is None or address in self.unreachable:
            return Failure("no answer in time")
        answered: Promise[CallerAnswer] = Promise()
        query = changes_query(after, wait_s).partition(b"?")[2]
        rig.follower.relay.answer(query, answered.resolve)
        answer = await answered
        return (
            decode_update(answer.body)
            if answer.status == 200
            else Failure("status 503")
        )


def peer_address(node: str) -> str:
    """Return the address for calls to a gateway of a test."""
    return f"{IPv4Address(crc32(node.encode()))}:1"


class FollowerRig:
    """A follower with a scripted store and scripted peers."""

    def __init__(
        self,
        reactor: RecordingReactor | None = None,
        node: str = "g-1",
        peers: ScriptedPeers | None = None,
        registered: tuple[Item, ...] = (),
        starts: bool = True,
    ) -> None:
        self.reactor = reactor or RecordingReactor()
        self.peers = peers or ScriptedPeers()
        self.reactor.advance(100.0)
        self.store = ScriptedStore()
        self.store.registered = registered
        self.directory = Directory(self.reactor, 3.0)
        self.versions: list[int] = []
        self.names: list[frozenset[str]] = []
        self.fleet = GatewayFleet(
            self.reactor,
            self.store,
            node,
            GatewayRecord(peer_address(node), "here"),
            self.names.append,
        )
        state = StoreState(
            self.reactor,
            PlatformKeys(),
            self.directory,
            self.fleet,
            self.record_version,
        )
        self.follower = StoreFollower(
            self.reactor, self.store, self.peers, state, self.fleet, Random(1)
        )
        self.follower.configure(Bounds(drain_s=5.0, configuration_s=5.0))
        self.peers.rigs[peer_address(node)] = self
        if starts:
            self.follower.start()

    def record_version(self, configuration: Configuration) -> None:
        """Record a version that comes into force."""
        self.versions.append(configuration.version)

    def pass_pauses(self) -> None:
        """Advance the clock by the pauses between calls."""
        self.reactor.pump([0.5] * 4)


def replica(
    name: str, revision: int, state: str = "ready", born: int = 1, port: int = 80
) -> Item:
    """Make a discovery entry."""
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
    def test_watch_continues_from_the_listing_revision(self) -> None:
        rig = FollowerRig()
        rig.store.answer(5, replica("a", 3))
        rig.pass_pauses()
        assert rig.store.calls == ["read_all", "watch 5"]
        assert [r.replica_id for r in rig.directory.replicas_of("desk")] == ["a"]

    def test_discarded_history_causes_a_new_listing(self) -> None:
        rig = FollowerRig()
        rig.store.answer(5, replica("a", 3))
        rig.pass_pauses()
        rig.store.fail(HistoryGone())
        rig.pass_pauses()
        assert rig.store.calls[-1] == "read_all"

    def test_watch_resumes_after_an_outage(self) -> None:
        rig = FollowerRig()
        rig.store.answer(5)
        rig.pass_pauses()
        rig.store.fail(StoreUnavailable("status 503", False))
        rig.pass_pauses()
        assert rig.store.calls[-1] == "watch 5"
        assert rig.follower.down_since is not None
        rig.store.answer(6, version(3, 6))
        rig.pass_pauses()
        assert rig.versions == [3]
        assert rig.follower.down_since is None


class TestUnexpectedErrors:
    def test_follower_restarts_with_a_listing(self) -> None:
        rig = FollowerRig()
        rig.store.answer(5, replica("a", 3))
        rig.pass_pauses()
        rig.store.raise_error(RuntimeError("unexpected error"))
        rig.pass_pauses()
        assert rig.store.calls[-1] == "read_all"
        rig.store.answer(6, replica("a", 3), version(3, 6))
        rig.pass_pauses()
        assert rig.versions == [3]


class TestConfiguration:
    def test_older_version_is_ignored(self) -> None:
        rig = FollowerRig()
        rig.store.answer(5, version(7, 5))
        rig.pass_pauses()
        rig.store.answer(6, version(4, 6))
        rig.pass_pauses()
        assert rig.versions == [7]

    def test_malformed_configuration_is_ignored_alone(self) -> None:
        rig = FollowerRig()
        rig.store.answer(5, Item("op/config", b"{", 4), replica("a", 5))
        rig.pass_pauses()
        assert rig.versions == []
        assert len(rig.directory.replicas_of("desk")) == 1


class TestReplicas:
    def test_draining_replica_is_not_selected(self) -> None:
        rig = FollowerRig()
        rig.store.answer(5, replica("a", 5))
        rig.pass_pauses()
        rig.store.answer(6, replica("a", 6, "draining"))
        rig.pass_pauses()
        assert rig.directory.replicas_of("desk") == []

    def test_malformed_entry_is_ignored_and_others_stay(self) -> None:
        rig = FollowerRig()
        broken = Item("servers/b", b'{"Service": 4}', 4)
        rig.store.answer(5, replica("a", 3), broken)
        rig.pass_pauses()
        assert [r.replica_id for r in rig.directory.replicas_of("desk")] == ["a"]

    def test_deleted_replica_is_used_for_a_grace_period(self) -> None:
        rig = FollowerRig()
        rig.store.answer(5, replica("a", 3))
        rig.pass_pauses()
        rig.store.answer(6, Item("servers/a", None, 6))
        rig.reactor.advance(1.0)
        assert len(rig.directory.replicas_of("desk")) == 1
        rig.reactor.advance(1.5)
        assert rig.directory.replicas_of("desk") == []

    def test_replica_that_returns_within_the_grace_period_stays(self) -> None:
        rig = FollowerRig()
        rig.store.answer(5, replica("a", 3))
        rig.pass_pauses()
        rig.store.answer(6, Item("servers/a", None, 6))
        rig.reactor.pump([0.5] * 2)
        rig.store.answer(7, replica("a", 7))
        rig.reactor.pump([0.5] * 8)
        assert len(rig.directory.replicas_of("desk")) == 1

    def test_reused_address_replaces_the_earlier_replica(self) -> None:
        rig = FollowerRig()
        rig.store.answer(5, replica("a", 3))
        rig.pass_pauses()
        rig.store.answer(6, replica("b", 6))
        rig.pass_pauses()
        assert list(rig.directory.replicas) == ["b"]

    def test_restarted_replica_has_no_earlier_state(self) -> None:
        rig = FollowerRig()
        rig.store.answer(5, replica("a", 3, born=1))
        rig.pass_pauses()
        first = rig.directory.replicas["a"]
        rig.store.answer(6, replica("a", 6, born=2))
        rig.pass_pauses()
        assert rig.directory.replicas["a"] is not first
        assert first.pool.closed

    def test_entry_of_an_earlier_start_is_ignored(self) -> None:
        rig = FollowerRig()
        rig.store.answer(5, replica("a", 5, born=9))
        rig.pass_pauses()
        rig.store.answer(6, replica("a", 6, "draining", born=3))
        rig.pass_pauses()
        assert len(rig.directory.replicas_of("desk")) == 1


class TestEvacuation:
    def test_data_centre_is_evacuated_and_restored(self) -> None:
        rig = FollowerRig()
        rig.store.answer(5, replica("a", 3), Item("op/evacuate/here", b"{}", 5))
        rig.pass_pauses()
        assert rig.directory.replicas_of("desk") == []
        rig.store.answer(6, Item("op/evacuate/here", None, 6))
        rig.pass_pauses()
        assert len(rig.directory.replicas_of("desk")) == 1


class TestGateways:
    def test_departed_gateway_counts_until_its_retention_ends(self) -> None:
        rig = FollowerRig()
        record = msgspec.json.encode(GatewayRecord("10.0.0.2:1", "there"))
        rig.store.answer(5, Item(GATEWAY_PREFIX + "g-2", record, 5))
        rig.pass_pauses()
        rig.fleet.apply_record("g-2", None)
        assert len(rig.names[-1]) == 2
        rig.reactor.advance(31.0)
        rig.fleet.publish_names()
        assert rig.names[-1] == {"g-1"}

    def test_expired_lease_is_replaced(self) -> None:
        rig = FollowerRig()
        rig.fleet.start()
        rig.store.lease_gone = True
        rig.reactor.advance(2.6)
        rig.store.lease_gone = False
        rig.pass_pauses()
        calls = [call for call in rig.store.calls if "a" in call]
        assert calls.count("grant") == 2


class TestStateFromPeers:
    """A gateway starts while the store is unavailable and needs state from a peer."""

    def test_gateway_starts_from_the_state_of_a_peer(self) -> None:
        first, second = FollowerRig(), FollowerRig()
        assert not first.follower.state.loaded
        first.store.answer(5, version(3, 2), replica("a", 3), replica("b", 4, port=81))
        first.pass_pauses()
        first.store.answer(6, Item("servers/b", None, 6))
        first.pass_pauses()
        update = decode_update(
            encode_update(first.follower.relay.update_since(-1))
        ).unwrap()
        assert second.follower.state.apply_update(update)
        assert second.versions == [3]
        assert list(second.directory.replicas) == ["a"]
        assert second.follower.state.cache.revision == 6

    def test_store_is_retried_without_a_peer(self) -> None:
        rig = FollowerRig()
        rig.store.fail(StoreUnavailable("status 503", False))
        rig.pass_pauses()
        assert rig.store.calls == ["read_all", "read_all"]
