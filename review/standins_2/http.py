"""HTTP/1.1 messages over asyncio streams, as the stand-ins read and write them."""

from __future__ import annotations

import asyncio
import random
import socket
import struct
from typing import NamedTuple

LOOPBACK = "127.0.0.1"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Message(NamedTuple):
    """A request or a response; header names are in lower case."""

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start.split(" ")[1])


def free_ports(count: int) -> list[int]:
    """Return consecutive free ports, so that ranges can be named by their ends.

    The first one is drawn, so that runs at the same time rarely meet.
    """
    starts = list(range(21000, 32000 - count, count))
    random.shuffle(starts)
    for first in starts:
        bound: list[socket.socket] = []
        try:
            for port in range(first, first + count):
                one = socket.socket()
                bound.append(one)
                one.bind((LOOPBACK, port))
        except OSError:
            continue
        finally:
            for one in bound:
                one.close()
        if len(bound) == count:
            return list(range(first, first + count))
    raise RuntimeError("no free ports")


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message with a length, in chunks or, for responses, until the end.

    Raises ``asyncio.IncompleteReadError`` or ``OSError`` if it isn't complete.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = head[:-4].split("\r\n")
    headers: dict[str, str] = {}
    for line in lines:
        name, _, value = line.partition(":")
        key = name.strip().lower()
        known = headers.get(key)
        headers[key] = value.strip() if known is None else f"{known},{value.strip()}"
    if "chunked" in headers.get("transfer-encoding", ""):
        return Message(start, headers, await read_chunks(reader))
    if "content-length" in headers:
        size = int(headers["content-length"])
        return Message(start, headers, await reader.readexactly(size))
    if start.startswith("HTTP/"):
        status = int(start.split(" ")[1])
        if status >= 200 and status not in (204, 304):
            return Message(start, headers, await reader.read())
    return Message(start, headers, b"")


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Read a body in chunks."""
    body = b""
    while size := int((await reader.readline()).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    while (await reader.readline()).strip():
        pass
    return body


def response(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Encode a response with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines.extend(f"{name}: {value}" for name, value in headers.items())
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def request(method: str, path: str, headers: dict[str, str], body: bytes) -> bytes:
    """Encode a request; one with a body states its length."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines.extend(f"{name}: {value}" for name, value in headers.items())
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()
