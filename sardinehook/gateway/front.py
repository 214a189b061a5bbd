"""The HTTP/1.1 server side that callers connect to."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from typing import Any
from typing import Protocol as TypingProtocol

import structlog
from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Protocol, ServerFactory, connectionDone
from twisted.python.failure import Failure

from sardinehook.gateway.answer import CallerAnswer
from sardinehook.gateway.configuration import CallerLimits
from sardinehook.gateway.interfaces import Header, HttpRequest, RequestTiming
from sardinehook.gateway.reactor import GatewayReactor
from sardinehook.gateway.round_trip import round_trip_s
from sardinehook.observe.events import EventName, log_event
from sardinehook.transport.connection import set_socket_options
from sardinehook.transport.socket_writer import SocketWriter

__all__ = ["Front", "FrontConnection", "Work"]

logger = structlog.get_logger(__name__)

LINGER_S = 1.0  # a caller that was told to go may finish reading for so long
OPENED_FOR_REQUEST_S = 0.05  # a first request this soon is what opened the connection
PATH_VARIATION = 1.3  # how much longer than the kernel's mean a round trip may take
MOST_PIPELINED = 16  # whole requests that wait on one connection
NO_BODY_STATUS = frozenset({204, 304})
REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}
NEVER = float("inf")


class Work(TypingProtocol):
    """A request that is being worked on."""

    def cancel(self) -> None:
        """Stop, since the caller has left."""


Handler = Callable[[HttpRequest, Callable[[CallerAnswer], None]], Work | None]


class ParsedRequest:
    """One request on its way through the parser; ``error`` ends the connection."""

    __slots__ = (
        "body",
        "body_bytes",
        "error",
        "headers",
        "keep_alive",
        "method",
        "url",
    )

    def __init__(self) -> None:
        self.url = b""
        self.method = b""
        self.headers: list[Header] = []
        self.body: list[bytes] = []
        self.body_bytes = 0
        self.keep_alive = False
        self.error = 0


class FrontConnection(Protocol):
    """One caller's connection: its requests are answered one by one, in order.

    An answer is written whole or the connection is broken. Whatever the parser does
    not accept is refused and ends the connection, so that nothing can hide in it.
    """

    def __init__(self, front: Front) -> None:
        self.front = front
        self.parser = HttpRequestParser(self)
        self.reading: ParsedRequest | None = None
        self.head_bytes = 0
        self.in_head = False
        self.waiting: deque[ParsedRequest] = deque()
        self.current: ParsedRequest | None = None
        self.work: Work | None = None
        self.refused = False
        self.closing = False
        self.since = 0.0
        self.opened_at: float | None = None

    def connectionMade(self) -> None:
        """Set the options of the socket."""
        tcp: Any = self.transport
        self.tcp = tcp
        self.writer = SocketWriter(tcp)
        set_socket_options(tcp)
        self.since = self.opened_at = self.front.now()
        self.front.connections.add(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Stop the work of a caller that has left."""
        self.front.connections.discard(self)
        self.closing = True
        self.waiting.clear()
        work, self.work = self.work, None
        if work is not None:
            work.cancel()

    def dataReceived(self, data: bytes) -> None:
        """Parse ``data``; what is not HTTP is refused."""
        if self.closing or self.refused:
            return
        if self.reading is None:
            self.head_bytes = 0
            self.in_head = True
            self.since = self.front.now()
        if self.in_head:
            self.head_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except HttpParserUpgrade:
            self.refused = True
        except HttpParserError:
            self.refuse(400)
        if self.in_head and self.head_bytes > self.front.limits.header_bytes:
            self.refuse(431)
        self.serve_next()

    def refuse(self, status: int) -> None:
        """Queue a refusal after which the connection ends."""
        if self.refused:
            return
        self.refused = True
        request = ParsedRequest()
        request.error = status
        self.waiting.append(request)

    def on_message_begin(self) -> None:
        """Begin a request."""
        self.reading = ParsedRequest()

    def on_url(self, url: bytes) -> None:
        """Keep a part of the request target."""
        assert self.reading is not None
        self.reading.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        assert self.reading is not None
        self.reading.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the sizes that the headers tell, and invite the body if asked to."""
        request = self.reading
        assert request is not None
        self.in_head = False
        request.method = self.parser.get_method()
        request.keep_alive = self.parser.should_keep_alive()
        head_bytes = len(request.url) + sum(
            len(name) + len(value) + 4 for name, value in request.headers
        )
        if head_bytes > self.front.limits.header_bytes:
            self.refuse(431)
            return
        for name, value in request.headers:
            lower = name.lower()
            if lower == b"content-length":
                if int(value) > self.front.limits.body_bytes:
                    self.refuse(413)
            elif lower == b"expect" and value.lower() == b"100-continue":
                self.invite_body()

    def invite_body(self) -> None:
        """Ask for a body that the caller holds back, unless an answer is due before."""
        if self.current is None and not self.waiting and not self.refused:
            self.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body within the limit."""
        request = self.reading
        if request is None or self.refused:
            return
        request.body_bytes += len(body)
        if request.body_bytes > self.front.limits.body_bytes:
            self.refuse(413)
            return
        request.body.append(body)

    def on_message_complete(self) -> None:
        """Queue a whole request."""
        request, self.reading = self.reading, None
        if request is None or self.refused:
            return
        self.waiting.append(request)
        if len(self.waiting) > MOST_PIPELINED:
            self.refuse(400)

    def serve_next(self) -> None:
        """Start the next request once the one before has been answered."""
        while self.current is None and self.waiting and not self.closing:
            request = self.waiting.popleft()
            if request.error:
                self.write_error(request.error)
                return
            self.current = request
            self.start(request)

    def start(self, request: ParsedRequest) -> None:
        """Hand a request to the desk."""
        raw = HttpRequest(
            request.method,
            request.url,
            tuple(request.headers),
            b"".join(request.body),
            *self.timing(),
        )
        work = self.front.handle(raw, lambda answer: self.answer(request, answer))
        if self.current is request:
            self.work = work

    def timing(self) -> RequestTiming:
        """Return since when the caller has waited, and what the network takes of it.

        A caller that opened the connection for its request has waited for that, too.
        """
        now = self.front.now()
        opened_at, self.opened_at = self.opened_at, None
        trip_s = PATH_VARIATION * round_trip_s(self.tcp.getHandle())
        if opened_at is None or now - opened_at > OPENED_FOR_REQUEST_S:
            return RequestTiming(now, trip_s)
        return RequestTiming(opened_at, 2.0 * trip_s)

    def answer(self, request: ParsedRequest, answer: CallerAnswer) -> None:
        """Write the answer to the current request."""
        if self.current is not request or self.closing:
            return
        self.current = None
        self.work = None
        keep = request.keep_alive and not self.front.turns_away and not self.refused
        keep = keep or bool(self.waiting)
        self.writer.write(encode_answer(answer, request.method == b"HEAD", keep))
        self.since = self.front.now()
        if not keep:
            self.close()
        elif self.waiting:
            self.front.reactor.callLater(0.0, self.serve_next)

    def give_up(self, answer: CallerAnswer) -> None:
        """Answer the current request in place of its work, which is abandoned."""
        request, work = self.current, self.work
        if request is None:
            return
        if work is not None:
            work.cancel()
        self.waiting.clear()
        self.answer(request, answer)

    def write_error(self, status: int) -> None:
        """Refuse what can't be read as a request, and end the connection."""
        log_event(
            logger,
            EventName.QUERY_REFUSED,
            request="none",
            kind=f"http_{status}",
            caller=str(self.tcp.getPeer().host),
        )
        answer = CallerAnswer(status, (), b"", "bad_request")
        self.writer.write(encode_answer(answer, False, False))
        self.close()

    def close(self) -> None:
        """End the connection after what was written; the caller closes its side."""
        if self.closing:
            return
        self.closing = True
        self.since = self.front.now()
        self.tcp.loseWriteConnection()

    def sweep(self, now: float) -> None:
        """Enforce the limits of time."""
        limits = self.front.limits
        if self.closing:
            if now > self.since + LINGER_S:
                self.tcp.abortConnection()
        elif self.current is not None:
            return
        elif self.reading is not None or (self.in_head and self.head_bytes):
            allowed_s = (
                limits.header_timeout_s if self.in_head else limits.idle_timeout_s
            )
            if now > self.since + allowed_s:
                self.refuse(408)
                self.serve_next()
        elif now > self.since + limits.idle_timeout_s or self.front.closes_idle:
            self.close()


def encode_answer(answer: CallerAnswer, is_head: bool, keep: bool) -> bytes:
    r"""Return the bytes of an answer.

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


class Front(ServerFactory):
    """All callers' connections of this gateway.

    ``turns_away`` makes each answer end its connection, so that callers open their
    next one elsewhere; ``closes_idle`` also ends those that are idle.
    """

    noisy = False

    def __init__(self, reactor: GatewayReactor, handle: Handler) -> None:
        self.reactor = reactor
        self.handle = handle
        self.limits = CallerLimits()
        self.connections: set[FrontConnection] = set()
        self.turns_away = False
        self.closes_idle = False

    def buildProtocol(self, addr: IAddress | None) -> FrontConnection:
        """Return the protocol of a new connection."""
        return FrontConnection(self)

    def now(self) -> float:
        """Return monotonic time in seconds."""
        seconds: float = self.reactor.seconds()
        return seconds

    def sweep(self) -> None:
        """Enforce the limits of time on all connections."""
        now = self.now()
        for connection in list(self.connections):
            connection.sweep(now)

    def give_up(self, answer: CallerAnswer) -> None:
        """Answer all requests that are still at work."""
        for connection in list(self.connections):
            connection.give_up(answer)
