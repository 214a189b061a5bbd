"""Serves the replicas owned by this process; nothing else sends to their targets."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from secrets import token_hex

from twisted.internet.defer import Deferred

from sardinehook.environment.document import Index, Replica
from sardinehook.messages import Outcome, ReplicaReport, SubQuery, SubReply, TargetState
from sardinehook.target.allowance import Allowance
from sardinehook.target.counts import OwnerCounts, count_usage
from sardinehook.target.exchanges import ExchangeIds
from sardinehook.target.limits import OwnerLimits
from sardinehook.target.replica_client import ClientContext, ReplicaClient
from sardinehook.target.task import Task, TaskKey
from sardinehook.transport.reactor import TcpReactor, Timer

__all__ = ["OwnerLimits", "TargetOwner"]


class TargetOwner:
    """Holds the queue, connections and health of each replica that it owns.

    Replica names are unique over all indexes. Every sub-query that is submitted
    gets exactly one ``SubReply``, on the same event loop, at the latest one sweep
    interval after its deadline. The reply may be given before ``submit`` returns.
    """

    def __init__(self, reactor: TcpReactor, limits: OwnerLimits) -> None:
        self.reactor = reactor
        self.limits = limits
        self.clients: dict[str, ReplicaClient] = {}
        self.allowances: dict[str, Allowance] = {}
        self.retired: list[ReplicaClient] = []
        self.to_sweep: set[ReplicaClient] = set()
        self.tasks: dict[TaskKey, tuple[Task, ReplicaClient]] = {}
        self.context = ClientContext(
            reactor,
            limits,
            ExchangeIds(token_hex(4)),
            self.completed,
            self.schedule_sweep,
        )
        self.sweep_timer: Timer | None = None
        self.poll_timer: Timer | None = None
        self.poll_order: list[ReplicaClient] = []
        self.closed: Deferred[None] | None = None
        self.close_deadline = 0.0
        self.poll_next()

    def configure(self, indexes: Mapping[str, Index]) -> None:
        """Apply the replicas of a document and retire those it does not name."""
        named: set[str] = set()
        for index in indexes.values():
            for replicas in index.services.values():
                for replica in replicas:
                    named.add(replica.name)
                    self.configure_replica(index, replica)
        for name in set(self.clients) - named:
            self.retire(name)

    def configure_replica(self, index: Index, replica: Replica) -> None:
        """Create or update the client of a replica; a new address gets a new client."""
        client = self.clients.get(replica.name)
        if client is not None and client.replica.address == replica.address:
            client.configure(index)
            return
        if client is not None:
            self.retire(replica.name)
        client = ReplicaClient(self.context, index, replica)
        self.clients[replica.name] = client
        client.set_allowance(self.allowances.get(replica.name))
        self.schedule_sweep(client)

    def retire(self, name: str) -> None:
        """Stop sending to a replica and let its sub-queries in flight finish."""
        client = self.clients.pop(name)
        client.set_allowance(None)
        self.retired.append(client)

    def set_allowance(self, replica: str, allowance: Allowance | None) -> None:
        """Set the allowance of a replica; ``None`` or one without slots withdraws it.

        After a withdrawal the queue is refused, sub-queries in flight finish, and a
        later allowance starts with the replica in unknown state.
        """
        if allowance is not None and allowance.slots < 1:
            allowance = None
        if allowance is None:
            self.allowances.pop(replica, None)
        else:
            self.allowances[replica] = allowance
        client = self.clients.get(replica)
        if client is not None:
            client.set_allowance(allowance)
            self.schedule_sweep(client)

    def update_vm_state(
        self, replica: str, listed: TargetState, incarnation: str = ""
    ) -> None:
        """Apply the state of a replica's VM from the platform's list of VMs.

        ``listed`` is ``DRAINING`` or ``GONE`` for a VM that leaves or has left, else
        ``UNKNOWN``. A replica of another incarnation starts in unknown state.
        """
        client = self.clients.get(replica)
        if client is not None:
            client.update_vm_state(listed, incarnation)

    def update_peer_view(self, replica: str, state: TargetState) -> None:
        """Apply the state of a replica that another owner has published.

        It is used only with an allowance that does not permit a cold replica: an
        owner with such an allowance cannot find out itself that the replica is warm.
        """
        client = self.clients.get(replica)
        if client is not None:
            client.update_peer_view(state)

    def submit(
        self, sender: str, sub_query: SubQuery, reply: Callable[[SubReply], None]
    ) -> None:
        """Run a sub-query and call ``reply`` exactly once.

        A duplicate, with the ``sender`` and id of one that is still running, is
        dropped without a call: the reply to the first counts for both.
        """
        key = TaskKey(sender, sub_query.sub_query_id)
        if key in self.tasks:
            return
        now = self.reactor.seconds()
        deadline_at = now + sub_query.deadline_ms / 1000.0
        task = Task(key, sub_query, reply, now, deadline_at)
        client = self.clients.get(sub_query.replica)
        if client is None:
            reply(refused(sub_query, "the owner does not have this replica"))
        elif self.closed is not None:
            reply(refused(sub_query, "the owner is stopping"))
        else:
            self.tasks[key] = (task, client)
            self.schedule_sweep(client)
            client.submit(task)

    def cancel(self, sender: str, sub_query_id: int) -> None:
        """Complete a sub-query as cancelled; no effect if it has already ended."""
        found = self.tasks.get(TaskKey(sender, sub_query_id))
        if found is not None:
            task, client = found
            client.cancel(task)

    def completed(self, task: Task) -> None:
        """Remove a task that is given its reply."""
        self.tasks.pop(task.key, None)

    def views(self) -> list[ReplicaReport]:
        """Return the view of each replica with an allowance here."""
        return [
            client.view() for client in self.clients.values() if client.has_allowance
        ]

    def counts(self) -> OwnerCounts:
        """Return the resources in use and allowed, for the metrics."""
        return count_usage([*self.clients.values(), *self.retired])

    def in_flight(self, replica: str) -> int:
        """Return an upper bound on the sub-queries that run at a replica."""
        clients = [one for one in self.retired if one.replica.name == replica]
        if replica in self.clients:
            clients.append(self.clients[replica])
        return sum(client.exchanges.in_flight for client in clients)

    def schedule_sweep(self, client: ReplicaClient) -> None:
        """Include ``client`` in the sweeps until it needs none."""
        self.to_sweep.add(client)
        if self.sweep_timer is None:
            self.sweep_timer = self.reactor.callLater(
                self.limits.sweep_interval_s, self.sweep
            )

    def sweep(self) -> None:
        """Enforce the deadlines of all clients and drop retired ones without work."""
        self.sweep_timer = None
        now = self.reactor.seconds()
        for client in list(self.to_sweep):
            client.sweep(now)
            if not client.needs_sweep:
                self.to_sweep.discard(client)
        self.retired = [one for one in self.retired if one.has_work]
        if self.to_sweep:
            self.sweep_timer = self.reactor.callLater(
                self.limits.sweep_interval_s, self.sweep
            )
        self.finish_closing(now)

    def poll_next(self) -> None:
        """Maintain the next replica, one in each poll interval, in turn."""
        self.poll_timer = self.reactor.callLater(
            self.limits.poll_interval_s, self.poll_next
        )
        if not self.poll_order:
            self.poll_order = [
                one for one in self.clients.values() if one.has_allowance
            ]
        if self.poll_order:
            self.poll_order.pop().maintain()

    def close(self, grace_s: float) -> Deferred[None]:
        """Refuse new sub-queries, let the others finish and close all connections.

        The result fires once nothing is queued or in flight, at the latest after
        ``grace_s`` seconds. What is left by then is completed as not run if it was
        not sent, else as connection lost.
        """
        if self.closed is None:
            self.closed = Deferred()
            self.close_deadline = self.reactor.seconds() + grace_s
            if self.poll_timer is not None:
                self.poll_timer.cancel()
            for client in [*self.clients.values(), *self.retired]:
                self.schedule_sweep(client)
            self.finish_closing(self.reactor.seconds())
        return self.closed

    def finish_closing(self, now: float) -> None:
        """Complete ``close`` once no work is left or the grace period is over."""
        if self.closed is None or self.closed.called:
            return
        clients = [*self.clients.values(), *self.retired]
        if any(one.has_work for one in clients) and now < self.close_deadline:
            return
        for client in clients:
            client.stop()
        if self.sweep_timer is not None:
            self.sweep_timer.cancel()
            self.sweep_timer = None
        self.closed.callback(None)


def refused(sub_query: SubQuery, detail: str) -> SubReply:
    """Return the ``NOT_RUN`` reply to a sub-query that was not sent."""
    return SubReply(
        sub_query.sub_query_id, Outcome.NOT_RUN, 0, 0, 0.0, 0.0, False, detail, b""
    )
