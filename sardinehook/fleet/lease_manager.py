"""Node lease of one process, and the granting of leases as the registrar."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from sardinehook.fleet.control_messages import RegistrarIs
from sardinehook.fleet.lease import LeaseGrant, LeaseRequest, NodeLease, lease_seconds
from sardinehook.fleet.link import Links
from sardinehook.fleet.ownership import rendezvous_order
from sardinehook.fleet.ownership_state import OwnershipState
from sardinehook.fleet.registrar import RegistrarElection

__all__ = ["LeaseManager"]

REGISTRAR_CANDIDATES = 2
RENEWALS_PER_LEASE = 3.0
UNANSWERED_LIMIT = 2


class LeaseManager:
    """Requests the node lease of this process; grants leases if it is the registrar.

    ``has_excess_work`` returns whether more work is in flight than the current
    allowance permits. ``peers`` lists the other members of the data centre.
    """

    def __init__(
        self,
        reactor: Any,  # noqa: ANN401
        links: Links,
        ownership: OwnershipState,
        election: RegistrarElection,
        peers: Callable[[], list[str]],
        has_excess_work: Callable[[], bool],
    ) -> None:
        self.reactor = reactor
        self.links = links
        self.ownership = ownership
        self.election = election
        self.peers = peers
        self.has_excess_work = has_excess_work
        self.lease = NodeLease()
        self.requested_at = float("-inf")
        self.election_ran_at = float("-inf")
        self.unanswered = 0
        self.relinquished_for_epoch = 0
        links.on(LeaseRequest, self.handle_request)
        links.on(LeaseGrant, lambda _node, grant: self.handle_grant(grant))
        links.on(RegistrarIs, self.handle_registrar_is)

    def valid(self) -> bool:
        """Return whether the leased part of replicas may be used now."""
        return self.lease.valid(self.ownership.roster.epoch, self.reactor.seconds())

    def registrar_candidates(self) -> list[str]:
        """Return the nodes that may try to become registrar, preferred one first."""
        names = [self.ownership.name, *self.peers()]
        return rendezvous_order(self.election.key, names)[:REGISTRAR_CANDIDATES]

    def renewal_period_s(self) -> float:
        """Return the seconds between two lease requests."""
        return lease_seconds(len(self.ownership.roster.members)) / RENEWALS_PER_LEASE

    def tick(self, now: float) -> bool:
        """Request the node lease if due; return whether an election step is due."""
        if not self.ownership.is_member:
            return False
        if now - self.requested_at >= self.renewal_period_s():
            self.request_lease(now)
        members = len(self.ownership.roster.members)
        due = now - self.election_ran_at >= self.election.renewal_period_s(members)
        if due and (
            self.election.active or self.ownership.name in self.registrar_candidates()
        ):
            self.election_ran_at = now
            return True
        return False

    def request_lease(self, now: float) -> None:
        """Request a lease from the registrar, or from a candidate if it does not reply.

        A lease of an earlier epoch is relinquished one tick before the request, so
        that no more work is started under it when the request is sent.
        """
        epoch = self.ownership.roster.epoch
        if epoch != self.relinquished_for_epoch and epoch != self.lease.epoch:
            self.lease.relinquish()
            self.relinquished_for_epoch = epoch
            return
        if epoch != self.lease.epoch and self.has_excess_work():
            return
        self.requested_at = now
        request = self.lease.new_request(self.ownership.boot, epoch, now)
        if self.election.active:
            self.handle_request(self.ownership.name, request)
            return
        self.unanswered += 1
        recipient = self.election.registrar_name
        if not recipient or self.unanswered > UNANSWERED_LIMIT:
            candidates = self.registrar_candidates()
            recipient = candidates[self.unanswered % len(candidates)]
        self.links.send(recipient, request)

    def handle_request(self, node: str, request: LeaseRequest) -> None:
        """Grant a lease if this process is the registrar, else name the registrar."""
        if not self.election.active:
            known = self.election.registrar_name
            if known and known != self.ownership.name:
                self.links.send(node, RegistrarIs(known))
            return
        roster = self.ownership.roster
        now = self.reactor.seconds()
        grant = self.election.registry.request(
            node, request, roster.names, roster.epoch, now
        )
        if grant is None:
            return
        if node == self.ownership.name:
            self.handle_grant(grant)
        else:
            self.links.send(node, grant)

    def handle_grant(self, grant: LeaseGrant) -> None:
        """Apply a grant from the registrar."""
        self.unanswered = 0
        self.lease.apply_grant(grant)

    def handle_registrar_is(self, node: str, message: RegistrarIs) -> None:
        """Record the name of the registrar."""
        self.election.registrar_name = message.name

    def announce_registrar(self) -> None:
        """Announce to the data centre's members that this process is the registrar."""
        for name in self.peers():
            self.links.send(name, RegistrarIs(self.ownership.name))
