"""Tests of the lease check before a sub-query starts.

A process that resumes after a pause must not start work under a lease that expired
during the pause.
"""

from __future__ import annotations

from twisted.internet.task import Clock

from sardinehook.entry.allowances import AllowanceApplier, LeaseGuard
from sardinehook.entry.dispatcher import IndexedReplica, ReplyHandler
from sardinehook.environment.document import Index, Replica
from sardinehook.messages import SubQuery
from sardinehook.target.allowance import Allowance

REPLICA = Replica("counters-1a", "szolnok-b", "127.0.0.1:9")
INDEX = Index(2, 25, 6.0, {"counters-1": [REPLICA]})
QUERY = SubQuery(1, "r", "counters-1", REPLICA.name, 0, 0, 90.0, 5, "", b"{}")


class FakeFleet:
    """A lease that can change, and the allowance derived from it."""

    def __init__(self) -> None:
        self.slots = 2
        self.changed = False

    def allowance(self, replica: Replica, index: Index) -> Allowance:
        return Allowance(self.slots, 20, True)

    def lease_changed(self) -> bool:
        changed, self.changed = self.changed, False
        return changed


class FakeOwner:
    """Records the slots allowed when each sub-query is submitted."""

    def __init__(self) -> None:
        self.slots = 0
        self.seen: list[int] = []

    def set_allowance(self, replica: str, allowance: Allowance | None) -> None:
        self.slots = allowance.slots if allowance else 0

    def submit(self, sender: str, sub_query: SubQuery, reply: ReplyHandler) -> None:
        self.seen.append(self.slots)

    def cancel(self, sender: str, sub_query_id: int) -> None:
        raise AssertionError("unexpected cancel")


class TestLeaseGuard:
    def test_allowance_is_updated_before_submit_if_the_lease_changed(self) -> None:
        clock = Clock()
        fleet, owner = FakeFleet(), FakeOwner()
        applier = AllowanceApplier(clock, REPLICA.data_centre, fleet, owner)
        applier.configure({REPLICA.name: IndexedReplica(REPLICA, INDEX)})
        guard = LeaseGuard(fleet, applier, owner)
        guard.submit("e2", QUERY, lambda reply: None)
        fleet.slots, fleet.changed = 1, True
        guard.submit("e2", QUERY, lambda reply: None)
        assert owner.seen == [2, 1]
