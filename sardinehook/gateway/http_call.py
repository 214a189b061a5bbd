"""One HTTP call to the store or to another gateway, with a timeout."""

from __future__ import annotations

from returns.result import Failure, Result, Success

from sardinehook.gateway.pool import ConnectionPool
from sardinehook.gateway.reactor import GatewayReactor
from sardinehook.store.port import StoreUnavailable
from sardinehook.transport.connection import (
    ClientConnection,
    ExchangeEnd,
    Lost,
    Malformed,
    Replied,
    Reply,
)
from sardinehook.transport.tasks import Promise

__all__ = ["HttpCall"]

KEEP_ALIVE_S = 30.0  # the store and gateways keep idle connections longer


class HttpCall:
    """One HTTP call in progress.

    ``done`` is resolved once, with the reply or with ``StoreUnavailable`` after a
    failure or the timeout.
    """

    def __init__(
        self,
        reactor: GatewayReactor,
        pool: ConnectionPool,
        request: bytes,
        timeout_s: float,  # noqa: ANN401
    ) -> None:
        self.pool = pool
        self.request = request
        self.done: Promise[Result[Reply, StoreUnavailable]] = Promise()
        self.connection: ClientConnection | None = None
        self.timer = reactor.callLater(timeout_s, self.time_out)
        pool.acquire(self.connected)

    def connected(self, connection: ClientConnection | None) -> None:
        """Send the request on the connection, or fail if there is none."""
        if self.done.is_resolved:
            return
        if connection is None:
            self.fail("connection could not be opened", False)
            return
        self.connection = connection
        connection.exchange(self.request, self.ended)

    def ended(self, end: ExchangeEnd) -> None:
        """Finish with the reply, or with the failure of the connection."""
        match end:
            case Replied(reply):
                if self.connection is not None:
                    self.pool.release(self.connection, KEEP_ALIVE_S)
                self.finish(Success(reply))
            case Malformed(detail) | Lost(detail):
                self.fail(detail, True)

    def time_out(self) -> None:
        """Fail the call and abort its connection, which may still carry the reply."""
        self.pool.cancel(self.connected)
        if self.connection is not None and self.connection.finish is not None:
            self.connection.abort()
        self.fail("no answer before the timeout", self.connection is not None)

    def fail(self, detail: str, may_have_taken_effect: bool) -> None:
        """Finish without a reply.

        ``may_have_taken_effect`` is set if the request was sent.
        """
        self.finish(Failure(StoreUnavailable(detail, may_have_taken_effect)))

    def finish(self, result: Result[Reply, StoreUnavailable]) -> None:
        """Resolve ``done``, once."""
        if self.timer.active():
            self.timer.cancel()
        if not self.done.is_resolved:
            self.done.resolve(result)
