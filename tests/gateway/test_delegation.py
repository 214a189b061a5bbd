"""Searches delegated to gateways with wider links."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from sardinehook.gateway.answer import CallerAnswer
from sardinehook.gateway.delegates import (
    AVOID_AFTER_FAILURE_S,
    HEARTBEAT_TIMEOUT_S,
    Delegate,
    Delegates,
)
from sardinehook.gateway.fleet import GatewayFleet, GatewayRecord
from sardinehook.gateway.interfaces import HttpRequest
from sardinehook.gateway.metrics import GatewayMetrics
from sardinehook.gateway.request_handler import RequestHandler
from sardinehook.gateway.request_log import RequestLog
from sardinehook.gateway.search_codec import decode_search, encode_search
from sardinehook.gateway.shares import compute_shares
from sardinehook.transport.connection import ExchangeEnd, Lost, Replied, Reply
from tests.gateway.fake_transport import RecordingReactor
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


class FakeConnection:
    """A connection to a delegate whose exchange the test ends."""

    def __init__(self) -> None:
        self.sent = b""
        self.finish: Callable[[ExchangeEnd], None] | None = None
        self.aborted = False
        self.idle = False

    def exchange(self, request: bytes, finish: Callable[[ExchangeEnd], None]) -> None:
        """Record a request."""
        self.sent = request
        self.finish = finish

    def abort(self) -> None:
        """Record that the connection was aborted."""
        self.aborted = True
        self.finish = None

    def end(self, end: ExchangeEnd) -> None:
        """End the exchange."""
        finish, self.finish = self.finish, None
        assert finish is not None
        finish(end)


class FakePool:
    """A connection pool that connects at once or fails."""

    def __init__(self, refuses: bool = False) -> None:
        self.refuses = refuses
        self.opened: list[FakeConnection] = []

    def acquire(self, waiter: Callable[[FakeConnection | None], None]) -> None:
        """Pass a new connection, or ``None``, to ``waiter``."""
        if self.refuses:
            waiter(None)
            return
        connection = FakeConnection()
        self.opened.append(connection)
        waiter(connection)

    def cancel(self, waiter: object) -> bool:
        """Return ``False``: no request is waiting."""
        return False

    def release(self, connection: object, keep_alive_s: float) -> None:
        """Ignore the returned connection."""

    def close(self) -> None:
        """Do nothing."""


class GatewayRig:
    """One gateway with its request handler and its delegates."""

    def __init__(self, node: str, record: GatewayRecord, refuses: bool = False) -> None:
        self.gateway: Gateway = make_gateway()
        reactor = self.gateway.reactor
        self.fleet = GatewayFleet(
            reactor, ScriptedStore(), node, record, lambda _names: None
        )
        metrics = GatewayMetrics()
        request_log = RequestLog(reactor, metrics)
        self.handler = RequestHandler(self.gateway.policy, request_log, Random(1))
        self.handler.max_delegated = 100
        self.route = search_route(SHARDS)
        self.configure(1)
        for shard in shard_names(SHARDS):
            self.gateway.add(f"{shard}-a", shard)
        self.delegates = Delegates(reactor, self.fleet)
        self.handler.delegates = self.delegates
        self.pool = FakePool(refuses)
        self.answers: list[CallerAnswer] = []

    def configure(self, version: int) -> None:
        """Apply a configuration of a given version."""
        made = configuration(self.route)
        self.handler.configure(
            type(made)(version, made.routes, made.services, made.limits)
        )

    def add_delegate(self, name: str = "wide") -> Delegate:
        """Add a delegate that has just sent a heartbeat."""
        now = self.gateway.reactor.seconds()
        delegate = Delegate(name, self.pool, now)  # type: ignore[arg-type]
        self.delegates.known[name] = delegate
        return delegate

    def start_search(self) -> None:
        """Start a caller's search."""
        self.handler.handle(RAW, self.answers.append)

    @property
    def sent(self) -> int:
        """The number of requests that this gateway has sent to replicas."""
        return len(self.gateway.dispatcher.sent)


def body_of(request: bytes) -> bytes:
    """Return the body of an HTTP request."""
    return request.partition(b"\r\n\r\n")[2]


def run_delegated(narrow: GatewayRig, wide: GatewayRig) -> list[CallerAnswer]:
    """Run a delegated search and return the answer to the delegating gateway."""
    (connection,) = narrow.pool.opened
    answers: list[CallerAnswer] = []
    wide.handler.handle_delegated(body_of(connection.sent), answers.append)
    wide.gateway.answer_all()
    (answer,) = answers
    connection.end(Replied(Reply(answer.status, (), answer.body)))
    return answers


class TestNarrowLinks:
    """Guards against saturated links: many shards, and narrow links at most VMs."""

    def test_search_runs_at_the_gateway_with_the_wide_link(self) -> None:
        narrow, wide = GatewayRig("narrow", NARROW), GatewayRig("wide", WIDE)
        narrow.add_delegate()
        narrow.start_search()
        run_delegated(narrow, wide)
        assert [answer.status for answer in narrow.answers] == [200]
        assert (narrow.sent, wide.sent) == (0, SHARDS)
        assert wide.handler.delegated_in_flight == 0

    def test_elapsed_time_is_sent_with_the_search(self) -> None:
        request = REQUEST._replace(received_at=10.0, network_s=0.01)
        body = encode_search("narrow", 1, request, 10.05)
        handed = decode_search(body, 500.0).unwrap()
        assert handed.request.received_at == pytest.approx(499.95)
        assert handed.request.network_s > 0.01

    def test_delegates_have_the_larger_share(self) -> None:
        records = {f"n{number}": NARROW for number in range(8)} | {"w": WIDE}
        parts = {
            name: 1.0 / compute_shares(name, records).search_divisor for name in records
        }
        assert sum(parts.values()) == pytest.approx(1.0)
        assert parts["w"] > 0.7

    def test_equal_gateways_have_equal_shares(self) -> None:
        records = {f"n{number}": NARROW for number in range(9)}
        assert compute_shares("n1", records).search_divisor == 9.0


class TestDelegateFailure:
    """Guards against lost searches when a delegate dies, freezes or is partitioned."""

    def test_search_runs_locally_without_a_connection(self) -> None:
        narrow = GatewayRig("narrow", NARROW, refuses=True)
        narrow.add_delegate()
        narrow.start_search()
        narrow.gateway.answer_all()
        assert [answer.status for answer in narrow.answers] == [200]
        assert narrow.sent == SHARDS

    def test_refused_search_and_the_next_ones_run_locally(self) -> None:
        narrow, wide = GatewayRig("narrow", NARROW), GatewayRig("wide", WIDE)
        wide.handler.stopping = True
        narrow.add_delegate()
        narrow.start_search()
        run_delegated(narrow, wide)
        narrow.start_search()
        narrow.gateway.answer_all()
        assert [answer.status for answer in narrow.answers] == [200, 200]
        assert len(narrow.pool.opened) == 1

    def test_search_lost_at_the_delegate_is_not_repeated(self) -> None:
        narrow = GatewayRig("narrow", NARROW)
        narrow.add_delegate()
        narrow.start_search()
        narrow.pool.opened[0].end(Lost("reset"))
        assert [answer.status for answer in narrow.answers] == [502]
        assert narrow.sent == 0

    def test_searches_fail_soon_after_heartbeats_stop(self) -> None:
        narrow = GatewayRig("narrow", NARROW)
        narrow.add_delegate()
        narrow.start_search()
        narrow.gateway.reactor.advance(HEARTBEAT_TIMEOUT_S + 0.01)
        narrow.delegates.sweep()
        assert [answer.status for answer in narrow.answers] == [502]
        assert narrow.pool.opened[0].aborted

    def test_delegate_is_used_again_after_a_heartbeat(self) -> None:
        narrow = GatewayRig("narrow", NARROW)
        narrow.add_delegate()
        narrow.gateway.reactor.advance(HEARTBEAT_TIMEOUT_S + 0.01)
        assert narrow.delegates.choose() is None
        narrow.delegates.record_heartbeat("wide", False)
        assert narrow.delegates.choose() is not None

    def test_delegate_is_avoided_for_a_while_after_a_failure(self) -> None:
        narrow = GatewayRig("narrow", NARROW)
        delegate = narrow.add_delegate()
        narrow.delegates.avoid(delegate, "reset")
        assert narrow.delegates.choose() is None
        narrow.gateway.reactor.advance(AVOID_AFTER_FAILURE_S)
        narrow.delegates.record_heartbeat("wide", False)
        assert narrow.delegates.choose() is delegate


class TestDelegateCutOff:
    """Guards against callers sent to a partitioned data centre of a large fleet."""

    def test_gateway_is_not_ready_if_its_delegates_are_cut_off(self) -> None:
        narrow = GatewayRig("narrow", NARROW)
        narrow.add_delegate()
        assert narrow.handler.cut_off_reason() == ""
        narrow.delegates.record_heartbeat("wide", True)
        assert "wide" in narrow.handler.cut_off_reason()
        narrow.delegates.record_heartbeat("wide", False)
        assert narrow.handler.cut_off_reason() == ""

    def test_gateway_is_ready_if_one_delegate_reaches_replicas(self) -> None:
        narrow = GatewayRig("narrow", NARROW)
        narrow.add_delegate("wide")
        narrow.add_delegate("wide-2")
        narrow.start_search()
        narrow.delegates.record_heartbeat("wide", True)
        assert narrow.handler.cut_off_reason() == ""

    def test_delegated_searches_count_as_demand(self) -> None:
        narrow, wide = GatewayRig("narrow", NARROW), GatewayRig("wide", WIDE)
        narrow.add_delegate()
        narrow.start_search()
        run_delegated(narrow, wide)
        now = wide.gateway.reactor.seconds()
        assert wide.handler.demand_of(wide.route).total(now) == 1


class TestRequestTargets:
    """Guards against exceptions on invalid request targets of a broken client."""

    @pytest.mark.parametrize("target", [b"//[", b"//h/x/1", b"/\xff", b"//a@["])
    def test_target_without_a_route_is_refused(self, target: bytes) -> None:
        gateway = GatewayRig("wide", WIDE)
        gateway.handler.handle(RAW._replace(target=target), gateway.answers.append)
        assert [answer.status for answer in gateway.answers] == [404]


class TestAcceptance:
    def test_unknown_version_is_refused(self) -> None:
        wide = GatewayRig("wide", WIDE)
        answers: list[CallerAnswer] = []
        body = encode_search("narrow", 9, REQUEST, 100.0)
        wide.handler.handle_delegated(body, answers.append)
        assert [answer.status for answer in answers] == [503]

    def test_search_uses_the_version_of_the_delegating_gateway(self) -> None:
        wide = GatewayRig("wide", WIDE)
        wide.route = search_route(2)
        wide.configure(2)
        wide.handler.handle_delegated(encode_search("narrow", 1, REQUEST, 0.0), print)
        assert wide.sent == SHARDS

    def test_searches_over_the_limit_are_refused(self) -> None:
        wide = GatewayRig("wide", WIDE)
        wide.handler.max_delegated = SHARDS
        answers: list[CallerAnswer] = []
        for _ in range(2):
            body = encode_search("narrow", 1, REQUEST, 0.0)
            wide.handler.handle_delegated(body, answers.append)
        assert [answer.status for answer in answers] == [503]

    @given(st.binary(max_size=60))
    def test_arbitrary_bytes_are_refused(self, body: bytes) -> None:
        answers: list[CallerAnswer] = []
        GatewayRig("wide", WIDE).handler.handle_delegated(body, answers.append)
        assert [answer.status for answer in answers] == [503]


class TestDisconnect:
    def test_disconnect_cancels_the_search_at_the_delegate(self) -> None:
        narrow, wide = GatewayRig("narrow", NARROW), GatewayRig("wide", WIDE)
        narrow.add_delegate()
        work = narrow.handler.handle(RAW, narrow.answers.append)
        (connection,) = narrow.pool.opened
        taken = wide.handler.handle_delegated(body_of(connection.sent), print)
        assert work is not None and taken is not None
        work.cancel()
        assert connection.aborted
        taken.cancel()
        wide.gateway.reactor.advance(0.3)
        assert all(exchange.done for exchange in wide.gateway.dispatcher.sent)
        assert (
            narrow.handler.in_flight,
            wide.handler.delegated_in_flight,
        ) == (0, 0)


class TestMembers:
    def test_delegate_is_chosen_by_its_link_and_used_after_a_heartbeat(self) -> None:
        clock = RecordingReactor()
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
