"""Hedge policies: when to send a sub-query without a reply to a second replica."""

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
    """Never send a second sub-query because the first one is slow."""


@dataclass(frozen=True, slots=True)
class FixedDelayHedge:
    """Send a second sub-query after a fixed delay, the same for every index."""

    delay_ms: float


@dataclass(frozen=True, slots=True)
class QuantileHedge:
    """Send a second sub-query once most replies of the index would have arrived.

    The delay is the given ``quantile`` of the index's latencies, at least
    ``min_ms`` and at most ``max_time_left_ratio`` of the time left. This maximum also
    applies while there are too few samples for a quantile.
    """

    quantile: float = 0.97
    min_ms: float = 0.5
    max_time_left_ratio: float = 0.4


HedgePolicy = NoHedge | FixedDelayHedge | QuantileHedge


def hedge_delay_ms(
    policy: HedgePolicy, latencies: LatencyEstimates, index: str, time_left_ms: float
) -> float | None:
    """Return the delay in ms after which a sub-query is hedged, ``None`` for never.

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
        case QuantileHedge(quantile, min_ms, max_time_left_ratio):
            max_ms = time_left_ms * max_time_left_ratio
            estimate = latencies.quantile(index, quantile)
            return max_ms if estimate is None else min(max(estimate, min_ms), max_ms)
