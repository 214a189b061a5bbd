"""Measurement of event loop lag: how late timers run."""

from __future__ import annotations

from typing import Protocol

from sardinehook.transport.reactor import Timer, Timers

__all__ = ["LoopLagProbe"]

PROBE_INTERVAL_SECONDS = 0.5


class LagHistogram(Protocol):
    """A histogram, as a part of the metrics."""

    def observe(self, amount: float, /) -> object:
        """Count one lag in seconds."""


class LagMetrics(Protocol):
    """The metric that the probe records to."""

    @property
    def loop_lag_seconds(self) -> LagHistogram:
        """The lags in seconds."""
        ...


class LoopLagProbe:
    """Records the lag of a timer every ``PROBE_INTERVAL_SECONDS``."""

    def __init__(self, timers: Timers, metrics: LagMetrics) -> None:
        self.timers = timers
        self.metrics = metrics
        self.due_at = 0.0
        self.timer: Timer | None = None

    def start(self) -> None:
        """Schedule the next measurement."""
        self.due_at = self.timers.seconds() + PROBE_INTERVAL_SECONDS
        self.timer = self.timers.callLater(PROBE_INTERVAL_SECONDS, self._observe)

    def stop(self) -> None:
        """Cancel the scheduled measurement."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    def _observe(self) -> None:
        lag = max(self.timers.seconds() - self.due_at, 0.0)
        self.metrics.loop_lag_seconds.observe(lag)
        self.start()
