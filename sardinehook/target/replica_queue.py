"""The queue of one replica: who is next, and what is too late to send."""

from __future__ import annotations

from heapq import heapify, heappop, heappush
from typing import NamedTuple

from sardinehook.target.work import Work

__all__ = ["ReplicaQueue"]


class Entry(NamedTuple):
    """A place in the queue; ``number`` keeps equal places in order of arrival."""

    priority: int
    deadline_at: float
    number: int
    work: Work


class ReplicaQueue:
    """Sub-queries in order of priority, then of deadline."""

    def __init__(self, bound: int) -> None:
        self.bound = bound
        self.entries: list[Entry] = []
        self.numbers = 0

    def __len__(self) -> int:
        return len(self.entries)

    def push(self, work: Work) -> Work | None:
        """Add ``work``; return what has to go when the queue is full, if any."""
        self.numbers += 1
        entry = Entry(work.sub_query.priority, work.deadline_at, self.numbers, work)
        heappush(self.entries, entry)
        if len(self.entries) <= self.bound:
            return None
        last = max(self.entries)
        self.entries.remove(last)
        heapify(self.entries)
        return last.work

    def pop(self) -> Work:
        """Remove and return the sub-query that is served next."""
        return heappop(self.entries).work

    def remove(self, work: Work) -> bool:
        """Remove ``work``; tell whether it was queued."""
        for place, entry in enumerate(self.entries):
            if entry.work is work:
                del self.entries[place]
                heapify(self.entries)
                return True
        return False

    def remove_unservable(self, now: float, needed_s: float) -> list[Work]:
        """Remove and return what has less than ``needed_s`` left."""
        latest = now + needed_s
        if all(entry.deadline_at >= latest for entry in self.entries):
            return []
        hopeless = [e.work for e in self.entries if e.deadline_at < latest]
        self.entries = [e for e in self.entries if e.deadline_at >= latest]
        heapify(self.entries)
        return hopeless

    def remove_all(self) -> list[Work]:
        """Remove and return everything."""
        removed = [entry.work for entry in sorted(self.entries)]
        self.entries = []
        return removed

    def ahead_of(self, priority: int, deadline_at: float) -> int:
        """Return how many sub-queries would be served before such a one."""
        place = (priority, deadline_at)
        return sum((e.priority, e.deadline_at) <= place for e in self.entries)
