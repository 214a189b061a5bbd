"""In-memory TCP on a fake clock, to run an owner against simulated targets."""

from __future__ import annotations

from typing import NamedTuple, cast

from twisted.internet.error import (
    ConnectionDone,
    ConnectionLost,
    ConnectionRefusedError,
)
from twisted.internet.interfaces import IConnector
from twisted.internet.protocol import ClientFactory, Protocol, ServerFactory
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from sardinehook.transport.reactor import StreamProtocol

__all__ = ["MemoryReactor"]

ONE_WAY_DELAY_S = 0.0005


def failure(error: Exception) -> Failure:
    """Wrap ``error`` in a Twisted ``Failure``."""
    return Failure(error)


class Address(NamedTuple):
    """The address of an in-memory port."""

    port: int


class MemoryTransport:
    """One end of an in-memory connection."""

    def __init__(self, clock: Clock, protocol: Protocol | StreamProtocol) -> None:
        self.clock = clock
        self.protocol = protocol
        self.peer: MemoryTransport | None = None
        self.open = True

    def write(self, data: bytes) -> None:
        """Deliver ``data`` to the peer after the one-way delay."""
        if self.open and self.peer is not None:
            self.clock.callLater(ONE_WAY_DELAY_S, self.peer.receive, data)

    def receive(self, data: bytes) -> None:
        """Pass data from the peer to the protocol, unless this end is closed."""
        if self.open:
            self.protocol.dataReceived(data)

    def getHandle(self) -> MemoryTransport:
        """Return the object that is used in place of the socket."""
        return self

    def send(self, data: bytes) -> int:
        """Write ``data``; always accepts all of it."""
        self.write(data)
        return len(data)

    def setsockopt(self, level: int, option: int, value: int) -> None:
        """Do nothing; there is no socket."""

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Do nothing; there is no socket."""

    def loseConnection(self) -> None:
        """Close the connection cleanly on both ends."""
        self.end(ConnectionDone())

    def loseWriteConnection(self) -> None:
        """Close the peer's end, which then closes this one.

        Raises ``ValueError`` if this end is closed.
        """
        if not self.open:
            raise ValueError("cannot close the write side: the connection is closed")
        if self.open and self.peer is not None:
            self.clock.callLater(ONE_WAY_DELAY_S, self.peer.end, ConnectionDone())

    def abortConnection(self) -> None:
        """Abort the connection."""
        self.end(ConnectionLost())

    def end(self, reason: Exception) -> None:
        """Close this end now and the peer's after the one-way delay."""
        if not self.open:
            return
        self.open = False
        self.clock.callLater(0.0, self.protocol.connectionLost, failure(reason))
        if self.peer is not None:
            self.clock.callLater(ONE_WAY_DELAY_S, self.peer.end, reason)


class MemoryPort:
    """A listening in-memory port."""

    def __init__(self, reactor: MemoryReactor, port: int) -> None:
        self.reactor = reactor
        self.port = port

    def getHost(self) -> Address:
        """Return the local address."""
        return Address(self.port)

    def stopListening(self) -> None:
        """Stop accepting connections."""
        del self.reactor.listeners[self.port]


class MemoryReactor(Clock):
    """A fake clock that connects clients and servers of the same process."""

    def __init__(self) -> None:
        super().__init__()
        self.listeners: dict[int, ServerFactory] = {}
        self.last_port = 1000

    def listenTCP(
        self, port: int, factory: ServerFactory, backlog: int, interface: str
    ) -> MemoryPort:
        """Listen on ``port``, or on a free port if it is zero."""
        if not port:
            self.last_port += 1
            port = self.last_port
        self.listeners[port] = factory
        return MemoryPort(self, port)

    def connectTCP(
        self, host: str, port: int, factory: ClientFactory, timeout: float
    ) -> None:
        """Connect after one round trip."""
        self.callLater(2 * ONE_WAY_DELAY_S, self.establish, port, factory)

    def establish(self, port: int, factory: ClientFactory) -> None:
        """Connect both ends, or report a refused connection."""
        listener = self.listeners.get(port)
        if listener is None:
            error = ConnectionRefusedError()
            factory.clientConnectionFailed(cast(IConnector, self), failure(error))
            return
        ends = [factory.buildProtocol(None), listener.buildProtocol(None)]
        assert isinstance(ends[0], Protocol | StreamProtocol)
        assert isinstance(ends[1], Protocol | StreamProtocol)
        client, server = MemoryTransport(self, ends[0]), MemoryTransport(self, ends[1])
        client.peer, server.peer = server, client
        ends[1].makeConnection(server)
        ends[0].makeConnection(client)

    def run(self) -> None:
        """Do nothing; the caller advances the clock."""
