"""The connections to one replica, within the owner's allowance."""

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

LINGER_S = 5.0
MIN_CONNECTIONS = 2
CLOSE_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 15.0
IMMEDIATE_CLOSE_S = 0.1
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0


class TargetAddress(NamedTuple):
    """Where a target listens."""

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
    """What a pool tells its user.

    ``ready`` is called when a connection has been opened and ``failed`` when one
    could not be, with the cause and whether the target refused it. ``ended`` is
    called when the peer has ended one, with whether that was in order.
    """

    ready: Callable[[], None]
    failed: Callable[[str, bool], None]
    ended: Callable[[bool], None]


class ConnectionPool:
    """Opens, lends and closes connections.

    A connection counts against ``allowance`` from the moment it is being opened
    until the target is known to have let go of it. Where no end from the peer was
    seen it goes on counting for a while.
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
        """Return how many connections the target may hold for this owner."""
        if self.lingering:
            self.lingering = [until for until in self.lingering if until > now]
        return len(self.connections) + self.opening + len(self.lingering)

    def acquire(self, active_since: float = 0.0) -> TargetConnection | None:
        """Return the idle connection that was used last, if any.

        One that has shown no life since ``active_since`` is returned only where no
        other can be opened.
        """
        if active_since and self.is_full():
            active_since = 0.0
        while self.idle and self.idle[-1].idle_since >= active_since:
            connection = self.idle.pop()
            if connection.idle:
                return connection
        return None

    def close_inactive(self, before: float) -> None:
        """Close idle connections that have shown no life since ``before``.

        One connection of theirs was found silent, so they may be silent too.
        """
        for connection in list(self.idle):
            if connection.idle_since < before:
                connection.abandon()
        self.idle = [one for one in self.idle if one.is_open]

    def release(self, connection: TargetConnection) -> None:
        """Take back a connection whose exchange has ended."""
        self.backoff_s = 0.0
        if not connection.idle:
            return
        if self.over_allowance():
            connection.close()
            return
        connection.idle_since = self.reactor.seconds()
        self.idle.append(connection)

    def over_allowance(self) -> bool:
        """Tell whether a connection has to be closed."""
        if len(self.connections) + self.opening <= self.allowance:
            return False
        return self.active_count() > self.allowance

    def is_full(self) -> bool:
        """Tell whether no connection is on its way and none can be opened."""
        return (
            not self.opening and self.counted(self.reactor.seconds()) >= self.allowance
        )

    def ensure_available(self, wanted: int, active_since: float = 0.0) -> None:
        """Open connections until ``wanted`` are idle or on their way.

        Idle ones count if they have shown life since ``active_since``.
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
        """Make room where nearly all that counts was given up; return the room.

        Without a connection nobody could find out whether the target still holds
        the others. One that holds them refuses the new one.
        """
        least = min(MIN_CONNECTIONS, self.allowance)
        room = min(least - self.active_count(), len(self.lingering))
        if room <= 0:
            return 0
        del self.lingering[:room]
        return room

    def start_opening(self) -> None:
        """Begin to open one connection."""
        self.opening += 1
        self.reactor.connectTCP(
            self.address.host,
            self.address.port,
            PoolFactory(self),
            self.limits.connect_timeout_s,
        )

    def opened(self, connection: TargetConnection) -> None:
        """Add a connection that has been established."""
        self.opening -= 1
        self.connections.add(connection)
        if self.over_allowance():
            connection.close()
            return
        connection.idle_since = self.reactor.seconds()
        self.idle.append(connection)
        self.events.ready()

    def open_failed(self, reason: Failure) -> None:
        """Note a failed attempt and wait longer before the next."""
        self.opening -= 1
        self.back_off()
        refused = isinstance(reason.value, ConnectionRefusedError)
        self.events.failed(reason.getErrorMessage(), refused)

    def back_off(self) -> None:
        """Wait longer before the next attempt."""
        wait_s = max(self.backoff_s * 2, INITIAL_BACKOFF_S)
        self.backoff_s = min(wait_s, MAX_BACKOFF_S)
        self.open_after = self.reactor.seconds() + self.backoff_s

    def closed(self, connection: TargetConnection, clean: bool) -> None:
        """Forget a connection that has ended."""
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
            self.events.failed("closed by the target at once", False)
        else:
            self.events.ended(clean)

    def close_idle(self, keep: int) -> None:
        """Close connections that have been idle for long, but ``keep`` of them.

        Those that the target has not closed in turn are dropped.
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
        """Take a new bound; idle connections beyond it are closed."""
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
    """Builds the connections of a pool and reports failures to it."""

    noisy = False

    def __init__(self, pool: ConnectionPool) -> None:
        self.pool = pool

    def buildProtocol(self, addr: IAddress | None) -> TargetConnection:
        """Return the protocol of an established connection."""
        pool = self.pool
        return TargetConnection(pool.limits, pool.opened, pool.closed)

    def clientConnectionFailed(self, connector: IConnector, reason: Failure) -> None:
        """Report that the target could not be reached."""
        self.pool.open_failed(reason)
