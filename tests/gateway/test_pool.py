"""Connections to one replica."""

from __future__ import annotations

from typing import Any, cast

from twisted.internet.error import ConnectionRefusedError
from twisted.internet.protocol import ClientFactory
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from sardinehook.gateway.pool import ConnectionPool
from sardinehook.transport.connection import ClientConnection, Replied
from tests.gateway.fake_transport import FakeTransport, make_transport


class PoolRig:
    """A pool whose connection attempts tests decide."""

    def __init__(self, max_connections: int = 2) -> None:
        self.reactor = MemoryReactorClock()
        self.reactor.advance(100.0)
        self.heard = 0
        self.lent: list[ClientConnection | None] = []
        self.pool = ConnectionPool(
            self.reactor, "10.0.0.1:80", max_connections, self.note_heard
        )

    def note_heard(self) -> None:
        """Count signs of life."""
        self.heard += 1

    def ask(self) -> None:
        """Ask for a connection."""
        self.pool.acquire(self.lent.append)

    def factory(self, attempt: int) -> ClientFactory:
        """Return the factory of a connection attempt."""
        factory: ClientFactory = self.reactor.tcpClients[attempt][2]
        return factory

    def accept(self, attempt: int) -> FakeTransport:
        """Let an attempt succeed."""
        transport: Any = make_transport()
        protocol = self.factory(attempt).buildProtocol(None)
        assert protocol is not None
        protocol.makeConnection(transport)
        return cast(FakeTransport, transport)

    def refuse(self, attempt: int) -> None:
        """Let an attempt fail."""
        failure = Failure(ConnectionRefusedError())
        self.factory(attempt).clientConnectionFailed(None, failure)  # type: ignore[arg-type]


class TestBounds:
    def test_no_more_connections_than_allowed(self) -> None:
        rig = PoolRig(max_connections=2)
        for _ in range(5):
            rig.ask()
        assert len(rig.reactor.tcpClients) == 2

    def test_those_that_wait_are_told_when_no_connection_can_be_had(self) -> None:
        rig = PoolRig(max_connections=1)
        rig.ask()
        rig.ask()
        rig.refuse(0)
        assert rig.lent == [None, None]
        assert rig.pool.is_failing

    def test_a_failing_peer_is_not_asked_again_at_once(self) -> None:
        rig = PoolRig(max_connections=1)
        rig.ask()
        rig.refuse(0)
        rig.ask()
        assert len(rig.reactor.tcpClients) == 1
        rig.reactor.advance(0.1)
        rig.ask()
        assert len(rig.reactor.tcpClients) == 2


class TestSignsOfLife:
    """Answers the pattern: a zone is cut off and connections to it are reset."""

    def test_a_refused_connection_is_none(self) -> None:
        rig = PoolRig()
        rig.ask()
        rig.refuse(0)
        assert rig.heard == 0

    def test_an_accepted_connection_is_one(self) -> None:
        rig = PoolRig()
        rig.ask()
        rig.accept(0)
        assert rig.heard == 1


class TestClosing:
    def test_a_connection_that_comes_back_to_a_closed_pool_is_ended(self) -> None:
        rig = PoolRig(max_connections=1)
        taken: list[ClientConnection] = []
        ends: list[object] = []

        def use(connection: ClientConnection | None) -> None:
            assert connection is not None
            taken.append(connection)
            connection.exchange(b"GET / HTTP/1.1\r\n\r\n", ends.append)

        rig.pool.acquire(use)
        rig.accept(0)
        rig.pool.close()
        taken[0].dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        rig.pool.release(taken[0], 5.0)
        assert isinstance(ends[0], Replied)
        assert not taken[0].is_open


class TestReuse:
    def test_a_connection_serves_the_next_that_waits(self) -> None:
        rig = PoolRig(max_connections=1)
        served: list[ClientConnection] = []
        ends: list[object] = []

        def use(connection: ClientConnection | None) -> None:
            assert connection is not None
            served.append(connection)
            connection.exchange(b"GET / HTTP/1.1\r\n\r\n", ends.append)

        rig.pool.acquire(use)
        rig.pool.acquire(use)
        rig.accept(0)
        assert len(served) == 1
        served[0].dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        rig.pool.release(served[0], 5.0)
        assert isinstance(ends[0], Replied)
        assert served == [served[0], served[0]]

    def test_a_connection_is_dropped_before_its_peer_closes_it(self) -> None:
        rig = PoolRig(max_connections=1)
        rig.ask()
        rig.accept(0)
        first = rig.lent[0]
        assert first is not None
        rig.pool.release(first, 2.0)
        rig.reactor.advance(1.9)
        assert rig.pool.pop_idle() is None
