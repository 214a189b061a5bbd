"""Unexpected errors in callbacks: each caller still gets an answer, at once."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any, NoReturn

import pytest

from sardinehook.gateway.admission.gate import AdmissionGate
from sardinehook.gateway.answer import CallerAnswer
from sardinehook.gateway.dispatch import Failed, NotRun
from sardinehook.gateway.request_log import RequestLog
from sardinehook.transport.connection import ClientConnection, Malformed
from sardinehook.transport.reactor import ConnectionEnd
from tests.gateway.fake_transport import make_transport
from tests.gateway.support import (
    Gateway,
    good,
    make_gateway,
    search_route,
    shard_names,
    single_route,
)
from tests.gateway.test_connection_reuse import ReuseRig
from tests.gateway.test_connection_reuse import reply as reply_bytes
from tests.gateway.test_delegation import NARROW, WIDE, GatewayRig, run_delegated
from tests.gateway.test_first_second import StartRig
from tests.gateway.test_http_server import GET, ServerRig
from tests.gateway.test_process import ProcessRig
from tests.transport.test_connection import ConnectionFixture
from tests.transport.test_event_loop import HOST, Factory, LoopRig, echo


def fail(*_args: object, **_keywords: object) -> NoReturn:
    """Raise an error that no code expects."""
    raise OverflowError("int too large to convert to float")


def fail_next(owner: object, name: str, calls: int = 1) -> None:
    """Let the next calls of a method raise, later ones work."""
    works: Callable[..., Any] = getattr(owner, name)
    left = [calls]

    def method(*args: Any, **keywords: Any) -> Any:
        left[0] -= 1
        return fail() if left[0] >= 0 else works(*args, **keywords)

    setattr(owner, name, method)


def gateway_with_replicas() -> Gateway:
    """Return a gateway with three replicas of each service of the tests."""
    gateway = make_gateway()
    for service in ("desk", *shard_names(4)):
        for number in range(3):
            gateway.add(f"{service}-{number}", service)
    return gateway


class TestHttpServer:
    """Guards against connections that are closed after a request has been read."""

    def test_an_error_of_the_handler_is_answered(self) -> None:
        rig = ServerRig()
        rig.server.handle = fail
        rig.send(GET)
        assert rig.written.startswith(b"HTTP/1.1 500 ")

    def test_a_pipelined_request_is_served_after_an_error(self) -> None:
        rig = ServerRig()
        fail_next(rig.server, "handle")
        rig.send(GET + GET)
        rig.reactor.advance(0.0)
        rig.answer(0)
        statuses = re.findall(rb"HTTP/1.1 (\d+)", rig.written)
        assert statuses == [b"500", b"200"]

    def test_at_a_stop_all_requests_are_answered(self) -> None:
        rig = ServerRig()
        rig.send(GET)
        rig.started[0].cancel = fail  # type: ignore[method-assign]
        rig.connection.fail_request(CallerAnswer(502, (), b"", "stopped"))
        assert rig.written.startswith(b"HTTP/1.1 502 ")


class TestSingleRequest:
    def test_an_error_before_the_send_is_answered_as_not_run(self) -> None:
        gateway = gateway_with_replicas()
        gateway.policy.selector.select = fail  # type: ignore[method-assign]
        gateway.call(single_route(idempotent=False), "desk")
        assert [answer.status for answer in gateway.answers] == [503]

    def test_an_error_after_the_send_promises_nothing(self) -> None:
        gateway = gateway_with_replicas()
        gateway.call(single_route(idempotent=False), "desk")
        gateway.policy.observe = fail  # type: ignore[method-assign]
        gateway.end(gateway.dispatcher.sent[0], good("d"))
        assert [answer.status for answer in gateway.answers] == [500]

    def test_an_error_in_a_timer_is_answered(self) -> None:
        gateway = gateway_with_replicas()
        gateway.call(single_route(idempotent=True), "desk")
        gateway.policy.selector.select = fail  # type: ignore[method-assign]
        gateway.reactor.advance(0.4)
        assert [answer.status for answer in gateway.answers] == [500]

    def test_an_error_while_others_are_abandoned_is_answered(self) -> None:
        gateway = gateway_with_replicas()
        gateway.call(single_route(idempotent=True), "desk")
        gateway.reactor.advance(0.4)
        gateway.dispatcher.abandon = fail  # type: ignore[method-assign]
        gateway.end(gateway.dispatcher.sent[0], good("d"))
        assert [answer.status for answer in gateway.answers] == [200]


class TestSearch:
    def test_an_error_before_the_send_is_answered_as_not_run(self) -> None:
        gateway = gateway_with_replicas()
        gateway.policy.selector.select = fail  # type: ignore[method-assign]
        gateway.gather(search_route())
        assert [answer.status for answer in gateway.answers] == [503]

    def test_an_error_after_the_send_promises_nothing(self) -> None:
        gateway = gateway_with_replicas()
        gateway.gather(search_route())
        gateway.policy.observe = fail  # type: ignore[method-assign]
        gateway.answer_all()
        assert [answer.status for answer in gateway.answers] == [500]

    def test_an_error_in_a_timer_is_answered(self) -> None:
        gateway = gateway_with_replicas()
        gateway.gather(search_route())
        gateway.policy.selector.select = fail  # type: ignore[method-assign]
        gateway.reactor.advance(0.1)
        assert [answer.status for answer in gateway.answers] == [500]


class TestDelegatedSearch:
    def test_an_error_in_the_answer_is_answered(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        narrow, wide = GatewayRig("narrow", NARROW), GatewayRig("wide", WIDE)
        narrow.add_delegate()
        narrow.start_search()
        module = "sardinehook.gateway.delegated_search.decode_answer"
        monkeypatch.setattr(module, fail)
        run_delegated(narrow, wide)
        assert [answer.status for answer in narrow.answers] == [502]


class TestAdmission:
    """Guards against counts of requests in flight that stay too high for good."""

    def rig(self, monkeypatch: pytest.MonkeyPatch) -> GatewayRig:
        """Return a gateway whose admission fails."""
        monkeypatch.setattr(AdmissionGate, "submit", fail)
        return GatewayRig("wide", WIDE)

    def test_an_error_is_answered_as_not_run(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        rig = self.rig(monkeypatch)
        rig.start_search()
        assert [answer.status for answer in rig.answers] == [503]
        assert rig.handler.in_flight == 0

    def test_an_error_with_a_delegated_search_is_answered(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        narrow, wide = GatewayRig("narrow", NARROW), self.rig(monkeypatch)
        narrow.add_delegate()
        narrow.start_search()
        run_delegated(narrow, wide)
        assert [answer.status for answer in narrow.answers] == [503]
        assert wide.handler.delegated_in_flight == 0


class TestRequestLog:
    def test_an_error_in_the_log_does_not_cost_the_answer(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(RequestLog, "record_ended", fail)
        rig = GatewayRig("wide", WIDE)
        rig.start_search()
        rig.gateway.answer_all()
        assert [answer.status for answer in rig.answers] == [200]


class TestExchanges:
    """Guards against requests that wait for their deadline after such an error."""

    def test_an_error_in_the_encoding_means_that_nothing_ran(self) -> None:
        rig = ReuseRig()
        fail_next(rig.dispatcher.codec, "encode_request")
        rig.send()
        (outcome,) = rig.outcomes
        assert isinstance(outcome, NotRun) and not outcome.sent
        assert not rig.dispatcher.exchanges and not rig.replica.in_flight

    def test_an_error_in_the_decoding_ends_the_exchange(self) -> None:
        rig = ReuseRig()
        rig.send()
        fail_next(rig.dispatcher.codec, "read_reply")
        rig.receive(reply_bytes("s", b"ok"))
        assert [type(outcome) for outcome in rig.outcomes] == [Failed]
        assert not rig.dispatcher.exchanges and not rig.replica.in_flight

    def test_the_pool_learns_of_a_lost_connection_after_an_error(self) -> None:
        closed: list[ClientConnection] = []
        connection: Any = ClientConnection(lambda _connection: None, closed.append)
        connection.makeConnection(make_transport())
        connection.exchange(b"GET / HTTP/1.1\r\n\r\n", fail)
        with pytest.raises(OverflowError):
            connection.connectionLost(ConnectionEnd(False, "reset"))
        assert closed == [connection]

    def test_a_switch_to_another_protocol_is_malformed(self) -> None:
        fixture = ConnectionFixture()
        fixture.connection.dataReceived(
            b"HTTP/1.1 101 Switching\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\nx"
        )
        (end,) = fixture.ends
        assert isinstance(end, Malformed)


class TestConnecting:
    """Guards against requests that wait for a connection nobody reports on."""

    def test_an_error_while_connecting_is_a_failed_attempt(self) -> None:
        rig = LoopRig()
        client = Factory(echo)
        client.on_failed = rig.loop.stop
        rig.loop.connectTCP(HOST, 70_000, client, 1.0)
        rig.run()
        assert len(client.failed) == 1 and len(rig.errors) == 1

    def test_a_connection_that_is_reset_already_is_reported_as_open(self) -> None:
        opened: list[ClientConnection] = []
        connection: Any = ClientConnection(opened.append, lambda _connection: None)
        transport = make_transport()
        transport.setTcpNoDelay = refuse_option  # type: ignore[method-assign]
        connection.makeConnection(transport)
        assert opened == [connection]


def refuse_option(enabled: bool) -> NoReturn:
    """Refuse an option, ``enabled`` or not, as the kernel does for a closed socket."""
    raise OSError(22, "Invalid argument")


class TestStart:
    def test_an_error_with_one_request_does_not_affect_those_behind_it(self) -> None:
        rig = StartRig()
        for _ in range(3):
            rig.ask()
        fail_next(rig.process.request_handler.startup_queue, "start_request")
        rig.answer_store()
        assert [answer.status for answer in rig.answers] == [500]
        assert len(rig.process.directory.replicas["a"].in_flight) == 2


class TestPeriodicTasks:
    def test_an_error_in_one_step_does_not_prevent_the_others(self) -> None:
        rig = ProcessRig()
        rig.process.directory.sweep = fail  # type: ignore[method-assign]
        rig.modified_at = 2.0
        rig.process.run_housekeeping()
        assert rig.process.settings_last_modified_at == 2.0

    def test_an_error_with_replicas_does_not_keep_delegated_searches(self) -> None:
        rig = ProcessRig()
        rig.process.policy.dispatcher.sweep = fail  # type: ignore[method-assign]
        swept: list[bool] = []
        rig.process.delegates.sweep = lambda: swept.append(True)  # type: ignore[method-assign]
        rig.process.sweep()
        assert swept == [True]


class TestConfiguration:
    def test_a_configuration_is_applied_after_an_error(self) -> None:
        """Guards against a version that counts as in force and is not."""
        rig = StartRig()
        fail_next(rig.process.follower.state, "on_configuration")
        rig.answer_store()
        assert rig.process.request_handler.configuration is None
        state = rig.process.follower.state
        value = state.cache.items["op/config"].value
        assert value is not None and state.apply_configuration(value)
        assert rig.process.request_handler.configuration is not None
