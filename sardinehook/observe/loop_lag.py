"""Measures how late the event loop runs its timers."""

from __future__ import annotations

from typing import Protocol

from prometheus_client import Histogram

from sardinehook.transport.reactor import Timer, Timers

__all__ = ["LoopLagProbe"]

PROBE_INTERVAL_SECONDS = 0.5


class LagMetrics(Protocol):
    """What the probe records to."""

    loop_lag_seconds: Histogram


class LoopLagProbe:
    """Observes the lag of a timer twice a second."""

    def __init__(self, timers: Timers, metrics: LagMetrics) -> None:
        self.timers = timers
        self.metrics = metrics
        self.due = 0.0
        self.call: Timer | None = None

    def start(self) -> None:
        """Begin to measure."""
        self.due = self.timers.seconds() + PROBE_INTERVAL_SECONDS
        self.call = self.timers.callLater(PROBE_INTERVAL_SECONDS, self._observe)

    def stop(self) -> None:
        """Measure no more."""
        if self.call is not None and self.call.active():
            self.call.cancel()

    def _observe(self) -> None:
        lag = max(self.timers.seconds() - self.due, 0.0)
        self.metrics.loop_lag_seconds.observe(lag)
        self.start()
