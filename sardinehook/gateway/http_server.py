"""The HTTP/1.1 server for callers."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Protocol

import structlog
from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from sardinehook.errors import ErrorKind, Problem
from sardinehook.gateway.answer import CallerAnswer, error_answer
from sardinehook.gateway.configuration import CallerLimits
from sardinehook.gateway.interfaces import Header, HttpRequest, RequestTiming
from sardinehook.gateway.reactor import GatewayReactor
from sardinehook.gateway.round_trip import round_trip_s
from sardinehook.gateway.unexpected import call_logged, unexpected_error_answer
from sardinehook.observe.errors import log_error
from sardinehook.observe.events import EventName, log_event
from sardinehook.transport.buffers import BodyBuffer, MemoryAccount
from sardinehook.transport.connection import (
    CHUNK_OVERHEAD_RATIO,
    HEADER_OVERHEAD_BYTES,
    MAX_HEADERS,
    set_socket_options,
)
from sardinehook.transport.reactor import ConnectionEnd, StreamProtocol
from sardinehook.transport.socket_writer import SocketWriter

__all__ = ["Cancellable", "HttpServer", "HttpServerConnection"]

logger = structlog.get_logger(__name__)

LINGER_S = 1.0  # time in which a caller reads a part of the last answer
SLOW_CALLER_TIMEOUT_MS = 20_000  # longer than callers wait for an answer
OPENED_FOR_REQUEST_S = 0.05  # a first request by then opened the connection
ROUND_TRIP_MARGIN = 1.3  # allows for round trips above the kernel's mean
MAX_PIPELINED = 16  # complete requests queued on one connection
MAX_REQUEST_BYTES = 48 * 1024 * 1024  # limit of the memory of all unanswered requests,
SMALL_REQUEST_BYTES = 64 * 1024  # which does not end those that hold less than this
OVERLOADED = 503
NO_BODY_STATUS = frozenset({204, 304})
REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}
NEVER = float("inf")


class Cancellable(Protocol):
    """A request in progress."""

    def cancel(self) -> None:
        """Stop after the caller has disconnected."""


request_buffers = MemoryAccount(MAX_REQUEST_BYTES)

Handler = Callable[[HttpRequest, Callable[[CallerAnswer], None]], Cancellable | None]


class ParsedRequest:
    """A request in the parser; ``error`` is a status that ends the connection."""

    __slots__ = (
        "body",
        "body_bytes",
        "error",
        "framing_bytes",
        "header_count",
        "headers",
        "keep_alive",
        "method",
        "url",
    )

    def __init__(self) -> None:
        self.url = b""
        self.method = b""
        self.headers: list[Header] = []
        self.header_count = 0
        self.body = BodyBuffer(request_buffers)
        self.body_bytes = 0
        self.framing_bytes = 0
        self.keep_alive = False
        self.error = 0


class HttpServerConnection(StreamProtocol):
    """One caller's connection: its requests are answered one by one, in order.

    An answer is written completely, or the connection is closed. Input that the
    parser rejects is refused and ends the connection, which prevents request
    smuggling.
    """

    def __init__(self, server: HttpServer) -> None:
        self.server = server
        self.parser = HttpRequestParser(self)
        self.parsing: ParsedRequest | None = None
        self.head_bytes = 0
        self.in_head = False
        self.has_earlier_request = False
        self.queued: deque[ParsedRequest] = deque()
        self.current: ParsedRequest | None = None
        self.work: Cancellable | None = None
        self.refused = False
        self.closing = False
        self.is_writing_paused = False
        self.unsent_bytes = 0
        self.timeout_started_at = 0.0
        self.opened_at: float | None = None

    def connectionMade(self) -> None:
        """Register the connection and set its socket options."""
        tcp: Any = self.transport
        self.tcp = tcp
        self.writer = SocketWriter(tcp)
        set_socket_options(tcp, self.server.unacknowledged_timeout_ms)
        self.timeout_started_at = self.opened_at = self.server.now()
        self.server.connections.add(self)

    def connectionLost(self, reason: ConnectionEnd) -> None:
        """Cancel the request of a caller that has disconnected."""
        self.server.connections.discard(self)
        self.closing = True
        self.drop_requests()
        work, self.work = self.work, None
        if work is not None:
            work.cancel()

    def drop_requests(self) -> None:
        """Release what the requests of this connection hold."""
        for request in (self.parsing, self.current, *self.queued):
            if request is not None:
                request.body.clear()
        self.queued.clear()

    def pauseProducing(self) -> None:
        """Start and read no further request: the caller does not read its answers."""
        self.is_writing_paused = True
        self.tcp.pauseProducing()

    def resumeProducing(self) -> None:
        """Continue with the requests after the caller has read its answers."""
        self.is_writing_paused = False
        self.tcp.resumeProducing()
        self.serve_next()

    def dataReceived(self, data: bytes) -> None:
        """Parse ``data``; refuse invalid HTTP and oversized heads."""
        if self.closing or self.refused:
            return
        if self.parsing is None:
            self.head_bytes = 0
            self.in_head = True
            self.timeout_started_at = self.server.now()
        if self.in_head:
            self.head_bytes += len(data)
        elif self.parsing is not None:
            self.parsing.framing_bytes += len(data)
        self.has_earlier_request = False
        try:
            self.parser.feed_data(data)
        except HttpParserUpgrade:
            self.refused = True
        except HttpParserError:
            self.refuse(400)
        if self.in_head and self.head_bytes > self.server.limits.header_bytes:
            self.refuse(431)
        self.check_framing()
        self.serve_next()

    def check_framing(self) -> None:
        """Refuse a chunked body whose chunk sizes and trailers are without measure."""
        request = self.parsing
        if request is None or self.in_head:
            return
        framing = request.framing_bytes - request.body_bytes
        allowed = CHUNK_OVERHEAD_RATIO * request.body_bytes
        if framing > allowed + self.server.limits.header_bytes:
            self.refuse(400)

    def refuse(self, status: int) -> None:
        """Queue an error answer after which the connection is closed."""
        if self.refused:
            return
        self.refused = True
        if self.parsing is not None:
            self.parsing.body.clear()
        request = ParsedRequest()
        request.error = status
        self.queued.append(request)

    def on_message_begin(self) -> None:
        """Start a new request, which may share its first bytes with an earlier one."""
        self.parsing = ParsedRequest()
        self.in_head = True
        if self.has_earlier_request:
            self.head_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Append a piece of the request target."""
        assert self.parsing is not None
        self.parsing.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header, up to the limit; trailers are ignored."""
        request = self.parsing
        assert request is not None
        if not self.in_head or self.refused:
            return
        request.header_count += 1
        if request.header_count > MAX_HEADERS:
            self.refuse(431)
            return
        request.headers.append((name, value))
        request.body.hold(len(name) + len(value) + HEADER_OVERHEAD_BYTES)

    def on_headers_complete(self) -> None:
        """Check the sizes of head and body, and answer ``Expect: 100-continue``."""
        request = self.parsing
        assert request is not None
        self.in_head = False
        request.method = self.parser.get_method()
        request.keep_alive = self.parser.should_keep_alive()
        head_bytes = len(request.url) + sum(
            len(name) + len(value) + 4 for name, value in request.headers
        )
        if head_bytes > self.server.limits.header_bytes:
            self.refuse(431)
            return
        for name, value in request.headers:
            lower = name.lower()
            if lower == b"content-length":
                if int(value) > self.server.limits.body_bytes:
                    self.refuse(413)
            elif lower == b"expect" and value.lower() == b"100-continue":
                self.send_continue()

    def send_continue(self) -> None:
        """Send ``100 Continue`` unless an earlier request is still unanswered."""
        if self.current is None and not self.queued and not self.refused:
            self.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Append a piece of the body, or refuse a body over the size limit."""
        request = self.parsing
        if request is None or self.refused:
            return
        request.body_bytes += len(body)
        if request.body_bytes > self.server.limits.body_bytes:
            self.refuse(413)
            return
        request.body.append(body)
        if request.body.held > SMALL_REQUEST_BYTES and request_buffers.is_exceeded:
            self.refuse(OVERLOADED)

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        request, self.parsing = self.parsing, None
        self.has_earlier_request = True
        if request is None or self.refused:
            return
        self.queued.append(request)
        if len(self.queued) > MAX_PIPELINED:
            self.refuse(400)

    def serve_next(self) -> None:
        """Start the next queued request unless one is in progress."""
        while self.current is None and self.queued and not self.closing:
            if self.is_writing_paused:
                return
            request = self.queued.popleft()
            if request.error:
                self.write_error(request.error)
                return
            self.current = request
            self.start(request)

    def start(self, request: ParsedRequest) -> None:
        """Pass a request to the server's handler, and answer it after any error."""
        body = request.body.take()
        request.body.hold(len(body))
        headers = tuple(request.headers)
        raw = HttpRequest(request.method, request.url, headers, body, *self.timing())
        try:
            work = self.server.handle(raw, lambda answer: self.answer(request, answer))
        except Exception as error:
            log_error(error)
            self.answer(request, unexpected_error_answer(may_have_run=True))
            return
        if self.current is request:
            self.work = work

    def timing(self) -> RequestTiming:
        """Return when the caller began to wait, and the time spent in the network.

        If the caller opened the connection for this request, it has also waited for
        the connection to be established.
        """
        now = self.server.now()
        opened_at, self.opened_at = self.opened_at, None
        trip_s = ROUND_TRIP_MARGIN * round_trip_s(self.tcp.getHandle())
        if opened_at is None or now - opened_at > OPENED_FOR_REQUEST_S:
            return RequestTiming(now, trip_s)
        return RequestTiming(opened_at, 2.0 * trip_s)

    def answer(self, request: ParsedRequest, answer: CallerAnswer) -> None:
        """Write the answer to the current request."""
        if self.current is not request or self.closing:
            return
        self.current = None
        self.work = None
        request.body.clear()
        keep = (
            request.keep_alive
            and not self.server.closes_after_answer
            and not self.refused
        )
        keep = keep or bool(self.queued)
        self.writer.write(encode_answer(answer, request.method == b"HEAD", keep))
        self.timeout_started_at = self.server.now()
        if not keep:
            self.close()
        elif self.queued:
            self.server.reactor.callLater(0.0, self.serve_next)

    def fail_request(self, answer: CallerAnswer) -> None:
        """Cancel the current request and answer it with ``answer``."""
        request, work = self.current, self.work
        if request is None:
            return
        if work is not None:
            call_logged(work.cancel)
        for queued in self.queued:
            queued.body.clear()
        self.queued.clear()
        self.answer(request, answer)

    def write_error(self, status: int) -> None:
        """Write an error for an invalid request and close the connection."""
        log_event(
            logger,
            EventName.QUERY_REFUSED,
            request="none",
            kind=f"http_{status}",
            caller=str(self.tcp.getPeer().host),
        )
        answer = CallerAnswer(status, (), b"", "bad_request")
        if status == OVERLOADED:
            problem = Problem(ErrorKind.OVERLOADED, "requests hold too much memory")
            answer = error_answer(problem)
        self.writer.write(encode_answer(answer, False, False))
        self.close()

    def close(self) -> None:
        """Close the write side after flushing; the caller then closes its own."""
        if self.closing:
            return
        self.closing = True
        self.timeout_started_at = self.server.now()
        self.unsent_bytes = self.tcp.unsent_bytes()
        self.tcp.loseWriteConnection()

    def sweep(self, now: float) -> None:
        """Enforce the timeouts for the head, for idling and for closing."""
        limits = self.server.limits
        if self.closing:
            self.sweep_closing(now)
        elif self.current is not None:
            return
        elif self.parsing is not None or (self.in_head and self.head_bytes):
            allowed_s = (
                limits.header_timeout_s if self.in_head else limits.idle_timeout_s
            )
            if now > self.timeout_started_at + allowed_s:
                self.refuse(408)
                self.serve_next()
        elif (
            now > self.timeout_started_at + limits.idle_timeout_s
            or self.server.closes_idle
        ):
            self.close()

    def sweep_closing(self, now: float) -> None:
        """Abort a closing connection whose caller no longer reads.

        A caller on a slow link may need several seconds for the last answer.
        """
        unsent_bytes = self.tcp.unsent_bytes()
        if unsent_bytes < self.unsent_bytes:
            self.unsent_bytes = unsent_bytes
            self.timeout_started_at = now
        elif now > self.timeout_started_at + LINGER_S:
            self.tcp.abortConnection()


def encode_answer(answer: CallerAnswer, is_head: bool, keep: bool) -> bytes:
    r"""Serialise an answer to HTTP/1.1.

    >>> encode_answer(CallerAnswer(204, (), b"", "answered"), False, True)
    b'HTTP/1.1 204 No Content\r\n\r\n'
    """
    reason = REASONS.get(answer.status, b"Unknown")
    lines = [b"HTTP/1.1 %d %b\r\n" % (answer.status, reason)]
    lines.extend(b"%b: %b\r\n" % header for header in answer.headers)
    if answer.status not in NO_BODY_STATUS:
        lines.append(b"Content-Length: %d\r\n" % len(answer.body))
    if not keep:
        lines.append(b"Connection: close\r\n")
    lines.append(b"\r\n")
    if not is_head and answer.status not in NO_BODY_STATUS:
        lines.append(answer.body)
    return b"".join(lines)


class HttpServer:
    """An HTTP server and its open connections.

    ``closes_after_answer`` closes each connection after its next answer, so that
    callers reconnect to another gateway; ``closes_idle`` also closes idle ones.
    """

    def __init__(self, reactor: GatewayReactor, handle: Handler) -> None:
        self.reactor = reactor
        self.handle = handle
        self.limits = CallerLimits()
        self.connections: set[HttpServerConnection] = set()
        self.closes_after_answer = False
        self.closes_idle = False
        self.unacknowledged_timeout_ms = SLOW_CALLER_TIMEOUT_MS

    def buildProtocol(self, addr: object) -> HttpServerConnection:
        """Create the protocol for a new connection."""
        return HttpServerConnection(self)

    def now(self) -> float:
        """Return monotonic time in seconds."""
        seconds: float = self.reactor.seconds()
        return seconds

    def sweep(self) -> None:
        """Enforce the timeouts on all connections."""
        now = self.now()
        for connection in list(self.connections):
            connection.sweep(now)

    def fail_requests(self, answer: CallerAnswer) -> None:
        """Cancel all requests in progress and answer them with ``answer``."""
        for connection in list(self.connections):
            connection.fail_request(answer)
