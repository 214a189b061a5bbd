"""Connection pool of one replica, bounded by the owner's allowance."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from twisted.internet.error import ConnectionRefusedError
from twisted.internet.interfaces import IAddress, IConnector
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from sardinehook.target.connection import TargetConnection
from sardinehook.target.limits import OwnerLimits
from sardinehook.transport.reactor import TcpReactor

__all__ = ["ConnectionPool", "PoolEvents", "TargetAddress"]

LINGER_S = 5.0  # how long a connection without a seen close still counts
MIN_CONNECTIONS = 2  # opened even if lingering ones use up the allowance
CLOSE_TIMEOUT_S = 1.0  # for the target to close its side too
IDLE_TIMEOUT_S = 15.0
IMMEDIATE_CLOSE_S = 0.1  # an unused connection closed sooner was rejected
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0


class TargetAddress(NamedTuple):
    """Host and port of a target."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> TargetAddress:
        """Return the address in ``IP:port``.

        >>> TargetAddress.parse("[::1]:80")
        TargetAddress(host='::1', port=80)
        """
        host, _, port = text.rpartition(":")
        return cls(host.strip("[]"), int(port))


class PoolEvents(NamedTuple):
    """Callbacks of a ``ConnectionPool``.

    ``ready`` is called when a connection has been opened, ``failed`` when an attempt
    failed, with the cause and whether the target refused it. ``ended`` is called
    when the target ended a connection, with whether it was closed cleanly.
    """

    ready: Callable[[], None]
    failed: Callable[[str, bool], None]
    ended: Callable[[bool], None]


class ConnectionPool:
    """Opens, reuses and closes the connections to one target.

    A connection counts against ``allowance`` from the start of the attempt until
    the target is known to have closed it. One whose close was not seen lingers: it
    counts for ``LINGER_S`` more, since the target may still hold it.
    """

    def __init__(
        self,
        reactor: TcpReactor,
        address: TargetAddress,
        limits: OwnerLimits,
        events: PoolEvents,
    ) -> None:
        self.reactor = reactor
        self.address = address
        self.limits = limits
        self.events = events
        self.allowance = 0
        self.idle: list[TargetConnection] = []
        self.connections: set[TargetConnection] = set()
        self.opening = 0
        self.lingering: list[float] = []
        self.backoff_s = 0.0
        self.open_after = 0.0
        self.connections_abandoned = 0

    def counted(self, now: float) -> int:
        """Return how many connections the target may hold open for this owner."""
        if self.lingering:
            self.lingering = [until for until in self.lingering if until > now]
        return len(self.connections) + self.opening + len(self.lingering)

    def acquire(self, active_since: float = 0.0) -> TargetConnection | None:
        """Return the most recently used idle connection, or ``None``.

        One that was not used since ``active_since`` is returned only if no other
        connection can be opened.
        """
        if active_since and self.is_full():
            active_since = 0.0
        while self.idle and self.idle[-1].idle_since >= active_since:
            connection = self.idle.pop()
            if connection.idle:
                return connection
        return None

    def close_inactive(self, before: float) -> None:
        """Abort idle connections that were not used since ``before``.

        Another connection was found unresponsive, so these may be broken too.
        """
        for connection in list(self.idle):
            if connection.idle_since < before:
                connection.abandon()
        self.idle = [one for one in self.idle if one.is_open]

    def release(self, connection: TargetConnection) -> None:
        """Return a connection to the pool once its exchange has ended."""
        self.backoff_s = 0.0
        if not connection.idle:
            return
        if self.over_allowance():
            connection.close()
            return
        connection.idle_since = self.reactor.seconds()
        self.idle.append(connection)

    def over_allowance(self) -> bool:
        """Tell whether more connections are open than the allowance permits."""
        if len(self.connections) + self.opening <= self.allowance:
            return False
        return self.active_count() > self.allowance

    def is_full(self) -> bool:
        """Tell whether none is being opened and the allowance is used up."""
        return (
            not self.opening and self.counted(self.reactor.seconds()) >= self.allowance
        )

    def ensure_available(self, wanted: int, active_since: float = 0.0) -> None:
        """Open connections until ``wanted`` are idle or being opened.

        Idle ones count if they were used since ``active_since``. While attempts
        fail, at most one is made at a time, after a backoff.
        """
        ready = len(self.idle)
        if active_since:
            ready = sum(one.idle_since >= active_since for one in self.idle)
        missing = wanted - ready - self.opening
        if missing <= 0:
            return
        now = self.reactor.seconds()
        if now < self.open_after:
            return
        if self.backoff_s and self.opening == 0:
            missing = 1
        elif self.backoff_s:
            return
        room = self.allowance - self.counted(now)
        if room <= 0:
            room = self.reclaim_lingering()
        for _ in range(min(missing, room)):
            self.start_opening()

    def reclaim_lingering(self) -> int:
        """Stop counting lingering connections to allow a minimum; return the room.

        Without any connection it could not be found out whether the target still
        holds the lingering ones. A target that does refuses the new connection.
        """
        least = min(MIN_CONNECTIONS, self.allowance)
        room = min(least - self.active_count(), len(self.lingering))
        if room <= 0:
            return 0
        del self.lingering[:room]
        return room

    def start_opening(self) -> None:
        """Start an attempt to open one connection."""
        self.opening += 1
        self.reactor.connectTCP(
            self.address.host,
            self.address.port,
            PoolFactory(self),
            self.limits.connect_timeout_s,
        )

    def opened(self, connection: TargetConnection) -> None:
        """Add an established connection, or close it if it exceeds the allowance."""
        self.opening -= 1
        self.connections.add(connection)
        if self.over_allowance():
            connection.close()
            return
        connection.idle_since = self.reactor.seconds()
        self.idle.append(connection)
        self.events.ready()

    def open_failed(self, reason: Failure) -> None:
        """Record a failed attempt, back off and report it."""
        self.opening -= 1
        self.back_off()
        refused = isinstance(reason.value, ConnectionRefusedError)
        self.events.failed(reason.getErrorMessage(), refused)

    def back_off(self) -> None:
        """Double the delay before the next attempt, up to ``MAX_BACKOFF_S``."""
        wait_s = max(self.backoff_s * 2, INITIAL_BACKOFF_S)
        self.backoff_s = min(wait_s, MAX_BACKOFF_S)
        self.open_after = self.reactor.seconds() + self.backoff_s

    def closed(self, connection: TargetConnection, clean: bool) -> None:
        """Remove a connection that has ended and report an end by the target."""
        self.connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)
        if connection.closing_here:
            if not clean:
                self.connections_abandoned += 1
                self.lingering.append(self.reactor.seconds() + LINGER_S)
            return
        open_s = self.reactor.seconds() - connection.idle_since
        if connection.exchanges == 0 and open_s < IMMEDIATE_CLOSE_S:
            self.back_off()
            self.events.failed(
                "connection closed by the target right after opening", False
            )
        else:
            self.events.ended(clean)

    def close_idle(self, keep: int) -> None:
        """Close connections past the idle timeout, except for ``keep`` of them.

        Those whose target has not closed its side in time are aborted.
        """
        now = self.reactor.seconds()
        latest = now - IDLE_TIMEOUT_S
        for connection in list(self.connections):
            closing = connection.closing_here
            if closing and connection.idle_since < now - CLOSE_TIMEOUT_S:
                connection.abandon()
        while len(self.idle) > keep and self.idle[0].idle_since < latest:
            self.idle.pop(0).close()

    def set_allowance(self, allowance: int) -> None:
        """Change the allowance and close idle connections beyond it."""
        self.allowance = allowance
        excess = max(0, self.active_count() - allowance)
        surplus, self.idle = self.idle[:excess], self.idle[excess:]
        for connection in surplus:
            connection.close()

    def active_count(self) -> int:
        """Return how many connections are open or being opened."""
        return self.opening + self.open_count()

    def open_count(self) -> int:
        """Return how many connections are open."""
        return sum(one.is_open for one in self.connections)


class PoolFactory(ClientFactory):
    """Builds the protocols of a pool and reports failed attempts to it."""

    noisy = False

    def __init__(self, pool: ConnectionPool) -> None:
        self.pool = pool

    def buildProtocol(  # type: ignore[override]
        self, addr: IAddress | None
    ) -> TargetConnection:
        """Return the protocol of an established connection."""
        pool = self.pool
        return TargetConnection(pool.limits, pool.opened, pool.closed)

    def clientConnectionFailed(self, connector: IConnector, reason: Failure) -> None:
        """Report a failed attempt to the pool."""
        self.pool.open_failed(reason)
