"""A store that comes back from an older copy, in a new era.

Guards against changes that are lost, since revisions were given out again, and against
leases of an earlier era.
"""

from __future__ import annotations

from collections.abc import Collection

import msgspec
import pytest
from returns.result import Failure, Result, Success

from sardinehook.gateway.era import EARLIER_ERA_TIMEOUT_S, EraVerdict, StoreEra
from sardinehook.gateway.fleet import (
    GATEWAY_PREFIX,
    REJOIN_SPREAD_S,
    GatewayFleet,
    GatewayRecord,
)
from sardinehook.gateway.store import Changes, Item, StoreProblem
from sardinehook.platform.kv_store import PlatformStore
from sardinehook.transport.connection import Reply
from sardinehook.transport.tasks import Promise, start_task
from tests.gateway.fake_transport import RecordingReactor, make_transport
from tests.gateway.test_follower import (
    FollowerRig,
    ScriptedStore,
    replica,
    version,
)


def answer(rig: FollowerRig, era: int, revision: int, *items: Item) -> None:
    """Answer the oldest waiting call in an era, and let the gateway go on."""
    rig.store.waiting.popleft().resolve(Success(Changes(items, revision, era)))
    rig.pass_pauses()


def enter_era(rig: FollowerRig, era: int, revision: int, *items: Item) -> None:
    """Let the pending watch tell of a new era, and answer the listing that follows."""
    answer(rig, era, revision)
    assert rig.store.calls[-1] == "read_all"
    answer(rig, era, revision, *items)


def usable(rig: FollowerRig) -> list[str]:
    """Return the replicas that get new requests."""
    return [one.replica_id for one in rig.directory.replicas_of("desk")]


class TestOrder:
    def test_an_era_may_rise_by_more_than_one(self) -> None:
        era = StoreEra()
        verdicts = [era.observe_store(stated, 0.0) for stated in (1, 3, 3)]
        assert verdicts == [EraVerdict.SAME, EraVerdict.NEW, EraVerdict.SAME]

    def test_answers_without_an_era_change_nothing(self) -> None:
        era = StoreEra()
        era.observe_store(2, 0.0)
        verdicts = {era.observe_store(0, float(now)) for now in range(100)}
        assert (verdicts, era.known) == ({EraVerdict.SAME}, 2)

    def test_a_store_that_begins_to_state_eras_enters_one(self) -> None:
        era = StoreEra()
        assert era.observe_store(0, 0.0) is EraVerdict.SAME
        assert era.observe_store(1, 0.0) is EraVerdict.NEW

    def test_an_era_that_goes_back_is_refused_for_a_time(self) -> None:
        era = StoreEra()
        era.observe_store(5, 0.0)
        assert era.observe_store(4, 1.0) is EraVerdict.EARLIER
        assert era.observe_store(5, 2.0) is EraVerdict.SAME
        assert era.observe_store(4, 3.0) is EraVerdict.EARLIER
        later = 3.0 + EARLIER_ERA_TIMEOUT_S
        assert era.observe_store(4, later - 0.1) is EraVerdict.EARLIER
        assert era.observe_store(4, later) is EraVerdict.NEW
        assert era.known == 4

    def test_gateways_do_not_restore_an_era_that_the_store_left(self) -> None:
        """One garbled figure would otherwise go round among the gateways for good."""
        era = StoreEra()
        era.observe_store(9999, 0.0)
        era.observe_store(1, 0.0)
        era.observe_store(1, EARLIER_ERA_TIMEOUT_S)
        assert era.observe_peer(9999) is EraVerdict.EARLIER
        assert era.observe_store(2, 20.0) is EraVerdict.NEW
        assert era.observe_peer(2) is EraVerdict.SAME

    def test_gateways_tell_each_other_of_later_eras_only(self) -> None:
        era = StoreEra()
        era.observe_store(2, 0.0)
        verdicts = [era.observe_peer(stated) for stated in (0, 1, 2, 4)]
        assert verdicts == [
            EraVerdict.EARLIER,
            EraVerdict.EARLIER,
            EraVerdict.SAME,
            EraVerdict.NEW,
        ]


class TestFollowing:
    def test_changes_of_another_era_are_not_applied_but_listed(self) -> None:
        """Its revisions were given out before: the changes between are unknown."""
        rig = FollowerRig()
        answer(rig, 0, 100, replica("a", 3))
        answer(rig, 1, 101, replica("b", 101, port=81))
        assert usable(rig) == ["a"]
        assert rig.store.calls == ["read_all", "watch 100", "read_all"]
        answer(rig, 1, 60, replica("a", 3), replica("c", 60, port=82))
        assert usable(rig) == ["a", "c"]
        assert rig.store.calls[-1] == "watch 60"

    def test_any_answer_of_a_new_era_ends_the_watch(self) -> None:
        """The watch may be pending at a connection that the store has lost."""
        rig = FollowerRig()
        answer(rig, 1, 100)
        rig.follower.state.observe_era(2)
        rig.reactor.advance(0.0)
        assert rig.store.dropped == 1

    def test_a_watch_that_was_sent_in_an_earlier_era_is_not_applied(self) -> None:
        rig, other = FollowerRig(node="g-1"), FollowerRig(node="g-2")
        answer(rig, 1, 100)
        answer(other, 2, 60, replica("a", 3))
        rig.follower.state.apply_update(other.follower.relay.update_since(-1))
        answer(rig, 2, 103, replica("b", 102, port=81))
        assert usable(rig) == ["a"]
        assert rig.store.calls[-1] == "watch 60"

    def test_a_listing_that_another_gateway_overtook_is_not_applied(self) -> None:
        """A change that this gateway has would be undone, as by an older copy."""
        rig, other = FollowerRig(node="g-1"), FollowerRig(node="g-2")
        answer(rig, 1, 100)
        answer(rig, 2, 60)
        assert rig.store.calls[-1] == "read_all"
        answer(other, 2, 70, replica("b", 65, port=81))
        rig.follower.state.apply_update(other.follower.relay.update_since(-1))
        assert usable(rig) == ["b"]
        answer(rig, 2, 60, replica("a", 3))
        assert usable(rig) == ["b"]
        assert rig.follower.state.cache.revision == 70
        assert rig.store.calls[-1] == "watch 70"

    def test_a_store_without_eras_is_called_as_before(self) -> None:
        rig = FollowerRig()
        answer(rig, 0, 100, replica("a", 3))
        answer(rig, 0, 90)
        answer(rig, 0, 101, replica("b", 101, port=81))
        assert rig.store.calls == ["read_all", "watch 100", "watch 100", "watch 101"]
        assert rig.peers.asked == []

    def test_answers_that_lack_the_era_are_applied(self) -> None:
        rig = FollowerRig()
        answer(rig, 1, 100)
        answer(rig, 0, 101, replica("a", 101))
        assert usable(rig) == ["a"]
        assert rig.store.calls == ["read_all", "watch 100", "watch 101"]

    def test_an_era_that_goes_back_is_no_contact_until_it_lasts(self) -> None:
        rig = FollowerRig()
        answer(rig, 3, 100, version(7, 5))
        answer(rig, 2, 101, replica("a", 101))
        assert usable(rig) == []
        assert not rig.follower.relay.current
        rig.reactor.advance(EARLIER_ERA_TIMEOUT_S)
        answer(rig, 2, 101, replica("a", 101))
        assert rig.store.calls[-1] == "read_all"
        answer(rig, 2, 101, replica("a", 101), version(6, 4))
        assert (usable(rig), rig.versions) == (["a"], [7])
        assert rig.follower.relay.current

    def test_a_failing_callback_does_not_stop_the_others(self) -> None:
        rig = FollowerRig()
        told: list[int] = []
        rig.follower.state.on_era += [lambda _era: told.index(9), told.append]
        answer(rig, 1, 100)
        enter_era(rig, 3, 60)
        assert told == [3]


class TestLeases:
    def rig(self) -> FollowerRig:
        """Return a registered gateway in era 1."""
        rig = FollowerRig()
        rig.fleet.start()
        answer(rig, 1, 100)
        rig.store.calls.clear()
        return rig

    def test_a_gateway_registers_again_within_the_spread(self) -> None:
        rig = self.rig()
        rig.follower.state.observe_era(2)
        assert not [call for call in rig.store.calls if call in ("grant", "renew")]
        rig.reactor.pump([0.05] * int(REJOIN_SPREAD_S / 0.05 + 1))
        key = f"put {GATEWAY_PREFIX}g-1"
        assert [c for c in rig.store.calls if "g-1" in c or c == "grant"] == [
            "grant",
            key,
        ]
        assert rig.fleet.registered

    def test_the_lease_of_an_earlier_era_is_neither_renewed_nor_ended(self) -> None:
        """Its number may be that of another gateway's lease."""
        rig = self.rig()
        rig.follower.state.observe_era(2)

        async def leave() -> None:
            await rig.fleet.leave()

        start_task(leave(), print)
        rig.reactor.pump([0.5] * 10)
        assert not {"renew", "end", "grant"} & set(rig.store.calls)

    def test_the_new_lease_is_renewed(self) -> None:
        rig = self.rig()
        rig.follower.state.observe_era(2)
        rig.reactor.pump([0.1] * 60)
        assert rig.store.calls.count("grant") == 1
        assert "renew" in rig.store.calls

    def test_gateways_do_not_all_call_at_once(self) -> None:
        times = []
        for number in range(98):
            fleet = GatewayFleet(
                RecordingReactor(),
                ScriptedStore(),
                f"g-{number}",
                GatewayRecord("10.0.0.1:1", "here"),
                lambda _names: None,
            )
            fleet.enter_era(2)
            times.append(fleet.rejoin_at)
        assert 0.0 <= min(times) and max(times) <= REJOIN_SPREAD_S
        for tenth in range(10):
            within = [t for t in times if tenth <= 10 * t / REJOIN_SPREAD_S < tenth + 1]
            assert 1 <= len(within) <= 25

    def test_a_lease_that_was_requested_in_an_earlier_era_is_not_used(self) -> None:
        rig = FollowerRig()
        answer(rig, 1, 100)
        granted: list[Promise[Result[int, StoreProblem]]] = []

        async def grant_lease(ttl_s: float) -> Result[int, StoreProblem]:
            granted.append(Promise())
            return await granted[-1]

        rig.store.grant_lease = grant_lease  # type: ignore[method-assign]
        rig.fleet.start()
        rig.follower.state.observe_era(2)
        granted[0].resolve(Success(7))
        assert rig.fleet.lease == 0
        rig.reactor.advance(REJOIN_SPREAD_S)
        granted[1].resolve(Success(8))
        assert rig.fleet.lease == 8


class PagedStore(PlatformStore):
    """A store whose pages are given with the eras that they state."""

    def __init__(self, eras: Collection[bytes]) -> None:
        self.outcomes: list[str] = []
        super().__init__(
            RecordingReactor(), "127.0.0.1:1", lambda _, o: self.outcomes.append(o)
        )
        self.eras = list(eras)

    async def call(self, *_arguments: object) -> Result[Reply, StoreProblem]:
        """Return the next page."""
        era = self.eras.pop(0)
        items = [{"Key": f"k{len(self.eras)}", "Value": "", "Revision": 1}]
        page = {"items": items, "AsOf": 5, "HasMore": bool(self.eras)}
        headers = ((b"store-era", era),) if era else ()
        return Success(Reply(200, headers, msgspec.json.encode(page)))


def run_read(store: PlatformStore) -> Result[Changes, StoreProblem]:
    """Return what a listing gives."""
    results: list[Result[Changes, StoreProblem]] = []

    async def read() -> None:
        results.append(await store.read_all(""))

    start_task(read(), print)
    return results[0]


class TestHeader:
    @pytest.mark.parametrize(
        ("eras", "expected"),
        [
            ((b"",), 0),
            ((b"3",), 3),
            ((b"3", b"", b"3"), 3),
            ((b"-3",), 0),
            ((b"x" * 9,), 0),
            ((b"9" * 19,), 0),
        ],
    )
    def test_a_listing_has_the_era_of_its_pages(
        self, eras: tuple[bytes, ...], expected: int
    ) -> None:
        assert run_read(PagedStore(eras)).unwrap().era == expected

    def test_pages_of_two_eras_are_no_listing(self) -> None:
        assert isinstance(run_read(PagedStore((b"3", b"4"))), Failure)

    @pytest.mark.parametrize(
        ("head", "told"),
        [
            (b"200 OK\r\nStore-Era: 2\r\n", [2]),
            (b"200 OK\r\n", [0]),
            (b"200 OK\r\nStore-Era: 2x\r\n", [0]),
            (b"404 Gone\r\nStore-Era: 2\r\n", [2]),
            (b"410 Gone\r\nstore-era: 2\r\n", [2]),
            (b"503 Busy\r\n", []),
        ],
    )
    def test_each_answer_tells_of_the_era(self, head: bytes, told: list[int]) -> None:
        reactor = RecordingReactor()
        store = PlatformStore(reactor, "127.0.0.1:1", lambda _operation, _outcome: None)
        eras: list[int] = []
        store.on_era = eras.append

        async def renew() -> None:
            await store.renew_lease(1)

        start_task(renew(), print)
        connection = reactor.tcpClients[-1][2].buildProtocol(None)
        connection.makeConnection(make_transport())
        connection.dataReceived(b"HTTP/1.1 " + head + b"Content-Length: 2\r\n\r\n{}")
        assert eras == told
