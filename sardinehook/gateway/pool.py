"""Connection pool of one HTTP server: a replica, a gateway or the store."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from sardinehook.gateway.reactor import GatewayReactor
from sardinehook.transport.connection import ClientConnection
from sardinehook.transport.reactor import ConnectionEnd

__all__ = ["ConnectionPool", "PoolFactory", "Waiter"]

CONNECT_TIMEOUT_S = 1.0  # handshakes take milliseconds; longer means unreachable
INITIAL_BACKOFF_S = 0.05  # after the first failed attempt
MAX_BACKOFF_S = 1.0  # after repeated failures
IDLE_MARGIN_S = 0.3  # dropped this long before the server closes it

Waiter = Callable[[ClientConnection | None], None]


class ConnectionPool:
    """Opens and reuses at most ``max_connections`` connections.

    A request that finds no idle connection waits until one is opened or released.
    ``on_connected`` is called whenever the server accepts a connection. Where the limit
    ``is_strict``, none is opened beyond it and idle ones beyond it are closed; without
    ``keeps_idle``, connections are closed after use.
    ``sender`` is the kind of server, for the counts of malformed replies.
    """

    def __init__(
        self,
        reactor: GatewayReactor,
        address: str,
        max_connections: int,
        on_connected: Callable[[], None],
        sender: str = "replica",
    ) -> None:
        self.sender = sender
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
        self.refused = False
        self.retry_at = 0.0
        self.closed = False
        self.established_count = 0
        self.is_strict = False
        self.keeps_idle = True

    @property
    def connection_count(self) -> int:
        """Number of connections that are open or being opened."""
        return len(self.connections) + self.connecting

    @property
    def has_capacity(self) -> bool:
        """Whether a request can be sent without waiting for another one to end."""
        if self.idle:
            return True
        return (
            self.connection_count < self.max_connections
            and self.reactor.seconds() >= self.retry_at
        )

    @property
    def is_failing(self) -> bool:
        """Whether no connection is open and the last attempt to open one failed."""
        return self.refused and not self.connections

    def probe(self) -> None:
        """Open a connection to test reachability, one over the limit if needed.

        Under a strict limit it takes the place of an idle connection instead.
        """
        if self.closed or self.connecting:
            return
        limit = self.max_connections
        if self.is_strict:
            self.close_idle_beyond(limit - 1)
        else:
            limit += 1
        if self.connection_count < limit:
            self.open()

    def set_limit(
        self, max_connections: int, is_strict: bool, keeps_idle: bool
    ) -> None:
        """Apply another limit; under a strict one, close what is beyond it."""
        self.max_connections = max_connections
        self.is_strict = is_strict
        self.keeps_idle = keeps_idle
        if is_strict:
            self.close_idle_beyond(max_connections if keeps_idle else 0)

    def close_idle_beyond(self, limit: int) -> None:
        """Close the longest idle connections while there are more than ``limit``."""
        while self.idle and self.connection_count > limit:
            connection = self.idle.pop(0)
            self.connections.discard(connection)
            connection.abort()

    def record_reset(self) -> None:
        """Back off after the server has reset a connection that was just opened.

        Servers do so to connections beyond their limit; they still accept others, so
        that the pool is not failing.
        """
        if self.is_strict:
            self.back_off()

    def acquire(self, waiter: Waiter) -> None:
        """Call ``waiter`` with a connection, or with ``None`` if none can be opened.

        The call happens now if a connection is idle, else when one is available.
        """
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
        """Remove a waiting request; return whether it was waiting."""
        if waiter in self.waiters:
            self.waiters.remove(waiter)
            return True
        return False

    def pop_idle(self) -> ClientConnection | None:
        """Return the most recently used idle connection that is still usable."""
        now = self.reactor.seconds()
        while self.idle:
            connection = self.idle.pop()
            if connection.idle and now < connection.idle_until:
                return connection
            if connection.is_open:
                connection.abort()
        return None

    def open_for_waiters(self) -> None:
        """Open a connection for each waiting request, within the limit.

        After a failed attempt, at most one connection is opened at a time.
        """
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
        """Start to open a connection."""
        self.connecting += 1
        self.reactor.connectTCP(
            self.host, self.port, PoolFactory(self), CONNECT_TIMEOUT_S
        )

    def connection_established(self, connection: ClientConnection) -> None:
        """Add an established connection."""
        self.connecting -= 1
        self.established_count += 1
        self.backoff_s = 0.0
        self.refused = False
        self.on_connected()
        self.connections.add(connection)
        if self.closed:
            connection.abort()
            return
        connection.idle_since = self.reactor.seconds()
        connection.idle_until = float("inf")
        self.assign(connection)

    def assign(self, connection: ClientConnection) -> None:
        """Give a free connection to the first waiting request, else keep it idle."""
        while self.waiters and connection.idle:
            self.waiters.popleft()(connection)
        if not connection.idle:
            return
        has_room = self.connection_count <= self.max_connections
        if self.is_strict and not (self.keeps_idle and has_room):
            connection.abort()
            return
        connection.idle_since = self.reactor.seconds()
        self.idle.append(connection)

    def release(self, connection: ClientConnection, keep_alive_s: float) -> None:
        """Return a connection to the pool after its exchange.

        ``keep_alive_s`` is how long the server keeps an idle connection open.
        """
        if not connection.idle:
            return
        if self.closed:
            connection.abort()
            return
        kept_s = max(0.0, keep_alive_s - IDLE_MARGIN_S)
        connection.idle_until = self.reactor.seconds() + kept_s
        self.assign(connection)

    def connection_failed(self, reason: ConnectionEnd) -> None:
        """Back off after a failed attempt.

        Waiting requests fail if no other connection is open or being opened.
        """
        self.connecting -= 1
        self.refused = True
        self.back_off()
        if not self.connection_count:
            self.fail_waiters()

    def back_off(self) -> None:
        """Open no connection for a while, longer after each failure."""
        self.backoff_s = min(max(self.backoff_s * 2, INITIAL_BACKOFF_S), MAX_BACKOFF_S)
        self.retry_at = self.reactor.seconds() + self.backoff_s

    def fail_waiters(self) -> None:
        """Call all waiting requests with ``None``."""
        waiters, self.waiters = self.waiters, deque()
        for waiter in waiters:
            waiter(None)

    def connection_lost(self, connection: ClientConnection) -> None:
        """Remove a closed connection."""
        self.connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)
        if self.waiters:
            self.open_for_waiters()
            if not self.connection_count:
                self.fail_waiters()

    def close(self) -> None:
        """Close idle connections and open no more; exchanges in flight continue."""
        self.closed = True
        idle, self.idle = self.idle, []
        for connection in idle:
            connection.abort()
        self.fail_waiters()


class PoolFactory:
    """Builds the connections of a pool and reports failed attempts to it."""

    def __init__(self, pool: ConnectionPool) -> None:
        self.pool = pool

    def buildProtocol(self, addr: object) -> ClientConnection:
        """Return the protocol for an established connection."""
        connection = ClientConnection(
            self.pool.connection_established, self.pool.connection_lost
        )
        connection.sender = self.pool.sender
        return connection

    def clientConnectionFailed(self, connector: object, reason: ConnectionEnd) -> None:
        """Report a failed connection attempt to the pool."""
        self.pool.connection_failed(reason)
