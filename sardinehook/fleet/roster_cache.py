"""The rosters of all data centres as one process knows them."""

from __future__ import annotations

from sardinehook.environment.document import Replica
from sardinehook.fleet.ownership import owner_of, rendezvous_order
from sardinehook.fleet.roster import Roster

__all__ = ["RosterCache"]

PULL_PERIOD_S = 1.0
OWNER_AND_DEPUTY = 2


class RosterCache:
    """The newest roster known of each data centre, and the owners that follow."""

    def __init__(self) -> None:
        self.rosters: dict[str, Roster] = {}
        self.owners: dict[str, str | None] = {}
        self.candidates: dict[str, tuple[str, ...]] = {}
        self.pulled_at: dict[str, float] = {}

    def update(self, data_centre: str, roster: Roster) -> bool:
        """Keep a roster if it is newer than the known one."""
        known = self.rosters.get(data_centre)
        if known is not None and known.epoch >= roster.epoch:
            return False
        self.rosters[data_centre] = roster
        self.owners.clear()
        self.candidates.clear()
        return True

    def owner_of(self, replica: Replica) -> str | None:
        """Return the owner of a replica; None while its roster is not known."""
        key = f"{replica.data_centre} {replica.name}"
        if key not in self.owners:
            roster = self.rosters.get(replica.data_centre)
            names = () if roster is None else roster.names
            self.owners[key] = owner_of(replica.name, names)
        return self.owners[key]

    def candidates_of(self, replica: Replica) -> tuple[str, ...]:
        """Return the owner of a replica and the next in order, its possible deputy."""
        key = f"{replica.data_centre} {replica.name}"
        if key not in self.candidates:
            roster = self.rosters.get(replica.data_centre)
            names = () if roster is None else roster.names
            order = rendezvous_order(replica.name, names)
            self.candidates[key] = tuple(order[:OWNER_AND_DEPUTY])
        return self.candidates[key]

    def should_pull(self, data_centre: str, epoch: int, now: float) -> bool:
        """Whether to ask for a roster now, given an epoch that someone told of."""
        known = self.rosters.get(data_centre)
        if known is not None and known.epoch >= epoch:
            return False
        if now - self.pulled_at.get(data_centre, float("-inf")) < PULL_PERIOD_S:
            return False
        self.pulled_at[data_centre] = now
        return True
