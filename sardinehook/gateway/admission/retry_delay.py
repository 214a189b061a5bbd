"""Retry-After delays of requests that are refused under contention."""

from __future__ import annotations

from random import Random

__all__ = ["retry_delay_s"]

PATIENCE_RATIO = 0.1  # of the caller's timeout, for the most urgent
MAX_CLASS_FACTOR = 3  # leaves the least urgent over a third of their timeout to retry
MAX_BASE_S = 0.5  # callers with long timeouts need not wait longer for a burst to end


def retry_delay_s(priority: int, patience_s: float, random: Random) -> float:
    """Return when a refused caller should send its request again.

    The delay is between one and two times a base, so that callers who are refused
    together do not return together. The base grows with the priority number, so that
    the more urgent return first, and with the timeout of the caller.

    >>> 0.1 <= retry_delay_s(0, 1.0, Random(1)) <= 0.2
    True
    >>> 0.3 <= retry_delay_s(2, 1.0, Random(1)) <= 0.6
    True
    """
    factor = min(priority + 1, MAX_CLASS_FACTOR)
    base_s = factor * min(PATIENCE_RATIO * patience_s, MAX_BASE_S)
    return base_s * (1.0 + random.random())
