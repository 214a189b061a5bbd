"""Cache of the newest known roster of each data centre."""

from __future__ import annotations

from sardinehook.environment.document import Replica
from sardinehook.fleet.ownership import owner_of, rendezvous_order
from sardinehook.fleet.roster import Roster

__all__ = ["RosterCache"]

PULL_PERIOD_S = 1.0
OWNER_AND_DEPUTY = 2


class RosterCache:
    """The newest known roster of each data centre, and the replica owners."""

    def __init__(self) -> None:
        self.rosters: dict[str, Roster] = {}
        self.owners: dict[str, str | None] = {}
        self.candidates: dict[str, tuple[str, ...]] = {}
        self.pulled_at: dict[str, float] = {}

    def update(self, data_centre: str, roster: Roster) -> bool:
        """Store a roster if it is newer; return whether it was stored."""
        known = self.rosters.get(data_centre)
        if known is not None and known.epoch >= roster.epoch:
            return False
        self.rosters[data_centre] = roster
        self.owners.clear()
        self.candidates.clear()
        return True

    def owner_of(self, replica: Replica) -> str | None:
        """Return the owner of a replica; None while the roster is unknown."""
        key = f"{replica.data_centre} {replica.name}"
        if key not in self.owners:
            roster = self.rosters.get(replica.data_centre)
            names = () if roster is None else roster.names
            self.owners[key] = owner_of(replica.name, names)
        return self.owners[key]

    def candidates_of(self, replica: Replica) -> tuple[str, ...]:
        """Return the owner and the next member in order, the possible deputy."""
        key = f"{replica.data_centre} {replica.name}"
        if key not in self.candidates:
            roster = self.rosters.get(replica.data_centre)
            names = () if roster is None else roster.names
            order = rendezvous_order(replica.name, names)
            self.candidates[key] = tuple(order[:OWNER_AND_DEPUTY])
        return self.candidates[key]

    def should_pull(self, data_centre: str, epoch: int, now: float) -> bool:
        """Return whether to request a roster now, given an epoch seen in gossip.

        Requests are limited to one per data centre in ``PULL_PERIOD_S``.
        """
        known = self.rosters.get(data_centre)
        if known is not None and known.epoch >= epoch:
            return False
        if now - self.pulled_at.get(data_centre, float("-inf")) < PULL_PERIOD_S:
            return False
        self.pulled_at[data_centre] = now
        return True
