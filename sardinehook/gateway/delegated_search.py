"""One search that another gateway of the data centre does, over its wider link."""

from __future__ import annotations

from collections.abc import Callable

from returns.result import Failure, Success

from sardinehook.errors import ErrorKind, Problem
from sardinehook.gateway.answer import CallerAnswer, error_answer
from sardinehook.gateway.configuration import Route
from sardinehook.gateway.delegates import Delegate, Delegates
from sardinehook.gateway.policy import RequestPolicy, request_deadline
from sardinehook.gateway.ports import CallerRequest
from sardinehook.gateway.search_codec import SEARCH_PATH, decode_answer, encode_search
from sardinehook.transport.connection import (
    ClientConnection,
    ExchangeEnd,
    Lost,
    Malformed,
    Replied,
)

__all__ = ["DelegatedSearch"]

REFUSED_AVOID_S = 0.5  # after a refusal: the same version is in force at both by then
KEEP_ALIVE_S = 30.0  # gateways keep idle connections for longer
SERVICE_UNAVAILABLE = 503
OK = 200


class DelegatedSearch:
    """One search at a delegate; ``finish`` is called once with the answer.

    Where the delegate surely did not take it, ``start_local_search`` is called
    instead. One that was lost there is answered as such at once, and the caller may
    try again: searching here as well could ask replicas more often than the route
    allows.
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
        start_local_search: Callable[[], None],
    ) -> None:
        self.policy = policy
        self.reactor = policy.reactor
        self.delegates = delegates
        self.delegate = delegate
        self.request = request
        self.route = route
        self.version = version
        self.finish = finish
        self.start_local_search = start_local_search
        self.deadline_at = request_deadline(request, route)
        self.settled = False
        self.hedges = 0
        self.repeats = 0
        self.connection: ClientConnection | None = None

    def start(self) -> None:
        """Hand the search over."""
        self.delegate.searches[self] = None
        self.delegate.pool.request(self.connected)

    def connected(self, connection: ClientConnection | None) -> None:
        """Send the search, or do it here where there is no connection."""
        if self.settled:
            return
        if connection is None:
            self.delegates.avoid(self.delegate, "no connection")
            self.search_locally()
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
                    self.delegate.pool.give_back(self.connection, KEEP_ALIVE_S)
                if reply.status == SERVICE_UNAVAILABLE:
                    reason = reply.body.decode("latin-1")
                    self.delegates.avoid(self.delegate, reason, REFUSED_AVOID_S)
                    self.search_locally()
                elif reply.status != OK:
                    self.fail(f"status {reply.status}")
                else:
                    self.take(reply.body)
            case Malformed(detail) | Lost(detail):
                self.delegates.avoid(self.delegate, detail)
                self.fail(detail)

    def take(self, body: bytes) -> None:
        """Pass the delegate's answer on."""
        match decode_answer(body):
            case Success(told):
                self.hedges = told.hedges
                self.repeats = told.repeats
                headers = tuple(told.headers)
                self.complete(
                    CallerAnswer(
                        told.status, headers, told.body, told.outcome, told.detail
                    )
                )
            case Failure(detail):
                self.fail(str(detail))

    def search_locally(self) -> None:
        """Search here, since the delegate did not take the search."""
        self.detach()
        self.settled = True
        self.start_local_search()

    def fail(self, reason: str) -> None:
        """Answer that the search was lost."""
        if self.settled:
            return
        connection, self.connection = self.connection, None
        if connection is not None and connection.finish is not None:
            connection.abort()
        detail = f"{self.delegate.name}: {reason}"
        self.complete(error_answer(Problem(ErrorKind.OUTCOME_UNKNOWN, detail)))

    def complete(self, answer: CallerAnswer) -> None:
        """End the search with an answer."""
        self.detach()
        if not self.settled:
            self.settled = True
            self.finish(answer)

    def detach(self) -> None:
        """Count the search at the delegate no more."""
        self.delegate.searches.pop(self, None)
        self.delegate.pool.withdraw(self.connected)

    def cancel(self) -> None:
        """Stop, since the caller has left; the delegate sees the connection end."""
        if self.settled:
            return
        self.settled = True
        self.detach()
        if self.connection is not None and self.connection.finish is not None:
            self.connection.abort()
