"""The exchanges with one target: sending, ends, cancellation and silence."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from itertools import count
from typing import NamedTuple

from sardinehook.messages import Outcome, TargetState
from sardinehook.target.codec import TargetReply, encode_sub_query
from sardinehook.target.connection import (
    ExchangeEnd,
    Lost,
    Malformed,
    Replied,
    TargetConnection,
)
from sardinehook.target.control import Cancellation, ControlExchanges
from sardinehook.target.health import ReplicaHealth
from sardinehook.target.occupancy import Occupancy
from sardinehook.target.outcome import Result, classify_reply
from sardinehook.target.pool import ConnectionPool
from sardinehook.target.retry import RetryBudget, probe_delay_s
from sardinehook.target.task import Task

__all__ = ["ExchangeEvents", "ExchangeIds", "Exchanges", "RunningExchange"]

CANCEL_CONFIRMED = 200
CANCEL_UNKNOWN = 404
NEVER = float("inf")


class ExchangeIds:
    """Ids that no other exchange of any owner has.

    >>> ids = ExchangeIds("a1b2")
    >>> ids.new_id(), ids.new_id()
    (b'a1b2-1', b'a1b2-2')
    """

    def __init__(self, prefix: str) -> None:
        self.prefix = prefix.encode()
        self.numbers = count(1)

    def new_id(self) -> bytes:
        """Return a new id."""
        return b"%b-%d" % (self.prefix, next(self.numbers))


class ExchangeEvents(NamedTuple):
    """What becomes of sub-queries that were sent.

    ``completed`` is called with the verdict on a sub-query, a detail and the target's
    reply if there is one; ``requeue`` with one to be queued once more; ``capacity_changed``
    when slots or connections may have become free.
    """

    completed: Callable[[Task, Result, str, TargetReply | None], None]
    requeue: Callable[[Task], None]
    capacity_changed: Callable[[], None]


@dataclass(slots=True, eq=False)
class RunningExchange:
    """One exchange with the target.

    ``expires_at`` is when the target has given up, ``probe_at`` when the connection is
    probed if no byte has come. ``probed`` is set once the target has been asked to
    abandon the exchange so that it can be tried again, ``abandoned`` once its work has
    gone on without it.
    """

    task: Task
    exchange_id: bytes
    connection: TargetConnection
    at_limit: bool
    sent_at: float
    expires_at: float
    probe_at: float
    probed: bool = False
    abandoned: bool = False


class Exchanges:
    """Sub-queries in flight at one target."""

    def __init__(
        self,
        ids: ExchangeIds,
        host: bytes,
        occupancy_margin_s: float,
        health: ReplicaHealth,
        pool: ConnectionPool,
        events: ExchangeEvents,
    ) -> None:
        self.ids = ids
        self.host = host
        self.occupancy_margin_s = occupancy_margin_s
        self.health = health
        self.concurrency = health.concurrency
        self.pool = pool
        self.reactor = pool.reactor
        self.events = events
        self.control = ControlExchanges(pool, host)
        self.budget = RetryBudget()
        self.occupancy = Occupancy()
        self.running: dict[bytes, RunningExchange] = {}

    @property
    def in_flight(self) -> int:
        """How many sub-queries may be running at the target."""
        return len(self.occupancy.expires_at)

    @property
    def needs_sweep(self) -> bool:
        """Whether any deadline has to be watched."""
        return bool(self.running or self.occupancy.expires_at or self.control.pending)

    def send(self, task: Task, connection: TargetConnection, now: float) -> None:
        """Send ``task`` to the target."""
        left_s = task.deadline_at - now
        exchange_id = self.ids.new_id()
        expires_at = task.deadline_at + self.occupancy_margin_s
        self.occupancy.begin(exchange_id, expires_at)
        at_limit = len(self.occupancy.expires_at) >= self.concurrency.limit
        probe_at = self.probe_time(task, connection, now, left_s)
        running = RunningExchange(
            task, exchange_id, connection, at_limit, now, expires_at, probe_at
        )
        self.running[exchange_id] = running
        if not task.sent_at:
            task.sent_at = now
        task.may_have_begun = True
        sub_query = task.sub_query
        connection.send_request(
            encode_sub_query(sub_query, self.host, exchange_id, int(left_s * 1000.0)),
            sub_query.request_id.encode(),
            exchange_id,
            partial(self.exchange_ended, running),
        )

    def probe_time(
        self, task: Task, connection: TargetConnection, now: float, left_s: float
    ) -> float:
        """Return when to doubt the connection if no byte has come by then."""
        if connection.exchanges == 0 or task.retries or task.sub_query.order_key:
            return NEVER
        bound_s = probe_delay_s(self.health.service_time.likely_ms, left_s)
        return NEVER if bound_s is None else now + bound_s

    def exchange_ended(self, running: RunningExchange, end: ExchangeEnd) -> None:
        """Settle the work by how its exchange ended."""
        self.running.pop(running.exchange_id, None)
        match end:
            case Replied(reply):
                self.occupancy.end(running.exchange_id)
                self.pool.release(running.connection)
                if not running.abandoned:
                    self.record_reply(running, reply)
            case Malformed(detail):
                self.concurrency.reset_to_cold("a garbled reply")
                garbled = Result(Outcome.GARBLED, True)
                self.events.completed(running.task, garbled, detail, None)
            case Lost(detail):
                self.concurrency.reset_to_cold("a lost connection")
                self.retry(running, detail)
        self.events.capacity_changed()

    def record_reply(self, running: RunningExchange, reply: TargetReply) -> None:
        """Take the evidence in a whole reply and settle the work."""
        now = self.reactor.seconds()
        task = running.task
        if running.probed and reply.status != 200:
            self.retry(running, "no reply in time")
            return
        result = classify_reply(task.sub_query, reply, now <= task.deadline_at)
        took_ms = (now - running.sent_at) * 1000.0
        self.health.record_reply(reply, result, took_ms, running.at_limit, now)
        if not task.completed:
            self.events.completed(task, result, "", reply)

    def retry(self, running: RunningExchange, detail: str) -> None:
        """Send a search once more over a live connection, or settle it as lost."""
        task = running.task
        running.abandoned = True
        if task.completed:
            return
        if self.may_retry(running) and self.budget.try_acquire():
            task.retries += 1
            task.active_since = running.sent_at
            self.events.requeue(task)
        else:
            lost = Result(Outcome.CONNECTION_LOST, True)
            self.events.completed(task, lost, detail, None)

    def may_retry(self, running: RunningExchange) -> bool:
        """Tell whether another try is safe, and can start and finish in time."""
        task = running.task
        if (
            task.retries
            or task.sub_query.order_key
            or running.connection.exchanges == 1
        ):
            return False
        likely_s = self.health.service_time.likely_ms / 1000.0
        if self.reactor.seconds() + likely_s >= task.deadline_at:
            return False
        return self.in_flight < self.concurrency.limit

    def cancel(self, task: Task) -> None:
        """Abandon a sub-query that has been answered as cancelled."""
        now = self.reactor.seconds()
        for running in list(self.running.values()):
            if running.task is task and not running.abandoned:
                self.health.record_cancelled_wait((now - running.sent_at) * 1000.0)
                self.abandon(running, 0.0)

    def abandon(self, running: RunningExchange, active_since: float) -> None:
        """Ask the target to stop a search; an order is left to finish."""
        if running.task.sub_query.order_key:
            return
        self.control.cancel(
            Cancellation(
                running.task.sub_query.request_id.encode(),
                running.exchange_id,
                active_since,
                lambda: running.exchange_id in self.occupancy.expires_at,
                partial(self.cancel_ended, running),
            )
        )
        self.events.capacity_changed()

    def probe(self, running: RunningExchange) -> None:
        """Find out over a live connection whether the target knows the exchange."""
        running.probed = True
        running.probe_at = NEVER
        self.abandon(running, running.sent_at)

    def cancel_ended(self, running: RunningExchange, status: int) -> None:
        """Take the target's answer to a cancellation; only its word frees a slot."""
        unanswered = running.exchange_id in self.running
        if status == CANCEL_CONFIRMED:
            self.occupancy.end(running.exchange_id)
        elif status == CANCEL_UNKNOWN and running.probed and unanswered:
            self.connection_unresponsive(running)
        if running.probed and unanswered and not running.abandoned and status:
            self.retry(running, "no reply in time")
        self.events.capacity_changed()

    def connection_unresponsive(self, running: RunningExchange) -> None:
        """Give up a connection whose request the target has not received.

        A warm target can be given the slot again. A cold one is spared the doubt
        until the deadline has passed.
        """
        self.drop(running)
        if self.concurrency.state is TargetState.WARM:
            self.occupancy.end(running.exchange_id)

    def sweep(self, now: float) -> None:
        """Settle what has passed its deadline and free what cannot run any more."""
        for running in list(self.running.values()):
            self.check(running, now)
        if self.occupancy.expires_at:
            self.occupancy.expire(now)
        if self.control.pending:
            self.control.sweep(now)

    def check(self, running: RunningExchange, now: float) -> None:
        """Enforce the deadline and the silence bound of one exchange."""
        task = running.task
        if now >= task.deadline_at and not task.completed:
            self.health.record_timeout((now - running.sent_at) * 1000.0)
            late = Result(Outcome.LATE, True)
            self.events.completed(task, late, "no reply in time", None)
        elif now >= running.probe_at and not task.completed:
            if running.connection.received_bytes == 0:
                self.probe(running)
            running.probe_at = NEVER
        if now >= running.expires_at:
            self.drop(running)

    def drop(self, running: RunningExchange) -> None:
        """Give up the connection of an exchange, and those that may be like it."""
        self.running.pop(running.exchange_id, None)
        running.connection.abandon()
        self.pool.close_inactive(running.sent_at)

    def stop(self) -> None:
        """Settle what is in flight as lost and close its connections."""
        for running in list(self.running.values()):
            lost = Result(Outcome.CONNECTION_LOST, True)
            self.events.completed(running.task, lost, "stopping", None)
            running.connection.abandon()
        self.running.clear()
        for pending in self.control.pending:
            pending.connection.abandon()
