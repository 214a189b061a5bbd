"""Connection to a target that carries one exchange at a time."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeAlias

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from sardinehook.target.codec import ReplyHead, TargetReply, read_reply_head
from sardinehook.target.limits import OwnerLimits
from sardinehook.transport.connection import ClientConnection, Lost, Malformed
from sardinehook.transport.connection import ExchangeEnd as HttpEnd
from sardinehook.transport.connection import Replied as HttpReplied
from sardinehook.transport.reactor import ConnectionEnd

__all__ = ["ExchangeEnd", "Lost", "Malformed", "Replied", "TargetConnection"]


@dataclass(frozen=True, slots=True)
class Replied:
    """The target's complete reply, which carries the ids that were sent."""

    reply: TargetReply


ExchangeEnd: TypeAlias = Replied | Malformed | Lost


class TargetConnection(ClientConnection):
    """Sends a request, checks the reply's ids and reports one ``ExchangeEnd``.

    ``closed`` is called once, after the end of the exchange that was running, with
    whether the connection was closed cleanly.
    """

    def __init__(
        self,
        limits: OwnerLimits,
        opened: Callable[[TargetConnection], None],
        closed: Callable[[TargetConnection, bool], None],
    ) -> None:
        super().__init__(
            lambda _connection: opened(self),
            lambda _connection: closed(self, self.closed_in_order),
        )
        self.max_head_bytes = limits.header_bytes
        self.max_body_bytes = limits.reply_bytes
        self.request_id = b""
        self.exchange_id = b""
        self.head = ReplyHead()
        self.closing_here = False
        self.closed_in_order = False
        self.silent = False

    def send_request(
        self,
        request: bytes,
        request_id: bytes,
        exchange_id: bytes,
        finish: Callable[[ExchangeEnd], None],
    ) -> None:
        """Send ``request`` and report its end to ``finish``, exactly once."""

        def ended(end: HttpEnd) -> None:
            match end:
                case HttpReplied(reply):
                    finish(Replied(TargetReply(reply.status, self.head, reply.body)))
                case Malformed() | Lost():
                    finish(end)

        self.request_id = request_id
        self.exchange_id = exchange_id
        self.exchange(request, ended)

    def close(self) -> None:
        """Close this side of the connection.

        The connection ends, and stops counting, once the target has closed its side.
        """
        self.is_open = False
        self.closing_here = True
        self.tcp.loseWriteConnection()

    def drop(self) -> None:
        """Close a connection that cannot be reused."""
        self.close()

    def abandon(self) -> None:
        """Abort an unresponsive connection; no end of its exchange is reported."""
        self.silent = True
        self.closing_here = True
        self.abort()

    def complete(self) -> None:
        """End the exchange with the complete reply, if its ids match the request."""
        try:
            self.head = read_reply_head(dict(self.headers))
        except ValueError as error:
            self.end(Malformed(f"malformed reply: {error}"), False)
            return
        sent = (self.request_id, self.exchange_id)
        if (self.head.request_id, self.head.exchange_id) != sent:
            self.end(Malformed("reply carries the ids of another exchange"), False)
            return
        super().complete()

    def connectionLost(self, reason: ConnectionEnd | Failure = connectionDone) -> None:
        """End the running exchange and report the close, as Twisted does."""
        if isinstance(reason, Failure):
            is_clean = isinstance(reason.value, ConnectionDone)
            reason = ConnectionEnd(is_clean, reason.getErrorMessage())
        self.closed_in_order = reason.is_clean
        super().connectionLost(reason)

    def classify_loss(self, reason: ConnectionEnd) -> HttpEnd:
        """Return the end of an exchange whose connection ended.

        Any byte received makes the reply truncated, as targets always send a length.
        """
        if self.received_bytes:
            return Malformed(f"truncated reply: {reason.detail}")
        return Lost(reason.detail)
