"""Chooses the delegate of a search from the load that delegates state.

Pure code: all times are passed in.
"""

from __future__ import annotations

from math import exp
from typing import NamedTuple

__all__ = ["MIN_CONCURRENT_SEARCHES", "DelegateLoad", "DelegateReport"]

MIN_CONCURRENT_SEARCHES = 2  # at a small delegate, rather than on a narrow link
MAX_COMPARED_CAPACITY = 400  # of one core: a gateway is a process of one thread
REPORT_MEMORY_S = 0.2  # searches end and begin within this time
SPEED_GAIN = 0.2  # of one answer in the recent ratio of answer times
SPEED_MEMORY_S = 3.0  # a slow delegate is tried again after some of these
MAX_SPEED_RATIO = 10.0  # bounds what one answer counts
FULL_S = 0.03  # a delegate that refused for want of room is passed over this long


class DelegateReport(NamedTuple):
    """The load that a delegate states.

    ``in_flight`` are its sub-requests under way, ``capacity`` how many it takes at the
    same time, which is proportional to its cores.
    """

    in_flight: int
    capacity: int


class DelegateLoad:
    """What is known of the load of one delegate.

    The cost of a search there grows with the work that the delegate has and gets from
    here, relative to its cores (one at most), and with the time that its answers took
    lately. A search takes more of a small delegate than of a large one, so that of two
    idle delegates the larger is chosen.

    >>> large, small = DelegateLoad(), DelegateLoad()
    >>> large.observe_report(DelegateReport(0, 860), 10.0)
    >>> small.observe_report(DelegateReport(0, 144), 10.0)
    >>> large.cost(0, 90, 10.0) < small.cost(0, 90, 10.0)
    True
    >>> large.cost(8, 90, 10.0) < small.cost(0, 90, 10.0)
    False
    """

    def __init__(self) -> None:
        self.report: DelegateReport | None = None
        self.report_at = 0.0
        self.own_at_report = 0
        self.speed_ratio = 1.0
        self.speed_at = 0.0
        self.full_until = 0.0

    def observe_report(
        self, report: DelegateReport, now: float, own_searches: int = 0
    ) -> None:
        """Record a stated load; ``own_searches`` of it were sent from here."""
        self.report = report
        self.report_at = now
        self.own_at_report = own_searches

    def observe_answer(self, took_ratio: float, now: float) -> None:
        """Record an answer, whose time is relative to the objective of its route."""
        known = self.current_speed_ratio(now)
        step = min(took_ratio, MAX_SPEED_RATIO) - known
        self.speed_ratio = known + SPEED_GAIN * step
        self.speed_at = now

    def current_speed_ratio(self, now: float) -> float:
        """Return the recent answer time, which returns to the usual one."""
        worth = exp((self.speed_at - now) / SPEED_MEMORY_S)
        return 1.0 + (self.speed_ratio - 1.0) * worth

    def record_full(self, now: float) -> None:
        """Record that the delegate refused a search because it has enough to do."""
        self.full_until = now + FULL_S

    def is_full(self, now: float) -> bool:
        """Return whether the delegate would refuse a search."""
        return now < self.full_until

    def has_room(self, own_searches: int, shards: int, now: float) -> bool:
        """Return whether a search fits into the capacity as far as that is known."""
        if self.is_full(now):
            return False
        if self.report is None:
            return True
        expected = self.expected_in_flight(own_searches, shards, now)
        capacity = max(self.report.capacity, MIN_CONCURRENT_SEARCHES * shards)
        return expected + shards <= capacity

    def expected_in_flight(self, own_searches: int, shards: int, now: float) -> float:
        """Return the sub-requests at the delegate, those from here included."""
        own = float(own_searches * shards)
        if self.report is None:
            return own
        others = max(0, self.report.in_flight - self.own_at_report * shards)
        return own + others * exp((self.report_at - now) / REPORT_MEMORY_S)

    def cost(self, own_searches: int, shards: int, now: float) -> float:
        """Return the cost of one more search, for comparison among delegates."""
        in_flight = self.expected_in_flight(own_searches, shards, now) + shards
        capacity = self.report.capacity if self.report is not None else shards
        capacity = min(capacity, MAX_COMPARED_CAPACITY)
        return in_flight / max(1, capacity) * self.current_speed_ratio(now)
