"""Assignment of replicas to owners by rendezvous hashing, and their allowances."""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum
from functools import lru_cache
from hashlib import blake2b

from sardinehook.target.allowance import Allowance

__all__ = [
    "NOTHING",
    "Allowance",
    "Role",
    "allowance",
    "leased_part",
    "owner_of",
    "rendezvous_order",
]

LEASED_CONNECTIONS_DIVISOR = 5
ORDER_CACHE_SIZE = 8192


class Role(Enum):
    """Role of a node for a replica."""

    NONE = "none"
    OWNER = "owner"
    DEPUTY = "deputy"


NOTHING = Allowance(0, 0, False)


def score(replica: str, member: str) -> bytes:
    """Return the rendezvous weight of a member for a replica."""
    return blake2b(f"{replica}\0{member}".encode(), digest_size=8).digest()


@lru_cache(maxsize=ORDER_CACHE_SIZE)
def cached_order(replica: str, members: tuple[str, ...]) -> tuple[str, ...]:
    """Sort members by rendezvous weight, highest first."""
    return tuple(sorted(members, key=lambda member: score(replica, member)))[::-1]


def rendezvous_order(replica: str, members: Sequence[str]) -> list[str]:
    """Order members by highest random weight, the owner first.

    A member that joins or leaves moves only the replicas that it gains or owned
    (Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998).

    >>> everyone = rendezvous_order("counters-1a", ["e1", "e2", "e3"])
    >>> rendezvous_order("counters-1a", everyone[1:]) == everyone[1:]
    True
    """
    return list(cached_order(replica, tuple(sorted(members))))


def owner_of(replica: str, members: Sequence[str]) -> str | None:
    """Return the owner of a replica; None if there are no members."""
    if not members:
        return None
    return cached_order(replica, tuple(sorted(members)))[0]


def leased_part(slots: int, connections: int) -> Allowance:
    """Return the part of a replica that is used only under a lease.

    >>> leased_part(slots=2, connections=25)
    Allowance(slots=1, connections=5, may_serve_cold=False)

    A replica with one slot or one connection has no leased part.

    >>> leased_part(slots=1, connections=25)
    Allowance(slots=0, connections=0, may_serve_cold=False)
    """
    if slots < 2 or connections < 2:
        return NOTHING
    leased_connections = max(1, connections // LEASED_CONNECTIONS_DIVISOR)
    return Allowance(1, leased_connections, False)


def allowance(role: Role, has_lease: bool, slots: int, connections: int) -> Allowance:
    """Return the part of a replica that a node may use.

    ``slots`` and ``connections`` are the replica's total capacity. ``has_lease`` is
    whether the node holds a node lease. For a deputy the caller must also know that
    the owner's lease has lapsed and that the replica is warm.

    >>> allowance(Role.OWNER, False, slots=3, connections=110)
    Allowance(slots=2, connections=88, may_serve_cold=True)
    >>> allowance(Role.OWNER, True, slots=3, connections=110)
    Allowance(slots=3, connections=110, may_serve_cold=True)
    >>> allowance(Role.DEPUTY, True, slots=3, connections=110)
    Allowance(slots=1, connections=22, may_serve_cold=False)
    """
    leased = leased_part(slots, connections)
    match role, has_lease:
        case Role.OWNER, True:
            return Allowance(slots, connections, True)
        case Role.OWNER, False:
            rest = connections - leased.connections
            return Allowance(slots - leased.slots, rest, True)
        case Role.DEPUTY, True:
            return leased
        case _:
            return NOTHING
