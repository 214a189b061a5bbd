"""What a node may use of a replica now, from what it holds and its lease."""

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
    """Return what a node may use of a replica that bears so much in total.

    The owner's part comes with the roster, the marginal part with the node lease: the
    owner has both, a deputy the marginal part alone. An owner that must still wait
    for an earlier one counts as a deputy. ``now`` is monotonic seconds.
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
