"""HTTP callers of a soak: send requests over kept connections, record the answers."""

from __future__ import annotations

from random import Random
from typing import Any, NamedTuple

from httptools import HttpParserError, HttpResponseParser
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure

from bench.soak.history import Answer, Attempt, History
from sardinehook.gateway.reactor import GatewayReactor

__all__ = ["Caller", "GatewayEndpoint"]

LOOPBACK = "127.0.0.1"
HOST = "soak.example"
CONNECT_TIMEOUT_S = 1.0
REQUEST_INTERVAL_S = (0.05, 0.35)  # between an answer and the caller's next request
CALLER_TIMEOUT_S = (0.8, 3.0)
NEW_CONNECTION_SHARE = 0.05  # of requests that open a new connection
DISCONNECT_DELAY_S = (0.005, 0.1)
DISCONNECT_SHARE = 0.5  # of requests, while early disconnects are injected
REQUEST_KINDS = ("search", "search", "one", "order")
PREFIXES = {"search": "/find/", "one": "/one/", "order": "/order/"}
RECONNECT_DELAY_S = 0.3


class GatewayEndpoint(NamedTuple):
    """Name, incarnation and front port of a gateway that callers may use."""

    name: str
    incarnation: int
    port: int


class CallerConnection(Protocol):
    """Client connection to a gateway; one request at a time, no pipelining."""

    def __init__(self, caller: Caller, endpoint: GatewayEndpoint) -> None:
        self.caller = caller
        self.endpoint = endpoint
        self.open = False
        self.requests_sent = 0
        self.reset()

    def reset(self) -> None:
        """Reset the parser and the buffers for the next answer."""
        self.parser = HttpResponseParser(self)
        self.headers: dict[str, str] = {}
        self.body = b""
        self.complete = False

    def connectionMade(self) -> None:
        """Disable Nagle's algorithm and report the open connection to the caller."""
        tcp: Any = self.transport
        self.tcp = tcp
        tcp.setTcpNoDelay(True)
        self.open = True
        self.caller.connection_opened(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Report the closed connection to the caller."""
        self.open = False
        self.caller.connection_closed(self)

    def dataReceived(self, data: bytes) -> None:
        """Parse an answer; record data that no request is waiting for."""
        if self.caller.attempt is None or self.caller.connection is not self:
            self.caller.record_unsolicited(data)
            self.tcp.abortConnection()
            return
        try:
            self.parser.feed_data(data)
        except HttpParserError:
            self.caller.record_unsolicited(data)
            self.tcp.abortConnection()
            return
        if self.complete:
            keep_alive = self.parser.should_keep_alive()
            status = self.parser.get_status_code()
            self.caller.answer_received(status, self.headers, self.body, keep_alive)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; values of a repeated header are joined by commas."""
        key = name.decode().lower()
        previous = self.headers.get(key)
        text = value.decode("latin-1")
        self.headers[key] = f"{previous},{text}" if previous else text

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self.body += body

    def on_message_complete(self) -> None:
        """Mark the answer as complete."""
        self.complete = True


class CallerConnectionFactory(ClientFactory):
    """Creates the protocol of a caller's connection to a gateway."""

    noisy = False

    def __init__(self, caller: Caller, endpoint: GatewayEndpoint) -> None:
        self.caller = caller
        self.endpoint = endpoint

    def buildProtocol(self, addr: object) -> CallerConnection:
        """Return a new protocol for the connection."""
        return CallerConnection(self.caller, self.endpoint)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        """Report the failed connection attempt to the caller."""
        self.caller.connection_failed()


class Caller:
    """Sends requests one at a time; ``endpoints`` are the gateways in rotation."""

    def __init__(
        self,
        reactor: GatewayReactor,
        history: History,
        rng: Random,
        name: str,
        endpoints: dict[str, GatewayEndpoint],
    ) -> None:
        self.reactor = reactor
        self.history = history
        self.rng = rng
        self.name = name
        self.endpoints = endpoints
        self.connection: CallerConnection | None = None
        self.attempt: Attempt | None = None
        self.count = 0
        self.disconnects_early = False
        self.stopped = False
        self.unsolicited: list[str] = []
        self.expiry: Any = None

    def send_next(self) -> None:
        """Send the next request, or wait if no gateway is in rotation."""
        if self.stopped or self.attempt is not None:
            return
        connection = self.connection
        if (
            connection is not None
            and connection.open
            and self.rng.random() > NEW_CONNECTION_SHARE
        ):
            self.create_request(connection.endpoint)
            self.send(connection)
            return
        if connection is not None and connection.open:
            connection.tcp.loseConnection()
        self.connection = None
        if not self.endpoints:
            self.schedule_next(RECONNECT_DELAY_S)
            return
        endpoint = self.rng.choice(sorted(self.endpoints.values()))
        self.create_request(endpoint)
        factory = CallerConnectionFactory(self, endpoint)
        self.reactor.connectTCP(LOOPBACK, endpoint.port, factory, CONNECT_TIMEOUT_S)

    def create_request(self, endpoint: GatewayEndpoint) -> None:
        """Draw a random request, record it and start its timeout."""
        self.count += 1
        kind = self.rng.choice(REQUEST_KINDS)
        attempt = Attempt(
            request=f"{self.name}-{self.count}",
            kind=kind,
            gateway=endpoint.name,
            incarnation=endpoint.incarnation,
            method="POST" if kind == "order" else "GET",
            target=f"{PREFIXES[kind]}{self.rng.randrange(1000)}?q=1",
            body=b"order" if kind == "order" else b"",
            timeout_s=self.rng.uniform(*CALLER_TIMEOUT_S),
            sent_at=self.reactor.seconds(),
        )
        self.attempt = attempt
        self.history.attempts[attempt.request] = attempt
        self.expiry = self.reactor.callLater(attempt.timeout_s, self.time_out, attempt)

    def connection_opened(self, connection: CallerConnection) -> None:
        """Send the pending request; abort the connection if there is none left."""
        if self.attempt is None:
            connection.tcp.abortConnection()
            return
        self.connection = connection
        self.send(connection)

    def send(self, connection: CallerConnection) -> None:
        """Write the request; schedule an early disconnect where this is injected."""
        attempt = self.attempt
        assert attempt is not None
        attempt.reused_connection = connection.requests_sent > 0
        if connection.requests_sent:
            connection.reset()
        connection.requests_sent += 1
        left_ms = 1000 * (attempt.sent_at + attempt.timeout_s - self.reactor.seconds())
        head = (
            f"{attempt.method} {attempt.target} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Request-Id: {attempt.request}\r\nX-Deadline-Ms: {int(left_ms)}\r\n"
            f"Content-Length: {len(attempt.body)}\r\n\r\n"
        )
        connection.tcp.write(head.encode() + attempt.body)
        if self.disconnects_early and self.rng.random() < DISCONNECT_SHARE:
            delay_s = self.rng.uniform(*DISCONNECT_DELAY_S)
            self.reactor.callLater(delay_s, self.disconnect, attempt)

    def answer_received(
        self, status: int, headers: dict[str, str], body: bytes, keep_alive: bool
    ) -> None:
        """Record an answer and schedule the next request; honours ``Retry-After``."""
        now = self.reactor.seconds()
        assert self.attempt is not None
        self.attempt.answer = Answer(status, headers, body, now)
        self.record_end("answered")
        if not keep_alive and self.connection is not None:
            self.connection.tcp.loseConnection()
            self.connection = None
        wait = headers.get("retry-after", "")
        self.schedule_next(
            float(wait) if wait else self.rng.uniform(*REQUEST_INTERVAL_S)
        )

    def record_end(self, end: str) -> None:
        """Record how and when the request ended, and cancel its timeout."""
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            attempt.end = end
            attempt.ended_at = self.reactor.seconds()
        if self.expiry is not None and self.expiry.active():
            self.expiry.cancel()

    def connection_closed(self, connection: CallerConnection) -> None:
        """Record the end of a connection, and of the request in flight on it."""
        if connection is self.connection:
            self.connection = None
            if self.attempt is not None:
                self.record_end("closed")
                self.schedule_next(self.rng.uniform(*REQUEST_INTERVAL_S))

    def connection_failed(self) -> None:
        """Record that the connection for the request could not be opened."""
        if self.attempt is not None:
            self.record_end("unconnected")
            self.schedule_next(RECONNECT_DELAY_S)

    def time_out(self, attempt: Attempt) -> None:
        """Abandon the request when its timeout is reached."""
        self.abandon(attempt, "expired")

    def disconnect(self, attempt: Attempt) -> None:
        """Abandon the request before its answer, as an injected early disconnect."""
        self.abandon(attempt, "left")

    def abandon(self, attempt: Attempt, end: str) -> None:
        """End a request that is still in flight and abort its connection."""
        if attempt is not self.attempt:
            return
        self.record_end(end)
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.tcp.abortConnection()
        self.schedule_next(self.rng.uniform(*REQUEST_INTERVAL_S))

    def record_unsolicited(self, data: bytes) -> None:
        """Record data that arrived without a request in flight."""
        self.unsolicited.append(f"{self.name}: {data[:60]!r}")

    def schedule_next(self, seconds: float) -> None:
        """Send the next request after a delay."""
        self.reactor.callLater(seconds, self.send_next)
