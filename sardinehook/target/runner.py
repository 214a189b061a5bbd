"""Runs the sub-queries of one replica over its connections."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from itertools import count
from typing import NamedTuple

from sardinehook.environment.document import Index, Replica
from sardinehook.messages import (
    ANY_VERSION,
    Outcome,
    ReplicaView,
    SubReply,
    TargetState,
)
from sardinehook.target.allowance import Allowance
from sardinehook.target.cold_start import ColdStart
from sardinehook.target.connection import (
    ExchangeEnd,
    Garbled,
    Lost,
    Replied,
    TargetConnection,
)
from sardinehook.target.dialect import (
    TargetReply,
    encode_cancel,
    encode_status,
    encode_sub_query,
)
from sardinehook.target.limits import OwnerLimits
from sardinehook.target.load import ServiceTime
from sardinehook.target.occupancy import Occupancy
from sardinehook.target.pool import ConnectionPool, PoolEvents, TargetAddress
from sardinehook.target.reactor import TargetReactor
from sardinehook.target.replica import ReplicaQueue, Work
from sardinehook.target.standing import Standing
from sardinehook.target.status import ReplicaStatus, read_status

__all__ = ["ReplicaRunner", "RunnerContext"]

SPARE_CONNECTIONS = 1
NO_ALLOWANCE = Allowance(0, 0, False)


class RunnerContext(NamedTuple):
    """What the runners of one owner share.

    ``settled`` is told of each work that has had its reply. ``exchange_ids`` counts
    over all runners and ``prefix`` tells this owner's exchanges from another's.
    """

    reactor: TargetReactor
    limits: OwnerLimits
    prefix: str
    exchange_ids: count[int]
    settled: Callable[[Work], None]


@dataclass(slots=True, eq=False)
class Running:
    """One exchange with the target."""

    work: Work
    exchange_id: bytes
    connection: TargetConnection
    full_use: bool


class ReplicaRunner:
    """Holds the queue, the connections and the evidence of one replica."""

    def __init__(self, context: RunnerContext, index: Index, replica: Replica) -> None:
        self.context = context
        self.limits = context.limits
        self.reactor = context.reactor
        self.index = index
        self.replica = replica
        self.allowance = NO_ALLOWANCE
        self.ramp = ColdStart(index.cold_start_slots, index.slots)
        self.standing = Standing(self.ramp)
        self.service = ServiceTime()
        self.queue = ReplicaQueue(self.limits.queue_length)
        self.occupancy = Occupancy()
        self.running: dict[bytes, Running] = {}
        self.cancels: deque[Running] = deque()
        self.status = ReplicaStatus()
        self.host = replica.address.encode()
        events = PoolEvents(self.connected, self.connect_failed, self.connection_ended)
        self.pool = ConnectionPool(
            self.reactor, TargetAddress.parse(replica.address), self.limits, events
        )

    def configure(self, index: Index) -> None:
        """Take new figures for what the replica bears."""
        self.index = index
        self.ramp.cold_start_slots = index.cold_start_slots

    @property
    def holds_part(self) -> bool:
        """Whether this owner may use a part of the replica."""
        return self.allowance is not NO_ALLOWANCE

    @property
    def has_work(self) -> bool:
        """Whether anything is queued or may be running."""
        return bool(self.queue) or bool(self.occupancy)

    def set_allowance(self, allowance: Allowance | None) -> None:
        """Take a new allowance; without one nothing new is sent."""
        if allowance is None:
            self.allowance = NO_ALLOWANCE
            self.refuse_queue("the replica has another owner")
            self.ramp.forget()
        else:
            self.allowance = allowance
            self.ramp.set_slots(allowance.slots)
        self.pool.set_allowance(self.allowance.connections)
        self.pump()

    def submit(self, work: Work) -> None:
        """Queue ``work`` or refuse it at once."""
        refusal = self.refusal(work)
        if refusal:
            self.refuse(work, refusal)
            return
        surplus = self.queue.push(work)
        if surplus is not None:
            self.refuse(surplus, "the queue is full")
        self.pump()

    def refusal(self, work: Work) -> str:
        """Return why ``work`` cannot be run, or an empty string."""
        if not self.holds_part:
            return "the replica has another owner"
        if not self.standing.takes_work(self.allowance.may_serve_cold):
            return f"the replica is {self.standing.state.name.lower()}"
        ahead = len(self.occupancy) + self.queue.ahead_of(
            work.sub_query.priority, work.deadline_at
        )
        wait_s = self.wait_ms(ahead) / 1000.0
        if ahead and work.received_at + wait_s > work.deadline_at:
            return "the deadline is too short for the queue"
        return ""

    def wait_ms(self, ahead: int) -> float:
        """Estimate the time queued and served behind ``ahead`` others."""
        turns = ahead // max(1, self.ramp.bound)
        return turns * self.service.mean_ms + self.service.likely_ms

    def pump(self) -> None:
        """Start what can be started and provide connections for the rest."""
        now = self.reactor.seconds()
        self.start_cancels()
        if self.queue:
            self.drop_hopeless(now)
        takes_work = self.standing.takes_work(self.allowance.may_serve_cold)
        while takes_work and self.queue and len(self.occupancy) < self.ramp.bound:
            connection = self.pool.take()
            if connection is None:
                break
            self.send(self.queue.pop(), connection, now)
        if self.holds_part:
            startable = max(0, self.ramp.bound - len(self.occupancy))
            wanted = min(len(self.queue), startable) + len(self.cancels)
            self.pool.provide(max(wanted, SPARE_CONNECTIONS))

    def drop_hopeless(self, now: float) -> None:
        """Refuse what cannot finish in time; an unused replica may try all."""
        needed_s = self.service.likely_ms / 1000.0 if self.occupancy else 0.001
        for work in self.queue.remove_hopeless(now, needed_s):
            self.refuse(work, "the deadline passed in the queue")

    def send(self, work: Work, connection: TargetConnection, now: float) -> None:
        """Send ``work`` to the target."""
        deadline_ms = int((work.deadline_at - now) * 1000.0)
        number = next(self.context.exchange_ids)
        exchange_id = f"{self.context.prefix}-{number}".encode()
        until = work.deadline_at + self.limits.occupancy_margin_s
        self.occupancy.begin(exchange_id, until)
        full_use = len(self.occupancy) >= self.ramp.bound
        running = Running(work, exchange_id, connection, full_use)
        self.running[exchange_id] = running
        work.sent_at = now
        connection.exchange(
            encode_sub_query(work.sub_query, self.host, exchange_id, deadline_ms),
            work.sub_query.request_id.encode(),
            exchange_id,
            partial(self.exchange_ended, running),
        )

    def exchange_ended(self, running: Running, end: ExchangeEnd) -> None:
        """Settle the work by how its exchange ended."""
        self.running.pop(running.exchange_id, None)
        match end:
            case Replied(reply):
                self.occupancy.end(running.exchange_id)
                self.pool.give_back(running.connection)
                self.replied(running, reply)
            case Garbled(detail):
                self.ramp.setback()
                self.settle(running.work, Outcome.GARBLED, True, detail)
            case Lost(detail):
                self.ramp.setback()
                self.settle(running.work, Outcome.CONNECTION_LOST, True, detail)
        self.pump()

    def replied(self, running: Running, reply: TargetReply) -> None:
        """Take the evidence in a whole reply and settle the work."""
        now = self.reactor.seconds()
        work = running.work
        self.status.note_reply(reply.head, now)
        self.standing.reply_said(reply.head.state)
        outcome = self.outcome_of(work, reply, now)
        match outcome:
            case Outcome.ANSWERED | Outcome.WRONG_VERSION:
                self.good_reply(running, reply, now)
            case Outcome.SHED:
                self.ramp.shed()
            case Outcome.FAILED if reply.status == 503:
                self.ramp.shed()
            case _:
                pass
        self.refuse_if_leaving()
        if work.settled:
            return
        began = outcome is not Outcome.SHED and reply.status != 412
        body = reply.body if outcome is Outcome.ANSWERED else b""
        head = reply.head
        versions = (head.index_version, head.partitioning)
        detail = "" if body else f"status {reply.status}"
        self.settle(work, outcome, began, detail, versions, body)

    def outcome_of(self, work: Work, reply: TargetReply, now: float) -> Outcome:
        """Return what a whole reply means for the sub-query."""
        match reply.status:
            case 200 if now > work.deadline_at:
                return Outcome.LATE
            case 200 if not self.versions_match(work, reply):
                return Outcome.WRONG_VERSION
            case 200:
                return Outcome.ANSWERED
            case 412:
                return Outcome.WRONG_VERSION
            case 503 if reply.head.not_run:
                return Outcome.SHED
            case 504:
                return Outcome.LATE
            case _:
                return Outcome.FAILED

    def versions_match(self, work: Work, reply: TargetReply) -> bool:
        """Tell whether the reply is of the snapshot that was asked for."""
        wanted, head = work.sub_query, reply.head
        index_matches = wanted.index_version in (ANY_VERSION, head.index_version)
        return index_matches and wanted.partitioning in (
            ANY_VERSION,
            head.partitioning,
        )

    def good_reply(self, running: Running, reply: TargetReply, now: float) -> None:
        """Take a reply in time into the estimates and the ramp."""
        if reply.status != 200:
            return
        took_ms = (now - running.work.sent_at) * 1000.0
        slow = self.service.is_slow(took_ms)
        self.service.observe(took_ms)
        self.ramp.good_reply(reply.head.state, running.full_use, slow)

    def observe_wait(self, running: Running, now: float) -> None:
        """Take a wait without a reply into the estimate where it is long."""
        waited_ms = (now - running.work.sent_at) * 1000.0
        if waited_ms > self.service.mean_ms:
            self.service.observe(waited_ms)

    def cancel(self, work: Work) -> None:
        """Answer ``work`` as cancelled and abandon it at the target."""
        if self.queue.remove(work):
            self.settle(work, Outcome.CANCELLED, False, "cancelled in the queue")
            return
        for running in self.running.values():
            if running.work is work:
                self.observe_wait(running, self.reactor.seconds())
                self.settle(work, Outcome.CANCELLED, True, "cancelled while running")
                self.abandon(running)
                return

    def abandon(self, running: Running) -> None:
        """Ask the target to stop a search; an order is left to finish."""
        if not running.work.sub_query.order_key:
            self.cancels.append(running)
            self.pump()

    def start_cancels(self) -> None:
        """Send the cancellations that are still of use."""
        while self.cancels:
            running = self.cancels[0]
            if running.exchange_id in self.running:
                connection = self.pool.take()
                if connection is None:
                    return
                self.send_cancel(running, connection)
            self.cancels.popleft()

    def send_cancel(self, running: Running, connection: TargetConnection) -> None:
        """Send one cancellation; only the target's word frees the slot."""
        request_id = running.work.sub_query.request_id.encode()

        def ended(end: ExchangeEnd) -> None:
            if isinstance(end, Replied):
                self.pool.give_back(connection)
                if end.reply.status == 200:
                    self.occupancy.end(running.exchange_id)
            self.pump()

        request = encode_cancel(self.host, request_id, running.exchange_id)
        connection.exchange(request, request_id, running.exchange_id, ended)

    def poll_status(self) -> None:
        """Ask the replica for its own account of itself."""
        connection = self.pool.take()
        if connection is None:
            return
        exchange_id = (
            f"{self.context.prefix}-{next(self.context.exchange_ids)}".encode()
        )

        def ended(end: ExchangeEnd) -> None:
            if isinstance(end, Replied):
                self.pool.give_back(connection)
                self.status.note_status(
                    read_status(end.reply.body), self.reactor.seconds()
                )

        request = encode_status(self.host, b"status", exchange_id)
        connection.exchange(request, b"status", exchange_id, ended)

    def tend(self) -> None:
        """Do what is due now and then: ask for the status, close idle connections."""
        self.poll_status()
        self.pool.close_idle(self.index.slots + SPARE_CONNECTIONS)
        self.pump()

    def note_vm(self, listed: TargetState, incarnation: str) -> None:
        """Take what the platform's list of VMs says of the replica."""
        self.standing.note_vm(listed, incarnation)
        self.refuse_if_leaving()

    def refuse_if_leaving(self) -> None:
        """Refuse what is queued for a replica that takes no work."""
        if not self.standing.takes_work(self.allowance.may_serve_cold):
            self.refuse_queue(f"the replica is {self.standing.state.name.lower()}")

    def stop(self) -> None:
        """Answer what is left and close all connections."""
        self.refuse_queue("stopping")
        for running in list(self.running.values()):
            self.settle(running.work, Outcome.CONNECTION_LOST, True, "stopping")
            running.connection.give_up()
        self.running.clear()
        self.allowance = NO_ALLOWANCE
        self.pool.set_allowance(0)

    def sweep(self, now: float) -> None:
        """Settle what has passed its deadline and free what cannot run any more."""
        for running in list(self.running.values()):
            if not running.work.settled and running.work.deadline_at <= now:
                self.ramp.late_reply()
                self.observe_wait(running, now)
                self.settle(running.work, Outcome.LATE, True, "no reply in time")
        for exchange_id in self.occupancy.expire(now):
            expired = self.running.pop(exchange_id, None)
            if expired is not None:
                expired.connection.give_up()
        self.pump()

    def connected(self) -> None:
        """Take a new connection as evidence that the replica is there."""
        self.standing.connected()
        if not self.status.told:
            self.poll_status()
        self.pump()

    def connect_failed(self, cause: str) -> None:
        """Take a failed attempt to connect as evidence that the replica is gone."""
        self.standing.connect_failed()
        self.refuse_queue(f"no connection: {cause}")

    def connection_ended(self, clean: bool) -> None:
        """Take the end of a connection by the target as evidence."""
        if not clean or not self.pool.live():
            self.ramp.setback()
        self.pump()

    def refuse_queue(self, detail: str) -> None:
        """Refuse all that is queued."""
        for work in self.queue.remove_all():
            self.refuse(work, detail)

    def refuse(self, work: Work, detail: str) -> None:
        """Answer ``work`` as not run."""
        self.settle(work, Outcome.NOT_RUN, False, detail)

    def settle(
        self,
        work: Work,
        outcome: Outcome,
        began: bool,
        detail: str,
        versions: tuple[int, int] = (0, 0),
        body: bytes = b"",
    ) -> None:
        """Give ``work`` its one reply."""
        if work.settled:
            return
        work.settled = True
        now = self.reactor.seconds()
        left_queue_at = work.sent_at or now
        service_ms = (now - work.sent_at) * 1000.0 if work.sent_at else 0.0
        queued_ms = (left_queue_at - work.received_at) * 1000.0
        self.context.settled(work)
        work.reply(
            SubReply(
                work.sub_query.sub_query_id,
                outcome,
                *versions,
                queued_ms,
                service_ms,
                began,
                detail,
                body,
            )
        )

    def view(self) -> ReplicaView:
        """Return what other processes are told about the replica."""
        ahead = len(self.occupancy) + len(self.queue)
        takes_work = self.standing.takes_work(self.allowance.may_serve_cold)
        room = max(0, self.ramp.bound - ahead) if takes_work else 0
        return ReplicaView(
            self.replica.name,
            self.standing.state,
            self.status.index_versions,
            self.status.partitioning,
            self.wait_ms(ahead),
            room,
        )
