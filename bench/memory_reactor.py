"""TCP in memory on a fake clock, to run the owner against the target stand-in."""

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

__all__ = ["MemoryReactor"]

DELAY_S = 0.0005


def failure(error: Exception) -> Failure:
    """Return ``error`` as Twisted passes it on."""
    return Failure(error)


class Address(NamedTuple):
    """The address of a port in memory."""

    port: int


class MemoryTransport:
    """One end of a connection in memory."""

    def __init__(self, clock: Clock, protocol: Protocol) -> None:
        self.clock = clock
        self.protocol = protocol
        self.peer: MemoryTransport | None = None
        self.open = True

    def write(self, data: bytes) -> None:
        """Bring ``data`` to the peer a little later."""
        if self.open and self.peer is not None:
            self.clock.callLater(DELAY_S, self.peer.receive, data)

    def receive(self, data: bytes) -> None:
        """Take data from the peer."""
        if self.open:
            self.protocol.dataReceived(data)

    def getHandle(self) -> MemoryTransport:
        """Return what stands for the socket."""
        return self

    def send(self, data: bytes) -> int:
        """Take all of ``data``."""
        self.write(data)
        return len(data)

    def setsockopt(self, level: int, option: int, value: int) -> None:
        """Do nothing: there is no socket."""

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Do nothing: there is no socket."""

    def loseConnection(self) -> None:
        """Close both sides."""
        self.end(ConnectionDone())

    def loseWriteConnection(self) -> None:
        """Close; the peer closes in turn."""
        if not self.open:
            raise ValueError("the socket is closed")
        if self.open and self.peer is not None:
            self.clock.callLater(DELAY_S, self.peer.end, ConnectionDone())

    def abortConnection(self) -> None:
        """Close at once."""
        self.end(ConnectionLost())

    def end(self, reason: Exception) -> None:
        """End this side now and the other one a little later."""
        if not self.open:
            return
        self.open = False
        self.clock.callLater(0.0, self.protocol.connectionLost, failure(reason))
        if self.peer is not None:
            self.clock.callLater(DELAY_S, self.peer.end, reason)


class MemoryPort:
    """A listening port in memory."""

    def __init__(self, reactor: MemoryReactor, port: int) -> None:
        self.reactor = reactor
        self.port = port

    def getHost(self) -> Address:
        """Return the address."""
        return Address(self.port)

    def stopListening(self) -> None:
        """Accept no more connections."""
        del self.reactor.listeners[self.port]


class MemoryReactor(Clock):
    """A fake clock with TCP between its own users."""

    def __init__(self) -> None:
        super().__init__()
        self.listeners: dict[int, ServerFactory] = {}
        self.last_port = 1000

    def listenTCP(
        self, port: int, factory: ServerFactory, backlog: int, interface: str
    ) -> MemoryPort:
        """Accept connections on ``port``, or on a free one for 0."""
        if not port:
            self.last_port += 1
            port = self.last_port
        self.listeners[port] = factory
        return MemoryPort(self, port)

    def connectTCP(
        self, host: str, port: int, factory: ClientFactory, timeout: float
    ) -> None:
        """Establish a connection a round trip later."""
        self.callLater(2 * DELAY_S, self.establish, port, factory)

    def establish(self, port: int, factory: ClientFactory) -> None:
        """Connect both ends, or refuse."""
        listener = self.listeners.get(port)
        if listener is None:
            error = ConnectionRefusedError()
            factory.clientConnectionFailed(cast(IConnector, self), failure(error))
            return
        ends = [factory.buildProtocol(None), listener.buildProtocol(None)]
        assert isinstance(ends[0], Protocol) and isinstance(ends[1], Protocol)
        client, server = MemoryTransport(self, ends[0]), MemoryTransport(self, ends[1])
        client.peer, server.peer = server, client
        ends[1].makeConnection(server)
        ends[0].makeConnection(client)

    def run(self) -> None:
        """Do nothing: the clock is advanced by its user."""
