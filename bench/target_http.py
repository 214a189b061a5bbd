"""The HTTP server of a simulated target, with connection faults."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol as Port
from typing import cast

from httptools import HttpParserError, HttpRequestParser
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Protocol, ServerFactory, connectionDone
from twisted.python.failure import Failure

from bench.target_model import Request, TargetModel, TargetReply
from sardinehook.transport.reactor import TcpTransport, Timers

__all__ = ["ServerHost", "TargetFactory", "TargetServer"]

REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


class ServerHost(Port):
    """What a connection needs of the replica's host."""

    model: TargetModel

    @property
    def reactor(self) -> Timers:
        """The reactor that provides the clock and timers."""
        ...

    def add_connection(self, server: TargetServer) -> bool:
        """Count a connection; returns whether the connection limit admits it."""
        ...

    def remove_connection(self, server: TargetServer) -> None:
        """Remove a closed connection from the count."""
        ...


class TargetServer(Protocol):
    """One connection to a replica; no pipelining of requests."""

    def __init__(self, host: ServerHost) -> None:
        self.host = host
        self.model = host.model
        self.silent = False
        self.open = False
        self.ready_at = 0.0
        self.reset_request()

    def reset_request(self) -> None:
        """Prepare the parser for the next request."""
        self.parser = HttpRequestParser(self)
        self.path = b""
        self.headers: dict[bytes, str] = {}
        self.complete = False

    def connectionMade(self) -> None:
        """Accept the connection, or abort it if the connection limit is reached.

        Requests are read only after ``connect_ms``.
        """
        self.tcp = cast(TcpTransport, self.transport)
        self.tcp.setTcpNoDelay(True)
        self.open = self.host.add_connection(self)
        if not self.open:
            self.tcp.abortConnection()
            return
        connect_s = self.model.settings.connect_ms / 1000.0
        self.ready_at = self.host.reactor.seconds() + connect_s

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Remove the connection from the host."""
        self.open = False
        self.host.remove_connection(self)

    def dataReceived(self, data: bytes) -> None:
        """Parse a request; delays it until the connection is ready.

        Data on a silent connection is dropped.
        """
        if self.silent or not self.open:
            return
        wait_s = self.ready_at - self.host.reactor.seconds()
        if wait_s > 0.0:
            self.host.reactor.callLater(wait_s, lambda: self.dataReceived(data))
            return
        try:
            self.parser.feed_data(data)
        except HttpParserError:
            self.tcp.abortConnection()
            return
        if self.complete:
            self.handle()

    def on_url(self, url: bytes) -> None:
        """Append a part of the path."""
        self.path += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header under its lower-case name."""
        self.headers[name.lower()] = value.decode()

    def on_message_complete(self) -> None:
        """Mark the request as complete."""
        self.complete = True

    def handle(self) -> None:
        """Dispatch a complete request by its path."""
        path, headers = self.path.decode(), self.headers
        request = Request(
            headers.get(b"request-id", ""),
            headers.get(b"sub-query-id", ""),
            float(headers.get(b"deadline-ms", "60000")),
            int(headers.get(b"index-version", "0")),
            int(headers.get(b"partitioning-version", "0")),
            headers.get(b"idempotency-key", ""),
        )
        self.reset_request()
        if path == "/cancel":
            status = self.model.cancel(request.request_id, request.sub_query_id)
            self.send(request, TargetReply(status, 0, 0, b""))
        elif path == "/status":
            body = self.model.status_body()
            self.send(request, TargetReply(200, 0, 0, body))
        elif path.startswith("/orders/"):
            ran = path.removeprefix("/orders/") in self.model.counters.orders
            body = b'{"state":"ran"}' if ran else b'{"state":"unseen"}'
            self.send(request, TargetReply(200, 0, 0, body))
        elif path.endswith(("/search", "/orders")):
            self.model.submit(request, lambda reply: self.send_faulty(request, reply))
        else:
            self.send(request, TargetReply(404, 0, 0, b"", not_run=True))

    def send_faulty(self, request: Request, reply: TargetReply) -> None:
        """Send the reply to a sub-query with at most one injected fault."""
        settings, draw = self.model.settings, self.model.random.random
        if draw() < settings.lost_reply_rate:
            self.model.log_event("spoiled", request, reply.index_version)
            self.tcp.abortConnection()
        elif draw() < settings.truncated_rate:
            self.model.log_event("spoiled", request, reply.index_version)
            self.write(self.encode(request, reply)[:-7])
            self.tcp.loseConnection()
        elif draw() < settings.foreign_rate:
            self.model.log_event("spoiled", request, reply.index_version)
            self.send(request._replace(sub_query_id="foreign-1"), reply)
        elif draw() < settings.garbage_rate:
            self.model.log_event("spoiled", request, reply.index_version)
            self.write(b"\x00\x01garbage\r\n\r\n")
        elif draw() < settings.duplicate_rate:
            self.send(request, reply)
            self.send(request, reply)
        else:
            self.send(request, reply)

    def send(self, request: Request, reply: TargetReply) -> None:
        """Send a reply."""
        self.write(self.encode(request, reply))

    def write(self, data: bytes) -> None:
        """Write data unless the connection is closed or silent."""
        if self.open and not self.silent:
            self.tcp.write(data)

    def encode(self, request: Request, reply: TargetReply) -> bytes:
        """Encode a reply as an HTTP/1.1 response."""
        model = self.model
        held = ",".join(map(str, model.settings.versions))
        not_run = b"Not-Run: true\r\n" if reply.not_run else b""
        return b"HTTP/1.1 %d %b\r\n%b%b\r\n%b" % (
            reply.status,
            REASONS[reply.status],
            (
                f"Request-Id: {request.request_id}\r\n"
                f"Sub-Query-Id: {request.sub_query_id}\r\n"
                f"Index-Version: {reply.index_version}\r\n"
                f"Partitioning-Version: {reply.partitioning}\r\n"
                f"Target-State: {model.state}\r\n"
                f"Target-In-Flight: {model.in_flight}\r\n"
                f"Index-Versions-Held: {held}\r\n"
                f"Content-Length: {len(reply.body)}\r\n"
            ).encode(),
            not_run,
            reply.body,
        )


class TargetFactory(ServerFactory):
    """Twisted factory for the connections of one replica."""

    noisy = False

    def __init__(self, build: Callable[[], TargetServer]) -> None:
        self.build = build

    def buildProtocol(self, addr: IAddress | None) -> TargetServer:
        """Return the protocol of a new connection."""
        return self.build()
