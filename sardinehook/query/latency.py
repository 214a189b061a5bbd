"""Streaming estimates of how long sub-queries take."""

from __future__ import annotations

from bisect import bisect_left
from itertools import accumulate
from math import log2

__all__ = ["LatencyEstimates", "LatencyHistogram"]

BUCKETS_PER_DOUBLING = 8
DOUBLINGS = 21
LEAST_MS = 0.05
MOST_SAMPLES = 8192
LEAST_SAMPLES = 64
SAMPLES_PER_REFRESH = 64


class LatencyHistogram:
    """Counts of latencies in buckets that grow by a twelfth of their width each.

    Older samples fade: all counts are halved whenever ``MOST_SAMPLES`` are held. A
    quantile is within 9% of the exact one of the samples.

    >>> histogram = LatencyHistogram()
    >>> for latency_ms in range(1, 201):
    ...     histogram.record(float(latency_ms))
    >>> 95 < (histogram.quantile(0.5) or 0.0) < 110
    True
    """

    __slots__ = ("cache", "counts", "stale", "total")

    def __init__(self) -> None:
        self.counts = [0] * (DOUBLINGS * BUCKETS_PER_DOUBLING)
        self.total = 0
        self.stale = 0
        self.cache: dict[float, float] = {}

    def record(self, latency_ms: float) -> None:
        """Count one latency."""
        doublings = log2(latency_ms / LEAST_MS) if latency_ms > LEAST_MS else 0.0
        bucket = int(doublings * BUCKETS_PER_DOUBLING)
        self.counts[min(bucket, len(self.counts) - 1)] += 1
        self.total += 1
        self.stale += 1
        if self.total >= MOST_SAMPLES:
            self.counts = [held // 2 for held in self.counts]
            self.total = sum(self.counts)

    def quantile(self, ratio: float) -> float | None:
        """Return the upper edge in ms of the bucket that ``ratio`` falls into.

        Returns ``None`` until ``LEAST_SAMPLES`` were recorded. The value may be up to
        ``SAMPLES_PER_REFRESH`` samples old.
        """
        if self.total < LEAST_SAMPLES:
            return None
        if self.stale >= SAMPLES_PER_REFRESH:
            self.cache.clear()
            self.stale = 0
        held = self.cache.get(ratio)
        if held is None:
            held = self.cache[ratio] = self.edge(ratio * self.total)
        return held

    def edge(self, rank: float) -> float:
        """Return the upper edge in ms of the bucket of the sample at ``rank``."""
        bucket = bisect_left(list(accumulate(self.counts)), rank)
        return float(LEAST_MS * 2.0 ** ((bucket + 1) / BUCKETS_PER_DOUBLING))


class LatencyEstimates:
    """One histogram for each name, such as an index or a workload."""

    def __init__(self) -> None:
        self.histograms: dict[str, LatencyHistogram] = {}

    def record(self, name: str, latency_ms: float) -> None:
        """Count one latency of ``name``."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = self.histograms[name] = LatencyHistogram()
        histogram.record(latency_ms)

    def quantile(self, name: str, ratio: float) -> float | None:
        """Return a quantile in ms, ``None`` if too little is known of ``name``."""
        histogram = self.histograms.get(name)
        return None if histogram is None else histogram.quantile(ratio)
