"""Budgets that limit hedges and retries to a ratio of the first attempts."""

from __future__ import annotations

from math import exp

__all__ = ["AttemptBudget", "AttemptBudgets"]

WINDOW_S = 2.0
RESERVE_ATTEMPTS = 20.0
RESERVE_ATTEMPTS_PER_S = 1.0


class AttemptBudget:
    """Extra sub-queries that one workload may still send from this process.

    Each first attempt earns ``ratio`` of an extra one. Unused credit decays with a
    time constant of ``WINDOW_S``, so the extra load stays a ratio of the first
    attempts of the last seconds, and an outage can't draw on credit saved before it.
    A reserve of ``RESERVE_ATTEMPTS``, refilled by ``RESERVE_ATTEMPTS_PER_S``, lets a
    workload with little traffic retry at all; a ratio of zero has no reserve.

    >>> budget = AttemptBudget(0.0)
    >>> budget.earn(1000, 0.05, 0.0)
    >>> budget.spend(50, 0.0), budget.spend(21, 0.0), budget.spend(20, 0.0)
    (True, False, True)
    """

    def __init__(self, now: float) -> None:
        self.earned = 0.0
        self.reserve = RESERVE_ATTEMPTS
        self.max_reserve = RESERVE_ATTEMPTS
        self.updated_at = now

    def earn(self, first_attempts: int, ratio: float, now: float) -> None:
        """Credit the share of first attempts that were sent at ``now``."""
        self.advance(now)
        self.max_reserve = RESERVE_ATTEMPTS if ratio > 0.0 else 0.0
        self.reserve = min(self.reserve, self.max_reserve)
        self.earned += first_attempts * ratio

    def spend(self, attempts: int, now: float) -> bool:
        """Spend ``attempts`` extra sub-queries, all of them or none."""
        self.advance(now)
        if self.earned + self.reserve < attempts:
            return False
        from_earned = min(self.earned, float(attempts))
        self.earned -= from_earned
        self.reserve -= attempts - from_earned
        return True

    def advance(self, now: float) -> None:
        """Decay the unused credit and refill the reserve."""
        elapsed = now - self.updated_at
        if elapsed <= 0.0:
            return
        self.updated_at = now
        self.earned *= exp(-elapsed / WINDOW_S)
        self.reserve = min(
            self.max_reserve, self.reserve + elapsed * RESERVE_ATTEMPTS_PER_S
        )


class AttemptBudgets:
    """The budgets of all workloads of this process."""

    def __init__(self) -> None:
        self.budgets: dict[str, AttemptBudget] = {}

    def of(self, workload: str, now: float) -> AttemptBudget:
        """Return the budget of ``workload``, created on first use."""
        budget = self.budgets.get(workload)
        if budget is None:
            budget = self.budgets[workload] = AttemptBudget(now)
        return budget
