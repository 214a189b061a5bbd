"""The parts of a Twisted reactor, and of its transports, that are used here."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from twisted.internet.protocol import ClientFactory

__all__ = ["TcpReactor", "TcpTransport", "Timer", "Timers"]


class Timer(Protocol):
    """A call that is due later."""

    def active(self) -> bool:
        """Whether the call is still due."""
        ...

    def cancel(self) -> None:
        """Don't make the call."""
        ...


class Timers(Protocol):
    """What the reactor and ``twisted.internet.task.Clock`` have in common."""

    def seconds(self) -> float:
        """Monotonic time in seconds."""
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
    """Time and outgoing TCP connections."""

    def connectTCP(
        self, host: str, port: int, factory: ClientFactory, timeout: float
    ) -> object:
        """Open a connection; ``timeout`` is in seconds."""


class TcpTransport(Protocol):
    """The sending side of a TCP connection."""

    def write(self, data: bytes) -> None:
        """Send ``data``."""

    def loseConnection(self) -> None:
        """Close after what was written has been sent."""

    def loseWriteConnection(self) -> None:
        """Tell the peer that nothing more will be sent."""

    def abortConnection(self) -> None:
        """Close at once."""

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Send small segments without delay."""
