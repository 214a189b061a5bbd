"""One search that another gateway of the data centre does, over its wider link."""

from __future__ import annotations

from collections.abc import Callable

from returns.result import Failure, Success

from sardinehook.errors import ErrorKind, Problem
from sardinehook.gateway.answer import CallerAnswer, refuse
from sardinehook.gateway.configuration import Route
from sardinehook.gateway.delegates import Delegate, Delegates
from sardinehook.gateway.interfaces import CallerRequest
from sardinehook.gateway.policy import RequestPolicy, give_up_at
from sardinehook.gateway.search_codec import SEARCH_PATH, decode_outcome, encode_search
from sardinehook.transport.connection import (
    ClientConnection,
    ExchangeEnd,
    Lost,
    Malformed,
    Replied,
)

__all__ = ["DelegatedSearch"]

NOT_TAKEN_S = 0.5  # after a refusal: the same version is in force at both by then
KEEP_ALIVE_S = 30.0  # gateways keep idle connections for longer
NOT_TAKEN = 503
OK = 200


class DelegatedSearch:
    """One search at a delegate; ``finish`` is called once with the answer.

    Where the delegate surely did not take it, ``search_here`` is called instead. One
    that was lost there is answered as such at once, and the caller may try again:
    searching here as well could ask replicas more often than the route allows.
    """

    def __init__(
        self,
        policy: RequestPolicy,
        delegates: Delegates,
        delegate: Delegate,
        request: CallerRequest,
        route: Route,
        version: int,
        finish: Callable[[CallerAnswer], None],
        search_here: Callable[[], None],
    ) -> None:
        self.policy = policy
        self.reactor = policy.reactor
        self.delegates = delegates
        self.delegate = delegate
        self.request = request
        self.route = route
        self.version = version
        self.finish = finish
        self.search_here = search_here
        self.give_up_at = give_up_at(request, route)
        self.settled = False
        self.hedges = 0
        self.repeats = 0
        self.connection: ClientConnection | None = None

    def start(self) -> None:
        """Hand the search over."""
        self.delegate.searches[self] = None
        self.delegate.pool.acquire(self.connected)

    def connected(self, connection: ClientConnection | None) -> None:
        """Send the search, or do it here where there is no connection."""
        if self.settled:
            return
        if connection is None:
            self.delegates.avoid(self.delegate, "no connection")
            self.keep()
            return
        self.connection = connection
        node = self.delegates.fleet.node
        now = self.reactor.seconds()
        body = encode_search(node, self.version, self.request, now)
        head = b"POST %b HTTP/1.1\r\nHost: %b\r\nContent-Length: %d\r\n\r\n" % (
            SEARCH_PATH,
            self.delegate.name.encode(),
            len(body),
        )
        connection.exchange(head + body, self.ended)

    def ended(self, end: ExchangeEnd) -> None:
        """Take the delegate's answer."""
        match end:
            case Replied(reply):
                if self.connection is not None:
                    self.delegate.pool.release(self.connection, KEEP_ALIVE_S)
                if reply.status == NOT_TAKEN:
                    reason = reply.body.decode("latin-1")
                    self.delegates.avoid(self.delegate, reason, NOT_TAKEN_S)
                    self.keep()
                elif reply.status != OK:
                    self.lose(f"status {reply.status}")
                else:
                    self.take(reply.body)
            case Malformed(detail) | Lost(detail):
                self.delegates.avoid(self.delegate, detail)
                self.lose(detail)

    def take(self, body: bytes) -> None:
        """Pass the delegate's answer on."""
        match decode_outcome(body):
            case Success(told):
                self.hedges = told.hedges
                self.repeats = told.repeats
                headers = tuple(told.headers)
                self.settle_with(
                    CallerAnswer(
                        told.status, headers, told.body, told.outcome, told.detail
                    )
                )
            case Failure(detail):
                self.lose(str(detail))

    def keep(self) -> None:
        """Search here, since the delegate did not take the search."""
        self.leave_delegate()
        self.settled = True
        self.search_here()

    def lose(self, reason: str) -> None:
        """Answer that the search was lost."""
        if self.settled:
            return
        connection, self.connection = self.connection, None
        if connection is not None and connection.on_end is not None:
            connection.abort()
        detail = f"{self.delegate.name}: {reason}"
        self.settle_with(refuse(Problem(ErrorKind.OUTCOME_UNKNOWN, detail)))

    def settle_with(self, answer: CallerAnswer) -> None:
        """End the search with an answer."""
        self.leave_delegate()
        if not self.settled:
            self.settled = True
            self.finish(answer)

    def leave_delegate(self) -> None:
        """Count the search at the delegate no more."""
        self.delegate.searches.pop(self, None)
        self.delegate.pool.cancel(self.connected)

    def cancel(self) -> None:
        """Stop, since the caller has left; the delegate sees the connection end."""
        if self.settled:
            return
        self.settled = True
        self.leave_delegate()
        if self.connection is not None and self.connection.on_end is not None:
            self.connection.abort()
