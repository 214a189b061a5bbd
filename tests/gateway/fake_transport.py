"""A transport in memory for the gateway's protocols."""

from __future__ import annotations

from typing import cast

from twisted.internet.testing import StringTransport

__all__ = ["FakeTransport", "make_transport"]


class FakeSocket:
    """Takes the options of a socket, and what is sent at once."""

    def __init__(self, transport: FakeTransport) -> None:
        self.transport = transport

    def send(self, data: bytes) -> int:
        """Take everything."""
        self.transport.write(data)  # type: ignore[no-untyped-call]
        return len(data)

    def setsockopt(self, level: int, option: int, value: int) -> None:
        """Take an option."""

    def getsockopt(self, level: int, option: int, buflen: int) -> bytes:
        """Return the kernel's view of a connection with a round trip of 2 ms."""
        return bytes(68) + (2000).to_bytes(4, "little") + bytes(32)


class FakeTransport(StringTransport):
    """Keeps what a protocol writes."""

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Take the option."""

    def getHandle(self) -> FakeSocket:
        """Return what takes the options of a socket."""
        return FakeSocket(self)

    def loseWriteConnection(self) -> None:
        """End the writing side."""

    def written(self) -> bytes:
        """Return all that was written."""
        return cast(bytes, self.value())  # type: ignore[no-untyped-call]


def make_transport() -> FakeTransport:
    """Make a transport."""
    return FakeTransport()  # type: ignore[no-untyped-call]
