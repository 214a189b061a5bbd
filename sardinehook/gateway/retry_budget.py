"""Bounds the hedges and retries that are sent to a service."""

from __future__ import annotations

from collections import deque

from sardinehook.gateway.settings import Bounds

__all__ = ["RetryBudget", "SlidingWindowCounter"]

SLICES_PER_WINDOW = 20  # the resolution of the sliding window
SAFETY_RATIO = 0.9  # of the allowance: clocks and network delay shift arrivals


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
        """Count events at ``now``."""
        self.sum += count
        if self.slices and now - self.slices[-1][0] < self.slice_s:
            self.slices[-1][1] += count
        else:
            self.slices.append([now, count])

    def total(self, now: float) -> int:
        """Return an upper bound of the events in the window that ends at ``now``."""
        oldest = now - self.window_s - self.slice_s
        while self.slices and self.slices[0][0] < oldest:
            self.sum -= int(self.slices.popleft()[1])
        return self.sum


class RetryBudget:
    """The share of one gateway in the retry budget of a service.

    Each gateway may retry the configured ratio of its own requests, plus its share
    of the fixed slack. No coordination between gateways is needed, and a
    partitioned gateway stays within its share.

    Retries sent before ``counting_since`` are unknown: an earlier process may have
    used its share, and so may gateways that did not know this one. The share of the
    slack is therefore available only one window later.
    """

    __slots__ = ("repeats", "requests", "slack_available_at")

    def __init__(self, window_s: float, counting_since: float = float("-inf")) -> None:
        self.requests = SlidingWindowCounter(window_s)
        self.repeats = SlidingWindowCounter(window_s)
        self.slack_available_at = counting_since + window_s

    def record_request(self, now: float) -> None:
        """Count a caller's request, which increases the budget."""
        self.requests.add(1, now)

    def remaining(self, bounds: Bounds, sharing_gateways: float, now: float) -> float:
        """Return how many retries may still be sent at ``now``."""
        allowance = bounds.repeat_ratio * self.requests.total(now)
        if now >= self.slack_available_at:
            allowance += bounds.repeat_slack / max(1.0, sharing_gateways)
        return SAFETY_RATIO * allowance - self.repeats.total(now)

    def spend(self, bounds: Bounds, sharing_gateways: float, now: float) -> bool:
        """Spend one retry; return ``False`` if the budget is exhausted."""
        if self.remaining(bounds, sharing_gateways, now) < 1.0:
            return False
        self.repeats.add(1, now)
        return True
