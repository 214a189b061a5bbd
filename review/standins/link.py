"""A caller on a slow link with a small window, as a socket of its own."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import NamedTuple

RECEIVE_BUFFER_BYTES = 4096  # the windows of the links are small
SEGMENT_BYTES = 1400  # as on a network, where loopback would take 64 KiB
PIECE_BYTES = 500
FAST_BYTES_PER_S = 10_000_000


class Received(NamedTuple):
    """What a caller got: ``end`` is ``whole``, ``closed`` or an error."""

    head: bytes
    body: bytes
    end: str
    took_s: float

    def __str__(self) -> str:
        """Describe the answer in a line of the record."""
        status = self.head[:12].decode("latin-1")
        return f"{status}, {len(self.body)} bytes in {self.took_s:.1f} s: {self.end}"

    @property
    def closes(self) -> bool:
        """Whether the answer ends the connection."""
        return b"connection: close" in self.head.lower()


class Link:
    """One connection of a caller, read at ``bytes_per_s``."""

    def __init__(self, port: int) -> None:
        self.bytes_per_s = FAST_BYTES_PER_S
        self.socket = socket.socket()
        for level, option, value in (
            (socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES),
            (socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES),
        ):
            self.socket.setsockopt(level, option, value)
        self.socket.connect(("127.0.0.1", port))
        self.socket.setblocking(False)

    async def ask(self, message: bytes) -> Received:
        """Send a request and read its answer at the speed of the link."""
        began = time.monotonic()
        loop = asyncio.get_running_loop()
        received, end = b"", ""
        try:
            await loop.sock_sendall(self.socket, message)
            while not end:
                piece = await loop.sock_recv(self.socket, PIECE_BYTES)
                received += piece
                end = "closed" if not piece else "whole" * is_whole(received)
                await asyncio.sleep(len(piece) / self.bytes_per_s)
        except OSError as error:
            end = str(error)
        head, _, body = received.partition(b"\r\n\r\n")
        return Received(head, body, end, time.monotonic() - began)

    def close(self) -> None:
        """Close the connection."""
        self.socket.close()


def is_whole(received: bytes) -> bool:
    """Return whether an answer with a length is complete."""
    head, separator, body = received.partition(b"\r\n\r\n")
    for line in head.lower().split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name == b"content-length":
            return bool(separator) and len(body) >= int(value)
    return False
