"""Protocols for the parts of Twisted reactors and transports that are used."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from twisted.internet.protocol import ClientFactory

__all__ = ["TcpReactor", "TcpTransport", "Timer", "Timers"]


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
