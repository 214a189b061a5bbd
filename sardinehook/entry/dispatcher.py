"""Routes sub-queries to the owners of replicas and their replies back."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import NamedTuple, Protocol

from sardinehook.environment.document import Index, Replica
from sardinehook.messages import CancelSubQuery, Outcome, SubQuery, SubReply

__all__ = ["Dispatcher", "IndexedReplica", "LinkPort", "OwnerDirectory", "OwnerPort"]

ReplyHandler = Callable[[SubReply], None]


class LinkPort(Protocol):
    """The interface of the links between entry processes that is needed here."""

    def send(self, node: str, message: SubQuery | SubReply | CancelSubQuery) -> bool:
        """Send a message; return False if no part of it was sent."""


class OwnerPort(Protocol):
    """The interface of the local target owner that is needed here."""

    def submit(self, sender: str, sub_query: SubQuery, reply: ReplyHandler) -> None:
        """Run a sub-query and call ``reply`` exactly once."""

    def cancel(self, sender: str, sub_query_id: int) -> None:
        """Cancel a sub-query of a sender."""


class OwnerDirectory(Protocol):
    """Looks up the entry processes that may currently serve a replica."""

    def candidates_of(self, replica: Replica) -> tuple[str, ...]:
        """Return the node names of the owner and, if there is one, its deputy."""


class IndexedReplica(NamedTuple):
    """A replica of the document in force and the configuration of its index."""

    replica: Replica
    index_config: Index


class PendingSubQuery(NamedTuple):
    """A sub-query awaiting its reply: the node it was sent to and its callback."""

    node: str
    on_reply: ReplyHandler


class Dispatcher:
    """Sends each sub-query to the owner of its replica, local or remote.

    If the owner is unreachable, the sub-query goes to its deputy, if there is one. The
    deputy refuses sub-queries that it may not serve.

    Every sub-query that is sent gets exactly one reply, unless it is cancelled.
    """

    def __init__(
        self, node: str, directory: OwnerDirectory, links: LinkPort, owner: OwnerPort
    ) -> None:
        self.node = node
        self.directory = directory
        self.links = links
        self.owner = owner
        self.replicas: Mapping[str, IndexedReplica] = {}
        self.pending: dict[int, PendingSubQuery] = {}

    def configure(self, replicas: Mapping[str, IndexedReplica]) -> None:
        """Use the replicas of a new document."""
        self.replicas = replicas

    def send(self, sub_query: SubQuery, on_reply: ReplyHandler) -> None:
        """Send a sub-query; ``on_reply`` may be called before this returns."""
        indexed = self.replicas.get(sub_query.replica)
        nodes = () if indexed is None else self.directory.candidates_of(indexed.replica)
        for node in nodes:
            if self.try_send(node, sub_query, on_reply):
                return
        detail = "no owner of the replica is reachable"
        on_reply(not_run_reply(sub_query.sub_query_id, detail))

    def try_send(self, node: str, sub_query: SubQuery, on_reply: ReplyHandler) -> bool:
        """Send a sub-query to a node; return False if no part of it was sent."""
        pending = PendingSubQuery(node, on_reply)
        if node == self.node:
            self.pending[sub_query.sub_query_id] = pending
            self.owner.submit(node, sub_query, self.on_local_reply)
            return True
        if not self.links.send(node, sub_query):
            return False
        self.pending[sub_query.sub_query_id] = pending
        return True

    def cancel(self, sub_query_id: int) -> None:
        """Cancel a sub-query; a later reply is dropped."""
        pending = self.pending.pop(sub_query_id, None)
        if pending is None:
            return
        if pending.node == self.node:
            self.owner.cancel(self.node, sub_query_id)
        else:
            self.links.send(pending.node, CancelSubQuery(sub_query_id))

    def on_local_reply(self, reply: SubReply) -> None:
        """Handle a reply of the local owner."""
        self.on_reply(self.node, reply)

    def on_reply(self, node: str, reply: SubReply) -> None:
        """Deliver a reply; drop it if late, repeated or from another node."""
        pending = self.pending.get(reply.sub_query_id)
        if pending is None or pending.node != node:
            return
        del self.pending[reply.sub_query_id]
        pending.on_reply(reply)

    def on_link_down(self, node: str) -> None:
        """Fail the sub-queries pending on a lost link; their outcome is unknown."""
        lost = [key for key, value in self.pending.items() if value.node == node]
        for sub_query_id in lost:
            self.on_reply(node, connection_lost_reply(sub_query_id))


def not_run_reply(sub_query_id: int, detail: str) -> SubReply:
    """Build the reply to a sub-query that was not sent."""
    return SubReply(
        sub_query_id=sub_query_id,
        outcome=Outcome.NOT_RUN,
        index_version=0,
        partitioning=0,
        queued_ms=0.0,
        service_ms=0.0,
        began=False,
        detail=detail,
        body=b"",
    )


def connection_lost_reply(sub_query_id: int) -> SubReply:
    """Build the reply to a sub-query whose link was lost after sending."""
    return SubReply(
        sub_query_id=sub_query_id,
        outcome=Outcome.CONNECTION_LOST,
        index_version=0,
        partitioning=0,
        queued_ms=0.0,
        service_ms=0.0,
        began=True,
        detail="the link to the owner was lost",
        body=b"",
    )
