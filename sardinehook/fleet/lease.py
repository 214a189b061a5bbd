"""Node leases, which permit the use of the leased part of replicas."""

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
    """Requests a node lease under a roster epoch from the registrar.

    The sender holds no lease of an earlier epoch and runs no work started under one.
    ``held_number`` is the number of the lease that it uses, 0 for none; it will use no
    lease with a lower number.
    """

    number: int
    boot: int
    epoch: int
    held_number: int


class LeaseGrant(NamedTuple):
    """Grants a node lease.

    ``lapsed`` lists the members that hold no lease and get none while this one lasts;
    the leased part of their replicas goes to the next member in rendezvous order.
    """

    number: int
    epoch: int
    ttl_ms: float
    lapsed: tuple[str, ...]


def lease_seconds(members: int) -> float:
    """Return the duration of a node lease.

    It grows with the number of members, which bounds the registrar's load.

    >>> lease_seconds(3), lease_seconds(79)
    (4.0, 23.7)
    """
    return max(MIN_LEASE_S, round(LEASE_PER_MEMBER_S * members, 3))


class NodeLease:
    """A node's own lease; all times are monotonic seconds of the node's clock.

    The lease is counted from before its request was sent. Work is started under it
    only while at least ``WORK_LIMIT_S`` of it remain.
    """

    def __init__(self) -> None:
        self.number = 0
        self.held_number = 0
        self.requested_at: dict[int, float] = {}
        self.epoch = 0
        self.until = float("-inf")
        self.lapsed: frozenset[str] = frozenset()

    def new_request(self, boot: int, epoch: int, now: float) -> LeaseRequest:
        """Build the next request; relinquish a lease of an earlier epoch."""
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
        """Stop using the lease and ignore grants that are still in flight."""
        self.until = float("-inf")
        self.lapsed = frozenset()
        self.held_number = self.number + 1
        self.requested_at.clear()

    def apply_grant(self, grant: LeaseGrant) -> None:
        """Apply a grant; ignore one that is outdated or of another epoch."""
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
        """Return whether work may be started under the lease in a roster epoch."""
        return epoch == self.epoch and now < self.until

    def holds_leased_part(
        self, node: str, replica: str, members: Collection[str], now: float, epoch: int
    ) -> bool:
        """Return whether the leased part of a replica belongs to ``node``.

        It belongs to the first member in rendezvous order that has not lapsed.
        """
        if not self.valid(epoch, now):
            return False
        order = rendezvous_order(replica, tuple(members))
        first = next((name for name in order if name not in self.lapsed), None)
        return first == node


class GrantedLease(NamedTuple):
    """A node lease as recorded by the registrar."""

    name: str
    boot: int
    number: int
    epoch: int
    until: float
    lapsed: frozenset[str]


class LeaseRegistry:
    """The node leases that the registrar of a data centre has granted.

    A registrar grants no lease that could outlast its own, and drops all records when
    its own lease is lost. A granted lease counts until it expires or until its holder
    reports the use of a later one, because the reply with the later grant may have
    been lost. All times are monotonic seconds of the registrar's clock.
    """

    def __init__(self) -> None:
        self.own_until = float("-inf")
        self.lapse_detection_from = float("inf")
        self.grants: list[GrantedLease] = []
        self.requesting_until: dict[str, float] = {}

    def begin(self, own_until: float, now: float) -> None:
        """Start as the registrar under a new lease of the platform's store.

        No member counts as lapsed during the first ``MIN_LEASE_S``.
        """
        self.own_until = own_until
        self.lapse_detection_from = now + MIN_LEASE_S
        self.grants.clear()
        self.requesting_until.clear()

    def extend(self, own_until: float) -> None:
        """Record a renewal of the registrar's own lease."""
        self.own_until = max(self.own_until, own_until)

    def request(
        self,
        name: str,
        request: LeaseRequest,
        members: Collection[str],
        epoch: int,
        now: float,
    ) -> LeaseGrant | None:
        """Grant a lease under the registrar's epoch; return None if it must wait."""
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
        """Remove expired records and leases that the requester no longer uses."""
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
        """Return whether no outstanding lease conflicts with a new one.

        A conflict is a lease of another process under the same name, one that counts
        the name as lapsed, or one of another epoch.
        """
        return all(
            grant.boot == request.boot
            if grant.name == name
            else name not in grant.lapsed
            for grant in self.grants
        ) and all(grant.epoch == epoch for grant in self.grants)

    def find_lapsed(self, members: Collection[str], now: float) -> frozenset[str]:
        """Return the members that neither hold nor have recently requested a lease."""
        if now < self.lapse_detection_from:
            return frozenset()
        held = {grant.name for grant in self.grants}
        return frozenset(members) - held - self.requesting_until.keys()
