"""Leases of nodes: who may use the marginal part of replicas, and until when."""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

from sardinehook.fleet.ownership import rendezvous_order

__all__ = ["GrantedLease", "LeaseGrant", "LeaseRegistry", "LeaseRequest", "NodeLease"]

CLOCK_RATE_MARGIN = 0.01
WORK_LIMIT_S = 1.0
MIN_LEASE_S = 4.0
LEASE_PER_MEMBER_S = 0.3
MS_PER_S = 1000.0


class LeaseRequest(NamedTuple):
    """Asks the registrar for a node lease under a roster epoch.

    The sender holds no lease of an earlier epoch any more, and no work of one.
    ``held_number`` is the number of the lease that it goes by, 0 for none; it will go
    by none with a lower number.
    """

    number: int
    boot: int
    epoch: int
    held_number: int


class LeaseGrant(NamedTuple):
    """Grants a node lease.

    ``lapsed`` are the members that hold none, and will get none while this lease
    lasts, so their marginal part falls to the next in rendezvous order.
    """

    number: int
    epoch: int
    ttl_ms: float
    lapsed: tuple[str, ...]


def lease_seconds(members: int) -> float:
    """Return the length of a node lease; it grows so that the registrar's work won't.

    >>> lease_seconds(3), lease_seconds(79)
    (4.0, 23.7)
    """
    return max(MIN_LEASE_S, round(LEASE_PER_MEMBER_S * members, 3))


class NodeLease:
    """A node's own lease; all times are monotonic seconds of the node's clock.

    The lease counts from before its request was sent. Work is begun under it only
    while ``WORK_LIMIT_S`` of it are left.
    """

    def __init__(self) -> None:
        self.number = 0
        self.held_number = 0
        self.requested_at: dict[int, float] = {}
        self.epoch = 0
        self.until = float("-inf")
        self.lapsed: frozenset[str] = frozenset()

    def new_request(self, boot: int, epoch: int, now: float) -> LeaseRequest:
        """Ask for a lease, giving up one of an earlier epoch."""
        if epoch != self.epoch:
            self.relinquish()
            self.epoch = epoch
        self.number += 1
        self.requested_at = {
            n: t for n, t in self.requested_at.items() if n > self.number - 4
        }
        self.requested_at[self.number] = now
        return LeaseRequest(self.number, boot, epoch, self.held_number)

    def relinquish(self) -> None:
        """Use the lease no more, nor an answer that is under way."""
        self.until = float("-inf")
        self.lapsed = frozenset()
        self.held_number = self.number + 1
        self.requested_at.clear()

    def apply_grant(self, grant: LeaseGrant) -> None:
        """Take in an answer of the registrar."""
        requested_at = self.requested_at.get(grant.number)
        if requested_at is None or grant.epoch != self.epoch:
            return
        self.requested_at = {
            n: t for n, t in self.requested_at.items() if n > grant.number
        }
        self.held_number = grant.number
        until = requested_at + grant.ttl_ms / MS_PER_S * (1 - CLOCK_RATE_MARGIN)
        self.until = until - WORK_LIMIT_S
        self.lapsed = frozenset(grant.lapsed)

    def valid(self, epoch: int, now: float) -> bool:
        """Whether work may be begun under the lease with a roster of an epoch."""
        return epoch == self.epoch and now < self.until

    def holds_leased_part(
        self, node: str, replica: str, members: Collection[str], now: float, epoch: int
    ) -> bool:
        """Whether the marginal part of a replica is this node's."""
        if not self.valid(epoch, now):
            return False
        order = rendezvous_order(replica, tuple(members))
        first = next((name for name in order if name not in self.lapsed), None)
        return first == node


class GrantedLease(NamedTuple):
    """A node lease as its granter remembers it."""

    name: str
    boot: int
    number: int
    epoch: int
    until: float
    lapsed: frozenset[str]


class LeaseRegistry:
    """The node leases that the registrar of a data centre has granted.

    A registrar grants none that could outlast its own lease, and forgets all when it
    is lost. A lease counts until it has ended, or until its holder tells that it goes
    by a later one: the answer that replaced it may have been lost. All times are
    monotonic seconds of the registrar's clock.
    """

    def __init__(self) -> None:
        self.own_until = float("-inf")
        self.lapse_detection_from = float("inf")
        self.grants: list[GrantedLease] = []
        self.requesting_until: dict[str, float] = {}

    def begin(self, own_until: float, now: float) -> None:
        """Start as the holder of a new lease of the platform's service."""
        self.own_until = own_until
        self.lapse_detection_from = now + MIN_LEASE_S
        self.grants.clear()
        self.requesting_until.clear()

    def extend(self, own_until: float) -> None:
        """Note that the own lease was renewed."""
        self.own_until = max(self.own_until, own_until)

    def request(
        self,
        name: str,
        request: LeaseRequest,
        members: Collection[str],
        epoch: int,
        now: float,
    ) -> LeaseGrant | None:
        """Grant a lease under the registrar's epoch, or nothing when it must wait."""
        self.remove_ended(name, request, now)
        if request.epoch != epoch or name not in members:
            return None
        self.requesting_until[name] = now + lease_seconds(len(members))
        if not self.may_grant(name, request, epoch):
            return None
        ttl_s = min(
            lease_seconds(len(members)),
            (self.own_until - now) * (1 - CLOCK_RATE_MARGIN),
        )
        if ttl_s <= WORK_LIMIT_S:
            return None
        lapsed = self.find_lapsed(members, now)
        until = now + ttl_s * (1 + CLOCK_RATE_MARGIN)
        self.grants.append(
            GrantedLease(name, request.boot, request.number, epoch, until, lapsed)
        )
        ttl_ms = ttl_s * MS_PER_S
        return LeaseGrant(request.number, epoch, ttl_ms, tuple(sorted(lapsed)))

    def remove_ended(self, name: str, request: LeaseRequest, now: float) -> None:
        """Forget what has ended and what the sender of a request no longer goes by."""
        self.requesting_until = {
            n: t for n, t in self.requesting_until.items() if t > now
        }
        self.grants = [
            grant
            for grant in self.grants
            if grant.until > now
            and not (
                grant.name == name
                and grant.boot == request.boot
                and grant.number < request.held_number
            )
        ]

    def may_grant(self, name: str, request: LeaseRequest, epoch: int) -> bool:
        """Whether no lease that lasts stands in the way."""
        return all(
            grant.boot == request.boot
            if grant.name == name
            else name not in grant.lapsed
            for grant in self.grants
        ) and all(grant.epoch == epoch for grant in self.grants)

    def find_lapsed(self, members: Collection[str], now: float) -> frozenset[str]:
        """Return the members that neither hold a lease nor ask for one."""
        if now < self.lapse_detection_from:
            return frozenset()
        held = {grant.name for grant in self.grants}
        return frozenset(members) - held - self.requesting_until.keys()
