"""A loopback TCP proxy that can delay, reset, cut or silence connections."""

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
    """One end of a proxied connection; data is forwarded to ``peer``."""

    def __init__(self, proxy: Proxy, direction: str) -> None:
        self.proxy = proxy
        self.direction = direction
        self.peer: ProxyConnection | None = None
        self.pending: list[bytes] = []
        self.broken = False
        self.closed = False

    def connectionMade(self) -> None:
        """Register the connection; on the client side, connect to the server."""
        tcp: Any = self.transport
        self.tcp = tcp
        tcp.setTcpNoDelay(True)
        self.proxy.connections.add(self)
        if self.direction == UPSTREAM:
            self.proxy.connection_accepted(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Close the peer, unless data of the connection was dropped."""
        self.closed = True
        self.proxy.connections.discard(self)
        if self.peer is not None and not self.is_broken and not self.peer.closed:
            self.peer.tcp.loseConnection()

    @property
    def is_broken(self) -> bool:
        """Whether data of the connection was dropped, so that no more may follow."""
        return self.broken or (self.peer is not None and self.peer.broken)

    def dataReceived(self, data: bytes) -> None:
        """Forward data, or delay or drop it as the fault mode demands."""
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
        """Write data to the peer, or buffer it until the peer is connected."""
        if self.peer is None:
            self.pending.append(data)
        elif not self.peer.closed and not self.is_broken:
            self.peer.tcp.write(data)

    def attach(self, peer: ProxyConnection) -> None:
        """Set the peer and forward the buffered data."""
        self.peer, peer.peer = peer, self
        pending, self.pending = self.pending, []
        for data in pending:
            self.forward(data)


class OutgoingFactory(ClientFactory):
    """Creates the server side of a proxied connection."""

    noisy = False

    def __init__(self, proxy: Proxy, client: ProxyConnection) -> None:
        self.proxy = proxy
        self.client = client

    def buildProtocol(self, addr: object) -> ProxyConnection:
        """Return the protocol towards the server."""
        outgoing = ProxyConnection(self.proxy, DOWNSTREAM)
        self.proxy.reactor.callLater(0.0, self.attach, outgoing)
        return outgoing

    def attach(self, outgoing: ProxyConnection) -> None:
        """Attach both sides; abort the server side if the client has gone."""
        self.client.attach(outgoing)
        if self.client.closed:
            outgoing.tcp.abortConnection()

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        """Reset the client connection if the server could not be reached."""
        if not self.client.closed:
            self.client.tcp.abortConnection()


class Proxy(ServerFactory):
    """Forwards connections to ``target_port``; ``mode`` selects a fault."""

    noisy = False

    def __init__(self, reactor: GatewayReactor, port: int) -> None:
        self.reactor = reactor
        self.target_port = port
        self.mode = ""
        self.connections: set[ProxyConnection] = set()
        listening = reactor.listenTCP(0, self, interface=LOOPBACK)
        self.port: int = listening.getHost().port

    def buildProtocol(self, addr: object) -> ProxyConnection:
        """Return the protocol towards a client."""
        return ProxyConnection(self, UPSTREAM)

    def connection_accepted(self, client: ProxyConnection) -> None:
        """Connect to the server for a client, or apply the fault mode."""
        if self.mode == "reset":
            client.tcp.abortConnection()
        elif self.mode == "silent":
            client.broken = True
        else:
            self.reactor.connectTCP(
                LOOPBACK, self.target_port, OutgoingFactory(self, client)
            )

    def set_mode(self, mode: str) -> None:
        """Set the fault mode, empty for none; ``reset`` aborts open connections."""
        self.mode = mode
        if mode == "reset":
            for connection in list(self.connections):
                connection.tcp.abortConnection()
