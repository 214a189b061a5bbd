"""Figures that replicas report about themselves, in garbled answers too."""

from __future__ import annotations

import pytest

from sardinehook.gateway.dispatch import Dispatcher
from sardinehook.gateway.interfaces import Load, ReplicaReply
from sardinehook.platform.replicas import PlatformReplicas
from sardinehook.transport.connection import Reply
from tests.gateway.support import (
    Gateway,
    configuration,
    good,
    make_gateway,
    search_route,
    single_route,
)

FIGURES = (
    "",
    "-1",
    "1e9",
    "nan",
    "²",
    "9" * 12,
    "9" * 300,
    "9" * 400,
    "9" * 5000,
)
LOADS = tuple(f"{figure},0,6" for figure in FIGURES)


def read(name: bytes, value: str) -> ReplicaReply:
    """Decode a reply with one header."""
    headers = ((b"x-server-stamp", b"s"), (name, value.encode()))
    return PlatformReplicas().read_reply(Reply(200, headers, b"x"), b"r-1")


def gateway_with(*services: str) -> Gateway:
    """Return a gateway with two replicas of each service."""
    gateway = make_gateway()
    for service in services:
        for number in range(2):
            gateway.add(f"{service}-{number}", service)
    return gateway


class TestReportedLoad:
    """Guards against a service without answers, after one garbled load report."""

    @pytest.mark.parametrize("load", LOADS)
    def test_impossible_loads_are_malformed(self, load: str) -> None:
        decoded = read(b"x-server-load", load)
        assert decoded.load is None
        assert decoded.notices.malformed.startswith("x-server-load=")

    @pytest.mark.parametrize("running", [6, 99_999])
    def test_a_service_is_served_again_soon_after_a_wrong_load(
        self, running: int
    ) -> None:
        gateway = gateway_with("desk")
        now = gateway.reactor.seconds()
        for replica in gateway.directory.replicas.values():
            replica.observe_load(Load(running, 0, 6), now)
        gateway.reactor.advance(0.5)
        gateway.call(single_route(idempotent=False), "desk")
        gateway.end(gateway.dispatcher.sent[0], good("d"))
        assert [answer.status for answer in gateway.answers] == [200]

    @pytest.mark.parametrize("figure", FIGURES)
    def test_searches_are_answered_after_a_wrong_load(self, figure: str) -> None:
        gateway = gateway_with("s00", "s01", "s02", "s03")
        now = gateway.reactor.seconds()
        decoded = read(b"x-server-load", f"{figure},0,6")
        if decoded.load is not None:
            gateway.directory.replicas["s00-0"].observe_load(decoded.load, now)
        gateway.gather(search_route())
        gateway.answer_all()
        assert [answer.status for answer in gateway.answers] == [200]


class TestReportedColdTime:
    @pytest.mark.parametrize("figure", FIGURES)
    def test_impossible_times_are_malformed(self, figure: str) -> None:
        decoded = read(b"x-cold-ms", figure)
        assert decoded.cold_left_s is None
        assert decoded.notices.malformed.startswith("x-cold-ms=")

    def test_a_replica_is_not_cold_for_longer_than_its_service_allows(self) -> None:
        gateway = gateway_with("desk")
        gateway.directory.configure(configuration(single_route(False)))
        replica = gateway.directory.replicas["desk-0"]
        now = gateway.reactor.seconds()
        gateway.directory.set_cold(replica, 3600.0, now)
        assert replica.is_cold(now + 5.9)
        assert not replica.is_cold(now + 6.1)


class TestReportedIdleTimeout:
    @pytest.mark.parametrize("figure", FIGURES)
    def test_impossible_timeouts_count_as_absent(self, figure: str) -> None:
        decoded = read(b"keep-alive", f"timeout={figure}")
        assert decoded.keep_alive_s <= 5.0


class TestReplies:
    @pytest.mark.parametrize("header", [b"x-server-load", b"x-cold-ms", b"keep-alive"])
    @pytest.mark.parametrize("figure", FIGURES)
    def test_a_reply_with_any_figure_is_used(self, header: bytes, figure: str) -> None:
        """The answer itself is sound: the figure only concerns later requests."""
        gateway = gateway_with("desk")
        dispatcher = Dispatcher(gateway.reactor, PlatformReplicas(), gateway.directory)
        gateway.call(single_route(idempotent=False), "desk")
        (exchange,) = gateway.dispatcher.sent
        decoded = read(header, figure)
        outcome = dispatcher.classify(exchange, decoded, gateway.reactor.seconds())
        gateway.end(exchange, outcome)
        assert [answer.status for answer in gateway.answers] == [200]
