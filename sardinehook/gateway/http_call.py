"""One HTTP call to the store or to another gateway, bounded in time."""

from __future__ import annotations

from returns.result import Failure, Result, Success
from twisted.internet.defer import Deferred

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

__all__ = ["HttpCall"]

KEEP_ALIVE_S = 30.0  # the store and gateways keep idle connections for longer


class HttpCall:
    """One call on its way; ``done`` has its answer, or its failure or timeout."""

    def __init__(
        self,
        reactor: GatewayReactor,
        pool: ConnectionPool,
        request: bytes,
        timeout_s: float,  # noqa: ANN401
    ) -> None:
        self.pool = pool
        self.request = request
        self.done: Deferred[Result[Reply, StoreUnavailable]] = Deferred()
        self.connection: ClientConnection | None = None
        self.timer = reactor.callLater(timeout_s, self.time_out)
        pool.acquire(self.connected)

    def connected(self, connection: ClientConnection | None) -> None:
        """Send the request."""
        if self.done.called:
            return
        if connection is None:
            self.fail("no connection", False)
            return
        self.connection = connection
        connection.exchange(self.request, self.ended)

    def ended(self, end: ExchangeEnd) -> None:
        """Take the answer."""
        match end:
            case Replied(reply):
                if self.connection is not None:
                    self.pool.release(self.connection, KEEP_ALIVE_S)
                self.finish(Success(reply))
            case Malformed(detail) | Lost(detail):
                self.fail(detail, True)

    def time_out(self) -> None:
        """Give the call up; its connection is not used again."""
        self.pool.cancel(self.connected)
        if self.connection is not None and self.connection.on_end is not None:
            self.connection.abort()
        self.fail("no answer in time", self.connection is not None)

    def fail(self, detail: str, may_have_taken_effect: bool) -> None:
        """End the call without an answer."""
        self.finish(Failure(StoreUnavailable(detail, may_have_taken_effect)))

    def finish(self, result: Result[Reply, StoreUnavailable]) -> None:
        """Report the end, once."""
        if self.timer.active():
            self.timer.cancel()
        if not self.done.called:
            self.done.callback(result)
