"""The parts of a Twisted reactor that the target side uses."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from twisted.internet.protocol import ClientFactory

__all__ = ["DelayedCall", "TargetReactor", "TcpTransport"]


class DelayedCall(Protocol):
    """A call that the reactor makes later."""

    def cancel(self) -> None:
        """Take the call back."""

    def active(self) -> bool:
        """Tell whether the call is still to come."""


class TargetReactor(Protocol):
    """Time and outgoing TCP connections."""

    def seconds(self) -> float:
        """Return monotonic time in seconds."""

    def callLater(self, delay: float, callable: Callable[[], object]) -> DelayedCall:
        """Call ``callable`` after ``delay`` seconds."""

    def connectTCP(
        self, host: str, port: int, factory: ClientFactory, timeout: float
    ) -> object:
        """Open a connection."""


class TcpTransport(Protocol):
    """The sending side of a TCP connection."""

    def write(self, data: bytes) -> None:
        """Send ``data``."""

    def doWrite(self) -> object:
        """Send now what the socket takes, without a turn of the loop."""

    def loseConnection(self) -> None:
        """Close after what was written has been sent."""

    def loseWriteConnection(self) -> None:
        """Tell the peer that nothing more will be sent."""

    def abortConnection(self) -> None:
        """Close at once."""

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Send small segments without delay."""
