"""Limits, backoff and reuse of the connection pool."""

from __future__ import annotations

from typing import Any, cast

from sardinehook.gateway.pool import ConnectionPool, PoolFactory
from sardinehook.transport.connection import ClientConnection, Replied
from sardinehook.transport.reactor import ConnectionEnd
from tests.gateway.fake_transport import FakeTransport, RecordingReactor, make_transport


class PoolFixture:
    """A pool whose connection attempts a test accepts or refuses."""

    def __init__(self, max_connections: int = 2) -> None:
        self.reactor = RecordingReactor()
        self.reactor.advance(100.0)
        self.connected_count = 0
        self.acquired: list[ClientConnection | None] = []
        self.pool = ConnectionPool(
            self.reactor, "10.0.0.1:80", max_connections, self.count_connected
        )

    def count_connected(self) -> None:
        """Count accepted connections."""
        self.connected_count += 1

    def acquire(self) -> None:
        """Acquire a connection."""
        self.pool.acquire(self.acquired.append)

    def factory(self, attempt: int) -> PoolFactory:
        """Return the factory of a connection attempt."""
        factory: Any = self.reactor.tcpClients[attempt][2]
        return cast(PoolFactory, factory)

    def accept(self, attempt: int) -> FakeTransport:
        """Accept a connection attempt."""
        transport: Any = make_transport()
        protocol = self.factory(attempt).buildProtocol(None)
        protocol.makeConnection(transport)
        return cast(FakeTransport, transport)

    def refuse(self, attempt: int) -> None:
        """Refuse a connection attempt."""
        end = ConnectionEnd(False, "refused")
        self.factory(attempt).clientConnectionFailed(None, end)


class TestBounds:
    def test_opens_no_more_than_max_connections(self) -> None:
        fixture = PoolFixture(max_connections=2)
        for _ in range(5):
            fixture.acquire()
        assert len(fixture.reactor.tcpClients) == 2

    def test_waiting_requests_fail_when_no_connection_can_be_opened(self) -> None:
        fixture = PoolFixture(max_connections=1)
        fixture.acquire()
        fixture.acquire()
        fixture.refuse(0)
        assert fixture.acquired == [None, None]
        assert fixture.pool.is_failing

    def test_backs_off_after_a_refused_connection(self) -> None:
        fixture = PoolFixture(max_connections=1)
        fixture.acquire()
        fixture.refuse(0)
        fixture.acquire()
        assert len(fixture.reactor.tcpClients) == 1
        fixture.reactor.advance(0.1)
        fixture.acquire()
        assert len(fixture.reactor.tcpClients) == 2


class TestOnConnected:
    """A refused or reset connection must not count as a response.

    In a partition, connections to the data centre that is cut off are reset.
    """

    def test_not_called_for_a_refused_connection(self) -> None:
        fixture = PoolFixture()
        fixture.acquire()
        fixture.refuse(0)
        assert fixture.connected_count == 0

    def test_called_for_an_accepted_connection(self) -> None:
        fixture = PoolFixture()
        fixture.acquire()
        fixture.accept(0)
        assert fixture.connected_count == 1


class TestClosing:
    def test_a_connection_released_to_a_closed_pool_is_closed(self) -> None:
        fixture = PoolFixture(max_connections=1)
        taken: list[ClientConnection] = []
        ends: list[object] = []

        def use(connection: ClientConnection | None) -> None:
            assert connection is not None
            taken.append(connection)
            connection.exchange(b"GET / HTTP/1.1\r\n\r\n", ends.append)

        fixture.pool.acquire(use)
        fixture.accept(0)
        fixture.pool.close()
        taken[0].dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        fixture.pool.release(taken[0], 5.0)
        assert isinstance(ends[0], Replied)
        assert not taken[0].is_open


class TestReuse:
    def test_a_released_connection_serves_the_next_waiting_request(self) -> None:
        fixture = PoolFixture(max_connections=1)
        served: list[ClientConnection] = []
        ends: list[object] = []

        def use(connection: ClientConnection | None) -> None:
            assert connection is not None
            served.append(connection)
            connection.exchange(b"GET / HTTP/1.1\r\n\r\n", ends.append)

        fixture.pool.acquire(use)
        fixture.pool.acquire(use)
        fixture.accept(0)
        assert len(served) == 1
        served[0].dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        fixture.pool.release(served[0], 5.0)
        assert isinstance(ends[0], Replied)
        assert served == [served[0], served[0]]

    def test_an_idle_connection_is_dropped_before_the_server_closes_it(self) -> None:
        fixture = PoolFixture(max_connections=1)
        fixture.acquire()
        fixture.accept(0)
        first = fixture.acquired[0]
        assert first is not None
        fixture.pool.release(first, 2.0)
        fixture.reactor.advance(1.9)
        assert fixture.pool.pop_idle() is None
