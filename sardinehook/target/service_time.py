"""Estimator of a replica's service time."""

from __future__ import annotations

__all__ = ["ServiceTime"]

INITIAL_ESTIMATE_MS = 10.0
MEAN_GAIN = 0.125
DEVIATION_GAIN = 0.25
SLOW_FACTOR = 4.0


class ServiceTime:
    """Moving mean and mean deviation of service times, in milliseconds.

    The gains are those of the round-trip estimator of RFC 6298. Samples are capped
    at four times the mean, so that a single outlier has little effect.

    >>> service = ServiceTime()
    >>> service.observe(4.0)
    >>> service.mean_ms
    4.0
    """

    def __init__(self) -> None:
        self.mean_ms = INITIAL_ESTIMATE_MS
        self.deviation_ms = INITIAL_ESTIMATE_MS / 2
        self.samples = 0

    def observe(self, sample_ms: float) -> None:
        """Add one service time to the estimate."""
        self.samples += 1
        if self.samples == 1:
            self.mean_ms = sample_ms
            self.deviation_ms = sample_ms / 2
            return
        sample_ms = min(sample_ms, self.mean_ms * SLOW_FACTOR)
        error_ms = sample_ms - self.mean_ms
        self.deviation_ms += DEVIATION_GAIN * (abs(error_ms) - self.deviation_ms)
        self.mean_ms += MEAN_GAIN * error_ms

    def is_slow(self, sample_ms: float) -> bool:
        """Tell whether a service time is an outlier; never before the first sample."""
        usual_ms = self.mean_ms + SLOW_FACTOR * self.deviation_ms
        return self.samples > 0 and sample_ms > max(
            usual_ms, self.mean_ms * SLOW_FACTOR
        )

    @property
    def likely_ms(self) -> float:
        """Mean plus mean deviation: the time within which most replies come."""
        return self.mean_ms + self.deviation_ms
