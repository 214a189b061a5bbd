"""A client's HTTP/1.1 connection that carries one exchange at a time."""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

from httptools import HttpParserError, HttpResponseParser
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from sardinehook.transport.socket_writer import SocketWriter

__all__ = ["ClientConnection", "ExchangeEnd", "Lost", "Malformed", "Replied", "Reply"]

BODY_BYTES = 8 * 1024 * 1024  # most that is buffered of the body of one reply
HEAD_BYTES = 64 * 1024  # most that may come before the headers are complete
KEEP_ALIVE_IDLE_S = 1  # silence after which the kernel probes a connection
KEEP_ALIVE_INTERVAL_S = 1  # between two probes
KEEP_ALIVE_PROBES = 2  # unanswered probes that end a connection
UNACKNOWLEDGED_MS = 2500  # sent bytes without acknowledgement that end a connection
NO_BODY_STATUS = frozenset({204, 304})


class Reply(NamedTuple):
    """A whole reply; header names are in lower case, in the order received."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the first header called ``name``, which is in lower case."""
        for found, value in self.headers:
            if found == name:
                return value
        return None


@dataclass(frozen=True, slots=True)
class Replied:
    """A whole reply came."""

    reply: Reply


@dataclass(frozen=True, slots=True)
class Malformed:
    """Bytes came that are no whole reply."""

    detail: str


@dataclass(frozen=True, slots=True)
class Lost:
    """The connection ended before any byte of a reply."""

    detail: str


ExchangeEnd = Replied | Malformed | Lost


class ClientConnection(Protocol):
    """Sends a request and reports one ``ExchangeEnd`` for it.

    ``on_open`` is called once the connection is established and ``on_close`` once
    after it has ended. After anything but a whole reply the connection is closed and
    never used again, and so is one on which bytes come that nobody asked for.
    """

    max_head_bytes = HEAD_BYTES
    max_body_bytes = BODY_BYTES

    def __init__(
        self,
        on_open: Callable[[ClientConnection], None],
        on_close: Callable[[ClientConnection], None],
    ) -> None:
        self.on_open = on_open
        self.on_close = on_close
        self.is_open = False
        self.on_end: Callable[[ExchangeEnd], None] | None = None
        self.exchanges = 0
        self.idle_since = 0.0
        self.idle_until = 0.0
        self.ends_with_headers = False
        self.reset_reply()

    def reset_reply(self) -> None:
        """Forget the last reply."""
        self.parser = HttpResponseParser(self)
        self.headers: list[tuple[bytes, bytes]] = []
        self.chunks: list[bytes] = []
        self.received_bytes = 0
        self.body_bytes = 0
        self.in_body = False
        self.whole = False
        self.surplus = False
        self.framed = False
        self.reusable = False
        self.interim = False
        self.status = 0

    @property
    def idle(self) -> bool:
        """Whether an exchange can begin."""
        return self.is_open and self.on_end is None

    def exchange(
        self,
        request: bytes,
        on_end: Callable[[ExchangeEnd], None],
        has_no_body: bool = False,
    ) -> None:
        """Send ``request`` and report its end to ``on_end``, exactly once.

        ``has_no_body`` is set where the reply ends with its headers, as to ``HEAD``.
        """
        assert self.idle
        self.ends_with_headers = has_no_body
        self.on_end = on_end
        if self.exchanges:
            self.reset_reply()
        self.exchanges += 1
        self.writer.write(request)

    def abort(self) -> None:
        """Drop the connection at once; no end is reported for its exchange."""
        self.on_end = None
        self.is_open = False
        self.tcp.abortConnection()

    def connectionMade(self) -> None:
        """Set the options of the socket and report that it can be used."""
        tcp: Any = self.transport
        self.tcp = tcp
        self.writer = SocketWriter(tcp)
        set_socket_options(tcp)
        self.is_open = True
        self.on_open(self)

    def dataReceived(self, data: bytes) -> None:
        """Parse ``data`` and end the exchange once the reply is whole."""
        if not self.is_open:
            return
        if self.on_end is None:
            self.drop()
            return
        self.received_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except HttpParserError as error:
            if not self.whole:
                self.end(Malformed(f"malformed reply: {error}"), False)
                return
            self.surplus = True
        if self.is_too_large():
            self.end(Malformed("the reply is too large"), False)
        elif self.whole:
            self.complete()

    def is_too_large(self) -> bool:
        """Tell whether more came than is buffered of one reply."""
        if self.in_body or self.whole:
            return self.body_bytes > self.max_body_bytes
        return self.received_bytes > self.max_head_bytes

    def complete(self) -> None:
        """End the exchange with the whole reply."""
        reply = Reply(self.status, tuple(self.headers), b"".join(self.chunks))
        self.end(Replied(reply), self.reusable and not self.surplus)

    def end(self, end: ExchangeEnd, reusable: bool) -> None:
        """Report the end of the exchange; drop a connection that is not reusable."""
        on_end, self.on_end = self.on_end, None
        if not reusable:
            self.drop()
        if on_end is not None:
            on_end(end)

    def drop(self) -> None:
        """Close a connection that can't be used any more."""
        self.is_open = False
        self.tcp.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """End the exchange that was running and report the close.

        A reply without a length is whole if its connection was closed in order.
        """
        self.is_open = False
        on_end, self.on_end = self.on_end, None
        if on_end is not None:
            on_end(self.classify_loss(reason))
        self.on_close(self)

    def classify_loss(self, reason: Failure) -> ExchangeEnd:
        """Tell what the end of the connection makes of the exchange."""
        detail = reason.getErrorMessage()
        if not self.received_bytes:
            return Lost(detail)
        in_order = isinstance(reason.value, ConnectionDone)
        if in_order and self.in_body and not self.framed and not self.interim:
            body = b"".join(self.chunks)
            return Replied(Reply(self.status, tuple(self.headers), body))
        return Malformed(f"the reply was cut off: {detail}")

    def on_message_begin(self) -> None:
        """Note a second reply where one was due."""
        if self.whole:
            self.surplus = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep one header."""
        if not self.surplus:
            self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Find out how the body is framed."""
        if self.surplus:
            return
        self.status = self.parser.get_status_code()
        self.interim = self.status < 200
        self.in_body = True
        self.whole = self.ends_with_headers and not self.interim
        self.framed = self.status in NO_BODY_STATUS or any(
            name in (b"content-length", b"transfer-encoding")
            for name, _ in self.headers
        )

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body."""
        if not self.surplus:
            self.body_bytes += len(body)
            if self.body_bytes <= self.max_body_bytes:
                self.chunks.append(body)

    def on_message_complete(self) -> None:
        """Note that the reply is whole; an interim one is dropped."""
        if self.whole:
            return
        if self.interim:
            self.headers.clear()
            self.chunks.clear()
            self.in_body = False
            return
        self.whole = True
        self.reusable = self.parser.should_keep_alive()


def set_socket_options(tcp: Any) -> None:  # noqa: ANN401
    """Send small segments at once and notice a peer that has fallen silent."""
    tcp.setTcpNoDelay(True)
    handle = tcp.getHandle()
    for level, option, value in (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
    ):
        handle.setsockopt(level, option, value)
