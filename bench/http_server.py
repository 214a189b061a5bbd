"""Typed helpers for simulated servers on ``twisted.web``."""

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
    """The address of a listening port."""

    port: int


class ListeningPort(Protocol):
    """A listening port."""

    def getHost(self) -> Address:
        """Return the local address."""
        ...

    def stopListening(self) -> object:
        """Stop accepting connections."""
        ...


class ListeningReactor(Timers, Protocol):
    """The parts of the reactor that a simulated server uses."""

    def listenTCP(
        self, port: int, factory: Site, backlog: int, interface: str
    ) -> ListeningPort:
        """Listen on ``port``, or on any free port if it is zero."""
        ...

    def run(self) -> None:
        """Run the event loop until the reactor is stopped."""
        ...


def listen(
    reactor: ListeningReactor, resource: Resource, port: int = 0
) -> ListeningPort:
    """Serve a resource on loopback; port zero takes a free one."""
    site = Site(resource)
    return reactor.listenTCP(port, site, 512, LOOPBACK)


def query_argument(request: Request, name: str, default: str) -> str:
    """Return the first value of a query argument, or ``default``."""
    values = request.args.get(name.encode())
    return values[0].decode() if values else default


def request_body(request: Request) -> bytes:
    """Return the body of a request."""
    content = request.content
    return b"" if content is None else cast(bytes, content.read())


def send_reply(request: Request, status: int, body: bytes) -> int:
    """Send a JSON reply and return the length of its body.

    Sends nothing and returns 0 if the caller has disconnected.
    """
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
    """Abort the connection of a request without a reply."""
    transport = getattr(request.channel, "transport", None)
    if transport is not None:
        transport.abortConnection()
