"""Bounds the requests that a service gets beyond the first of each caller's."""

from __future__ import annotations

from collections import deque

from sardinehook.gateway.settings import Bounds

__all__ = ["RetryBudget", "SlidingWindowCounter"]

SLICES_PER_WINDOW = 20  # resolution of the sliding window
SAFETY_RATIO = 0.9  # of the allowance, since clocks and the wire shift arrivals


class SlidingWindowCounter:
    """Counts events within a sliding window of ``window_s`` seconds.

    >>> count = SlidingWindowCounter(10.0)
    >>> count.add(3, 0.0)
    >>> count.total(9.0), count.total(11.0)
    (3, 0)
    """

    __slots__ = ("slice_s", "slices", "sum", "window_s")

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.slice_s = window_s / SLICES_PER_WINDOW
        self.slices: deque[list[float]] = deque()
        self.sum = 0

    def add(self, count: int, now: float) -> None:
        """Count events that happen at ``now``."""
        self.sum += count
        if self.slices and now - self.slices[-1][0] < self.slice_s:
            self.slices[-1][1] += count
        else:
            self.slices.append([now, count])

    def total(self, now: float) -> int:
        """Return how many events the window that ends at ``now`` may hold."""
        oldest = now - self.window_s - self.slice_s
        while self.slices and self.slices[0][0] < oldest:
            self.sum -= int(self.slices.popleft()[1])
        return self.sum


class RetryBudget:
    """One service's repeats within this gateway's part of the fleet's budget.

    Each gateway may repeat the promised ratio of the requests that it took itself
    and, of the fixed slack, its share. So no message is needed between gateways, and
    one that is cut off keeps within its part.

    What was spent before ``counting_since`` is not known: a process before this one may
    have spent its share, and so may gateways that did not know of this one. The share
    of the slack is there a window later.
    """

    __slots__ = ("repeats", "requests", "slack_from")

    def __init__(self, window_s: float, counting_since: float = float("-inf")) -> None:
        self.requests = SlidingWindowCounter(window_s)
        self.repeats = SlidingWindowCounter(window_s)
        self.slack_from = counting_since + window_s

    def record_request(self, now: float) -> None:
        """Count a caller's request to the service."""
        self.requests.add(1, now)

    def remaining(self, bounds: Bounds, sharing_gateways: float, now: float) -> float:
        """Return how many repeats may still be sent at ``now``."""
        allowance = bounds.repeat_ratio * self.requests.total(now)
        if now >= self.slack_from:
            allowance += bounds.repeat_slack / max(1.0, sharing_gateways)
        return SAFETY_RATIO * allowance - self.repeats.total(now)

    def spend(self, bounds: Bounds, sharing_gateways: float, now: float) -> bool:
        """Take one repeat from the budget, if there is one."""
        if self.remaining(bounds, sharing_gateways, now) < 1.0:
            return False
        self.repeats.add(1, now)
        return True
