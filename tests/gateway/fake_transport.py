"""Simulated clock and in-memory transport for testing protocols."""

from __future__ import annotations

from typing import Any, cast

from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

__all__ = ["FakeTransport", "RecordingReactor", "make_transport"]


class RecordingReactor(Clock):
    """A simulated clock that records connection attempts."""

    def __init__(self) -> None:
        super().__init__()
        self.tcpClients: list[tuple[Any, ...]] = []

    def connectTCP(self, *attempt: object) -> None:
        """Record an attempt, which the test accepts or refuses."""
        self.tcpClients.append(attempt)


class FakeSocket:
    """A socket that passes sent data to its transport and ignores options."""

    def __init__(self, transport: FakeTransport) -> None:
        self.transport = transport

    def send(self, data: bytes) -> int:
        """Accept all bytes."""
        self.transport.write(data)  # type: ignore[no-untyped-call]
        return len(data)

    def setsockopt(self, level: int, option: int, value: int) -> None:
        """Ignore the option."""

    def getsockopt(self, level: int, option: int, buflen: int) -> bytes:
        """Return a ``tcp_info`` with a round-trip time of 2 ms."""
        return bytes(68) + (2000).to_bytes(4, "little") + bytes(32)


class FakeTransport(StringTransport):
    """Records the data that a protocol writes."""

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Ignore the option."""

    def getHandle(self) -> FakeSocket:
        """Return a socket that writes to this transport."""
        return FakeSocket(self)

    def loseWriteConnection(self) -> None:
        """Ignore the close of the sending direction."""

    unsent = 0

    def unsent_bytes(self) -> int:
        """Return what a test says that the peer has not read yet."""
        return self.unsent

    def written(self) -> bytes:
        """Return all data written so far."""
        return cast(bytes, self.value())  # type: ignore[no-untyped-call]


def make_transport() -> FakeTransport:
    """Return a new transport."""
    return FakeTransport()  # type: ignore[no-untyped-call]
