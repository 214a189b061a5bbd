"""A loopback proxy that delays, resets, cuts one way or silences connections."""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import (
    ClientFactory,
    Protocol,
    ServerFactory,
    connectionDone,
)
from twisted.python.failure import Failure

from sardinehook.gateway.reactor import GatewayReactor

__all__ = ["Proxy"]

DELAY_S = 0.3
LOOPBACK = "127.0.0.1"
UPSTREAM = "cut_up"
DOWNSTREAM = "cut_down"


class ProxyConnection(Protocol):
    """One end of a proxied connection; what it reads goes to ``peer``."""

    def __init__(self, proxy: Proxy, direction: str) -> None:
        self.proxy = proxy
        self.direction = direction
        self.peer: ProxyConnection | None = None
        self.pending: list[bytes] = []
        self.broken = False
        self.closed = False

    def connectionMade(self) -> None:
        """Open the way on, where this is the side that was called."""
        tcp: Any = self.transport
        self.tcp = tcp
        tcp.setTcpNoDelay(True)
        self.proxy.connections.add(self)
        if self.direction == UPSTREAM:
            self.proxy.connection_accepted(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """End the other side, unless the path is cut."""
        self.closed = True
        self.proxy.connections.discard(self)
        if self.peer is not None and not self.is_broken and not self.peer.closed:
            self.peer.tcp.loseConnection()

    @property
    def is_broken(self) -> bool:
        """Whether bytes of the connection were lost, so that no more may follow."""
        return self.broken or (self.peer is not None and self.peer.broken)

    def dataReceived(self, data: bytes) -> None:
        """Pass data on, late or never where the proxy is to disturb it."""
        mode = self.proxy.mode
        if mode in (self.direction, "silent"):
            self.broken = True
        if self.is_broken:
            return
        if mode == "delay":
            self.proxy.reactor.callLater(DELAY_S, self.forward, data)
        else:
            self.forward(data)

    def forward(self, data: bytes) -> None:
        """Give data to the other side, or hold it until that is there."""
        if self.peer is None:
            self.pending.append(data)
        elif not self.peer.closed and not self.is_broken:
            self.peer.tcp.write(data)

    def attach(self, peer: ProxyConnection) -> None:
        """Take the other side and give it what was held for it."""
        self.peer, peer.peer = peer, self
        pending, self.pending = self.pending, []
        for data in pending:
            self.forward(data)


class OutgoingFactory(ClientFactory):
    """Opens the second half of a proxied connection."""

    noisy = False

    def __init__(self, proxy: Proxy, client: ProxyConnection) -> None:
        self.proxy = proxy
        self.client = client

    def buildProtocol(self, addr: object) -> ProxyConnection:
        """Return the side towards the server."""
        outgoing = ProxyConnection(self.proxy, DOWNSTREAM)
        self.proxy.reactor.callLater(0.0, self.attach, outgoing)
        return outgoing

    def attach(self, outgoing: ProxyConnection) -> None:
        """Connect both sides."""
        self.client.attach(outgoing)
        if self.client.closed:
            outgoing.tcp.abortConnection()

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        """Reset the caller whose way on could not be opened."""
        if not self.client.closed:
            self.client.tcp.abortConnection()


class Proxy(ServerFactory):
    """Passes connections on to ``port``; ``mode`` is how it disturbs them."""

    noisy = False

    def __init__(self, reactor: GatewayReactor, port: int) -> None:
        self.reactor = reactor
        self.target_port = port
        self.mode = ""
        self.connections: set[ProxyConnection] = set()
        listening = reactor.listenTCP(0, self, interface=LOOPBACK)
        self.port: int = listening.getHost().port

    def buildProtocol(self, addr: object) -> ProxyConnection:
        """Return the side towards a caller."""
        return ProxyConnection(self, UPSTREAM)

    def connection_accepted(self, client: ProxyConnection) -> None:
        """Open the way on for a caller."""
        if self.mode == "reset":
            client.tcp.abortConnection()
        elif self.mode == "silent":
            client.broken = True
        else:
            self.reactor.connectTCP(
                LOOPBACK, self.target_port, OutgoingFactory(self, client)
            )

    def set_mode(self, mode: str) -> None:
        """Begin or end to disturb."""
        self.mode = mode
        if mode == "reset":
            for connection in list(self.connections):
                connection.tcp.abortConnection()
