"""Which gateway gathers a search in deployments that adapt to load."""

from __future__ import annotations

import msgspec

from sardinehook.gateway.delegates import Delegate
from sardinehook.gateway.heartbeat import Heartbeat, decode_heartbeat
from sardinehook.gateway.process import HEARTBEAT_INTERVAL_S
from sardinehook.gateway.routing.delegate_load import DelegateReport
from sardinehook.gateway.routing.search_routing import (
    ANSWER_WAIT_S,
    FRESH_S,
    STARTING_S,
)
from sardinehook.transport.connection import Lost, Replied, Reply
from tests.gateway.test_delegation import NARROW, WIDE, FakePool, GatewayRig
from tests.gateway.test_heartbeat import HeartbeatRig


class WaitingPool(FakePool):
    """A pool that opens no connection."""

    def acquire(self, waiter: object) -> None:
        """Let the request wait."""


class RoutingRig(GatewayRig):
    """A narrow gateway with two delegates whose heartbeats are late."""

    def __init__(self) -> None:
        super().__init__("narrow", NARROW)
        self.gateway.directory.record_stated_work()
        self.asked: list[list[str]] = []
        self.delegates.ask = self.asked.append
        self.pools = {name: FakePool() for name in ("one", "two")}
        for name, pool in self.pools.items():
            self.add_delegate(name).pool = pool  # type: ignore[assignment]
        self.gateway.reactor.advance(FRESH_S + 0.05)

    def delegate(self, name: str) -> Delegate:
        """Return a delegate."""
        return self.delegates.known[name]

    def answer(self, name: str, in_flight: int = 0, capacity: int = 400) -> None:
        """Let a delegate answer that it is asked, with its load."""
        self.delegates.record_report(name, DelegateReport(in_flight, capacity))
        self.delegates.record_heartbeat(name, False)

    def begun_at(self, name: str) -> int:
        """Return how many searches were sent to a delegate."""
        return len(self.pools[name].opened)


class TestChoice:
    """Guards against searches at a delegate that is frozen, full or far slower.

    The load: delegates of 0.36 and 0.72 of a core beside each other.
    """

    def test_a_frozen_delegate_gets_no_search(self) -> None:
        rig = RoutingRig()
        rig.start_search()
        assert rig.asked == [["one", "two"]]
        rig.answer("two")
        rig.gateway.reactor.advance(ANSWER_WAIT_S)
        assert (rig.begun_at("one"), rig.begun_at("two")) == (0, 1)

    def test_the_larger_of_two_idle_delegates_is_chosen(self) -> None:
        rig = RoutingRig()
        rig.start_search()
        rig.answer("one", capacity=144)
        rig.answer("two", capacity=288)
        assert (rig.begun_at("one"), rig.begun_at("two")) == (0, 1)

    def test_cores_beyond_one_count_nothing(self) -> None:
        """The load: delegates of one and of 2.15 cores, whose process uses one."""
        rig = RoutingRig()
        rig.start_search()
        rig.answer("one", in_flight=0, capacity=400)
        rig.answer("two", in_flight=90, capacity=860)
        assert (rig.begun_at("one"), rig.begun_at("two")) == (1, 0)

    def test_work_of_others_counts(self) -> None:
        rig = RoutingRig()
        rig.start_search()
        rig.answer("one", capacity=144)
        rig.answer("two", in_flight=200, capacity=288)
        assert (rig.begun_at("one"), rig.begun_at("two")) == (1, 0)

    def test_a_search_that_one_refuses_goes_to_the_other(self) -> None:
        rig = RoutingRig()
        rig.start_search()
        rig.answer("one")
        rig.answer("two", in_flight=9)
        (connection,) = rig.pools["one"].opened
        connection.end(Replied(Reply(503, (), b"delegation limit reached")))
        rig.answer("two")
        rig.gateway.reactor.advance(ANSWER_WAIT_S)
        assert (rig.begun_at("two"), rig.sent) == (1, 0)

    def test_without_answers_the_heartbeats_decide(self) -> None:
        rig = RoutingRig()
        rig.start_search()
        rig.gateway.reactor.advance(ANSWER_WAIT_S)
        assert rig.begun_at("one") + rig.begun_at("two") == 1

    def test_a_starting_gateway_waits_for_its_delegates(self) -> None:
        rig = RoutingRig()
        for delegate in rig.delegates.known.values():
            delegate.last_heartbeat_at = 0.0
        rig.start_search()
        rig.gateway.reactor.advance(0.02)
        assert rig.sent == 0
        rig.answer("one")
        rig.gateway.reactor.advance(0.002)
        assert rig.begun_at("one") == 1

    def test_later_it_searches_at_once(self) -> None:
        rig = RoutingRig()
        rig.delegates.began_at -= STARTING_S
        for delegate in rig.delegates.known.values():
            delegate.last_heartbeat_at = 0.0
        rig.start_search()
        assert rig.sent > 0

    def test_a_caller_that_leaves_while_delegates_are_asked_starts_nothing(
        self,
    ) -> None:
        rig = RoutingRig()
        rig.start_search()
        (inquiry,) = rig.delegates.inquiries
        inquiry.cancel()  # type: ignore[attr-defined]
        rig.answer("one")
        assert (rig.begun_at("one"), rig.sent) == (0, 0)


class TestWait:
    """Guards against searches that wait before each hand-over.

    The load: searches of 46 ms objective each 0.2 s, which is how often a delegate
    that works well sends a heartbeat, and delegates that are all full.
    """

    def test_no_answer_is_awaited_between_heartbeats(self) -> None:
        rig = RoutingRig()
        for name in ("one", "two"):
            rig.answer(name)
        rig.gateway.reactor.advance(HEARTBEAT_INTERVAL_S)
        rig.start_search()
        assert rig.asked == []
        assert rig.begun_at("one") + rig.begun_at("two") == 1

    def test_nothing_is_awaited_once_all_delegates_are_full(self) -> None:
        rig = RoutingRig()
        rig.start_search()
        for name in ("one", "two"):
            rig.answer(name, in_flight=399, capacity=400)
        assert rig.begun_at("one") + rig.begun_at("two") == 0
        assert rig.sent > 0


class TestLostSearches:
    """Guards against 502 for searches that reached nobody."""

    def test_one_that_was_never_sent_is_searched_elsewhere(self) -> None:
        rig = RoutingRig()
        rig.delegate("one").pool = WaitingPool()  # type: ignore[assignment]
        rig.start_search()
        rig.answer("one")
        rig.gateway.reactor.advance(ANSWER_WAIT_S)
        (search,) = rig.delegate("one").searches
        search.fail("heartbeats timed out")
        rig.answer("two")
        rig.gateway.reactor.advance(ANSWER_WAIT_S)
        assert (rig.answers, rig.begun_at("two")) == ([], 1)

    def test_after_its_deadline_it_may_be_repeated(self) -> None:
        rig = RoutingRig()
        rig.delegate("one").pool = WaitingPool()  # type: ignore[assignment]
        rig.start_search()
        rig.answer("one")
        rig.gateway.reactor.advance(ANSWER_WAIT_S)
        (search,) = rig.delegate("one").searches
        rig.gateway.reactor.advance(1.0)
        search.fail("no answer before the deadline")
        assert [answer.status for answer in rig.answers] == [503]

    def test_one_that_was_sent_may_have_run(self) -> None:
        rig = RoutingRig()
        rig.start_search()
        rig.answer("one")
        rig.gateway.reactor.advance(ANSWER_WAIT_S)
        rig.pools["one"].opened[0].end(Lost("reset"))
        assert [answer.status for answer in rig.answers] == [502]


class TestHeartbeatLoad:
    """Guards against heartbeats that gateways of another version cannot read."""

    def test_the_older_form_states_no_load(self) -> None:
        heartbeat = decode_heartbeat(msgspec.msgpack.encode(["wide", True, False]))
        assert heartbeat == Heartbeat("wide", True)

    def test_a_stated_load_is_reported(self) -> None:
        rig = HeartbeatRig()
        reports: list[tuple[str, DelegateReport]] = []
        rig.heartbeats.on_report = lambda *report: reports.append(report)
        datagram = msgspec.msgpack.encode(Heartbeat("equal", False, False, 90, 288))
        rig.heartbeats.datagramReceived(datagram, ("10.0.0.3", 9))
        assert reports == [("equal", DelegateReport(90, 288))]


class TestSmallDelegates:
    """Guards against a delegate of 0.36 of a core that refuses all but one search."""

    def test_two_searches_are_taken_whatever_its_capacity(self) -> None:
        wide = GatewayRig("wide", WIDE)
        wide.gateway.directory.record_stated_work()
        wide.handler.max_delegated = 5
        narrow = RoutingRig()
        narrow.start_search()
        narrow.answer("one")
        narrow.gateway.reactor.advance(ANSWER_WAIT_S)
        body = narrow.pools["one"].opened[0].sent.partition(b"\r\n\r\n")[2]
        refused: list[int] = []
        for _ in range(3):
            wide.handler.handle_delegated(body, lambda one: refused.append(one.status))
        assert refused == [503]
