"""Writes to a socket directly, without waiting for the reactor."""

from __future__ import annotations

from typing import Protocol

__all__ = ["SocketWriter"]


class SocketHandle(Protocol):
    """The part of ``socket.socket`` that is used for writing."""

    def send(self, data: bytes) -> int:
        """Send as many bytes as the kernel accepts and return their number."""
        ...


class Transport(Protocol):
    """The part of a Twisted TCP transport that is used for writing."""

    def getHandle(self) -> SocketHandle:
        """Return the socket."""
        ...

    def write(self, data: bytes) -> None:
        """Buffer ``data`` and send it from the next reactor iteration on."""
        ...


class SocketWriter:
    """Sends directly while the kernel accepts all bytes, else through the transport.

    A Twisted transport sends in the reactor iteration after the write. That costs
    three system calls per message, and delays an answer until all input received in
    the meantime is handled.
    """

    __slots__ = ("direct", "handle", "tcp")

    def __init__(self, tcp: Transport) -> None:
        self.tcp = tcp
        self.handle = tcp.getHandle()
        self.direct = True

    def write(self, data: bytes) -> None:
        """Send ``data`` after all earlier writes."""
        sent = 0
        if self.direct:
            try:
                sent = self.handle.send(data)
            except OSError:
                # The transport gets the same error when it writes, and reports it.
                sent = 0
            if sent == len(data):
                return
            self.direct = False
        self.tcp.write(data[sent:])
