"""When a sub-query without a reply is sent to a second replica."""

from __future__ import annotations

from dataclasses import dataclass

from sardinehook.query.latency import LatencyEstimates

__all__ = [
    "FixedDelayHedge",
    "HedgePolicy",
    "NoHedge",
    "QuantileHedge",
    "hedge_delay_ms",
]


@dataclass(frozen=True, slots=True)
class NoHedge:
    """Never send a sub-query twice for its slowness."""


@dataclass(frozen=True, slots=True)
class FixedDelayHedge:
    """Send a second sub-query after the same delay for every index."""

    delay_ms: float


@dataclass(frozen=True, slots=True)
class QuantileHedge:
    """Send a second sub-query once most replies of the index would have come.

    The delay is the ``ratio`` quantile of the index's latencies, at least
    ``least_ms`` and at most ``deadline_ratio`` of the time left, which also applies
    as long as too little is known.
    """

    ratio: float = 0.97
    least_ms: float = 0.5
    deadline_ratio: float = 0.4


HedgePolicy = NoHedge | FixedDelayHedge | QuantileHedge


def hedge_delay_ms(
    policy: HedgePolicy, latencies: LatencyEstimates, index: str, time_left_ms: float
) -> float | None:
    """Return the delay in ms after which to hedge, ``None`` for never.

    >>> hedge_delay_ms(FixedDelayHedge(5.0), LatencyEstimates(), "logs", 100.0)
    5.0
    >>> hedge_delay_ms(QuantileHedge(), LatencyEstimates(), "logs", 100.0)
    40.0
    """
    match policy:
        case NoHedge():
            return None
        case FixedDelayHedge(delay_ms):
            return delay_ms
        case QuantileHedge(ratio, least_ms, deadline_ratio):
            most_ms = time_left_ms * deadline_ratio
            estimate = latencies.quantile(index, ratio)
            return (
                most_ms if estimate is None else min(max(estimate, least_ms), most_ms)
            )
