"""Callers of a soak: they keep connections open and note all that they see."""

from __future__ import annotations

from random import Random
from typing import Any, NamedTuple

from httptools import HttpParserError, HttpResponseParser
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure

from bench.soak.history import Answer, Attempt, History
from sardinehook.gateway.reactor import GatewayReactor

__all__ = ["Caller", "Door"]

LOOPBACK = "127.0.0.1"
HOST = "soak.example"
CONNECT_TIMEOUT_S = 1.0
PAUSE_S = (0.05, 0.35)  # between two requests of a caller
PATIENCE_S = (0.8, 3.0)
CHANGE_SHARE = 0.05  # of the requests go over a new connection
LEAVE_AFTER_S = (0.005, 0.1)
LEAVE_SHARE = 0.5  # of the requests, while callers leave
KINDS = ("search", "search", "one", "order")
PREFIXES = {"search": "/find/", "one": "/one/", "order": "/order/"}
UNREACHABLE_PAUSE_S = 0.3


class Door(NamedTuple):
    """A gateway as callers find it."""

    name: str
    incarnation: int
    port: int


class CallerConnection(Protocol):
    """One connection to a gateway, with one request at a time."""

    def __init__(self, caller: Caller, door: Door) -> None:
        self.caller = caller
        self.door = door
        self.open = False
        self.carried = 0
        self.reset()

    def reset(self) -> None:
        """Forget the last answer."""
        self.parser = HttpResponseParser(self)
        self.headers: dict[str, str] = {}
        self.body = b""
        self.whole = False

    def connectionMade(self) -> None:
        """Send the request for which the connection was opened."""
        tcp: Any = self.transport
        self.tcp = tcp
        tcp.setTcpNoDelay(True)
        self.open = True
        self.caller.connected(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Tell the caller."""
        self.open = False
        self.caller.closed(self)

    def dataReceived(self, data: bytes) -> None:
        """Read an answer."""
        if self.caller.attempt is None or self.caller.connection is not self:
            self.caller.unasked(data)
            self.tcp.abortConnection()
            return
        try:
            self.parser.feed_data(data)
        except HttpParserError:
            self.caller.unasked(data)
            self.tcp.abortConnection()
            return
        if self.whole:
            keep = self.parser.should_keep_alive()
            status = self.parser.get_status_code()
            self.caller.answered(status, self.headers, self.body, keep)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header; repeated ones are joined."""
        key = name.decode().lower()
        known = self.headers.get(key)
        told = value.decode("latin-1")
        self.headers[key] = f"{known},{told}" if known else told

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body."""
        self.body += body

    def on_message_complete(self) -> None:
        """Note that the answer is whole."""
        self.whole = True


class Opening(ClientFactory):
    """Opens a caller's connection."""

    noisy = False

    def __init__(self, caller: Caller, door: Door) -> None:
        self.caller = caller
        self.door = door

    def buildProtocol(self, addr: object) -> CallerConnection:
        """Return the connection."""
        return CallerConnection(self.caller, self.door)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        """Tell the caller."""
        self.caller.unconnected()


class Caller:
    """Sends one request after the other; ``doors`` are the gateways in rotation."""

    def __init__(
        self,
        reactor: GatewayReactor,
        history: History,
        rng: Random,
        name: str,
        doors: dict[str, Door],
    ) -> None:
        self.reactor = reactor
        self.history = history
        self.rng = rng
        self.name = name
        self.doors = doors
        self.connection: CallerConnection | None = None
        self.attempt: Attempt | None = None
        self.count = 0
        self.leaves = False
        self.stopped = False
        self.strays: list[str] = []
        self.expiry: Any = None

    def next(self) -> None:
        """Send the next request, if there is a gateway to send it to."""
        if self.stopped or self.attempt is not None:
            return
        kept = self.connection
        if kept is not None and kept.open and self.rng.random() > CHANGE_SHARE:
            self.begin(kept.door)
            self.send(kept)
            return
        if kept is not None and kept.open:
            kept.tcp.loseConnection()
        self.connection = None
        if not self.doors:
            self.pause(UNREACHABLE_PAUSE_S)
            return
        door = self.rng.choice(sorted(self.doors.values()))
        self.begin(door)
        opening = Opening(self, door)
        self.reactor.connectTCP(LOOPBACK, door.port, opening, CONNECT_TIMEOUT_S)

    def begin(self, door: Door) -> None:
        """Make up a request."""
        self.count += 1
        kind = self.rng.choice(KINDS)
        attempt = Attempt(
            request=f"{self.name}-{self.count}",
            kind=kind,
            gateway=door.name,
            incarnation=door.incarnation,
            method="POST" if kind == "order" else "GET",
            target=f"{PREFIXES[kind]}{self.rng.randrange(1000)}?q=1",
            body=b"order" if kind == "order" else b"",
            patience_s=self.rng.uniform(*PATIENCE_S),
            sent_at=self.reactor.seconds(),
        )
        self.attempt = attempt
        self.history.attempts[attempt.request] = attempt
        self.expiry = self.reactor.callLater(attempt.patience_s, self.expire, attempt)

    def connected(self, connection: CallerConnection) -> None:
        """Send the request for which the connection was opened."""
        if self.attempt is None:
            connection.tcp.abortConnection()
            return
        self.connection = connection
        self.send(connection)

    def send(self, connection: CallerConnection) -> None:
        """Write the request."""
        attempt = self.attempt
        assert attempt is not None
        attempt.kept = connection.carried > 0
        if connection.carried:
            connection.reset()
        connection.carried += 1
        left_ms = 1000 * (attempt.sent_at + attempt.patience_s - self.reactor.seconds())
        head = (
            f"{attempt.method} {attempt.target} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Request-Id: {attempt.request}\r\nX-Deadline-Ms: {int(left_ms)}\r\n"
            f"Content-Length: {len(attempt.body)}\r\n\r\n"
        )
        connection.tcp.write(head.encode() + attempt.body)
        if self.leaves and self.rng.random() < LEAVE_SHARE:
            delay_s = self.rng.uniform(*LEAVE_AFTER_S)
            self.reactor.callLater(delay_s, self.leave, attempt)

    def answered(
        self, status: int, headers: dict[str, str], body: bytes, keep: bool
    ) -> None:
        """Note an answer and go on."""
        now = self.reactor.seconds()
        assert self.attempt is not None
        self.attempt.answer = Answer(status, headers, body, now)
        self.finish("answered")
        if not keep and self.connection is not None:
            self.connection.tcp.loseConnection()
            self.connection = None
        wait = headers.get("retry-after", "")
        self.pause(float(wait) if wait else self.rng.uniform(*PAUSE_S))

    def finish(self, end: str) -> None:
        """Note how the request has ended."""
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            attempt.end = end
            attempt.ended_at = self.reactor.seconds()
        if self.expiry is not None and self.expiry.active():
            self.expiry.cancel()

    def closed(self, connection: CallerConnection) -> None:
        """Note that the connection has ended, perhaps with a request on it."""
        if connection is self.connection:
            self.connection = None
            if self.attempt is not None:
                self.finish("closed")
                self.pause(self.rng.uniform(*PAUSE_S))

    def unconnected(self) -> None:
        """Note that no connection could be opened."""
        if self.attempt is not None:
            self.finish("unconnected")
            self.pause(UNREACHABLE_PAUSE_S)

    def expire(self, attempt: Attempt) -> None:
        """Give up at the end of the patience."""
        self.drop(attempt, "expired")

    def leave(self, attempt: Attempt) -> None:
        """Leave before the answer."""
        self.drop(attempt, "left")

    def drop(self, attempt: Attempt, end: str) -> None:
        """End a request that is still going on, with its connection."""
        if attempt is not self.attempt:
            return
        self.finish(end)
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.tcp.abortConnection()
        self.pause(self.rng.uniform(*PAUSE_S))

    def unasked(self, data: bytes) -> None:
        """Note bytes that belong to no request."""
        self.strays.append(f"{self.name}: {data[:60]!r}")

    def pause(self, seconds: float) -> None:
        """Send the next request after a while."""
        self.reactor.callLater(seconds, self.next)
