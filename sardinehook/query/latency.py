"""Streaming estimates of latency quantiles."""

from __future__ import annotations

from bisect import bisect_left
from itertools import accumulate
from math import log2

__all__ = ["LatencyEstimates", "LatencyHistogram"]

BUCKETS_PER_DOUBLING = 8
DOUBLINGS = 21
MIN_MS = 0.05
MAX_SAMPLES = 8192
MIN_SAMPLES = 64
SAMPLES_PER_REFRESH = 64


class LatencyHistogram:
    """Histogram of latencies in geometric buckets, eight for each doubling.

    Older samples decay: all counts are halved when ``MAX_SAMPLES`` are reached. A
    quantile is within 9% of the exact one of the samples.

    >>> histogram = LatencyHistogram()
    >>> for latency_ms in range(1, 201):
    ...     histogram.record(float(latency_ms))
    >>> 95 < (histogram.quantile(0.5) or 0.0) < 110
    True
    """

    __slots__ = ("counts", "quantile_cache", "samples_since_refresh", "total")

    def __init__(self) -> None:
        self.counts = [0] * (DOUBLINGS * BUCKETS_PER_DOUBLING)
        self.total = 0
        self.samples_since_refresh = 0
        self.quantile_cache: dict[float, float] = {}

    def record(self, latency_ms: float) -> None:
        """Add one sample."""
        doublings = log2(latency_ms / MIN_MS) if latency_ms > MIN_MS else 0.0
        bucket = int(doublings * BUCKETS_PER_DOUBLING)
        self.counts[min(bucket, len(self.counts) - 1)] += 1
        self.total += 1
        self.samples_since_refresh += 1
        if self.total >= MAX_SAMPLES:
            self.counts = [count // 2 for count in self.counts]
            self.total = sum(self.counts)

    def quantile(self, ratio: float) -> float | None:
        """Return the upper edge in ms of the bucket of the ``ratio`` quantile.

        Returns ``None`` until ``MIN_SAMPLES`` were recorded. The value is cached and
        may be up to ``SAMPLES_PER_REFRESH`` samples old.
        """
        if self.total < MIN_SAMPLES:
            return None
        if self.samples_since_refresh >= SAMPLES_PER_REFRESH:
            self.quantile_cache.clear()
            self.samples_since_refresh = 0
        edge_ms = self.quantile_cache.get(ratio)
        if edge_ms is None:
            edge_ms = self.quantile_cache[ratio] = self.edge_ms(ratio * self.total)
        return edge_ms

    def edge_ms(self, rank: float) -> float:
        """Return the upper edge in ms of the bucket of the sample at ``rank``."""
        bucket = bisect_left(list(accumulate(self.counts)), rank)
        return float(MIN_MS * 2.0 ** ((bucket + 1) / BUCKETS_PER_DOUBLING))


class LatencyEstimates:
    """One histogram for each name, such as an index or a workload."""

    def __init__(self) -> None:
        self.histograms: dict[str, LatencyHistogram] = {}

    def record(self, name: str, latency_ms: float) -> None:
        """Add one sample of ``name``, creating its histogram if need be."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = self.histograms[name] = LatencyHistogram()
        histogram.record(latency_ms)

    def quantile(self, name: str, ratio: float) -> float | None:
        """Return a quantile in ms, ``None`` if ``name`` has too few samples."""
        histogram = self.histograms.get(name)
        return None if histogram is None else histogram.quantile(ratio)
