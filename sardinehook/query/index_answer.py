"""What one index has contributed to a query so far."""

from __future__ import annotations

from sardinehook.query.merge import Merger, Page
from sardinehook.query.snapshot import Snapshot

__all__ = ["IndexAnswer"]


class IndexAnswer:
    """The accepted replies of one index, kept apart by snapshot.

    ``snapshot`` is the one that was chosen, or ``None`` as long as the first replies
    have to decide. The rule for these: the snapshot under which the most services
    have answered is chosen, and the newer one on a tie. Replies of different
    snapshots never meet in one merge.
    """

    def __init__(
        self, index: str, snapshot: Snapshot | None, limit: int, most_bytes: int
    ) -> None:
        self.index = index
        self.snapshot = snapshot
        self.limit = limit
        self.most_bytes = most_bytes
        self.services: dict[Snapshot, set[str]] = {}
        self.mergers: dict[Snapshot, Merger] = {}

    def accepts(self, snapshot: Snapshot) -> bool:
        """Tell whether a reply of ``snapshot`` may still count."""
        return self.snapshot is None or snapshot == self.snapshot

    def add(self, service: str, snapshot: Snapshot, page: Page, size: int) -> None:
        """Count ``service`` as answered under ``snapshot``."""
        services = self.services.setdefault(snapshot, set())
        if service in services:
            return
        services.add(service)
        merger = self.mergers.get(snapshot)
        if merger is None:
            merger = Merger(self.limit, self.most_bytes)
            self.mergers[snapshot] = merger
        merger.add(self.index, page, size)

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
