"""Bounded priority queue of the sub-queries to one replica."""

from __future__ import annotations

from heapq import heapify, heappop, heappush
from typing import NamedTuple

from sardinehook.target.task import Task

__all__ = ["ReplicaQueue"]


class Entry(NamedTuple):
    """A queued task; ``number`` keeps equal entries in order of arrival."""

    priority: int
    deadline_at: float
    number: int
    task: Task


class ReplicaQueue:
    """Tasks in order of priority, then deadline, then arrival."""

    def __init__(self, bound: int) -> None:
        self.bound = bound
        self.entries: list[Entry] = []
        self.numbers = 0

    def __len__(self) -> int:
        return len(self.entries)

    def push(self, task: Task) -> Task | None:
        """Add ``task``; return the last task if the queue exceeds its bound."""
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
        """Remove and return the next task."""
        return heappop(self.entries).task

    def remove(self, task: Task) -> bool:
        """Remove ``task``; return whether it was queued."""
        for place, entry in enumerate(self.entries):
            if entry.task is task:
                del self.entries[place]
                heapify(self.entries)
                return True
        return False

    def remove_unservable(self, now: float, needed_s: float) -> list[Task]:
        """Remove and return tasks with less than ``needed_s`` to their deadline."""
        latest = now + needed_s
        if all(entry.deadline_at >= latest for entry in self.entries):
            return []
        unservable = [e.task for e in self.entries if e.deadline_at < latest]
        self.entries = [e for e in self.entries if e.deadline_at >= latest]
        heapify(self.entries)
        return unservable

    def remove_all(self) -> list[Task]:
        """Remove and return all tasks, in order."""
        removed = [entry.task for entry in sorted(self.entries)]
        self.entries = []
        return removed

    def ahead_of(self, priority: int, deadline_at: float) -> int:
        """Return how many tasks would be served before one with this key."""
        place = (priority, deadline_at)
        return sum((e.priority, e.deadline_at) <= place for e in self.entries)
