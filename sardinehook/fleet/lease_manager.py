"""Asks for the node lease of one process and answers others as the registrar."""

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
    """The node lease of one process, and the registrar if this process is it.

    ``has_excess_work`` tells whether work runs that the process could not start now.
    ``peers`` lists the other members of the data centre.
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
        """Whether the marginal part may be used now."""
        return self.lease.valid(self.ownership.roster.epoch, self.reactor.seconds())

    def registrar_candidates(self) -> list[str]:
        """Return the nodes that may try to become registrar."""
        names = [self.ownership.name, *self.peers()]
        return rendezvous_order(self.election.key, names)[:REGISTRAR_CANDIDATES]

    def renewal_period_s(self) -> float:
        """Return the seconds between two requests."""
        return lease_seconds(len(self.ownership.roster.members)) / RENEWALS_PER_LEASE

    def tick(self, now: float) -> bool:
        """Do what is due; True when the registrar's own lease is to be looked after."""
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
        """Ask the registrar for a lease, or a candidate when it does not answer.

        A lease of an earlier epoch is given up a tick before, so that no work is begun
        under it any more when the request leaves.
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
        target = self.election.registrar_name
        if not target or self.unanswered > UNANSWERED_LIMIT:
            registrar_candidates = self.registrar_candidates()
            target = registrar_candidates[self.unanswered % len(registrar_candidates)]
        self.links.send(target, request)

    def handle_request(self, node: str, request: LeaseRequest) -> None:
        """Grant a lease as the registrar, or name the registrar."""
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
        """Take in the registrar's answer."""
        self.unanswered = 0
        self.lease.apply_grant(grant)

    def handle_registrar_is(self, node: str, message: RegistrarIs) -> None:
        """Note who is the registrar."""
        self.election.registrar_name = message.name

    def announce_registrar(self) -> None:
        """Tell the data centre that this process is the registrar."""
        for name in self.peers():
            self.links.send(name, RegistrarIs(self.ownership.name))
