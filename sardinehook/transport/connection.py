"""HTTP/1.1 client connection that carries one exchange at a time."""

from __future__ import annotations

import socket
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser

from sardinehook.transport.buffers import BodyBuffer, MemoryAccount
from sardinehook.transport.reactor import ConnectionEnd, StreamProtocol
from sardinehook.transport.socket_writer import SocketWriter

__all__ = [
    "ClientConnection",
    "ExchangeEnd",
    "Lost",
    "Malformed",
    "Replied",
    "Reply",
    "invalid_statuses",
    "is_final_status",
]

MAX_BODY_BYTES = 8 * 1024 * 1024  # limit of the body of one reply
MAX_HEAD_BYTES = 64 * 1024  # limit of the bytes that are not in the body
MAX_HEADERS = 256  # limit of the headers of one reply
HEADER_OVERHEAD_BYTES = 160  # memory for a header besides its name and value
MAX_BUFFERED_BYTES = 48 * 1024 * 1024  # limit of the memory of all incomplete replies,
SMALL_REPLY_BYTES = 64 * 1024  # which does not end those that hold less than this
CHUNK_OVERHEAD_RATIO = 8  # bytes of framing for each byte of the smallest chunks
MAX_CHUNK_OVERHEAD_BYTES = 1024 * 1024  # bounds the processor time for small chunks
REMEMBERED_SIGNATURES = 8  # of replies; a second copy comes soon after the first
KEEP_ALIVE_IDLE_S = 1  # idle time until the kernel sends a keep-alive probe
KEEP_ALIVE_INTERVAL_S = 1  # between two keep-alive probes
KEEP_ALIVE_PROBES = 2  # unanswered probes after which the connection is reset
UNACKNOWLEDGED_TIMEOUT_MS = 2500  # limit for sent data without acknowledgement
NO_BODY_STATUS = frozenset({204, 304})
SWITCHING_PROTOCOLS = 101  # no request of a gateway asks for another protocol
MIN_STATUS = 100
FIRST_FINAL_STATUS = 200
MAX_STATUS = 599
MAX_INTERIM_REPLIES = 16  # before one final reply; usual servers send one or two


class Reply(NamedTuple):
    """A complete reply; header names are in lower case, in the order received."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the value of the first header ``name``, given in lower case."""
        for found, value in self.headers:
            if found == name:
                return value
        return None


@dataclass(frozen=True, slots=True)
class Replied:
    """A complete reply was received."""

    reply: Reply


@dataclass(frozen=True, slots=True)
class Malformed:
    """Bytes were received that are not a complete, valid reply."""

    detail: str


@dataclass(frozen=True, slots=True)
class Lost:
    """The connection was lost before any byte of a reply."""

    detail: str


ExchangeEnd = Replied | Malformed | Lost


receive_buffers = MemoryAccount(MAX_BUFFERED_BYTES)
# Replies of this process that had an invalid status, by the kind of their sender.
invalid_statuses: Counter[str] = Counter()


def is_final_status(status: int) -> bool:
    """Return whether a complete reply may have this status.

    >>> [status for status in (0, 99, 101, 200, 599, 600) if is_final_status(status)]
    [200, 599]
    """
    return FIRST_FINAL_STATUS <= status <= MAX_STATUS


class ClientConnection(StreamProtocol):
    """Sends a request and reports one ``ExchangeEnd`` for it.

    ``on_open`` is called when the connection is established, ``on_close`` once after
    it is closed. The connection is closed and never reused after anything but a
    complete reply, and after bytes that belong to no request. ``recent_signatures`` is
    for the user, who can tell a second copy of a reply from the one that is due.

    Interim replies (1xx) before the final one are skipped. A status outside of 100 to
    599, a switch of protocols and interim replies without end are malformed at once:
    no later byte on such a connection can be trusted. ``sender`` is the kind of server
    under which they are counted.
    """

    sender = "replica"
    max_head_bytes = MAX_HEAD_BYTES
    max_body_bytes = MAX_BODY_BYTES

    def __init__(
        self,
        on_open: Callable[[ClientConnection], None],
        on_close: Callable[[ClientConnection], None],
    ) -> None:
        self.on_open = on_open
        self.on_close = on_close
        self.is_open = False
        self.finish: Callable[[ExchangeEnd], None] | None = None
        self.exchanges = 0
        self.idle_since = 0.0
        self.idle_until = 0.0
        self.recent_signatures: deque[bytes] = deque(maxlen=REMEMBERED_SIGNATURES)
        self.ends_with_headers = False
        self.body = BodyBuffer(receive_buffers)
        self.reset_reply()

    def reset_reply(self) -> None:
        """Reset the parser and its state for the next reply."""
        self.parser = HttpResponseParser(self)
        self.headers: list[tuple[bytes, bytes]] = []
        self.header_count = 0
        self.body.clear()
        self.received_bytes = 0
        self.body_bytes = 0
        self.in_body = False
        self.is_complete = False
        self.has_surplus = False
        self.has_framing = False
        self.is_reusable = False
        self.is_interim = False
        self.interim_count = 0
        self.status = 0
        self.status_problem = ""

    @property
    def idle(self) -> bool:
        """Whether the connection is open and has no exchange in progress."""
        return self.is_open and self.finish is None

    def exchange(
        self,
        request: bytes,
        finish: Callable[[ExchangeEnd], None],
        has_no_body: bool = False,
    ) -> None:
        """Send ``request`` and call ``finish`` with its end, exactly once.

        Set ``has_no_body`` if the reply ends with its headers, as for ``HEAD``.
        """
        assert self.idle
        self.ends_with_headers = has_no_body
        self.finish = finish
        if self.exchanges:
            self.reset_reply()
        self.exchanges += 1
        self.writer.write(request)

    def release_reply(self) -> None:
        """Drop what has been received of the present reply."""
        self.headers = []
        self.body.clear()

    def abort(self) -> None:
        """Abort the connection; ``finish`` is not called for its exchange."""
        self.finish = None
        self.release_reply()
        self.is_open = False
        self.tcp.abortConnection()

    def connectionMade(self) -> None:
        """Set the socket options and call ``on_open``."""
        tcp: Any = self.transport
        self.tcp = tcp
        self.writer = SocketWriter(tcp)
        set_socket_options(tcp)
        self.is_open = True
        self.on_open(self)

    def dataReceived(self, data: bytes) -> None:
        """Parse ``data`` and end the exchange when the reply is complete.

        Data outside of an exchange closes the connection.
        """
        if not self.is_open:
            return
        if self.finish is None:
            self.drop()
            return
        self.received_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade) as error:
            if not self.is_complete:
                detail = self.status_problem or f"malformed reply: {error}"
                self.end(Malformed(detail), False)
                return
            self.has_surplus = True
        if self.status_problem:
            self.end(Malformed(self.status_problem), False)
        elif self.is_too_large():
            detail = (
                f"reply too large: {self.received_bytes} bytes and {self.header_count} "
                f"headers received, limits are {self.max_head_bytes} (head), "
                f"{self.max_body_bytes} (body) and {MAX_HEADERS} headers; incomplete "
                f"replies hold {receive_buffers.used} of {receive_buffers.limit} bytes"
            )
            self.end(Malformed(detail), False)
        elif self.is_complete:
            self.complete()

    def is_too_large(self) -> bool:
        """Return whether the reply exceeds a size limit.

        Bytes outside the body are those of interim replies, headers, chunk sizes and
        trailers. An incomplete reply also counts towards the limit of all replies.
        """
        if self.body_bytes > self.max_body_bytes or self.header_count > MAX_HEADERS:
            return True
        if self.is_complete:
            return False
        outside = self.received_bytes - self.body_bytes
        framing = min(CHUNK_OVERHEAD_RATIO * self.body_bytes, MAX_CHUNK_OVERHEAD_BYTES)
        if outside > self.max_head_bytes + framing:
            return True
        return self.body.held > SMALL_REPLY_BYTES and receive_buffers.is_exceeded

    def complete(self) -> None:
        """End the exchange with the complete reply."""
        reply = Reply(self.status, tuple(self.headers), self.body.take())
        self.end(Replied(reply), self.is_reusable and not self.has_surplus)

    def end(self, end: ExchangeEnd, is_reusable: bool) -> None:
        """Report the end of the exchange; close a connection that is not reusable."""
        finish, self.finish = self.finish, None
        self.release_reply()
        if not is_reusable:
            self.drop()
        if finish is not None:
            finish(end)

    def drop(self) -> None:
        """Close a connection that can't be reused."""
        self.is_open = False
        self.tcp.abortConnection()

    def connectionLost(self, reason: ConnectionEnd) -> None:
        """End the exchange in progress and call ``on_close``.

        A reply without a length is complete if the connection was closed cleanly.
        """
        self.is_open = False
        finish, self.finish = self.finish, None
        try:
            if finish is not None:
                finish(self.classify_loss(reason))
        finally:
            self.release_reply()
            self.on_close(self)

    def classify_loss(self, reason: ConnectionEnd) -> ExchangeEnd:
        """Return how the exchange ends when the connection is lost."""
        if not self.received_bytes:
            return Lost(reason.detail)
        if (
            reason.is_clean
            and self.in_body
            and not self.has_framing
            and not self.is_interim
        ):
            return Replied(Reply(self.status, tuple(self.headers), self.body.take()))
        return Malformed(
            f"connection closed before the reply was complete: {reason.detail}"
        )

    def on_message_begin(self) -> None:
        """Mark a second reply in the same exchange as surplus."""
        if self.is_complete:
            self.has_surplus = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header of the reply, up to the limit; trailers are ignored."""
        if self.has_surplus or self.in_body:
            return
        self.header_count += 1
        if self.header_count <= MAX_HEADERS:
            self.headers.append((name.lower(), value))
            self.body.hold(len(name) + len(value) + HEADER_OVERHEAD_BYTES)

    def on_headers_complete(self) -> None:
        """Read the status and determine how the end of the body is marked."""
        if self.has_surplus or self.status_problem:
            return
        self.status = self.parser.get_status_code()
        self.is_interim = not is_final_status(self.status)
        self.interim_count += self.is_interim
        self.status_problem = self.find_status_problem()
        if self.status_problem:
            invalid_statuses[self.sender] += 1
        self.in_body = True
        self.is_complete = self.ends_with_headers and not self.is_interim
        self.has_framing = self.status in NO_BODY_STATUS or any(
            name in (b"content-length", b"transfer-encoding")
            for name, _ in self.headers
        )

    def find_status_problem(self) -> str:
        """Return why the status makes the reply malformed, empty if it does not."""
        if not MIN_STATUS <= self.status <= MAX_STATUS:
            return f"invalid status {self.status:03}"
        if self.status == SWITCHING_PROTOCOLS:
            return "status 101 without a request for another protocol"
        if self.interim_count > MAX_INTERIM_REPLIES:
            return f"more than {MAX_INTERIM_REPLIES} interim replies"
        return ""

    def on_body(self, body: bytes) -> None:
        """Buffer a part of the body, up to the size limit."""
        if not self.has_surplus:
            self.body_bytes += len(body)
            if self.body_bytes <= self.max_body_bytes:
                self.body.append(body)

    def on_message_complete(self) -> None:
        """Mark the reply as complete; an interim (1xx) reply is discarded."""
        if self.is_complete or self.status_problem:
            return
        if self.is_interim:
            self.release_reply()
            self.header_count = 0
            self.in_body = False
            return
        self.is_complete = True
        self.is_reusable = self.parser.should_keep_alive()


def set_socket_options(
    tcp: Any,  # noqa: ANN401
    unacknowledged_timeout_ms: int = UNACKNOWLEDGED_TIMEOUT_MS,
) -> None:
    """Set ``TCP_NODELAY``, and keep-alive to detect an unresponsive peer.

    The kernel resets the connection when sent data has not been acknowledged for the
    timeout. It counts the time in which the window of a slow reader is too small.

    The kernel may refuse them for a connection that the peer has reset already; its end
    is reported afterwards, as any other.
    """
    try:
        tcp.setTcpNoDelay(True)
        set_keep_alive(tcp.getHandle(), unacknowledged_timeout_ms)
    except OSError:
        return


def set_keep_alive(
    handle: Any,  # noqa: ANN401
    unacknowledged_timeout_ms: int,
) -> None:
    """Set the options that detect an unresponsive peer."""
    for level, option, value in (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacknowledged_timeout_ms),
    ):
        handle.setsockopt(level, option, value)
