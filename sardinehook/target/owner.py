"""The owner of replicas: the one place from which their targets get work."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from secrets import token_hex

from twisted.internet.defer import Deferred

from sardinehook.environment.document import Index, Replica
from sardinehook.messages import Outcome, ReplicaView, SubQuery, SubReply, TargetState
from sardinehook.target.allowance import Allowance
from sardinehook.target.counts import OwnerCounts, count_usage
from sardinehook.target.exchanges import ExchangeIds
from sardinehook.target.limits import OwnerLimits
from sardinehook.target.replica_client import ClientContext, ReplicaClient
from sardinehook.target.task import Task, TaskKey
from sardinehook.transport.reactor import TcpReactor, Timer

__all__ = ["OwnerLimits", "TargetOwner"]


class TargetOwner:
    """Holds the connections, queues and evidence of the replicas it owns.

    Replica names are unique over all indexes. Every sub-query that is submitted
    gets exactly one ``SubReply``, on the same loop, at the latest a sweep interval
    after its deadline. The reply may be given before ``submit`` returns.
    """

    def __init__(self, reactor: TcpReactor, limits: OwnerLimits) -> None:
        self.reactor = reactor
        self.limits = limits
        self.clients: dict[str, ReplicaClient] = {}
        self.allowances: dict[str, Allowance] = {}
        self.retired: list[ReplicaClient] = []
        self.to_sweep: set[ReplicaClient] = set()
        self.task: dict[TaskKey, tuple[Task, ReplicaClient]] = {}
        self.context = ClientContext(
            reactor, limits, ExchangeIds(token_hex(4)), self.completed, self.schedule_sweep
        )
        self.sweep_timer: Timer | None = None
        self.poll_timer: Timer | None = None
        self.poll_order: list[ReplicaClient] = []
        self.closed: Deferred[None] | None = None
        self.close_deadline = 0.0
        self.poll_next()

    def configure(self, indexes: Mapping[str, Index]) -> None:
        """Take the replicas of a document; those it does not name are let go."""
        named: set[str] = set()
        for index in indexes.values():
            for replicas in index.services.values():
                for replica in replicas:
                    named.add(replica.name)
                    self.configure_replica(index, replica)
        for name in set(self.clients) - named:
            self.retire(name)

    def configure_replica(self, index: Index, replica: Replica) -> None:
        """Create the client of a replica, or a new one for a new address."""
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
        """Send nothing more to a replica and let its work in flight finish."""
        client = self.clients.pop(name)
        client.set_allowance(None)
        self.retired.append(client)

    def set_allowance(self, replica: str, allowance: Allowance | None) -> None:
        """Take the part of a replica that is held here; ``None`` for no part.

        A part without a slot is none.

        After ``None`` what is queued is refused, what is in flight finishes, and a
        later allowance begins from not knowing the replica.
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
        """Take what the platform's list of VMs says of a replica.

        ``listed`` is ``DRAINING`` or ``GONE`` for one that leaves and ``UNKNOWN``
        for one with nothing against it. Another incarnation starts cold.
        """
        client = self.clients.get(replica)
        if client is not None:
            client.update_vm_state(listed, incarnation)

    def update_peer_view(self, replica: str, state: TargetState) -> None:
        """Take what another owner has last told of a replica.

        It matters only for a part that may not serve the replica while it is cold:
        such a holder cannot find out by itself that the replica is warm.
        """
        client = self.clients.get(replica)
        if client is not None:
            client.update_peer_view(state)

    def submit(
        self, sender: str, sub_query: SubQuery, reply: Callable[[SubReply], None]
    ) -> None:
        """Run a sub-query and call ``reply`` once.

        A sub-query whose ``sender`` and id are those of one that still runs is
        dropped: the reply to the first stands for both.
        """
        key = TaskKey(sender, sub_query.sub_query_id)
        if key in self.task:
            return
        now = self.reactor.seconds()
        deadline_at = now + sub_query.deadline_ms / 1000.0
        task = Task(key, sub_query, reply, now, deadline_at)
        client = self.clients.get(sub_query.replica)
        if client is None:
            reply(refused(sub_query, "the replica is not known here"))
        elif self.closed is not None:
            reply(refused(sub_query, "stopping"))
        else:
            self.task[key] = (task, client)
            self.schedule_sweep(client)
            client.submit(task)

    def cancel(self, sender: str, sub_query_id: int) -> None:
        """Answer a sub-query as cancelled; one that has ended is left alone."""
        found = self.task.get(TaskKey(sender, sub_query_id))
        if found is not None:
            task, client = found
            client.cancel(task)

    def completed(self, task: Task) -> None:
        """Forget work that is having its reply."""
        self.task.pop(task.key, None)

    def views(self) -> list[ReplicaView]:
        """Return the view of each replica of which a part is held here."""
        return [
            client.view() for client in self.clients.values() if client.has_allowance
        ]

    def counts(self) -> OwnerCounts:
        """Return what is held here, in numbers for the metrics."""
        return count_usage([*self.clients.values(), *self.retired])

    def in_flight(self, replica: str) -> int:
        """Return how many sub-queries may be running at a replica."""
        clients = [one for one in self.retired if one.replica.name == replica]
        if replica in self.clients:
            clients.append(self.clients[replica])
        return sum(client.exchanges.in_flight for client in clients)

    def schedule_sweep(self, client: ReplicaClient) -> None:
        """Sweep ``client`` regularly while it has work."""
        self.to_sweep.add(client)
        if self.sweep_timer is None:
            self.sweep_timer = self.reactor.callLater(
                self.limits.sweep_interval_s, self.sweep
            )

    def sweep(self) -> None:
        """Enforce deadlines and free what cannot be running any more."""
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
        """Ask one replica after another for its status, at a bounded rate."""
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
        """Refuse new work, let the rest finish and close all connections.

        The result fires when nothing is in flight any more, at the latest after
        ``grace_s`` seconds; what is left by then is answered as its state allows.
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
        """Complete ``close`` once nothing is left or the grace is over."""
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
    """Return the reply to a sub-query that cannot have begun."""
    return SubReply(
        sub_query.sub_query_id, Outcome.NOT_RUN, 0, 0, 0.0, 0.0, False, detail, b""
    )
