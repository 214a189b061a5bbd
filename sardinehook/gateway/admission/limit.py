"""Adaptive limit of concurrent requests."""

from __future__ import annotations

from math import inf

__all__ = ["DECREASE_FACTOR", "DECREASE_INTERVAL_S", "MIN_LIMIT", "AdaptiveLimit"]

MIN_LIMIT = 2.0  # requests of one gateway, so that one slow request does not stop all
DECREASE_FACTOR = 0.85  # as in note 0010
DECREASE_INTERVAL_S = 0.1  # one queue is reported by many requests


class AdaptiveLimit:
    """Limit by additive increase and multiplicative decrease.

    There is no limit until the first sign of congestion. It then follows the number
    of requests in flight at that moment. It grows by one after as many requests without
    congestion as it allows at once, if these used it.

    >>> limit = AdaptiveLimit()
    >>> limit.decrease(20, 0.0)
    >>> limit.value
    17.0
    """

    __slots__ = ("decreased_at", "value")

    def __init__(self) -> None:
        self.value = inf
        self.decreased_at = -inf

    def decrease(self, in_flight: int, now: float) -> None:
        """Lower the limit after a sign of congestion."""
        self.decreased_at = now
        self.value = max(MIN_LIMIT, DECREASE_FACTOR * min(self.value, in_flight))

    def increase(self, in_flight: int) -> None:
        """Raise the limit after a request without congestion, if it was in use."""
        if in_flight >= self.value - 1.0:
            self.value += 1.0 / self.value
