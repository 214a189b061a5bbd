"""Client of one replica: admission control, queueing, dispatch and its view."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from sardinehook.environment.document import Index, Replica
from sardinehook.messages import Outcome, ReplicaReport, TargetState
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

SPARE_CONNECTIONS = 1  # opened ahead of demand
ORDER_MAX_IDLE_S = 0.25  # orders avoid connections idle for longer
MIN_SEND_S = 0.001
NO_ALLOWANCE = Allowance(0, 0, False)


class ClientContext(NamedTuple):
    """State and callbacks shared by the clients of one owner.

    ``completed`` is called with each task that is given its reply,
    ``schedule_sweep`` with a client that needs to be swept.
    """

    reactor: TcpReactor
    limits: OwnerLimits
    ids: ExchangeIds
    completed: Callable[[Task], None]
    schedule_sweep: Callable[[ReplicaClient], None]


class ReplicaClient:
    """Admits, queues and sends sub-queries to one replica within an allowance."""

    def __init__(self, context: ClientContext, index: Index, replica: Replica) -> None:
        self.context = context
        self.reactor = context.reactor
        self.index = index
        self.replica = replica
        self.allowance = NO_ALLOWANCE
        self.health = ReplicaHealth(index)
        self.ramp = self.health.ramp
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
        """Whether this owner has an allowance for the replica."""
        return self.allowance is not NO_ALLOWANCE

    @property
    def accepts_work(self) -> bool:
        """Whether new sub-queries may be sent."""
        return self.availability.accepts_work(self.allowance.may_serve_cold)

    @property
    def has_work(self) -> bool:
        """Whether anything is queued or may be running."""
        return bool(self.queue.entries) or self.exchanges.in_flight > 0

    @property
    def needs_sweep(self) -> bool:
        """Whether any deadline is pending."""
        return bool(self.queue.entries) or self.exchanges.needs_sweep

    def configure(self, index: Index) -> None:
        """Apply the settings of the replica's index."""
        self.index = index
        self.ramp.cold_start_slots = index.cold_start_slots

    def set_allowance(self, allowance: Allowance | None) -> None:
        """Change the allowance; without one the queue is refused."""
        self.event_log.log_allowance(self.has_allowance, allowance is not None)
        if allowance is None:
            self.allowance = NO_ALLOWANCE
            self.refuse_queue("this owner has no allowance for the replica")
            self.ramp.reset_to_unknown()
        else:
            self.allowance = allowance
            self.ramp.set_slots(allowance.slots)
        self.pool.set_allowance(self.allowance.connections)
        self.dispatch()

    def update_vm_state(self, listed: TargetState, incarnation: str) -> None:
        """Apply the state of the replica's VM from the platform's list of VMs."""
        self.availability.update_vm_state(listed, incarnation)
        self.refuse_if_unavailable()
        self.event_log.log_changes()

    def update_peer_view(self, state: TargetState) -> None:
        """Apply the state seen by another owner if it cannot be observed here."""
        if self.allowance.may_serve_cold or not self.has_allowance:
            return
        if state is TargetState.WARM:
            self.ramp.assume_warm()
        elif self.ramp.state is TargetState.WARM:
            self.ramp.reset_to_unknown()
            self.refuse_if_unavailable()

    def submit(self, task: Task) -> None:
        """Send or queue ``task``, or refuse it at once."""
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
        """Send ``task`` without queueing if a slot and a connection are free."""
        if self.exchanges.in_flight >= self.ramp.bound:
            return False
        if task.deadline_at < task.received_at + MIN_SEND_S:
            return False
        connection = self.pool.acquire(task.active_since)
        if connection is None:
            return False
        self.exchanges.send(task, connection, task.received_at)
        return True

    def refusal(self, task: Task) -> str:
        """Return why ``task`` is not admitted, or an empty string."""
        if not self.has_allowance:
            return "this owner has no allowance for the replica"
        if not self.accepts_work:
            return f"the replica is {self.availability.state.name.lower()}"
        ahead = self.exchanges.in_flight
        if self.queue.entries:
            ahead += self.queue.ahead_of(task.sub_query.priority, task.deadline_at)
        if ahead < self.ramp.bound:
            return ""
        wait_s = self.health.wait_ms(ahead) / 1000.0
        if task.received_at + wait_s > task.deadline_at:
            return "expected to miss the deadline in the queue"
        return ""

    def dispatch(self) -> None:
        """Send what can be sent and open connections for the rest."""
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
            self.refuse(task, "too little time left after waiting in the queue")
        while self.queue.entries and self.accepts_work:
            if self.exchanges.in_flight >= self.ramp.bound:
                return
            connection = self.pool.acquire(self.queue.entries[0].task.active_since)
            if connection is None:
                return
            self.exchanges.send(self.queue.pop(), connection, now)

    def open_connections(self) -> None:
        """Open connections ahead of demand, since opening one takes milliseconds."""
        pool = self.pool
        waiting = self.queue.entries or self.exchanges.control.cancellations
        if not self.has_allowance or (pool.idle and not waiting):
            return
        wanted = len(self.exchanges.control.cancellations)
        if not self.availability.draining:
            wanted += SPARE_CONNECTIONS
        if self.queue.entries:
            free_slots = max(0, self.ramp.bound - self.exchanges.in_flight)
            wanted += min(len(self.queue.entries), free_slots)
        if wanted > len(pool.idle) + pool.opening:
            pool.ensure_available(wanted)
        since = self.required_active_since() if waiting else 0.0
        if since:
            pool.ensure_available(1, since)

    def required_active_since(self) -> float:
        """Return since when the next connection must have been used, or zero."""
        since = 0.0
        if self.exchanges.control.cancellations:
            since = self.exchanges.control.cancellations[0].active_since
        if self.queue.entries:
            since = max(since, self.queue.entries[0].task.active_since)
        return since

    def cancel(self, task: Task) -> None:
        """Complete ``task`` as cancelled and cancel it at the target."""
        if self.queue.remove(task):
            result = Result(Outcome.CANCELLED, task.may_have_begun)
            self.complete(task, result, "cancelled in the queue")
            return
        self.complete(task, Result(Outcome.CANCELLED, True), "cancelled while running")
        self.exchanges.cancel(task)

    def sweep(self, now: float) -> None:
        """Enforce the deadlines of sub-queries in flight and queued."""
        if self.exchanges.needs_sweep:
            self.exchanges.sweep(now)
        if self.queue.entries or self.exchanges.control.cancellations:
            self.dispatch()

    def maintain(self) -> None:
        """Poll the status, close idle connections and log changes."""
        self.poll_status()
        self.pool.close_idle(self.index.slots + SPARE_CONNECTIONS)
        self.dispatch()
        self.event_log.log_changes()

    def poll_status(self) -> None:
        """Request the replica's status, unless it cannot be reached."""
        if self.availability.gone:
            return
        self.context.schedule_sweep(self)
        self.exchanges.control.poll_status(
            self.context.ids.new_id(),
            lambda reply: self.health.record_status(reply, self.reactor.seconds()),
        )

    def connected(self) -> None:
        """Record that the replica can be reached and poll an unknown status."""
        self.availability.connected()
        if not self.health.status.known:
            self.poll_status()
        self.dispatch()

    def connect_failed(self, cause: str, refused: bool) -> None:
        """Mark the replica as gone if a failed attempt shows it.

        While other connections are open, only a refusal does. A refusal without an
        open connection means that the process has ended, so nothing runs there.
        """
        connected = self.pool.open_count() > 0
        if refused and not connected:
            self.exchanges.occupancy.clear()
        if refused or not connected:
            self.availability.connect_failed()
            self.refuse_queue(f"cannot connect to the replica: {cause}")
        self.reactor.callLater(self.pool.backoff_s, self.open_connections)
        self.event_log.log_changes()

    def connection_ended(self, clean: bool) -> None:
        """Treat the replica as cold after an unclean close or that of the last one."""
        if not clean or not self.pool.open_count():
            self.ramp.reset_to_cold("connection lost")
        self.dispatch()
        self.event_log.log_changes()

    def refuse_if_unavailable(self) -> None:
        """Refuse the queue if the replica accepts no new sub-queries."""
        if not self.accepts_work:
            self.refuse_queue(f"the replica is {self.availability.state.name.lower()}")

    def refuse_queue(self, detail: str) -> None:
        """Refuse all queued sub-queries."""
        for task in self.queue.remove_all():
            self.refuse(task, detail)

    def refuse(self, task: Task, detail: str) -> None:
        """Complete ``task`` as not run, or as lost if an earlier try may have run."""
        if task.may_have_begun:
            self.complete(task, Result(Outcome.CONNECTION_LOST, True), detail)
        else:
            self.complete(task, Result(Outcome.NOT_RUN, False), detail)

    def stop(self) -> None:
        """Complete the remaining tasks and close all connections."""
        self.refuse_queue("the owner is stopping")
        self.exchanges.stop()
        self.allowance = NO_ALLOWANCE
        self.pool.set_allowance(0)

    def exchange_completed(
        self, task: Task, result: Result, detail: str, reply: TargetReply | None
    ) -> None:
        """Complete a task and react to a change of the replica's state."""
        self.complete(task, result, detail, reply)
        if self.queue.entries:
            self.refuse_if_unavailable()
        if self.ramp.state is not self.event_log.state or self.availability.leaving:
            self.event_log.log_changes()

    def requeue(self, task: Task) -> None:
        """Queue a task for its retry."""
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
        """Give ``task`` its reply unless it already has one."""
        if not task.completed:
            self.context.completed(task)
            task.complete(result, detail, reply, self.reactor.seconds())

    def view(self) -> ReplicaReport:
        """Return the view of the replica that is published to other processes."""
        ahead = self.exchanges.in_flight + len(self.queue)
        room = max(0, self.ramp.bound - ahead) if self.accepts_work else 0
        status = self.health.status
        return ReplicaReport(
            self.replica.name,
            self.availability.state,
            status.index_versions,
            status.partitioning,
            self.health.wait_ms(ahead),
            room,
        )
