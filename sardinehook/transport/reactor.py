"""Protocols for the parts of reactors and transports that are used.

Twisted's reactors have them, and ``sardinehook.transport.event_loop`` on asyncio.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

if TYPE_CHECKING:
    from twisted.internet.protocol import ClientFactory

__all__ = [
    "ConnectionEnd",
    "DatagramHandler",
    "StreamClientFactory",
    "StreamProtocol",
    "StreamServerFactory",
    "TcpReactor",
    "TcpTransport",
    "Timer",
    "Timers",
]


class ConnectionEnd(NamedTuple):
    """Why a connection has ended, or could not be opened."""

    is_clean: bool
    detail: str


class StreamProtocol:
    """The user of one TCP connection.

    ``connectionMade`` is called first, ``connectionLost`` last, and ``dataReceived`` in
    between. Instances also serve as protocols of Twisted.
    """

    transport: Any

    def makeConnection(self, transport: Any) -> None:  # noqa: ANN401
        """Start to use an established connection."""
        self.transport = transport
        self.connectionMade()

    def connectionMade(self) -> None:
        """Handle that the connection is established."""

    def dataReceived(self, data: bytes) -> None:
        """Handle received bytes."""

    def connectionLost(self, reason: ConnectionEnd) -> None:
        """Handle that the connection has ended."""

    def pauseProducing(self) -> None:
        """Handle that the peer does not read, so that written data is kept here."""

    def resumeProducing(self) -> None:
        """Handle that the peer has read most of the written data."""


class StreamServerFactory(Protocol):
    """Makes the protocol of each accepted connection."""

    def buildProtocol(self, addr: object) -> StreamProtocol:
        """Return the protocol of a new connection."""
        ...


class StreamClientFactory(StreamServerFactory, Protocol):
    """Makes the protocol of a connection that this process opens."""

    def clientConnectionFailed(self, connector: object, reason: ConnectionEnd) -> None:
        """Handle that the connection could not be opened."""
        ...


class DatagramHandler(Protocol):
    """The user of one UDP socket; ``transport`` is set when it is open."""

    transport: Any

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:
        """Handle a received datagram."""
        ...


class Timer(Protocol):
    """A delayed call, as ``IDelayedCall``."""

    def active(self) -> bool:
        """Return whether the call is still pending."""
        ...

    def cancel(self) -> None:
        """Cancel the call."""
        ...


class Timers(Protocol):
    """Delayed calls, as of the reactor and of ``twisted.internet.task.Clock``."""

    def seconds(self) -> float:
        """Return the monotonic time in seconds."""
        ...

    def callLater(
        self,
        delay: float,
        callable: Callable[..., object],
        *args: object,
        **kw: object,
    ) -> Timer:
        """Call ``callable`` after ``delay`` seconds."""
        ...


class TcpReactor(Timers, Protocol):
    """Clock, delayed calls and outgoing TCP connections."""

    def connectTCP(
        self, host: str, port: int, factory: ClientFactory, timeout: float
    ) -> object:
        """Start to connect; the attempt fails after ``timeout`` seconds."""


class TcpTransport(Protocol):
    """The part of a TCP transport that sends and closes."""

    def write(self, data: bytes) -> None:
        """Buffer ``data`` for sending."""

    def loseConnection(self) -> None:
        """Close the connection after all written data has been sent."""

    def loseWriteConnection(self) -> None:
        """Close the sending direction after all written data has been sent."""

    def abortConnection(self) -> None:
        """Close the connection at once, dropping unsent data."""

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Enable or disable ``TCP_NODELAY``."""
