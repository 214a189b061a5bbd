"""The queue of one replica: who is next, and what is too late to send."""

from __future__ import annotations

from heapq import heapify, heappop, heappush
from typing import NamedTuple

from sardinehook.target.task import Task

__all__ = ["ReplicaQueue"]


class Entry(NamedTuple):
    """A place in the queue; ``number`` keeps equal places in order of arrival."""

    priority: int
    deadline_at: float
    number: int
    task: Task


class ReplicaQueue:
    """Sub-queries in order of priority, then of deadline."""

    def __init__(self, bound: int) -> None:
        self.bound = bound
        self.entries: list[Entry] = []
        self.numbers = 0

    def __len__(self) -> int:
        return len(self.entries)

    def push(self, task: Task) -> Task | None:
        """Add ``task``; return what has to go when the queue is full, if any."""
        self.numbers += 1
        entry = Entry(task.sub_query.priority, task.deadline_at, self.numbers, task)
        heappush(self.entries, entry)
        if len(self.entries) <= self.bound:
            return None
        last = max(self.entries)
        self.entries.remove(last)
        heapify(self.entries)
        return last.task

    def pop(self) -> Task:
        """Remove and return the sub-query that is served next."""
        return heappop(self.entries).task

    def remove(self, task: Task) -> bool:
        """Remove ``task``; tell whether it was queued."""
        for place, entry in enumerate(self.entries):
            if entry.task is task:
                del self.entries[place]
                heapify(self.entries)
                return True
        return False

    def remove_unservable(self, now: float, needed_s: float) -> list[Task]:
        """Remove and return what has less than ``needed_s`` left."""
        latest = now + needed_s
        if all(entry.deadline_at >= latest for entry in self.entries):
            return []
        hopeless = [e.task for e in self.entries if e.deadline_at < latest]
        self.entries = [e for e in self.entries if e.deadline_at >= latest]
        heapify(self.entries)
        return hopeless

    def remove_all(self) -> list[Task]:
        """Remove and return everything."""
        removed = [entry.task for entry in sorted(self.entries)]
        self.entries = []
        return removed

    def ahead_of(self, priority: int, deadline_at: float) -> int:
        """Return how many sub-queries would be served before such a one."""
        place = (priority, deadline_at)
        return sum((e.priority, e.deadline_at) <= place for e in self.entries)
