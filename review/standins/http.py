"""Minimal HTTP/1.1 messages on asyncio streams, for stand-ins and callers."""

from __future__ import annotations

import asyncio
from typing import NamedTuple


class Message(NamedTuple):
    """A request or an answer; header names are in lower case."""

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status code of an answer."""
        return int(self.start.split(" ")[1])

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.start.split(" ")[1]

    @property
    def method(self) -> str:
        """The method of a request."""
        return self.start.split(" ")[0]


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read the start line and the headers."""
    raw = await reader.readuntil(b"\r\n\r\n")
    start, *lines = raw[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return start, headers


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message whose body has a length or no body."""
    start, headers = await read_head(reader)
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return Message(start, headers, body)


def answer(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Encode an answer with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def request(
    method: str, target: str, host: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Encode a request; one that is not GET has a length."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
