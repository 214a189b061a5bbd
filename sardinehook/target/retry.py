"""Delay before an unresponsive connection is probed, and the retry budget."""

from __future__ import annotations

__all__ = ["RetryBudget", "probe_delay_s"]

PROBE_DELAY_FACTOR = 6.0
PROBE_DEADLINE_FRACTION = 0.25
RETRY_RATIO = 0.02
RETRY_BURST = 10.0


def probe_delay_s(likely_ms: float, left_s: float) -> float | None:
    """Return the time without a received byte after which a connection is probed.

    ``likely_ms`` is the time within which most replies come and ``left_s`` the time
    to the deadline at sending. ``None`` means that no time would be left for a retry.

    >>> probe_delay_s(likely_ms=4.0, left_s=0.2)
    0.05
    >>> probe_delay_s(likely_ms=40.0, left_s=0.2) is None
    True
    """
    likely_s = likely_ms / 1000.0
    delay_s = max(PROBE_DELAY_FACTOR * likely_s, PROBE_DEADLINE_FRACTION * left_s)
    return delay_s if delay_s + 2.0 * likely_s < left_s else None


class RetryBudget:
    """Token bucket that limits retries to a ratio of first attempts.

    The burst allows for several requests that fail for the same reason.

    >>> budget = RetryBudget()
    >>> sum(budget.try_acquire() for _ in range(20))
    10
    """

    def __init__(self) -> None:
        self.tokens = RETRY_BURST

    def record_request(self) -> None:
        """Add the share of a first attempt to the budget."""
        if self.tokens < RETRY_BURST:
            self.tokens += RETRY_RATIO

    def try_acquire(self) -> bool:
        """Spend one retry if the budget allows it; return whether it did."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
