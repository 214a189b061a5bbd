"""Invalid statuses on each path on which a gateway reads one.

Guards against the answer with status 000 that a caller received from a replica in
trouble, and against calls that wait for their time limit after such a status.
"""

from __future__ import annotations

from random import Random
from typing import Any

import msgspec
import pytest
from returns.result import Failure, Result
from twisted.internet import reactor as default_reactor
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.task import deferLater
from twisted.trial.unittest import TestCase

from sardinehook.gateway.dispatch import Failed
from sardinehook.gateway.peers import PeerClient
from sardinehook.gateway.pool import ConnectionPool
from sardinehook.gateway.search_codec import WireAnswer
from sardinehook.platform.kv_store import PlatformStore
from sardinehook.store.http_client import HttpClient
from sardinehook.store.port import StoreUnavailable
from sardinehook.transport.connection import Replied, Reply
from sardinehook.transport.tasks import start_task
from tests.gateway.fake_transport import RecordingReactor, make_transport
from tests.gateway.test_connection_reuse import ReuseRig
from tests.gateway.test_delegation import NARROW, GatewayRig

INVALID = (b"000", b"099", b"600", b"999")
SWITCH = b"101"
HEADERS = b"X-Server-Stamp: s-1\r\nX-Request-Id: r-1\r\nContent-Length: 2\r\n\r\n[]"


def raw_reply(status: bytes) -> bytes:
    """Return the bytes of a reply with a status."""
    return b"HTTP/1.1 " + status + b" X\r\n" + HEADERS


def answer_call(reactor: RecordingReactor, pool: ConnectionPool, data: bytes) -> None:
    """Accept the latest connection attempt and answer the call on it."""
    connection = reactor.tcpClients[-1][2].buildProtocol(None)
    connection.makeConnection(make_transport())
    connection.dataReceived(data)


@pytest.mark.parametrize("status", [*INVALID, SWITCH])
class TestReplies:
    def test_a_replica_fails_at_once(self, status: bytes) -> None:
        rig = ReuseRig()
        rig.send()
        rig.receive(raw_reply(status))
        (outcome,) = rig.outcomes
        assert isinstance(outcome, Failed)

    def test_a_call_to_the_store_fails_at_once(self, status: bytes) -> None:
        reactor = RecordingReactor()
        counted: list[str] = []
        store = PlatformStore(
            reactor, "127.0.0.1:1", lambda _operation, outcome: counted.append(outcome)
        )
        results: list[object] = []

        async def renew() -> None:
            results.append(await store.renew_lease(1))

        start_task(renew(), results.append)
        answer_call(reactor, store.pool, raw_reply(status))
        (result,) = results
        assert isinstance(result, Failure)
        assert isinstance(result.failure(), StoreUnavailable)
        assert counted == ["no_answer"]

    def test_a_call_to_another_gateway_fails_at_once(self, status: bytes) -> None:
        reactor = RecordingReactor()
        counted: list[str] = []
        client = PeerClient(reactor, Random(1), counted.append)
        results: list[object] = []

        async def fetch() -> None:
            results.append(await client.fetch("127.0.0.1:1", 1, 0.0))

        start_task(fetch(), results.append)
        answer_call(reactor, client.pool_of("127.0.0.1:1"), raw_reply(status))
        assert [type(result) for result in results] == [Failure]
        assert counted == ["no_answer"]


class TestDelegates:
    @pytest.mark.parametrize("status", [0, 99, 100, 101, 199, 600, 999, 1000, -1])
    def test_an_answer_with_an_invalid_status_is_not_passed_on(
        self, status: int
    ) -> None:
        narrow = GatewayRig("narrow", NARROW)
        narrow.add_delegate()
        narrow.start_search()
        wire = WireAnswer(status, [], b"", "answered", "", 0, 0)
        body = msgspec.msgpack.encode(wire)
        narrow.pool.opened[0].end(Replied(Reply(200, (), body)))
        assert [answer.status for answer in narrow.answers] == [502]

    @pytest.mark.parametrize("status", [201, 204, 302, 404, 500, 504])
    def test_the_status_of_the_call_itself_is_not_passed_on(self, status: int) -> None:
        narrow = GatewayRig("narrow", NARROW)
        narrow.add_delegate()
        narrow.start_search()
        narrow.pool.opened[0].end(Replied(Reply(status, (), b"x")))
        assert [answer.status for answer in narrow.answers] == [502]


class RawServer(Protocol):
    """Answers whatever arrives with fixed bytes, and keeps the connection open."""

    answer = b""

    def dataReceived(self, data: bytes) -> None:
        """Send the answer."""
        transport: Any = self.transport
        transport.write(self.answer)


class TestHttpClient(TestCase):
    """The client of the platform's service for documents."""

    def test_an_invalid_status_is_no_answer(self) -> Deferred[None]:
        return Deferred.fromCoroutine(self.check_all())

    async def check_all(self) -> None:
        for status in INVALID:
            result = await self.read(raw_reply(status))
            assert isinstance(result, Failure), (status, result)

    async def read(self, answer: bytes) -> Result[object, StoreUnavailable]:
        """Return what one read gives whose reply consists of these bytes."""
        reactor: Any = default_reactor
        factory = Factory.forProtocol(type("Server", (RawServer,), {"answer": answer}))
        port = reactor.listenTCP(0, factory, interface="127.0.0.1")
        client = HttpClient(reactor, f"127.0.0.1:{port.getHost().port}", 2000.0)
        try:
            return await client.read("/x")
        finally:
            # The rest of the reply is received before the pool is closed.
            await deferLater(reactor, 0.01)
            await client.close()
            await port.stopListening()
