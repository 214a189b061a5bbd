"""Request/reply exchanges with one target: sending, retry, probing, cancellation."""

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
    """Generates exchange ids that are unique across owners, by a random prefix.

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
    """Callbacks for sub-queries that were sent.

    ``completed`` is called with the task, its result, a detail and the target's reply
    if there is one; ``requeue`` with a task to be queued for a retry, and
    ``capacity_changed`` when slots or connections may have become free.
    """

    completed: Callable[[Task, Result, str, TargetReply | None], None]
    requeue: Callable[[Task], None]
    capacity_changed: Callable[[], None]


@dataclass(slots=True, eq=False)
class RunningExchange:
    """One exchange with the target.

    After ``expires_at`` the target cannot be working on it any more. At ``probe_at``
    the connection is probed if no byte was received. ``probed`` is set once the
    target was asked to cancel the exchange so that its task can be retried,
    ``abandoned`` once the task no longer depends on this exchange.
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
    """Sends sub-queries to one target and handles how their exchanges end."""

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
        self.ramp = health.ramp
        self.pool = pool
        self.reactor = pool.reactor
        self.events = events
        self.control = ControlExchanges(pool, host)
        self.budget = RetryBudget()
        self.occupancy = Occupancy()
        self.running: dict[bytes, RunningExchange] = {}

    @property
    def in_flight(self) -> int:
        """Upper bound on the number of sub-queries that run at the target."""
        return len(self.occupancy.expires_at)

    @property
    def needs_sweep(self) -> bool:
        """Whether any deadline is pending."""
        return bool(self.running or self.occupancy.expires_at or self.control.pending)

    def send(self, task: Task, connection: TargetConnection, now: float) -> None:
        """Send ``task`` over ``connection`` with the time left as its deadline."""
        left_s = task.deadline_at - now
        exchange_id = self.ids.new_id()
        expires_at = task.deadline_at + self.occupancy_margin_s
        self.occupancy.begin(exchange_id, expires_at)
        at_limit = len(self.occupancy.expires_at) >= self.ramp.bound
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
        """Return when to probe the connection unless a byte has come by then.

        New connections, retries and orders are never probed.
        """
        if connection.exchanges == 0 or task.retries or task.sub_query.order_key:
            return NEVER
        delay_s = probe_delay_s(self.health.service_time.likely_ms, left_s)
        return NEVER if delay_s is None else now + delay_s

    def exchange_ended(self, running: RunningExchange, end: ExchangeEnd) -> None:
        """Complete or retry the task by how its exchange ended."""
        self.running.pop(running.exchange_id, None)
        match end:
            case Replied(reply):
                self.occupancy.end(running.exchange_id)
                self.pool.release(running.connection)
                if not running.abandoned:
                    self.record_reply(running, reply)
            case Malformed(detail):
                self.ramp.reset_to_cold("malformed reply")
                malformed = Result(Outcome.GARBLED, True)
                self.events.completed(running.task, malformed, detail, None)
            case Lost(detail):
                self.ramp.reset_to_cold("connection lost")
                self.retry(running, detail)
        self.events.capacity_changed()

    def record_reply(self, running: RunningExchange, reply: TargetReply) -> None:
        """Record a complete reply and complete its task."""
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
        """Requeue a search for its only retry, or complete it as connection lost."""
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
        """Tell whether a retry is safe, has a slot and can finish by the deadline."""
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
        return self.in_flight < self.ramp.bound

    def cancel(self, task: Task) -> None:
        """Cancel at the target a task that was completed as cancelled."""
        now = self.reactor.seconds()
        for running in list(self.running.values()):
            if running.task is task and not running.abandoned:
                self.health.record_cancelled_wait((now - running.sent_at) * 1000.0)
                self.abandon(running, 0.0)

    def abandon(self, running: RunningExchange, active_since: float) -> None:
        """Ask the target to cancel a search; an order is left to finish."""
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
        """Cancel the exchange over a recently used connection, to test its own."""
        running.probed = True
        running.probe_at = NEVER
        self.abandon(running, running.sent_at)

    def cancel_ended(self, running: RunningExchange, status: int) -> None:
        """Handle the end of a cancellation; ``status`` is zero without a reply.

        Without a reply the slot stays occupied. A target that does not know a probed
        exchange has not received its request, so its connection is unresponsive.
        """
        unanswered = running.exchange_id in self.running
        if status == CANCEL_CONFIRMED:
            self.occupancy.end(running.exchange_id)
        elif status == CANCEL_UNKNOWN and running.probed and unanswered:
            self.connection_unresponsive(running)
        if running.probed and unanswered and not running.abandoned and status:
            self.retry(running, "no reply in time")
        self.events.capacity_changed()

    def connection_unresponsive(self, running: RunningExchange) -> None:
        """Drop a connection whose request the target has not received.

        At a warm target the slot is free at once. At a cold one it stays occupied
        until the exchange expires, in case the request is running after all.
        """
        self.drop(running)
        if self.ramp.state is TargetState.WARM:
            self.occupancy.end(running.exchange_id)

    def sweep(self, now: float) -> None:
        """Enforce deadlines, probe silent connections and free expired slots."""
        for running in list(self.running.values()):
            self.check(running, now)
        if self.occupancy.expires_at:
            self.occupancy.expire(now)
        if self.control.pending:
            self.control.sweep(now)

    def check(self, running: RunningExchange, now: float) -> None:
        """Enforce the deadline, probe time and expiry of one exchange."""
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
        """Abort the connection of an exchange and idle ones not used since."""
        self.running.pop(running.exchange_id, None)
        running.connection.abandon()
        self.pool.close_inactive(running.sent_at)

    def stop(self) -> None:
        """Complete all exchanges as connection lost and abort their connections."""
        for running in list(self.running.values()):
            lost = Result(Outcome.CONNECTION_LOST, True)
            self.events.completed(running.task, lost, "the owner is stopping", None)
            running.connection.abandon()
        self.running.clear()
        for pending in self.control.pending:
            pending.connection.abandon()
