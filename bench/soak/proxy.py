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
UP = "cut_up"
DOWN = "cut_down"


class Side(Protocol):
    """One end of a proxied connection; what it reads goes to ``other``."""

    def __init__(self, proxy: Proxy, direction: str) -> None:
        self.proxy = proxy
        self.direction = direction
        self.other: Side | None = None
        self.held: list[bytes] = []
        self.dead = False
        self.closed = False

    def connectionMade(self) -> None:
        """Open the way on, where this is the side that was called."""
        tcp: Any = self.transport
        self.tcp = tcp
        tcp.setTcpNoDelay(True)
        self.proxy.sides.add(self)
        if self.direction == UP:
            self.proxy.accepted(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """End the other side, unless the path is cut."""
        self.closed = True
        self.proxy.sides.discard(self)
        if self.other is not None and not self.is_dead and not self.other.closed:
            self.other.tcp.loseConnection()

    @property
    def is_dead(self) -> bool:
        """Whether bytes of the connection were lost, so that no more may follow."""
        return self.dead or (self.other is not None and self.other.dead)

    def dataReceived(self, data: bytes) -> None:
        """Pass data on, late or never where the proxy is to disturb it."""
        mode = self.proxy.mode
        if mode in (self.direction, "silent"):
            self.dead = True
        if self.is_dead:
            return
        if mode == "delay":
            self.proxy.reactor.callLater(DELAY_S, self.pass_on, data)
        else:
            self.pass_on(data)

    def pass_on(self, data: bytes) -> None:
        """Give data to the other side, or hold it until that is there."""
        if self.other is None:
            self.held.append(data)
        elif not self.other.closed and not self.is_dead:
            self.other.tcp.write(data)

    def join(self, other: Side) -> None:
        """Take the other side and give it what was held for it."""
        self.other, other.other = other, self
        held, self.held = self.held, []
        for data in held:
            self.pass_on(data)


class Outgoing(ClientFactory):
    """Opens the second half of a proxied connection."""

    noisy = False

    def __init__(self, proxy: Proxy, caller: Side) -> None:
        self.proxy = proxy
        self.caller = caller

    def buildProtocol(self, addr: object) -> Side:
        """Return the side towards the server."""
        side = Side(self.proxy, DOWN)
        self.proxy.reactor.callLater(0.0, self.join, side)
        return side

    def join(self, side: Side) -> None:
        """Connect both sides."""
        self.caller.join(side)
        if self.caller.closed:
            side.tcp.abortConnection()

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        """Reset the caller whose way on could not be opened."""
        if not self.caller.closed:
            self.caller.tcp.abortConnection()


class Proxy(ServerFactory):
    """Passes connections on to ``port``; ``mode`` is how it disturbs them."""

    noisy = False

    def __init__(self, reactor: GatewayReactor, port: int) -> None:
        self.reactor = reactor
        self.target = port
        self.mode = ""
        self.sides: set[Side] = set()
        listening = reactor.listenTCP(0, self, interface=LOOPBACK)
        self.port: int = listening.getHost().port

    def buildProtocol(self, addr: object) -> Side:
        """Return the side towards a caller."""
        return Side(self, UP)

    def accepted(self, caller: Side) -> None:
        """Open the way on for a caller."""
        if self.mode == "reset":
            caller.tcp.abortConnection()
        elif self.mode == "silent":
            caller.dead = True
        else:
            self.reactor.connectTCP(LOOPBACK, self.target, Outgoing(self, caller))

    def set_mode(self, mode: str) -> None:
        """Begin or end to disturb."""
        self.mode = mode
        if mode == "reset":
            for side in list(self.sides):
                side.tcp.abortConnection()
