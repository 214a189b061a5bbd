"""The connections of this gateway to one replica."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from twisted.internet.interfaces import IAddress, IConnector
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from sardinehook.gateway.reactor import GatewayReactor
from sardinehook.transport.connection import ClientConnection

__all__ = ["ConnectionPool", "Waiter"]

CONNECT_TIMEOUT_S = 1.0  # handshakes take milliseconds, so longer means unreachable
INITIAL_BACKOFF_S = 0.05  # wait after a first failed attempt
MAX_BACKOFF_S = 1.0  # wait after many failed attempts
IDLE_MARGIN_S = 0.3  # a connection is dropped this long before its peer closes it

Waiter = Callable[[ClientConnection | None], None]


class ConnectionPool:
    """Opens, lends and takes back connections, at most ``max_connections`` of them.

    A request that finds no idle connection waits for one that is being opened or
    given back. ``on_connected`` is called when the peer accepts a connection.
    """

    def __init__(
        self,
        reactor: GatewayReactor,
        address: str,
        max_connections: int,
        on_connected: Callable[[], None],
    ) -> None:
        host, _, port = address.rpartition(":")
        self.reactor = reactor
        self.host = host
        self.port = int(port)
        self.max_connections = max_connections
        self.on_connected = on_connected
        self.idle: list[ClientConnection] = []
        self.connections: set[ClientConnection] = set()
        self.connecting = 0
        self.waiters: deque[Waiter] = deque()
        self.backoff_s = 0.0
        self.retry_at = 0.0
        self.closed = False
        self.established_count = 0

    @property
    def connection_count(self) -> int:
        """How many connections are open or being opened."""
        return len(self.connections) + self.connecting

    @property
    def has_capacity(self) -> bool:
        """Whether a request would not have to wait for another one to end."""
        if self.idle:
            return True
        return (
            self.connection_count < self.max_connections
            and self.reactor.seconds() >= self.retry_at
        )

    @property
    def is_failing(self) -> bool:
        """Whether there is no connection and the last attempt to open one failed."""
        return self.backoff_s > 0.0 and not self.connections

    def probe(self) -> None:
        """Open one more connection, to find out whether the peer can be reached."""
        if (
            not self.closed
            and not self.connecting
            and self.connection_count < self.max_connections + 1
        ):
            self.open()

    def acquire(self, waiter: Waiter) -> None:
        """Give ``waiter`` a connection, ``None`` if none can be opened."""
        connection = self.pop_idle()
        if connection is not None:
            waiter(connection)
            return
        if self.closed or self.reactor.seconds() < self.retry_at:
            if not self.connection_count:
                waiter(None)
                return
        self.waiters.append(waiter)
        self.open_for_waiters()

    def cancel(self, waiter: Waiter) -> bool:
        """Take a waiting request back; tell whether it was waiting."""
        if waiter in self.waiters:
            self.waiters.remove(waiter)
            return True
        return False

    def pop_idle(self) -> ClientConnection | None:
        """Return the idle connection that was used last, if any is still good."""
        now = self.reactor.seconds()
        while self.idle:
            connection = self.idle.pop()
            if connection.idle and now < connection.idle_until:
                return connection
            if connection.is_open:
                connection.abort()
        return None

    def open_for_waiters(self) -> None:
        """Open as many connections as are waited for and allowed."""
        if self.closed or self.reactor.seconds() < self.retry_at:
            return
        wanted = min(
            len(self.waiters) - self.connecting,
            self.max_connections - self.connection_count,
        )
        if self.backoff_s:
            wanted = min(wanted, 1 - self.connecting)
        for _ in range(wanted):
            self.open()

    def open(self) -> None:
        """Begin to open a connection."""
        self.connecting += 1
        self.reactor.connectTCP(
            self.host, self.port, PoolFactory(self), CONNECT_TIMEOUT_S
        )

    def connection_established(self, connection: ClientConnection) -> None:
        """Take a connection that was established."""
        self.connecting -= 1
        self.established_count += 1
        self.backoff_s = 0.0
        self.on_connected()
        self.connections.add(connection)
        if self.closed:
            connection.abort()
            return
        connection.idle_until = float("inf")
        self.assign(connection)

    def assign(self, connection: ClientConnection) -> None:
        """Give a free connection to the first that waits, or keep it."""
        while self.waiters and connection.idle:
            self.waiters.popleft()(connection)
        if connection.idle:
            connection.idle_since = self.reactor.seconds()
            self.idle.append(connection)

    def release(self, connection: ClientConnection, keep_alive_s: float) -> None:
        """Take back a connection after its exchange.

        ``keep_alive_s`` is how long the peer keeps it when idle.
        """
        if not connection.idle:
            return
        if self.closed:
            connection.abort()
            return
        kept_s = max(0.0, keep_alive_s - IDLE_MARGIN_S)
        connection.idle_until = self.reactor.seconds() + kept_s
        self.assign(connection)

    def connection_failed(self, reason: Failure) -> None:
        """Note a failed attempt; those that wait are told if nothing is left."""
        self.connecting -= 1
        self.backoff_s = min(max(self.backoff_s * 2, INITIAL_BACKOFF_S), MAX_BACKOFF_S)
        self.retry_at = self.reactor.seconds() + self.backoff_s
        if not self.connection_count:
            self.fail_waiters()

    def fail_waiters(self) -> None:
        """Tell all that wait that no connection can be had."""
        waiters, self.waiters = self.waiters, deque()
        for waiter in waiters:
            waiter(None)

    def connection_lost(self, connection: ClientConnection) -> None:
        """Forget a connection that has ended."""
        self.connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)
        if self.waiters:
            self.open_for_waiters()
            if not self.connection_count:
                self.fail_waiters()

    def close(self) -> None:
        """Close what is idle and open nothing more; exchanges go on to their end."""
        self.closed = True
        idle, self.idle = self.idle, []
        for connection in idle:
            connection.abort()
        self.fail_waiters()


class PoolFactory(ClientFactory):
    """Builds the connections of a pool and reports failures to it."""

    noisy = False

    def __init__(self, pool: ConnectionPool) -> None:
        self.pool = pool

    def buildProtocol(self, addr: IAddress | None) -> ClientConnection:
        """Return the protocol of an established connection."""
        return ClientConnection(
            self.pool.connection_established, self.pool.connection_lost
        )

    def clientConnectionFailed(self, connector: IConnector, reason: Failure) -> None:
        """Report that no connection could be established."""
        self.pool.connection_failed(reason)
