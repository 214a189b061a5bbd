"""Second copies of replies on connections that are in use again.

The pattern: a replica sends an answer twice, the second time late, when the connection
carries the next request already. Replies to parts of a search may lack a request id.
"""

from __future__ import annotations

from sardinehook.gateway.dispatch import (
    Answered,
    Dispatcher,
    Exchange,
    ExchangeOutcome,
    Failed,
)
from sardinehook.gateway.replica import Replica
from sardinehook.platform.replicas import PlatformReplicas
from sardinehook.transport.reactor import ConnectionEnd
from tests.gateway.fake_transport import FakeTransport, make_transport
from tests.gateway.support import REQUEST, Gateway, make_gateway


def reply(signature: str, body: bytes) -> bytes:
    """Return the bytes of a reply without a request id."""
    head = f"HTTP/1.1 200 OK\r\nX-Server-Stamp: {signature}\r\n"
    return head.encode() + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


class ReuseRig:
    """A replica that one connection leads to, with the real dispatcher."""

    def __init__(self) -> None:
        self.gateway: Gateway = make_gateway(gateways=1)
        self.replica: Replica = self.gateway.add("a", "desk")
        self.replica.pool.max_connections = 1
        self.dispatcher = Dispatcher(
            self.gateway.reactor, PlatformReplicas(), self.gateway.directory
        )
        self.outcomes: list[ExchangeOutcome] = []
        self.transports: list[FakeTransport] = []

    def send(self) -> None:
        """Send one request, on a new connection if none is idle."""
        now = self.gateway.reactor.seconds()
        exchange = Exchange(REQUEST, self.replica, now, now + 1.0, self.record)
        self.dispatcher.start(exchange)
        attempts = self.gateway.reactor.tcpClients
        if len(attempts) > len(self.transports):
            self.transports.append(make_transport())
            connection = attempts[-1][2].buildProtocol(None)
            connection.makeConnection(self.transports[-1])

    def record(self, exchange: Exchange, outcome: ExchangeOutcome) -> None:
        """Record the outcome of a request."""
        self.outcomes.append(outcome)

    def receive(self, data: bytes) -> None:
        """Receive bytes on the only connection."""
        (connection,) = self.replica.pool.connections
        connection.dataReceived(data)
        if not connection.is_open:
            connection.connectionLost(ConnectionEnd(False, "aborted"))


class TestSecondCopies:
    def test_a_copy_is_not_the_reply_to_the_next_request(self) -> None:
        rig = ReuseRig()
        rig.send()
        rig.receive(reply("s-1", b"a" * 16))
        rig.send()
        rig.receive(reply("s-1", b"a" * 16))
        first, second = rig.outcomes
        assert isinstance(first, Answered)
        assert isinstance(second, Failed)

    def test_its_connection_is_not_used_again(self) -> None:
        rig = ReuseRig()
        for _ in range(2):
            rig.send()
            rig.receive(reply("s-1", b"a" * 16))
        rig.send()
        assert len(rig.transports) == 2

    def test_a_copy_of_an_earlier_reply_is_found_too(self) -> None:
        rig = ReuseRig()
        for signature in ("s-1", "s-2", "s-3", "s-1"):
            rig.send()
            rig.receive(reply(signature, b"a" * 16))
        assert [isinstance(outcome, Failed) for outcome in rig.outcomes] == [
            False,
            False,
            False,
            True,
        ]

    def test_a_copy_between_two_requests_ends_the_connection(self) -> None:
        rig = ReuseRig()
        rig.send()
        rig.receive(reply("s-1", b"a" * 16))
        rig.receive(reply("s-1", b"a" * 16))
        rig.send()
        assert len(rig.transports) == 2
