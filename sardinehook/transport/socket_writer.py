"""Writes to a socket without a turn of the loop."""

from __future__ import annotations

from typing import Protocol

__all__ = ["SocketWriter"]


class SocketHandle(Protocol):
    """The part of a socket that is written to."""

    def send(self, data: bytes) -> int:
        """Send what the kernel takes and return how many bytes that was."""
        ...


class Transport(Protocol):
    """The part of a TCP transport of Twisted that is written to."""

    def getHandle(self) -> SocketHandle:
        """Return the socket."""
        ...

    def write(self, data: bytes) -> None:
        """Send in the next turns of the loop."""
        ...


class SocketWriter:
    """Sends at once while the kernel takes everything, else through the transport.

    Twisted sends in the turn after the one that writes. That costs three calls of the
    kernel a message, and an answer waits until all that came in meanwhile is handled.
    """

    __slots__ = ("direct", "handle", "tcp")

    def __init__(self, tcp: Transport) -> None:
        self.tcp = tcp
        self.handle = tcp.getHandle()
        self.direct = True

    def write(self, data: bytes) -> None:
        """Send ``data`` after all that was written before."""
        sent = 0
        if self.direct:
            try:
                sent = self.handle.send(data)
            except OSError:
                # The transport meets the same error in its turn, and reports it.
                sent = 0
            if sent == len(data):
                return
            self.direct = False
        self.tcp.write(data[sent:])
