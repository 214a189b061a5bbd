"""Applies the fleet's allowances to the local owner of replicas."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from sardinehook.entry.dispatcher import IndexedReplica, OwnerPort, ReplyHandler
from sardinehook.environment.document import Index, Replica
from sardinehook.messages import SubQuery
from sardinehook.target.allowance import Allowance
from sardinehook.transport.reactor import Timer, Timers

__all__ = ["AllowanceApplier", "AllowancePort", "AllowanceTaker", "LeaseGuard"]


class AllowancePort(Protocol):
    """Tells what this process may use of a replica."""

    def allowance(self, replica: Replica, index: Index) -> Allowance:
        """Return the allowance; one without slots stands for nothing."""


class AllowanceTaker(Protocol):
    """Holds replicas within allowances."""

    def set_allowance(self, replica: str, allowance: Allowance | None) -> None:
        """Take an allowance, ``None`` for nothing."""


class AllowanceApplier:
    """Gives the owner every allowance that changed, once in a turn of the loop."""

    def __init__(
        self,
        reactor: Timers,
        data_centre: str,
        source: AllowancePort,
        taker: AllowanceTaker,
    ) -> None:
        self.reactor = reactor
        self.data_centre = data_centre
        self.source = source
        self.taker = taker
        self.replicas: Mapping[str, IndexedReplica] = {}
        self.applied: dict[str, Allowance] = {}
        self.timer: Timer | None = None

    def configure(self, replicas: Mapping[str, IndexedReplica]) -> None:
        """Use the replicas of a new document, of which only the own ones count."""
        for name in self.applied.keys() - replicas.keys():
            self.taker.set_allowance(name, None)
            del self.applied[name]
        self.replicas = {
            name: indexed
            for name, indexed in replicas.items()
            if indexed.replica.data_centre == self.data_centre
        }
        self.apply()

    def schedule(self) -> None:
        """Apply at the end of this turn of the loop."""
        if self.timer is None:
            self.timer = self.reactor.callLater(0, self.apply)

    def apply(self) -> None:
        """Give the owner the allowances that changed."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None
        for name, indexed in self.replicas.items():
            allowance = self.source.allowance(indexed.replica, indexed.index_config)
            if self.applied.get(name) != allowance:
                self.applied[name] = allowance
                self.taker.set_allowance(name, allowance if allowance.slots else None)


class LeasePort(Protocol):
    """Tells when the node lease lapsed or changed."""

    def lease_changed(self) -> bool:
        """Whether the lease changed since this was last asked."""


class LeaseGuard:
    """Passes sub-queries to the owner after a look at the lease.

    A process that was paused reads requests before its timers run; without this it
    would begin work under a lease that lapsed meanwhile.
    """

    def __init__(
        self, lease: LeasePort, applier: AllowanceApplier, owner: OwnerPort
    ) -> None:
        self.lease = lease
        self.applier = applier
        self.owner = owner

    def submit(self, sender: str, sub_query: SubQuery, reply: ReplyHandler) -> None:
        """Run a sub-query within the allowances of this moment."""
        if self.lease.lease_changed():
            self.applier.apply()
        self.owner.submit(sender, sub_query, reply)

    def cancel(self, sender: str, sub_query_id: int) -> None:
        """Abandon a sub-query."""
        self.owner.cancel(sender, sub_query_id)
