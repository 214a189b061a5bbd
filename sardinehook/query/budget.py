"""Budgets that bound hedges and retries by the work that callers asked for."""

from __future__ import annotations

from math import exp

__all__ = ["Budget", "Budgets"]

WINDOW_S = 2.0
FLOOR_TRIES = 20.0
FLOOR_TRIES_PER_S = 1.0


class Budget:
    """Extra sub-queries that one workload may still send from this process.

    Each first try earns ``ratio`` of an extra one. What is unused fades with a time
    constant of ``WINDOW_S``, so the extra load stays a ratio of the first tries of
    the last seconds and an outage can't draw on what was saved up before. A floor of
    ``FLOOR_TRIES``, refilled by ``FLOOR_TRIES_PER_S``, lets a workload with little
    traffic retry at all; a ratio of zero has no floor.

    >>> budget = Budget(0.0)
    >>> budget.earn(1000, 0.05, 0.0)
    >>> budget.spend(50, 0.0), budget.spend(21, 0.0), budget.spend(20, 0.0)
    (True, False, True)
    """

    def __init__(self, now: float) -> None:
        self.earned = 0.0
        self.floor = FLOOR_TRIES
        self.most_floor = FLOOR_TRIES
        self.updated_at = now

    def earn(self, first_tries: int, ratio: float, now: float) -> None:
        """Credit first tries that were sent at ``now``."""
        self.advance(now)
        self.most_floor = FLOOR_TRIES if ratio > 0.0 else 0.0
        self.floor = min(self.floor, self.most_floor)
        self.earned += first_tries * ratio

    def spend(self, tries: int, now: float) -> bool:
        """Take ``tries`` extra sub-queries, all of them or none."""
        self.advance(now)
        if self.earned + self.floor < tries:
            return False
        from_earned = min(self.earned, float(tries))
        self.earned -= from_earned
        self.floor -= tries - from_earned
        return True

    def advance(self, now: float) -> None:
        """Let unused tries fade and the floor refill."""
        elapsed = now - self.updated_at
        if elapsed <= 0.0:
            return
        self.updated_at = now
        self.earned *= exp(-elapsed / WINDOW_S)
        self.floor = min(self.most_floor, self.floor + elapsed * FLOOR_TRIES_PER_S)


class Budgets:
    """The budget of each workload."""

    def __init__(self) -> None:
        self.budgets: dict[str, Budget] = {}

    def of(self, workload: str, now: float) -> Budget:
        """Return the budget of ``workload``."""
        budget = self.budgets.get(workload)
        if budget is None:
            budget = self.budgets[workload] = Budget(now)
        return budget
