"""Searches that are handed to gateways with wider links."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.testing import MemoryReactorClock

from sardinehook.gateway.answer import CallerAnswer
from sardinehook.gateway.delegates import (
    AVOID_AFTER_FAILURE_S,
    HEARTBEAT_TIMEOUT_S,
    Delegate,
    Delegates,
)
from sardinehook.gateway.desk import RequestDesk
from sardinehook.gateway.fleet import GatewayFleet, GatewayRecord
from sardinehook.gateway.metrics import GatewayMetrics
from sardinehook.gateway.ports import HttpRequest
from sardinehook.gateway.search_codec import decode_search, encode_search
from sardinehook.gateway.shares import compute_shares
from sardinehook.gateway.story import RequestStories
from sardinehook.transport.connection import ExchangeEnd, Lost, Replied, Reply
from tests.gateway.support import (
    REQUEST,
    Gateway,
    configuration,
    make_gateway,
    search_route,
    shard_names,
)
from tests.gateway.test_follower import ScriptedStore

NARROW = GatewayRecord("10.0.0.1:1", "here", "", 20.0)
WIDE = GatewayRecord("10.0.0.2:1", "here", "", 200.0)
SHARDS = 4
RAW = HttpRequest(
    b"GET",
    b"/x/1",
    ((b"Host", b"h"), (b"X-Request-Id", b"r-1"), (b"X-Deadline-Ms", b"800")),
    b"",
    100.0,
)


class HeldConnection:
    """A connection to a delegate that a test ends."""

    def __init__(self) -> None:
        self.sent = b""
        self.finish: Callable[[ExchangeEnd], None] | None = None
        self.aborted = False
        self.idle = False

    def exchange(self, request: bytes, finish: Callable[[ExchangeEnd], None]) -> None:
        """Keep a request."""
        self.sent = request
        self.finish = finish

    def abort(self) -> None:
        """Note that the connection was dropped."""
        self.aborted = True
        self.finish = None

    def end(self, end: ExchangeEnd) -> None:
        """End the exchange."""
        finish, self.finish = self.finish, None
        assert finish is not None
        finish(end)


class HeldPool:
    """Gives a connection at once, or none."""

    def __init__(self, refuses: bool = False) -> None:
        self.refuses = refuses
        self.given: list[HeldConnection] = []

    def request(self, waiter: Callable[[HeldConnection | None], None]) -> None:
        """Give a connection."""
        if self.refuses:
            waiter(None)
            return
        connection = HeldConnection()
        self.given.append(connection)
        waiter(connection)

    def withdraw(self, waiter: object) -> bool:
        """Withdraw nothing: no request waits."""
        return False

    def give_back(self, connection: object, keep_alive_s: float) -> None:
        """Take a connection back."""

    def close(self) -> None:
        """Close."""


class Side:
    """The desk of one gateway, with the delegates that it knows."""

    def __init__(self, node: str, record: GatewayRecord, refuses: bool = False) -> None:
        self.gateway: Gateway = make_gateway()
        reactor = self.gateway.reactor
        self.fleet = GatewayFleet(
            reactor, ScriptedStore(), node, record, lambda _names: None
        )
        metrics = GatewayMetrics()
        stories = RequestStories(reactor, metrics)
        self.desk = RequestDesk(self.gateway.policy, stories, Random(1))
        self.desk.most_handed_over = 100
        self.route = search_route(SHARDS)
        self.configure(1)
        for shard in shard_names(SHARDS):
            self.gateway.add(f"{shard}-a", shard)
        self.delegates = Delegates(reactor, self.fleet)
        self.desk.delegates = self.delegates
        self.pool = HeldPool(refuses)
        self.answers: list[CallerAnswer] = []

    def configure(self, version: int) -> None:
        """Put a version in force."""
        made = configuration(self.route)
        self.desk.configure(
            type(made)(version, made.routes, made.services, made.limits)
        )

    def hears(self, name: str = "wide") -> Delegate:
        """Know a delegate that has just been heard."""
        now = self.gateway.reactor.seconds()
        delegate = Delegate(name, self.pool, now)  # type: ignore[arg-type]
        self.delegates.known[name] = delegate
        return delegate

    def take(self) -> None:
        """Take a caller's search."""
        self.desk.take(RAW, self.answers.append)

    @property
    def sent(self) -> int:
        """How many requests went to replicas from here."""
        return len(self.gateway.dispatcher.sent)


def body_of(request: bytes) -> bytes:
    """Return the body of an HTTP request."""
    return request.partition(b"\r\n\r\n")[2]


def pass_on(narrow: Side, wide: Side) -> list[CallerAnswer]:
    """Let the delegate do what was handed over; return its answer to the gateway."""
    (connection,) = narrow.pool.given
    told: list[CallerAnswer] = []
    wide.desk.take_over(body_of(connection.sent), told.append)
    wide.gateway.answer_all()
    (answer,) = told
    connection.end(Replied(Reply(answer.status, (), answer.body)))
    return told


class TestNarrowLinks:
    """Answers the pattern: many shards, and most VMs have narrow links."""

    def test_a_search_is_done_by_the_gateway_with_the_wide_link(self) -> None:
        narrow, wide = Side("narrow", NARROW), Side("wide", WIDE)
        narrow.hears()
        narrow.take()
        pass_on(narrow, wide)
        assert [answer.status for answer in narrow.answers] == [200]
        assert (narrow.sent, wide.sent) == (0, SHARDS)
        assert wide.desk.handed_over == 0

    def test_the_time_that_has_passed_goes_with_it(self) -> None:
        request = REQUEST._replace(received_at=10.0, path_s=0.01)
        body = encode_search("narrow", 1, request, 10.05)
        handed = decode_search(body, 500.0).unwrap()
        assert handed.request.received_at == pytest.approx(499.95)
        assert handed.request.path_s > 0.01

    def test_those_that_search_for_others_have_the_larger_part(self) -> None:
        records = {f"n{number}": NARROW for number in range(8)} | {"w": WIDE}
        parts = {
            name: 1.0 / compute_shares(name, records).search_divisor for name in records
        }
        assert sum(parts.values()) == pytest.approx(1.0)
        assert parts["w"] > 0.7

    def test_among_equals_all_search_and_all_have_the_same_part(self) -> None:
        records = {f"n{number}": NARROW for number in range(9)}
        assert compute_shares("n1", records).search_divisor == 9.0


class TestDelegateInTrouble:
    """Answers the pattern: the gateway that searches is killed, frozen or cut off."""

    def test_without_a_connection_the_search_is_done_here(self) -> None:
        narrow = Side("narrow", NARROW, refuses=True)
        narrow.hears()
        narrow.take()
        narrow.gateway.answer_all()
        assert [answer.status for answer in narrow.answers] == [200]
        assert narrow.sent == SHARDS

    def test_one_that_is_not_taken_is_done_here_and_so_are_the_next(self) -> None:
        narrow, wide = Side("narrow", NARROW), Side("wide", WIDE)
        wide.desk.stopping = True
        narrow.hears()
        narrow.take()
        pass_on(narrow, wide)
        narrow.take()
        narrow.gateway.answer_all()
        assert [answer.status for answer in narrow.answers] == [200, 200]
        assert len(narrow.pool.given) == 1

    def test_one_that_was_lost_there_is_not_sent_to_replicas_again(self) -> None:
        narrow = Side("narrow", NARROW)
        narrow.hears()
        narrow.take()
        narrow.pool.given[0].end(Lost("reset"))
        assert [answer.status for answer in narrow.answers] == [502]
        assert narrow.sent == 0

    def test_searches_at_one_that_fell_silent_are_given_up_soon(self) -> None:
        narrow = Side("narrow", NARROW)
        narrow.hears()
        narrow.take()
        narrow.gateway.reactor.advance(HEARTBEAT_TIMEOUT_S + 0.01)
        narrow.delegates.sweep()
        assert [answer.status for answer in narrow.answers] == [502]
        assert narrow.pool.given[0].aborted

    def test_it_is_used_again_once_it_is_heard(self) -> None:
        narrow = Side("narrow", NARROW)
        narrow.hears()
        narrow.gateway.reactor.advance(HEARTBEAT_TIMEOUT_S + 0.01)
        assert narrow.delegates.choose() is None
        narrow.delegates.record_heartbeat("wide", False)
        assert narrow.delegates.choose() is not None

    def test_a_failure_turns_searches_away_for_a_while(self) -> None:
        narrow = Side("narrow", NARROW)
        delegate = narrow.hears()
        narrow.delegates.avoid(delegate, "reset")
        assert narrow.delegates.choose() is None
        narrow.gateway.reactor.advance(AVOID_AFTER_FAILURE_S)
        narrow.delegates.record_heartbeat("wide", False)
        assert narrow.delegates.choose() is delegate


class TestDelegateCutOff:
    """Answers the pattern: a data centre of a large fleet is partitioned."""

    def test_gateways_whose_delegates_are_cut_off_turn_not_ready(self) -> None:
        narrow = Side("narrow", NARROW)
        narrow.hears()
        assert narrow.desk.cut_off_reason() == ""
        narrow.delegates.record_heartbeat("wide", True)
        assert "wide" in narrow.desk.cut_off_reason()
        narrow.delegates.record_heartbeat("wide", False)
        assert narrow.desk.cut_off_reason() == ""

    def test_one_delegate_that_reaches_replicas_is_enough(self) -> None:
        narrow = Side("narrow", NARROW)
        narrow.hears("wide")
        narrow.hears("wide-2")
        narrow.take()
        narrow.delegates.record_heartbeat("wide", True)
        assert narrow.desk.cut_off_reason() == ""

    def test_searches_for_others_count_as_demand(self) -> None:
        narrow, wide = Side("narrow", NARROW), Side("wide", WIDE)
        narrow.hears()
        narrow.take()
        pass_on(narrow, wide)
        now = wide.gateway.reactor.seconds()
        assert wide.desk.recent(wide.route).total(now) == 1


class TestTargets:
    """Answers the pattern: targets that are no URL, from something broken."""

    @pytest.mark.parametrize("target", [b"//[", b"//h/x/1", b"/\xff", b"//a@["])
    def test_one_that_names_no_route_is_refused(self, target: bytes) -> None:
        side = Side("wide", WIDE)
        side.desk.take(RAW._replace(target=target), side.answers.append)
        assert [answer.status for answer in side.answers] == [404]


class TestWhatIsTaken:
    def test_a_version_that_is_not_known_is_not_taken(self) -> None:
        wide = Side("wide", WIDE)
        told: list[CallerAnswer] = []
        body = encode_search("narrow", 9, REQUEST, 100.0)
        wide.desk.take_over(body, told.append)
        assert [answer.status for answer in told] == [503]

    def test_a_search_is_done_under_the_version_of_its_gateway(self) -> None:
        wide = Side("wide", WIDE)
        wide.route = search_route(2)
        wide.configure(2)
        wide.desk.take_over(encode_search("narrow", 1, REQUEST, 0.0), print)
        assert wide.sent == SHARDS

    def test_more_than_the_cores_bear_is_not_taken(self) -> None:
        wide = Side("wide", WIDE)
        wide.desk.most_handed_over = SHARDS
        told: list[CallerAnswer] = []
        for _ in range(2):
            body = encode_search("narrow", 1, REQUEST, 0.0)
            wide.desk.take_over(body, told.append)
        assert [answer.status for answer in told] == [503]

    @given(st.binary(max_size=60))
    def test_any_bytes_are_refused(self, body: bytes) -> None:
        told: list[CallerAnswer] = []
        Side("wide", WIDE).desk.take_over(body, told.append)
        assert [answer.status for answer in told] == [503]


class TestLeaving:
    def test_a_caller_that_leaves_ends_the_search_at_the_delegate(self) -> None:
        narrow, wide = Side("narrow", NARROW), Side("wide", WIDE)
        narrow.hears()
        work = narrow.desk.take(RAW, narrow.answers.append)
        (connection,) = narrow.pool.given
        taken = wide.desk.take_over(body_of(connection.sent), print)
        assert work is not None and taken is not None
        work.cancel()
        assert connection.aborted
        taken.cancel()
        wide.gateway.reactor.advance(0.3)
        assert all(exchange.over for exchange in wide.gateway.dispatcher.sent)
        assert (narrow.desk.in_flight, wide.desk.handed_over) == (0, 0)


class TestMembers:
    def test_a_delegate_is_known_by_its_link_and_used_when_heard(self) -> None:
        clock = MemoryReactorClock()
        fleet = GatewayFleet(clock, ScriptedStore(), "n", NARROW, lambda _names: None)
        delegates = Delegates(clock, fleet)
        for name, record in (("w", WIDE), ("m", NARROW)):
            fleet.apply_record(name, msgspec.json.encode(record))
        delegates.update()
        assert list(delegates.known) == ["w"]
        assert delegates.choose() is None
        delegates.record_heartbeat("w", False)
        assert delegates.choose() is delegates.known["w"]
        fleet.apply_record("w", None)
        delegates.update()
        assert delegates.choose() is None
