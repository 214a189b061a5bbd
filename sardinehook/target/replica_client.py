"""Serves one replica: admission, queue, allowance and what others are told."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from sardinehook.environment.document import Index, Replica
from sardinehook.messages import Outcome, ReplicaView, TargetState
from sardinehook.target.allowance import Allowance
from sardinehook.target.codec import TargetReply
from sardinehook.target.event_log import ReplicaEventLog
from sardinehook.target.exchanges import ExchangeEvents, ExchangeIds, Exchanges
from sardinehook.target.health import ReplicaHealth
from sardinehook.target.limits import OwnerLimits
from sardinehook.target.outcome import Result
from sardinehook.target.pool import ConnectionPool, PoolEvents, TargetAddress
from sardinehook.target.replica_queue import ReplicaQueue
from sardinehook.target.task import Task
from sardinehook.transport.reactor import TcpReactor

__all__ = ["ClientContext", "ReplicaClient"]

SPARE_CONNECTIONS = 1
ORDER_MAX_IDLE_S = 0.25
MIN_SEND_S = 0.001
NO_ALLOWANCE = Allowance(0, 0, False)


class ClientContext(NamedTuple):
    """What the clients of one owner share.

    ``completed`` is told of each work that is having its reply and ``schedule_sweep`` of a
    client that has to be swept.
    """

    reactor: TcpReactor
    limits: OwnerLimits
    ids: ExchangeIds
    completed: Callable[[Task], None]
    schedule_sweep: Callable[[ReplicaClient], None]


class ReplicaClient:
    """Holds the queue, the allowance and the evidence of one replica."""

    def __init__(self, context: ClientContext, index: Index, replica: Replica) -> None:
        self.context = context
        self.reactor = context.reactor
        self.index = index
        self.replica = replica
        self.allowance = NO_ALLOWANCE
        self.health = ReplicaHealth(index)
        self.concurrency = self.health.concurrency
        self.availability = self.health.availability
        limits = context.limits
        self.queue = ReplicaQueue(limits.queue_length)
        self.pool = ConnectionPool(
            self.reactor,
            TargetAddress.parse(replica.address),
            limits,
            PoolEvents(self.connected, self.connect_failed, self.connection_ended),
        )
        self.event_log = ReplicaEventLog(replica.name, self.availability, self.pool)
        self.exchanges = Exchanges(
            context.ids,
            replica.address.encode(),
            limits.occupancy_margin_s,
            self.health,
            self.pool,
            ExchangeEvents(self.exchange_completed, self.requeue, self.dispatch),
        )

    @property
    def has_allowance(self) -> bool:
        """Whether this owner may use a part of the replica."""
        return self.allowance is not NO_ALLOWANCE

    @property
    def accepts_work(self) -> bool:
        """Whether new work may be sent."""
        return self.availability.accepts_work(self.allowance.may_serve_cold)

    @property
    def has_work(self) -> bool:
        """Whether anything is queued or may be running."""
        return bool(self.queue.entries) or self.exchanges.in_flight > 0

    @property
    def needs_sweep(self) -> bool:
        """Whether any deadline has to be watched."""
        return bool(self.queue.entries) or self.exchanges.needs_sweep

    def configure(self, index: Index) -> None:
        """Take new figures for what the replica bears."""
        self.index = index
        self.concurrency.cold_start_slots = index.cold_start_slots

    def set_allowance(self, allowance: Allowance | None) -> None:
        """Take a new allowance; without one nothing new is sent."""
        self.event_log.log_allowance(self.has_allowance, allowance is not None)
        if allowance is None:
            self.allowance = NO_ALLOWANCE
            self.refuse_queue("the replica has another owner")
            self.concurrency.reset_to_unknown()
        else:
            self.allowance = allowance
            self.concurrency.set_slots(allowance.slots)
        self.pool.set_allowance(self.allowance.connections)
        self.dispatch()

    def update_vm_state(self, listed: TargetState, incarnation: str) -> None:
        """Take what the platform's list of VMs says of the replica."""
        self.availability.update_vm_state(listed, incarnation)
        self.refuse_if_unavailable()
        self.event_log.log_changes()

    def update_peer_view(self, state: TargetState) -> None:
        """Take the state that another owner has told."""
        if self.allowance.may_serve_cold or not self.has_allowance:
            return
        if state is TargetState.WARM:
            self.concurrency.assume_warm()
        elif self.concurrency.state is TargetState.WARM:
            self.concurrency.reset_to_unknown()
            self.refuse_if_unavailable()

    def submit(self, task: Task) -> None:
        """Queue ``task`` or refuse it at once."""
        refusal = self.refusal(task)
        if refusal:
            self.refuse(task, refusal)
            return
        self.exchanges.budget.record_request()
        if task.sub_query.order_key:
            task.active_since = task.received_at - ORDER_MAX_IDLE_S
        if not self.queue.entries and self.send_immediately(task):
            self.open_connections()
            return
        surplus = self.queue.push(task)
        if surplus is not None:
            self.refuse(surplus, "the queue is full")
        self.dispatch()

    def send_immediately(self, task: Task) -> bool:
        """Send ``task`` past the empty queue if a slot and a connection are free."""
        if self.exchanges.in_flight >= self.concurrency.limit:
            return False
        if task.deadline_at < task.received_at + MIN_SEND_S:
            return False
        connection = self.pool.acquire(task.active_since)
        if connection is None:
            return False
        self.exchanges.send(task, connection, task.received_at)
        return True

    def refusal(self, task: Task) -> str:
        """Return why ``task`` cannot be run, or an empty string."""
        if not self.has_allowance:
            return "the replica has another owner"
        if not self.accepts_work:
            return f"the replica is {self.availability.state.name.lower()}"
        ahead = self.exchanges.in_flight
        if self.queue.entries:
            ahead += self.queue.ahead_of(task.sub_query.priority, task.deadline_at)
        if ahead < self.concurrency.limit:
            return ""
        wait_s = self.health.wait_ms(ahead) / 1000.0
        if task.received_at + wait_s > task.deadline_at:
            return "the deadline is too short for the queue"
        return ""

    def dispatch(self) -> None:
        """Start what can be started and provide connections for the rest."""
        if self.exchanges.control.cancellations:
            self.exchanges.control.start()
        if self.queue.entries:
            self.start_queued(self.reactor.seconds())
        self.open_connections()

    def start_queued(self, now: float) -> None:
        """Send queued sub-queries while slots and connections are free."""
        likely_s = self.health.service_time.likely_ms / 1000.0
        needed_s = max(MIN_SEND_S, likely_s if self.exchanges.in_flight else 0.0)
        for task in self.queue.remove_unservable(now, needed_s):
            self.refuse(task, "the deadline passed in the queue")
        while self.queue.entries and self.accepts_work:
            if self.exchanges.in_flight >= self.concurrency.limit:
                return
            connection = self.pool.acquire(self.queue.entries[0].task.active_since)
            if connection is None:
                return
            self.exchanges.send(self.queue.pop(), connection, now)

    def open_connections(self) -> None:
        """Open connections early, since opening one takes milliseconds."""
        pool = self.pool
        waiting = self.queue.entries or self.exchanges.control.cancellations
        if not self.has_allowance or (pool.idle and not waiting):
            return
        wanted = len(self.exchanges.control.cancellations)
        if not self.availability.draining:
            wanted += SPARE_CONNECTIONS
        if self.queue.entries:
            free_slots = max(0, self.concurrency.limit - self.exchanges.in_flight)
            wanted += min(len(self.queue.entries), free_slots)
        if wanted > len(pool.idle) + pool.opening:
            pool.ensure_available(wanted)
        since = self.required_active_since() if waiting else 0.0
        if since:
            pool.ensure_available(1, since)

    def required_active_since(self) -> float:
        """Return since when a connection has to have shown life, if it matters."""
        since = 0.0
        if self.exchanges.control.cancellations:
            since = self.exchanges.control.cancellations[0].active_since
        if self.queue.entries:
            since = max(since, self.queue.entries[0].task.active_since)
        return since

    def cancel(self, task: Task) -> None:
        """Answer ``task`` as cancelled and abandon it at the target."""
        if self.queue.remove(task):
            result = Result(Outcome.CANCELLED, task.may_have_begun)
            self.complete(task, result, "cancelled in the queue")
            return
        self.complete(task, Result(Outcome.CANCELLED, True), "cancelled while running")
        self.exchanges.cancel(task)

    def sweep(self, now: float) -> None:
        """Enforce the deadlines of what is in flight and queued."""
        if self.exchanges.needs_sweep:
            self.exchanges.sweep(now)
        if self.queue.entries or self.exchanges.control.cancellations:
            self.dispatch()

    def maintain(self) -> None:
        """Do what is due now and then: ask for the status, close idle connections."""
        self.poll_status()
        self.pool.close_idle(self.index.slots + SPARE_CONNECTIONS)
        self.dispatch()
        self.event_log.log_changes()

    def poll_status(self) -> None:
        """Ask the replica for its own account of itself."""
        if self.availability.gone:
            return
        self.context.schedule_sweep(self)
        self.exchanges.control.poll_status(
            self.context.ids.new_id(),
            lambda reply: self.health.record_status(reply, self.reactor.seconds()),
        )

    def connected(self) -> None:
        """Take a new connection as evidence that the replica is there."""
        self.availability.connected()
        if not self.health.status.known:
            self.poll_status()
        self.dispatch()

    def connect_failed(self, cause: str, refused: bool) -> None:
        """Take a failed attempt as evidence that the replica has gone.

        Only a refusal tells so while other connections are open. Where none is,
        it shows that the process has ended, and its work with it.
        """
        connected = self.pool.open_count() > 0
        if refused and not connected:
            self.exchanges.occupancy.clear()
        if refused or not connected:
            self.availability.connect_failed()
            self.refuse_queue(f"no connection: {cause}")
        self.reactor.callLater(self.pool.backoff_s, self.open_connections)
        self.event_log.log_changes()

    def connection_ended(self, clean: bool) -> None:
        """Take the end of a connection by the target as evidence."""
        if not clean or not self.pool.open_count():
            self.concurrency.reset_to_cold("a lost connection")
        self.dispatch()
        self.event_log.log_changes()

    def refuse_if_unavailable(self) -> None:
        """Refuse what is queued for a replica that takes no work."""
        if not self.accepts_work:
            self.refuse_queue(f"the replica is {self.availability.state.name.lower()}")

    def refuse_queue(self, detail: str) -> None:
        """Refuse all that is queued."""
        for task in self.queue.remove_all():
            self.refuse(task, detail)

    def refuse(self, task: Task, detail: str) -> None:
        """Answer ``task`` as not run, or as lost if an earlier try may have run."""
        if task.may_have_begun:
            self.complete(task, Result(Outcome.CONNECTION_LOST, True), detail)
        else:
            self.complete(task, Result(Outcome.NOT_RUN, False), detail)

    def stop(self) -> None:
        """Answer what is left and close all connections."""
        self.refuse_queue("stopping")
        self.exchanges.stop()
        self.allowance = NO_ALLOWANCE
        self.pool.set_allowance(0)

    def exchange_completed(
        self, task: Task, result: Result, detail: str, reply: TargetReply | None
    ) -> None:
        """Answer work whose exchange has ended."""
        self.complete(task, result, detail, reply)
        if self.queue.entries:
            self.refuse_if_unavailable()
        if (
            self.concurrency.state is not self.event_log.state
            or self.availability.leaving
        ):
            self.event_log.log_changes()

    def requeue(self, task: Task) -> None:
        """Queue work whose first try was given up."""
        if self.accepts_work and self.has_allowance:
            self.queue.push(task)
            self.dispatch()
        else:
            self.refuse(task, "no reply in time")

    def complete(
        self,
        task: Task,
        result: Result,
        detail: str,
        reply: TargetReply | None = None,
    ) -> None:
        """Give ``task`` its reply, unless it has had it."""
        if not task.completed:
            self.context.completed(task)
            task.complete(result, detail, reply, self.reactor.seconds())

    def view(self) -> ReplicaView:
        """Return what other processes are told about the replica."""
        ahead = self.exchanges.in_flight + len(self.queue)
        room = max(0, self.concurrency.limit - ahead) if self.accepts_work else 0
        status = self.health.status
        return ReplicaView(
            self.replica.name,
            self.availability.state,
            status.index_versions,
            status.partitioning,
            self.health.wait_ms(ahead),
            room,
        )
