"""Tests of links with silent, malformed or unread connections."""

from __future__ import annotations

import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from structlog.testing import capture_logs
from twisted.internet.protocol import ClientCreator, Protocol
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.protocols.portforward import (
    ProxyClient,
    ProxyClientFactory,
    ProxyFactory,
    ProxyServer,
)
from twisted.python.failure import Failure
from twisted.trial.unittest import TestCase

from sardinehook.fleet import connection
from sardinehook.fleet.connection import HANDSHAKE_TIMEOUT_S, Link
from sardinehook.fleet.link import Links
from sardinehook.fleet.wire import encode_frame
from sardinehook.messages import Outcome, SubReply
from tests.fleet.support import reactor, run_turns, wait_until
from tests.fleet.test_link import LOOPBACK, Recorder, connected_pair, sub_query


class FakeTransport(StringTransport):
    """An in-memory transport that accepts TCP options."""

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Accept and ignore the option."""


new_transport: Any = FakeTransport


class Forwarder:
    """Forwards connections; can drop all data of the open ones without closing them."""

    def __init__(self, port: int) -> None:
        forwarder = self
        self.blackholed: set[object] = set()
        self.open: set[object] = set()

        class Client(ProxyClient):
            def dataReceived(self, data: bytes) -> None:
                if self.peer not in forwarder.blackholed:
                    super().dataReceived(data)  # type: ignore[no-untyped-call]

        class ClientFactory(ProxyClientFactory):
            protocol = Client

        class Server(ProxyServer):
            def connectionMade(self) -> None:
                forwarder.open.add(self)
                super().connectionMade()

            def connectionLost(self, reason: Failure | None = None) -> None:
                if self not in forwarder.blackholed:
                    super().connectionLost(reason)  # type: ignore[no-untyped-call]
                else:
                    upstream: Any = self.peer
                    upstream.transport.abortConnection()

            def dataReceived(self, data: bytes) -> None:
                if self not in forwarder.blackholed:
                    super().dataReceived(data)  # type: ignore[no-untyped-call]

        Server.clientProtocolFactory = ClientFactory
        factory = ProxyFactory("127.0.0.1", port)
        factory.noisy = False
        factory.protocol = Server
        self.port: Any = reactor.listenTCP(0, factory, interface="127.0.0.1")
        self.address = f"127.0.0.1:{self.port.getHost().port}"

    def blackhole(self) -> None:
        """Drop all further data of the connections that are open now."""
        self.blackholed |= self.open


@asynccontextmanager
async def forwarded_pair() -> AsyncIterator[tuple[Recorder, Recorder, Forwarder]]:
    one, two = Recorder("e1"), Recorder("e2")
    address = await two.links.listen()
    forwarder = Forwarder(int(address.rpartition(":")[2]))
    one.links.connect("e2", forwarder.address)
    await wait_until(lambda: one.links.connected("e2") and two.links.connected("e1"))
    try:
        yield one, two, forwarder
    finally:
        await one.links.close()
        await two.links.close()
        await forwarder.port.stopListening()


class TestSilence(TestCase):
    async def test_silent_link_is_reported_and_replaced(self) -> None:
        async with forwarded_pair() as (one, two, forwarder):
            forwarder.blackhole()
            assert one.links.send("e2", sub_query(1))
            await wait_until(lambda: one.lost == ["e2"])
            await wait_until(lambda: one.links.connected("e2"))
            assert one.links.send("e2", sub_query(2))
            await wait_until(lambda: [q.sub_query_id for _, q in two.queries] == [2])

    async def test_slow_reply_on_a_live_link_replaces_nothing(self) -> None:
        async with forwarded_pair() as (one, two, _):
            assert one.links.send("e2", sub_query(1))
            started = reactor.seconds()
            await wait_until(lambda: reactor.seconds() - started > 0.2)
            assert one.lost == [] and len(two.queries) == 1


class TestMalformed(TestCase):
    async def check_rejected(self, data: bytes, reason: str) -> None:
        async with connected_pair() as (one, two):
            with capture_logs() as logs:
                port = int(two.links.address.rpartition(":")[2])
                creator: Any = ClientCreator
                raw = await creator(reactor, Protocol).connectTCP("127.0.0.1", port)
                raw.transport.write(data)
                await wait_until(lambda: not raw.transport.connected)
            lines = [line for line in logs if line["event"] == "link_rejected"]
            assert [line["reason"] for line in lines] == [reason]
            assert one.lost == [] and one.links.send("e2", sub_query(1))

    async def test_malformed_frame_closes_only_its_connection(self) -> None:
        await self.check_rejected(struct.pack("!I", 5) + b"\xff" * 5, "malformed_frame")

    async def test_oversized_frame_is_rejected(self) -> None:
        length = connection.FRAME_LIMIT_BYTES + 1
        await self.check_rejected(struct.pack("!I", length), "frame_too_long")

    async def test_http_request_is_rejected(self) -> None:
        await self.check_rejected(b"GET / HTTP/1.1\r\n\r\n", "frame_too_long")


class TestHandshake(TestCase):
    def test_unidentified_connection_is_closed(self) -> None:
        clock = Clock()
        links = Links(clock, "e1", LOOPBACK)
        link: Any = Link(links)
        transport = new_transport()
        link.makeConnection(transport)
        clock.advance(HANDSHAKE_TIMEOUT_S)
        assert transport.disconnecting or transport.disconnected

    def test_identified_connection_stays_open(self) -> None:
        clock = Clock()
        links = Links(clock, "e1", LOOPBACK)
        link: Any = Link(links)
        link.makeConnection(new_transport())
        link.stringReceived(encode_frame("e2", 0, []))
        clock.advance(HANDSHAKE_TIMEOUT_S * 2)
        assert links.connected("e2")


class TestBackpressure(TestCase):
    async def test_send_is_refused_beyond_the_unsent_limit(self) -> None:
        async with connected_pair() as (one, two):
            reader: Any = two.links.live_links["e1"][0].tcp
            reader.pauseProducing()
            body = bytes(1024 * 1024)
            reply = SubReply(0, Outcome.ANSWERED, 1, 1, 0.0, 0.0, True, "", body)
            accepted = 0
            while one.links.send("e2", reply._replace(sub_query_id=accepted)):
                accepted += 1
                await run_turns(1)
                assert accepted < 100
            assert accepted >= 8
            reader.resumeProducing()
            await wait_until(lambda: len(two.replies) == accepted)

    async def test_message_above_the_size_limit_is_refused(self) -> None:
        async with connected_pair() as (one, _):
            body = bytes(connection.MESSAGE_LIMIT_BYTES)
            assert not one.links.send("e2", sub_query(1)._replace(body=body))


class TestOverdueCheck:
    def test_overdue_check_is_scheduled_without_negative_delay(self) -> None:
        clock = Clock()
        links = Links(clock, "e1", "127.0.0.1:0")
        link = Link(links)
        transport = new_transport()
        link.makeConnection(transport)  # type: ignore[no-untyped-call]
        link.dataReceived(framed(encode_frame("e2", 0, [])))
        link.monitor.record_sent(clock.seconds(), requests=1)
        link.cancel_check()
        transport.clear()
        clock.advance(9.9)
        assert link.monitor.due_at is not None and link.monitor.due_at < clock.seconds()
        link.expect_replies(1)
        check = link.check_call
        assert check is not None and check.getTime() >= clock.seconds()


def framed(data: bytes) -> bytes:
    """Return a frame with its length prefix."""
    return struct.pack("!I", len(data)) + data
