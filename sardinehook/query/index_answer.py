"""The replies of one index that a search has accepted so far."""

from __future__ import annotations

from collections import Counter

from sardinehook.query.merge import Merger, Page
from sardinehook.query.snapshot import Snapshot

__all__ = ["IndexAnswer"]


class IndexAnswer:
    """The accepted replies of one index, merged separately for each snapshot.

    ``snapshot`` is the chosen one, or ``None`` until the first replies decide: the
    snapshot from which the most services answered is chosen, the newer one on a tie.
    The choice is made once more than half of the ``asked`` services have answered, or
    at the settlement. Replies of different snapshots are never merged.

    ``mismatch_counts`` counts the replies that named another snapshot than the chosen
    one, by that snapshot.
    """

    def __init__(
        self,
        index: str,
        asked: int,
        snapshot: Snapshot | None,
        limit: int,
        max_bytes: int,
    ) -> None:
        self.index = index
        self.asked = asked
        self.snapshot = snapshot
        self.mismatch_counts: Counter[Snapshot] = Counter()
        self.restarted = False
        self.limit = limit
        self.max_bytes = max_bytes
        self.services_by_snapshot: dict[Snapshot, set[str]] = {}
        self.mergers_by_snapshot: dict[Snapshot, Merger] = {}

    def accepts(self, snapshot: Snapshot) -> bool:
        """Tell whether a reply from ``snapshot`` can be part of the answer."""
        return self.snapshot is None or snapshot == self.snapshot

    def add(self, service: str, snapshot: Snapshot, page: Page, size: int) -> int:
        """Add a page of ``service``; return the change of the bytes held."""
        merger = self.mergers_by_snapshot.get(snapshot)
        if merger is None:
            merger = Merger(self.index, self.limit, self.max_bytes)
            self.mergers_by_snapshot[snapshot] = merger
            self.services_by_snapshot[snapshot] = set()
        self.services_by_snapshot[snapshot].add(service)
        return merger.add(page, size)

    def can_choose_snapshot(self) -> bool:
        """Tell whether enough services have answered to choose the snapshot."""
        if self.snapshot is not None:
            return False
        return 2 * self.answered_count() > self.asked

    def choose_snapshot(self) -> set[str]:
        """Choose the leading snapshot; return the services of other snapshots."""
        others = self.all_answered_services() - self.answered_services()
        self.snapshot = self.leading_snapshot()
        for dropped in [
            seen for seen in self.services_by_snapshot if seen != self.snapshot
        ]:
            del self.services_by_snapshot[dropped]
            del self.mergers_by_snapshot[dropped]
        return others

    def answered_count(self) -> int:
        """Count the services that answered, from any snapshot."""
        return sum(map(len, self.services_by_snapshot.values()))

    def newer_snapshot(self) -> Snapshot | None:
        """Return the newer snapshot that the most mismatched replies named, if any."""
        newer = [
            seen
            for seen in self.mismatch_counts
            if self.snapshot and seen > self.snapshot
        ]
        return max(
            newer, key=lambda seen: (self.mismatch_counts[seen], seen), default=None
        )

    def restart(self, snapshot: Snapshot) -> None:
        """Drop all replies and accept those from ``snapshot`` only."""
        self.snapshot = snapshot
        self.restarted = True
        self.services_by_snapshot.clear()
        self.mergers_by_snapshot.clear()
        self.mismatch_counts.clear()

    def all_answered_services(self) -> set[str]:
        """Return the services that answered from any snapshot."""
        return set().union(*self.services_by_snapshot.values())

    def leading_snapshot(self) -> Snapshot | None:
        """Return the chosen snapshot, or the one with the most replies so far."""
        if self.snapshot is not None or not self.services_by_snapshot:
            return self.snapshot
        return max(
            self.services_by_snapshot,
            key=lambda seen: (len(self.services_by_snapshot[seen]), seen),
        )

    def answered_services(self) -> set[str]:
        """Return the services that answered from the leading snapshot."""
        leading = self.leading_snapshot()
        if leading is None:
            return set()
        return self.services_by_snapshot.get(leading, set())

    def leading_merger(self) -> Merger | None:
        """Return the merger of the leading snapshot, ``None`` if nothing answered."""
        leading = self.leading_snapshot()
        return None if leading is None else self.mergers_by_snapshot.get(leading)
