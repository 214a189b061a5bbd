"""A connection to a target that carries one exchange at a time."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeAlias, cast

from httptools import HttpParserError, HttpResponseParser
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from sardinehook.target.dialect import (
    ReplyHead,
    TargetReply,
    header_name,
    read_reply_head,
)
from sardinehook.target.limits import OwnerLimits
from sardinehook.target.reactor import TcpTransport

__all__ = ["ExchangeEnd", "Garbled", "Lost", "Replied", "TargetConnection"]


@dataclass(frozen=True, slots=True)
class Replied:
    """The target's whole reply, which carries the ids that were sent."""

    reply: TargetReply


@dataclass(frozen=True, slots=True)
class Garbled:
    """Bytes came that are no whole reply to this exchange."""

    detail: str


@dataclass(frozen=True, slots=True)
class Lost:
    """The connection ended before any byte of the reply."""

    detail: str


ExchangeEnd: TypeAlias = Replied | Garbled | Lost


class ReplyTooLarge(Exception):
    """A reply exceeds the bounds of its headers or its body."""


class TargetConnection(Protocol):
    """Sends a request, checks the reply's ids and reports one ``ExchangeEnd``.

    After anything but a whole matching reply the connection closes itself and is
    never used again. ``closed`` is called once, after the end of the exchange that
    was running, with whether the target has closed it in order.
    """

    def __init__(
        self,
        limits: OwnerLimits,
        opened: Callable[[TargetConnection], None],
        closed: Callable[[TargetConnection, bool], None],
    ) -> None:
        self.limits = limits
        self.opened = opened
        self.closed = closed
        self.is_open = False
        self.finish: Callable[[ExchangeEnd], None] | None = None
        self.request_id = b""
        self.exchange_id = b""
        self.exchanges = 0
        self.closing_here = False
        self.silent = False
        self.idle_since = 0.0
        self.parser = HttpResponseParser(self)
        self.reset_reply()

    def reset_reply(self) -> None:
        """Forget the last reply."""
        self.headers: dict[bytes, bytes] = {}
        self.chunks: list[bytes] = []
        self.received_bytes = 0
        self.body_bytes = 0
        self.head: ReplyHead | None = None
        self.whole = False
        self.status = 0
        self.keep_alive = False
        self.surplus = False

    @property
    def idle(self) -> bool:
        """Whether an exchange can begin."""
        return self.is_open and self.finish is None

    def exchange(
        self,
        request: bytes,
        request_id: bytes,
        exchange_id: bytes,
        finish: Callable[[ExchangeEnd], None],
    ) -> None:
        """Send ``request`` and report its end to ``finish``, exactly once."""
        assert self.idle
        self.request_id = request_id
        self.exchange_id = exchange_id
        self.finish = finish
        self.exchanges += 1
        self.reset_reply()
        self.tcp.write(request)
        self.tcp.doWrite()

    def close(self) -> None:
        """Tell the target that the connection is done with.

        It ends once the target has closed its side too, and counts until then.
        """
        self.is_open = False
        self.closing_here = True
        self.tcp.loseWriteConnection()

    def give_up(self) -> None:
        """Drop a connection that does not answer; no end is reported."""
        self.finish = None
        self.silent = True
        self.is_open = False
        self.closing_here = True
        self.tcp.abortConnection()

    def connectionMade(self) -> None:
        """Report that the connection can be used."""
        self.tcp = cast(TcpTransport, self.transport)
        self.tcp.setTcpNoDelay(True)
        self.is_open = True
        self.opened(self)

    def dataReceived(self, data: bytes) -> None:
        """Parse ``data`` and end the exchange once the reply is whole."""
        if not self.is_open:
            return
        if self.finish is None:
            self.close()
            return
        self.received_bytes += len(data)
        try:
            self.parser.feed_data(data)
            self.check_head_size()
        except (HttpParserError, ReplyTooLarge, ValueError) as error:
            self.fail(Garbled(f"malformed reply: {error}"))
            return
        if self.whole:
            self.complete()

    def check_head_size(self) -> None:
        """Bound the bytes that may come before the headers are complete."""
        if self.head is None and self.received_bytes > self.limits.header_bytes:
            raise ReplyTooLarge("headers too large")

    def complete(self) -> None:
        """End the exchange with the whole reply that was received."""
        head = self.head
        assert head is not None
        if (head.request_id, head.exchange_id) != (self.request_id, self.exchange_id):
            self.fail(Garbled("reply to another exchange"))
            return
        reply = TargetReply(self.status, head, b"".join(self.chunks))
        reusable = self.keep_alive and not self.surplus
        self.end(Replied(reply), reusable)

    def fail(self, end: ExchangeEnd) -> None:
        """End the exchange and close the connection."""
        self.end(end, False)

    def end(self, end: ExchangeEnd, reusable: bool) -> None:
        """Report the end of the exchange; close a connection that is not reusable."""
        finish = self.finish
        self.finish = None
        if not reusable:
            self.close()
        if finish is not None:
            finish(end)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """End the exchange that was running and report the close."""
        self.is_open = False
        clean = isinstance(reason.value, ConnectionDone)
        finish, self.finish = self.finish, None
        if finish is not None:
            cause = reason.getErrorMessage()
            truncated = Garbled(f"truncated reply: {cause}")
            finish(truncated if self.received_bytes else Lost(cause))
        self.closed(self, clean)

    def on_message_begin(self) -> None:
        """Note a second reply where one was due."""
        if self.whole:
            self.surplus = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep one header of the reply."""
        if not self.surplus:
            self.headers[header_name(name)] = value

    def on_headers_complete(self) -> None:
        """Read the headers of the reply."""
        if not self.surplus:
            self.head = read_reply_head(self.headers)

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body within the bound."""
        if self.surplus:
            return
        self.body_bytes += len(body)
        if self.body_bytes > self.limits.reply_bytes:
            raise ReplyTooLarge("body too large")
        self.chunks.append(body)

    def on_message_complete(self) -> None:
        """Note that the reply is whole."""
        if self.whole:
            return
        self.whole = True
        self.status = self.parser.get_status_code()
        self.keep_alive = self.parser.should_keep_alive()
