"""Sends requests to replicas and classifies how each one ends."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from sardinehook.gateway.directory import Directory
from sardinehook.gateway.interfaces import CallerRequest, ReplicaCodec, ReplicaReply
from sardinehook.gateway.reactor import GatewayReactor
from sardinehook.gateway.replica import Replica
from sardinehook.observe.errors import log_error
from sardinehook.transport.connection import (
    ClientConnection,
    ExchangeEnd,
    Lost,
    Malformed,
    Replied,
)

__all__ = [
    "Answered",
    "Dispatcher",
    "Exchange",
    "ExchangeMonitor",
    "ExchangeOutcome",
    "Failed",
    "NotRun",
]

MIN_SEND_TIME_S = 0.002  # with less time left, a request is not sent
MIN_BASELINE_S = 0.0001  # keeps latency ratios finite
OVERDUE_RATIO = 1.5  # expected total time of an overdue reply per time waited
NEW_CONNECTION_S = 0.1  # one lost sooner was beyond the replica's limit
CONNECTION_GRACE_S = 0.15  # from the deadline to the abort of the connection


@dataclass(frozen=True, slots=True)
class Answered:
    """The replica processed the request; the reply may report an error."""

    reply: ReplicaReply


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request did not run: it was refused after being ``sent``, or never sent."""

    detail: str
    sent: bool


@dataclass(frozen=True, slots=True)
class Failed:
    """The request may have run, but there is no valid reply."""

    detail: str


ExchangeOutcome = Answered | NotRun | Failed


class Exchange:
    """One request to one replica, from the wait for a connection to its outcome.

    ``sent_at`` is zero until the request has been written. ``expected_service_times``
    is how many service times the reply was expected to take then, queueing included,
    and ``expected_s`` how long that was expected to be, zero if it is not known.
    """

    __slots__ = (
        "connection",
        "deadline_at",
        "on_end",
        "done",
        "replica",
        "request",
        "sent_at",
        "started_at",
        "waiter",
        "expected_s",
        "expected_service_times",
        "was_overdue",
    )

    def __init__(
        self,
        request: CallerRequest,
        replica: Replica,
        started_at: float,
        deadline_at: float,
        on_end: Callable[[Exchange, ExchangeOutcome], None],
    ) -> None:
        self.request = request
        self.replica = replica
        self.started_at = started_at
        self.deadline_at = deadline_at
        self.on_end = on_end
        self.sent_at = 0.0
        self.expected_service_times = 1.0
        self.expected_s = 0.0
        self.done = False
        self.was_overdue = False
        self.connection: ClientConnection | None = None
        self.waiter: Callable[[ClientConnection | None], None] | None = None


class ExchangeMonitor(Protocol):
    """Is told of the start and the end of each exchange."""

    def started(self, exchange: Exchange) -> None:
        """Handle the start of an exchange, which may still wait for a connection."""
        ...

    def ended(self, exchange: Exchange, outcome: ExchangeOutcome) -> None:
        """Handle the end of an exchange; ``sent_at`` is zero if it was not sent."""
        ...

    def abandoned(self, exchange: Exchange) -> None:
        """Handle that the outcome of an exchange is not waited for any longer."""
        ...


class Dispatcher:
    """Starts exchanges with replicas, classifies their outcomes, abandons them."""

    def __init__(
        self,
        reactor: GatewayReactor,
        codec: ReplicaCodec,
        directory: Directory,
    ) -> None:
        self.reactor = reactor
        self.codec = codec
        self.directory = directory
        self.exchanges: dict[Exchange, None] = {}
        self.on_new_connection_lost: Callable[[], object] = int
        self.monitor: ExchangeMonitor | None = None

    def start(self, exchange: Exchange) -> None:
        """Send the request of an exchange.

        Its ``on_end`` is called once, possibly before this returns, unless the exchange
        is abandoned.
        """
        replica = exchange.replica
        exchange.expected_service_times = self.expected_service_times(exchange)
        self.exchanges[exchange] = None
        replica.in_flight[exchange] = None
        if self.monitor is not None:
            self.monitor.started(exchange)
        self.directory.reachability.record_request(
            replica.entry.data_centre, replica.replica_id, exchange.started_at
        )

        def connection_acquired(connection: ClientConnection | None) -> None:
            exchange.waiter = None
            self.connection_acquired(exchange, connection)

        exchange.waiter = connection_acquired
        replica.pool.acquire(connection_acquired)

    def expected_service_times(self, exchange: Exchange) -> float:
        """Return how many service times an exchange that starts now will take."""
        replica, now = exchange.replica, exchange.started_at
        if self.directory.adapts_to_load:
            return replica.forecast(now).service_times
        return replica.expected_service_times(now)

    def connection_acquired(
        self, exchange: Exchange, connection: ClientConnection | None
    ) -> None:
        """Write the request, or end the exchange if that is not possible."""
        try:
            self.send(exchange, connection)
        except Exception as error:
            log_error(error)
            if connection is not None:
                connection.abort()
            self.end(exchange, unexpected_outcome(exchange))

    def send(self, exchange: Exchange, connection: ClientConnection | None) -> None:
        """Write the request, or end the exchange if there is no connection."""
        if connection is None:
            self.directory.pacer.observe_failure(
                exchange.replica, self.reactor.seconds()
            )
            self.end(exchange, NotRun("no connection to the replica", False))
            return
        now = self.reactor.seconds()
        remaining_s = exchange.deadline_at - now
        if remaining_s < MIN_SEND_TIME_S:
            self.end(exchange, NotRun("no connection before the deadline", False))
            return
        replica = exchange.replica
        request = exchange.request
        encoded = self.codec.encode_request(request, replica.replica_id, remaining_s)
        exchange.sent_at = now
        exchange.connection = connection
        if replica.is_cold(now):
            replica.cold_sends.add(1, now)
        if replica.window is not None:
            replica.window.record_sent(now, exchange.expected_s)
        if replica.notices.rate_share is not None:
            replica.notices.rate_share.record_sent(now)
        connection.exchange(
            encoded,
            lambda end: self.exchange_ended(exchange, end),
            request.method == b"HEAD",
        )

    def exchange_ended(self, exchange: Exchange, end: ExchangeEnd) -> None:
        """Classify how an exchange ended on its connection, and report the outcome."""
        try:
            outcome = self.read_end(exchange, end)
        except Exception as error:
            log_error(error)
            if exchange.connection is not None and exchange.connection.is_open:
                exchange.connection.abort()
            outcome = unexpected_outcome(exchange)
        self.end(exchange, outcome)

    def read_end(self, exchange: Exchange, end: ExchangeEnd) -> ExchangeOutcome:
        """Return the outcome of an exchange, and release its connection."""
        now = self.reactor.seconds()
        replica = exchange.replica
        match end:
            case Replied(raw):
                self.directory.reachability.record_response(
                    replica.entry.data_centre, now
                )
                reply = self.codec.read_reply(raw, exchange.request.request_id)
                outcome = self.classify(exchange, reply, now)
                self.release_connection(exchange, reply)
                return outcome
            case Malformed(detail) | Lost(detail):
                replica.observe_result(True, now)
                self.observe_reset(exchange, now)
                self.directory.pacer.observe_failure(replica, now)
                return Failed(detail)

    def observe_reset(self, exchange: Exchange, now: float) -> None:
        """Back off if the replica has closed a connection that was just opened."""
        connection = exchange.connection
        if connection is None or connection.exchanges > 1:
            return
        if now < connection.idle_since + NEW_CONNECTION_S:
            self.on_new_connection_lost()
            exchange.replica.pool.record_reset()

    def classify(
        self, exchange: Exchange, reply: ReplicaReply, now: float
    ) -> ExchangeOutcome:
        """Return the outcome that a complete reply means for the request."""
        replica = exchange.replica
        if reply.mismatched:
            replica.observe_result(True, now)
            return Failed("reply carries the id of another request")
        if self.repeats_reply(exchange, reply):
            replica.observe_result(True, now)
            return Failed("reply repeats an earlier one on its connection")
        if reply.load is not None:
            replica.observe_load(reply.load, now)
            if reply.load.work_ratio is not None:
                self.directory.record_stated_work()
        if reply.cold_left_s is not None:
            self.directory.set_cold(replica, reply.cold_left_s, now)
        if reply.misdirected:
            self.directory.discard_misdirected(replica)
            return NotRun("address belongs to another replica", True)
        self.directory.observe_notices(replica, reply.notices, now)
        if reply.notices.pause_s:
            self.end_waiting(replica)
        if reply.not_run:
            replica.observe_result(True, now)
            self.directory.pacer.observe_refusal(replica, now)
            return NotRun(f"refused with status {reply.status}", True)
        replica.observe_result(not reply.is_success and reply.status >= 500, now)
        return Answered(reply)

    def repeats_reply(self, exchange: Exchange, reply: ReplicaReply) -> bool:
        """Return whether a reply is a second copy of one to an earlier request.

        Signatures are unique. A copy that arrives late may be read in place of the
        reply that is due; its connection is not used again.
        """
        connection, signature = exchange.connection, reply.signature
        if connection is None or signature is None:
            return False
        if signature in connection.recent_signatures:
            connection.abort()
            return True
        connection.recent_signatures.append(signature)
        return False

    def end_waiting(self, replica: Replica) -> None:
        """End the exchanges that wait for a connection to a replica that paused."""
        for exchange in [one for one in replica.in_flight if one.waiter is not None]:
            if exchange.waiter is not None and replica.pool.cancel(exchange.waiter):
                exchange.waiter = None
                self.end(exchange, NotRun("replica asked for a pause", False))

    def release_connection(self, exchange: Exchange, reply: ReplicaReply) -> None:
        """Return the connection to its pool, unless the reply is mismatched."""
        connection = exchange.connection
        if connection is None or not connection.is_open:
            return
        if reply.mismatched:
            connection.abort()
        else:
            exchange.replica.pool.release(connection, reply.keep_alive_s)

    def end(self, exchange: Exchange, outcome: ExchangeOutcome) -> None:
        """Report the outcome of an exchange, at most once."""
        exchange.replica.in_flight.pop(exchange, None)
        self.exchanges.pop(exchange, None)
        if not exchange.done:
            exchange.done = True
            if self.monitor is not None:
                self.monitor.ended(exchange, outcome)
            exchange.on_end(exchange, outcome)

    def observe_reply_time(
        self, exchange: Exchange, baseline_s: float, now: float
    ) -> float:
        """Record how slow the replica was, queueing aside; return the reply time."""
        took_s = now - exchange.sent_at
        replica = exchange.replica
        expected_s = max(baseline_s, MIN_BASELINE_S) * exchange.expected_service_times
        ratio = took_s / expected_s
        if self.directory.adapts_to_load:
            ratio = replica.speed.observe_reply(ratio, now)
        if not exchange.was_overdue:
            replica.observe_latency(ratio, now)
        if replica.window is not None:
            self.directory.pacer.observe_answer(replica, ratio, now)
        return took_s

    def observe_overdue(
        self, exchange: Exchange, baseline_s: float, now: float
    ) -> None:
        """Record the slowdown that an overdue reply implies before it arrives."""
        if exchange.sent_at:
            waited_s = OVERDUE_RATIO * (now - exchange.sent_at)
            expected_s = (
                max(baseline_s, MIN_BASELINE_S) * exchange.expected_service_times
            )
            exchange.was_overdue = True
            ratio = waited_s / expected_s
            if self.directory.adapts_to_load:
                ratio = exchange.replica.speed.normalise(ratio, now)
            exchange.replica.observe_overdue(ratio, now)

    def abandon(self, exchange: Exchange) -> None:
        """Abandon an exchange; closing its connection makes the replica stop work."""
        if self.monitor is not None and not exchange.done:
            self.monitor.abandoned(exchange)
        exchange.done = True
        self.exchanges.pop(exchange, None)
        exchange.replica.in_flight.pop(exchange, None)
        if exchange.waiter is not None:
            exchange.replica.pool.cancel(exchange.waiter)
        elif exchange.connection is not None and exchange.connection.finish is not None:
            exchange.connection.abort()

    def sweep(self, now: float) -> None:
        """End the exchanges that are past their deadline.

        The connection of one that was sent is aborted ``CONNECTION_GRACE_S`` after
        the deadline.
        """
        for exchange in list(self.exchanges):
            if now < exchange.deadline_at:
                continue
            if exchange.waiter is not None:
                exchange.replica.pool.cancel(exchange.waiter)
                exchange.waiter = None
                self.end(exchange, NotRun("no connection before the deadline", False))
            elif now >= exchange.deadline_at + CONNECTION_GRACE_S:
                connection = exchange.connection
                exchange.replica.observe_result(True, now)
                if connection is not None and connection.finish is not None:
                    connection.abort()
                self.end(exchange, Failed("no reply before the deadline"))


def unexpected_outcome(exchange: Exchange) -> ExchangeOutcome:
    """Return the outcome of an exchange that an unexpected error has ended."""
    detail = "unexpected error in the gateway"
    return Failed(detail) if exchange.sent_at else NotRun(detail, False)
