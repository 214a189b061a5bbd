"""Control requests to a target: cancellations, probes and status polls."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from sardinehook.target.codec import TargetReply, encode_cancel, encode_status
from sardinehook.target.connection import ExchangeEnd, Replied, TargetConnection
from sardinehook.target.pool import ConnectionPool

__all__ = ["Cancellation", "ControlExchanges"]

CONTROL_TIMEOUT_S = 1.0
STATUS_REQUEST_ID = b"status"


class Cancellation(NamedTuple):
    """A request to the target to cancel an exchange.

    It is sent over a connection used since ``active_since``. ``wanted`` tells whether
    it is still needed. ``ended`` is called with the status of the reply, zero if
    there was none.
    """

    request_id: bytes
    exchange_id: bytes
    active_since: float
    wanted: Callable[[], bool]
    ended: Callable[[int], None]


@dataclass(slots=True, eq=False)
class Pending:
    """A control request that waits for its reply."""

    connection: TargetConnection
    sent_at: float


class ControlExchanges:
    """Sends control requests over idle connections; they occupy no slot."""

    def __init__(self, pool: ConnectionPool, host: bytes) -> None:
        self.pool = pool
        self.host = host
        self.cancellations: deque[Cancellation] = deque()
        self.pending: set[Pending] = set()

    def cancel(self, cancellation: Cancellation) -> None:
        """Queue a cancellation until a connection is available."""
        self.cancellations.append(cancellation)

    def start(self) -> None:
        """Send queued cancellations while connections are available."""
        for _ in range(len(self.cancellations)):
            cancellation = self.cancellations.popleft()
            if not cancellation.wanted():
                continue
            connection = self.pool.acquire(cancellation.active_since)
            if connection is None:
                self.cancellations.append(cancellation)
            else:
                self.send_cancel(cancellation, connection)

    def send_cancel(
        self, cancellation: Cancellation, connection: TargetConnection
    ) -> None:
        """Send one cancellation."""
        request_id, exchange_id = cancellation.request_id, cancellation.exchange_id
        request = encode_cancel(self.host, request_id, exchange_id)

        def ended(reply: TargetReply | None) -> None:
            cancellation.ended(0 if reply is None else reply.status)

        self.exchange(request, request_id, exchange_id, connection, ended)

    def poll_status(
        self, exchange_id: bytes, ended: Callable[[TargetReply], None]
    ) -> None:
        """Request the status over an idle connection; no effect without one."""
        connection = self.pool.acquire()
        if connection is None:
            return

        def status_ended(reply: TargetReply | None) -> None:
            if reply is not None:
                ended(reply)

        request = encode_status(self.host, STATUS_REQUEST_ID, exchange_id)
        self.exchange(request, STATUS_REQUEST_ID, exchange_id, connection, status_ended)

    def exchange(
        self,
        request: bytes,
        request_id: bytes,
        exchange_id: bytes,
        connection: TargetConnection,
        ended: Callable[[TargetReply | None], None],
    ) -> None:
        """Send one control request; ``ended`` gets its reply or ``None``."""
        pending = Pending(connection, self.pool.reactor.seconds())
        self.pending.add(pending)

        def finish(end: ExchangeEnd) -> None:
            self.pending.discard(pending)
            if isinstance(end, Replied):
                self.pool.release(connection)
                ended(end.reply)
            else:
                ended(None)

        connection.send_request(request, request_id, exchange_id, finish)

    def sweep(self, now: float) -> None:
        """Abort connections whose control request timed out."""
        for pending in [*self.pending]:
            if pending.sent_at + CONTROL_TIMEOUT_S <= now:
                self.pending.discard(pending)
                pending.connection.abandon()
                self.pool.close_inactive(pending.sent_at)
