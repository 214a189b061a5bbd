"""What one index has contributed to a query so far."""

from __future__ import annotations

from collections import Counter

from sardinehook.query.merge import Merger, Page
from sardinehook.query.snapshot import Snapshot

__all__ = ["IndexAnswer"]


class IndexAnswer:
    """The accepted replies of one index, kept apart by snapshot.

    ``snapshot`` is the one that was chosen, or ``None`` as long as the first replies
    have to decide. The rule for these: the snapshot under which the most services
    have answered is chosen, and the newer one on a tie. Replies of different
    snapshots never meet in one merge. The choice is made once more than half of the
    ``asked`` services have answered, or at the settlement.

    ``refused`` counts the replies that named another snapshot than the chosen one.
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
        self.refused: Counter[Snapshot] = Counter()
        self.restarted = False
        self.limit = limit
        self.max_bytes = max_bytes
        self.services: dict[Snapshot, set[str]] = {}
        self.mergers: dict[Snapshot, Merger] = {}

    def accepts(self, snapshot: Snapshot) -> bool:
        """Tell whether a reply of ``snapshot`` may still count."""
        return self.snapshot is None or snapshot == self.snapshot

    def add(self, service: str, snapshot: Snapshot, page: Page, size: int) -> int:
        """Count ``service`` as answered and return the bytes held for that."""
        merger = self.mergers.get(snapshot)
        if merger is None:
            merger = Merger(self.index, self.limit, self.max_bytes)
            self.mergers[snapshot] = merger
            self.services[snapshot] = set()
        self.services[snapshot].add(service)
        return merger.add(page, size)

    def can_choose(self) -> bool:
        """Tell whether the first replies decide the snapshot now."""
        if self.snapshot is not None:
            return False
        return 2 * self.reply_count() > self.asked

    def choose(self) -> set[str]:
        """Choose the leading snapshot and return the services of other replies."""
        others = self.answered_any() - self.answered()
        self.snapshot = self.leading()
        for dropped in [held for held in self.services if held != self.snapshot]:
            del self.services[dropped]
            del self.mergers[dropped]
        return others

    def reply_count(self) -> int:
        """Return how many services answered under any snapshot."""
        return sum(map(len, self.services.values()))

    def newer(self) -> Snapshot | None:
        """Return the newer snapshot that the most refusing replicas named."""
        newer = [
            held for held in self.refused if self.snapshot and held > self.snapshot
        ]
        return max(newer, key=lambda held: (self.refused[held], held), default=None)

    def restart(self, snapshot: Snapshot) -> None:
        """Drop what was collected and collect ``snapshot`` instead."""
        self.snapshot = snapshot
        self.restarted = True
        self.services.clear()
        self.mergers.clear()
        self.refused.clear()

    def answered_any(self) -> set[str]:
        """Return the services that answered under any snapshot."""
        return set().union(*self.services.values())

    def leading(self) -> Snapshot | None:
        """Return the chosen snapshot, or the one that the first replies favour."""
        if self.snapshot is not None or not self.services:
            return self.snapshot
        return max(self.services, key=lambda held: (len(self.services[held]), held))

    def answered(self) -> set[str]:
        """Return the services that answered under the leading snapshot."""
        leading = self.leading()
        if leading is None:
            return set()
        return self.services.get(leading, set())

    def merger(self) -> Merger | None:
        """Return the records under the leading snapshot."""
        leading = self.leading()
        return None if leading is None else self.mergers.get(leading)
