"""Current allowance of a node, derived from replica ownership and its lease."""

from __future__ import annotations

from sardinehook.fleet.lease import NodeLease
from sardinehook.fleet.ownership import NOTHING, Role, allowance, leased_part
from sardinehook.fleet.ownership_state import OwnershipState
from sardinehook.target.allowance import Allowance

__all__ = ["node_allowance"]


def node_allowance(
    ownership: OwnershipState,
    lease: NodeLease,
    replica: str,
    slots: int,
    connections: int,
    now: float,
) -> Allowance:
    """Return the part of a replica that a node may use now.

    ``slots`` and ``connections`` are the replica's total capacity. The owner's part
    follows from the roster, the leased part from the node lease: an owner has both, a
    deputy only the leased part. An owner that still waits for the release of an
    earlier owner counts as a deputy. ``now`` is in monotonic seconds.
    """
    if not ownership.is_member:
        return NOTHING
    roster = ownership.roster
    usable = ownership.usable(replica)
    has_lease = lease.holds_leased_part(
        ownership.name, replica, roster.names, now, roster.epoch
    )
    if usable:
        return allowance(Role.OWNER, has_lease, slots, connections)
    return leased_part(slots, connections) if has_lease else NOTHING
