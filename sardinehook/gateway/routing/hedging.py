"""When a request is hedged, from the expected end of the replica that has it.

Pure code, for deployments that adapt to load. Retry budgets and the limit on attempts
bind whatever is decided here.
"""

from __future__ import annotations

from math import ceil
from typing import NamedTuple

from sardinehook.query.latency import LatencyEstimates

__all__ = [
    "HedgeBounds",
    "OverdueRatios",
    "hedge_delay_s",
    "is_worth_hedging",
    "last_chance_s",
]

OVERDUE_QUANTILE = 0.95  # of the ratios of reply times to expected ones
INITIAL_OVERDUE_RATIO = 2.0  # until enough ratios are known
MIN_OVERDUE_RATIO = 1.3  # below this, hedges would follow usual variance
MAX_OVERDUE_RATIO = 4.0  # above this, pauses spoil the estimate
LAST_CHANCE_RATIO = 1.5  # of an unloaded reply time: what a hedge needs until the end
MAX_LAST_CHANCE_RATIO = 0.1  # of the shards of a search
RATIO_UNITS = 1000.0  # of the histogram, whose range begins far below a ratio of one


class HedgeBounds(NamedTuple):
    """The earliest and the latest hedge of a request, in seconds after it is sent."""

    earliest_s: float
    latest_s: float


class OverdueRatios:
    """How much longer than expected replies take, for each route.

    Where reports are fresh, replies end close to what is expected and a hedge may
    follow soon; where they are old, it has to wait longer.

    >>> ratios = OverdueRatios()
    >>> ratios.overdue_ratio("r")
    2.0
    >>> for _ in range(100):
    ...     ratios.observe("r", 1.4)
    >>> 1.4 < ratios.overdue_ratio("r") < 1.6
    True
    """

    def __init__(self) -> None:
        self.ratios = LatencyEstimates()

    def observe(self, route: str, ratio: float) -> None:
        """Record the ratio of a reply time to the expected one."""
        self.ratios.record(route, ratio * RATIO_UNITS)

    def overdue_ratio(self, route: str) -> float:
        """Return the multiple of the expected time at which a reply is overdue."""
        known = self.ratios.quantile(route, OVERDUE_QUANTILE)
        if known is None:
            return INITIAL_OVERDUE_RATIO
        return min(max(known / RATIO_UNITS, MIN_OVERDUE_RATIO), MAX_OVERDUE_RATIO)


def hedge_delay_s(
    expected_s: float, overdue_ratio: float, bounds: HedgeBounds, last_chance_s: float
) -> float:
    """Return how long after sending a request its hedge is due.

    It is due when the reply is overdue by the replica's own estimate, and no later than
    ``last_chance_s``, when a hedge would still end within the objective. If that is too
    soon after the request for a hedge, the objective is not considered.

    >>> bounds = HedgeBounds(0.004, 0.016)
    >>> hedge_delay_s(0.004, 1.5, bounds, 0.02)
    0.006
    >>> hedge_delay_s(0.01, 1.5, bounds, 0.02), hedge_delay_s(0.01, 1.5, bounds, 0.013)
    (0.015, 0.013)
    """
    due_s = min(expected_s * overdue_ratio, bounds.latest_s)
    if last_chance_s > bounds.earliest_s:
        due_s = min(due_s, last_chance_s)
    return max(due_s, bounds.earliest_s)


def is_worth_hedging(
    overdue: bool,
    unanswered: int,
    shards: int,
    hedge_s: float,
    left_s: float,
    has_coverage: bool,
) -> bool:
    """Return whether one more request for a shard of a search is worth its cost.

    ``hedge_s`` is its expected reply time, ``left_s`` the time until the objective. A
    hedge that ends too late is worth something only while the coverage is not reached.
    An overdue reply is hedged. One that is not overdue yet is hedged at the last chance
    only while few shards are missing: if many are, the gateway or all replicas are
    slow, and more requests make it worse.

    >>> is_worth_hedging(True, 40, 90, 0.01, 0.02, True)
    True
    >>> is_worth_hedging(False, 40, 90, 0.01, 0.02, True)
    False
    >>> is_worth_hedging(True, 2, 90, 0.03, 0.02, True)
    False
    """
    if left_s > 0.0 and hedge_s > left_s and has_coverage:
        return False
    return overdue or unanswered <= ceil(MAX_LAST_CHANCE_RATIO * shards)


def last_chance_s(left_s: float, unloaded_s: float) -> float:
    """Return how long a hedge may wait so that it still ends within the objective.

    >>> round(last_chance_s(0.03, 0.004), 4)
    0.024
    """
    return left_s - LAST_CHANCE_RATIO * unloaded_s
