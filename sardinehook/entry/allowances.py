"""Applies the allowances granted by the fleet to the local target owner."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from sardinehook.entry.dispatcher import IndexedReplica, OwnerPort, ReplyHandler
from sardinehook.environment.document import Index, Replica
from sardinehook.messages import SubQuery
from sardinehook.target.allowance import Allowance
from sardinehook.transport.reactor import Timer, Timers

__all__ = ["AllowanceApplier", "AllowancePort", "AllowanceSink", "LeaseGuard"]


class AllowancePort(Protocol):
    """Source of the allowances of this process."""

    def allowance(self, replica: Replica, index: Index) -> Allowance:
        """Return the allowance; zero slots mean that the replica may not be used."""


class AllowanceSink(Protocol):
    """Enforces the allowances of replicas."""

    def set_allowance(self, replica: str, allowance: Allowance | None) -> None:
        """Set the allowance of a replica; ``None`` if it may not be used."""


class AllowanceApplier:
    """Passes changed allowances to the owner, at most once per reactor iteration."""

    def __init__(
        self,
        reactor: Timers,
        data_centre: str,
        source: AllowancePort,
        sink: AllowanceSink,
    ) -> None:
        self.reactor = reactor
        self.data_centre = data_centre
        self.source = source
        self.sink = sink
        self.replicas: Mapping[str, IndexedReplica] = {}
        self.applied: dict[str, Allowance] = {}
        self.timer: Timer | None = None

    def configure(self, replicas: Mapping[str, IndexedReplica]) -> None:
        """Use the replicas of a new document that are in the local data centre."""
        for name in self.applied.keys() - replicas.keys():
            self.sink.set_allowance(name, None)
            del self.applied[name]
        self.replicas = {
            name: indexed
            for name, indexed in replicas.items()
            if indexed.replica.data_centre == self.data_centre
        }
        self.apply()

    def schedule(self) -> None:
        """Schedule ``apply`` for the next reactor iteration."""
        if self.timer is None:
            self.timer = self.reactor.callLater(0, self.apply)

    def apply(self) -> None:
        """Pass the allowances that changed to the owner."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None
        for name, indexed in self.replicas.items():
            allowance = self.source.allowance(indexed.replica, indexed.index_config)
            if self.applied.get(name) != allowance:
                self.applied[name] = allowance
                self.sink.set_allowance(name, allowance if allowance.slots else None)


class LeasePort(Protocol):
    """Reports whether the node lease expired or changed."""

    def lease_changed(self) -> bool:
        """Return whether the lease changed since the last call."""


class LeaseGuard:
    """Checks the node lease before passing a sub-query to the owner.

    A process that resumes after a pause reads requests before its timers run. Without
    this check it would start work under a lease that expired during the pause.
    """

    def __init__(
        self, lease: LeasePort, applier: AllowanceApplier, owner: OwnerPort
    ) -> None:
        self.lease = lease
        self.applier = applier
        self.owner = owner

    def submit(self, sender: str, sub_query: SubQuery, reply: ReplyHandler) -> None:
        """Run a sub-query under the current allowances."""
        if self.lease.lease_changed():
            self.applier.apply()
        self.owner.submit(sender, sub_query, reply)

    def cancel(self, sender: str, sub_query_id: int) -> None:
        """Cancel a sub-query of a sender."""
        self.owner.cancel(sender, sub_query_id)
