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

__all__ = ["LeaseDesk"]

CANDIDATES = 2
RENEWALS_PER_LEASE = 3.0
UNANSWERED_LIMIT = 2


class LeaseDesk:
    """The node lease of one process, and the registrar if this process is it.

    ``has_surplus`` tells whether work runs that the process could not start now.
    ``peers`` lists the other members of the data centre.
    """

    def __init__(
        self,
        reactor: Any,  # noqa: ANN401
        links: Links,
        ownership: OwnershipState,
        election: RegistrarElection,
        peers: Callable[[], list[str]],
        has_surplus: Callable[[], bool],
    ) -> None:
        self.reactor = reactor
        self.links = links
        self.ownership = ownership
        self.election = election
        self.peers = peers
        self.has_surplus = has_surplus
        self.lease = NodeLease()
        self.asked_at = float("-inf")
        self.stepped_at = float("-inf")
        self.unanswered = 0
        self.given_up_for = 0
        links.on(LeaseRequest, self.take_request)
        links.on(LeaseGrant, lambda _node, grant: self.take_grant(grant))
        links.on(RegistrarIs, self.take_registrar)

    def valid(self) -> bool:
        """Whether the marginal part may be used now."""
        return self.lease.valid(self.ownership.roster.epoch, self.reactor.seconds())

    def candidates(self) -> list[str]:
        """Return the nodes that may try to become registrar."""
        names = [self.ownership.name, *self.peers()]
        return rendezvous_order(self.election.key, names)[:CANDIDATES]

    def renewal_s(self) -> float:
        """Return the seconds between two requests."""
        return lease_seconds(len(self.ownership.roster.members)) / RENEWALS_PER_LEASE

    def tick(self, now: float) -> bool:
        """Do what is due; True when the registrar's own lease is to be looked after."""
        if not self.ownership.is_member:
            return False
        if now - self.asked_at >= self.renewal_s():
            self.ask(now)
        members = len(self.ownership.roster.members)
        due = now - self.stepped_at >= self.election.renewal_period_s(members)
        if due and (self.election.active or self.ownership.name in self.candidates()):
            self.stepped_at = now
            return True
        return False

    def ask(self, now: float) -> None:
        """Ask the registrar for a lease, or a candidate when it does not answer.

        A lease of an earlier epoch is given up a tick before, so that no work is begun
        under it any more when the request leaves.
        """
        epoch = self.ownership.roster.epoch
        if epoch != self.given_up_for and epoch != self.lease.epoch:
            self.lease.give_up()
            self.given_up_for = epoch
            return
        if epoch != self.lease.epoch and self.has_surplus():
            return
        self.asked_at = now
        request = self.lease.ask(self.ownership.boot, epoch, now)
        if self.election.active:
            self.take_request(self.ownership.name, request)
            return
        self.unanswered += 1
        target = self.election.registrar_name
        if not target or self.unanswered > UNANSWERED_LIMIT:
            candidates = self.candidates()
            target = candidates[self.unanswered % len(candidates)]
        self.links.send(target, request)

    def take_request(self, node: str, request: LeaseRequest) -> None:
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
            self.take_grant(grant)
        else:
            self.links.send(node, grant)

    def take_grant(self, grant: LeaseGrant) -> None:
        """Take in the registrar's answer."""
        self.unanswered = 0
        self.lease.take(grant)

    def take_registrar(self, node: str, message: RegistrarIs) -> None:
        """Note who is the registrar."""
        self.election.registrar_name = message.name

    def announce_registrar(self) -> None:
        """Tell the data centre that this process is the registrar."""
        for name in self.peers():
            self.links.send(name, RegistrarIs(self.ownership.name))
