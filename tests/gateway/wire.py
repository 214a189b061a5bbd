"""A transport in memory for the gateway's protocols."""

from __future__ import annotations

from typing import cast

from twisted.internet.testing import StringTransport

__all__ = ["Wire", "make_wire"]


class Socket:
    """Takes the options of a socket."""

    def setsockopt(self, level: int, option: int, value: int) -> None:
        """Take an option."""


class Wire(StringTransport):
    """Keeps what a protocol writes."""

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Take the option."""

    def getHandle(self) -> Socket:
        """Return what takes the options of a socket."""
        return Socket()

    def loseWriteConnection(self) -> None:
        """End the writing side."""

    def written(self) -> bytes:
        """Return all that was written."""
        return cast(bytes, self.value())  # type: ignore[no-untyped-call]


def make_wire() -> Wire:
    """Make a transport."""
    return Wire()  # type: ignore[no-untyped-call]
