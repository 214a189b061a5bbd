"""A search delegated to a gateway of the data centre with a wider link."""

from __future__ import annotations

from collections.abc import Callable

from returns.result import Failure, Success

from sardinehook.errors import ErrorKind, Problem
from sardinehook.gateway.answer import CallerAnswer, error_answer
from sardinehook.gateway.configuration import Route
from sardinehook.gateway.delegates import DELEGATION_FULL, Delegate, Delegates
from sardinehook.gateway.interfaces import CallerRequest
from sardinehook.gateway.policy import RequestPolicy, request_deadline
from sardinehook.gateway.search_codec import SEARCH_PATH, decode_answer, encode_search
from sardinehook.gateway.unexpected import answers_errors
from sardinehook.transport.connection import (
    ClientConnection,
    ExchangeEnd,
    Lost,
    Malformed,
    Replied,
)

__all__ = ["DelegatedSearch"]

REFUSED_AVOID_S = 0.5  # both gateways have the same configuration by then
KEEP_ALIVE_S = 30.0  # less than the idle timeout of gateways
SERVICE_UNAVAILABLE = 503
OK = 200


class DelegatedSearch:
    """One delegated search; ``finish`` is called once with the answer.

    If the delegate certainly did not start it, ``start_local_search`` is called
    instead. If the search was lost after that, the caller gets an error at once and
    may retry: a local search could exceed the attempts that the route allows.
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
        self.was_sent = False
        self.adapts = policy.directory.adapts_to_load

    @answers_errors
    def start(self) -> None:
        """Request a connection to the delegate."""
        self.delegate.searches[self] = None
        self.delegate.pool.acquire(self.connected)

    @answers_errors
    def connected(self, connection: ClientConnection | None) -> None:
        """Send the search, or search locally if there is no connection."""
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
        self.was_sent = True
        connection.exchange(head + body, self.exchange_ended)

    @answers_errors
    def exchange_ended(self, end: ExchangeEnd) -> None:
        """Process the end of the exchange with the delegate."""
        match end:
            case Replied(reply):
                if self.connection is not None:
                    self.delegate.pool.release(self.connection, KEEP_ALIVE_S)
                if reply.status == SERVICE_UNAVAILABLE:
                    self.record_refusal(reply.body.decode("latin-1"))
                    self.search_locally()
                elif self.adapts and 400 <= reply.status < 500:
                    # Its HTTP server rejected the message before any search began.
                    self.delegates.avoid(self.delegate, f"status {reply.status}")
                    self.search_locally()
                elif reply.status != OK:
                    self.fail(f"status {reply.status}")
                else:
                    self.accept_answer(reply.body)
            case Malformed(detail) | Lost(detail):
                self.delegates.avoid(self.delegate, detail)
                self.fail(detail)

    def record_refusal(self, reason: str) -> None:
        """Pass over the delegate for a while, which is short if it is only full."""
        if self.adapts and reason == DELEGATION_FULL:
            self.delegate.load.record_full(self.reactor.seconds())
        else:
            self.delegates.avoid(self.delegate, reason, REFUSED_AVOID_S)

    def accept_answer(self, body: bytes) -> None:
        """Decode the delegate's answer and finish with it."""
        match decode_answer(body):
            case Success(wire):
                now = self.reactor.seconds()
                took_s = now - self.request.received_at
                objective_s = self.route.objective_s
                self.delegate.load.observe_answer(took_s / objective_s, now)
                self.hedges = wire.hedges
                self.repeats = wire.repeats
                headers = tuple(wire.headers)
                self.complete(
                    CallerAnswer(
                        wire.status, headers, wire.body, wire.outcome, wire.detail
                    )
                )
            case Failure(detail):
                self.fail(str(detail))

    def search_locally(self) -> None:
        """Search locally after the delegate refused or was unreachable."""
        self.detach()
        self.settled = True
        self.start_local_search()

    def fail(self, reason: str) -> None:
        """Drop the connection and answer that the outcome is unknown."""
        if self.settled:
            return
        if self.adapts and not self.was_sent:
            self.replace_unsent(reason)
            return
        connection, self.connection = self.connection, None
        if connection is not None and connection.finish is not None:
            connection.abort()
        detail = f"{self.delegate.name}: {reason}"
        self.complete(error_answer(Problem(ErrorKind.OUTCOME_UNKNOWN, detail)))

    def replace_unsent(self, reason: str) -> None:
        """Search elsewhere if there is time; nothing was sent to the delegate."""
        if self.reactor.seconds() < self.deadline_at:
            self.search_locally()
            return
        detail = f"{self.delegate.name}: {reason}, before the search was sent"
        self.complete(error_answer(Problem(ErrorKind.TARGET_UNAVAILABLE, detail)))

    def fail_unexpectedly(self) -> None:
        """Answer after an unexpected error."""
        self.fail("unexpected error in the gateway")

    def complete(self, answer: CallerAnswer) -> None:
        """Detach from the delegate and finish with ``answer``, once."""
        self.detach()
        if not self.settled:
            self.settled = True
            self.finish(answer)

    def detach(self) -> None:
        """Remove the search from the delegate and from its connection pool."""
        self.delegate.searches.pop(self, None)
        self.delegate.pool.cancel(self.connected)

    def cancel(self) -> None:
        """Stop after the caller disconnected; the connection is closed."""
        if self.settled:
            return
        self.settled = True
        self.detach()
        if self.connection is not None and self.connection.finish is not None:
            self.connection.abort()
