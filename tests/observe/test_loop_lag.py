"""Tests of the event loop lag probe."""

from __future__ import annotations

from twisted.internet.task import Clock

from sardinehook.observe.loop_lag import PROBE_INTERVAL_SECONDS, LoopLagProbe
from sardinehook.observe.metrics import Metrics


class TestLoopLagProbe:
    def test_records_timer_lag_until_stopped(self) -> None:
        clock, metrics = Clock(), Metrics()
        probe = LoopLagProbe(clock, metrics)
        probe.start()
        clock.advance(PROBE_INTERVAL_SECONDS)
        clock.advance(PROBE_INTERVAL_SECONDS + 0.3)
        probe.stop()
        clock.advance(60.0)
        text = metrics.render().decode()
        assert "sardinehook_loop_lag_seconds_count 2.0" in text
        assert "sardinehook_loop_lag_seconds_sum 0.3" in text
        assert 'loop_lag_seconds_bucket{le="0.001"} 1.0' in text
