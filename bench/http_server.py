"""Typed helpers for stand-ins that serve HTTP by ``twisted.web``."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol, cast

from twisted.web.http import Request
from twisted.web.resource import Resource
from twisted.web.server import Site

from sardinehook.transport.reactor import Timers

__all__ = [
    "ListeningReactor",
    "abort_connection",
    "listen",
    "query_argument",
    "request_body",
    "send_reply",
]

LOOPBACK = "127.0.0.1"


class Address(Protocol):
    """An address with a port."""

    port: int


class ListeningPort(Protocol):
    """A port that listens."""

    def getHost(self) -> Address:
        """The address that is listened to."""
        ...

    def stopListening(self) -> object:
        """Stop listening."""
        ...


class ListeningReactor(Timers, Protocol):
    """A reactor that can listen and run."""

    def listenTCP(
        self, port: int, factory: Site, backlog: int, interface: str
    ) -> ListeningPort:
        """Listen on a port, any free one if zero."""
        ...

    def run(self) -> None:
        """Run until told to stop."""
        ...


def listen(
    reactor: ListeningReactor, resource: Resource, port: int = 0
) -> ListeningPort:
    """Serve a resource on loopback."""
    site = Site(resource)
    return reactor.listenTCP(port, site, 512, LOOPBACK)


def query_argument(request: Request, name: str, default: str) -> str:
    """A query argument."""
    values = request.args.get(name.encode())
    return values[0].decode() if values else default


def request_body(request: Request) -> bytes:
    """The body of a request."""
    content = request.content
    return b"" if content is None else cast(bytes, content.read())


def send_reply(request: Request, status: int, body: bytes) -> int:
    """Send an answer and tell its bytes; nothing if the caller has gone."""
    if request._disconnected or request.finished:
        return 0
    request.setResponseCode(status)
    set_header = cast(Callable[[bytes, bytes], None], request.setHeader)
    set_header(b"content-type", b"application/json")
    set_header(b"content-length", str(len(body)).encode())
    if body:
        cast(Callable[[bytes], None], request.write)(body)
    cast(Callable[[], None], request.finish)()
    return len(body)


def abort_connection(request: Request) -> None:
    """Drop the connection of a request without an answer."""
    transport = getattr(request.channel, "transport", None)
    if transport is not None:
        transport.abortConnection()
