"""Tests of the failure detector of a link."""

from __future__ import annotations

from sardinehook.fleet.link_monitor import (
    IDLE_PROBE_AFTER_S,
    MIN_PROBE_TIMEOUT_S,
    PROBE_AFTER_S,
    REPLY_WAIT_LIMIT_S,
    LinkMonitor,
    Step,
)

PAUSE_S = 30.0
EPSILON_S = 0.001


def awaiting_monitor(now: float = 0.0) -> LinkMonitor:
    monitor = LinkMonitor(now)
    monitor.record_sent(now, requests=1)
    return monitor


class TestLinkMonitor:
    def test_idle_link_is_not_probed(self) -> None:
        assert LinkMonitor(0.0).check(1000.0).step is Step.REST

    def test_answered_probe_keeps_the_reply_pending(self) -> None:
        monitor = awaiting_monitor()
        now = PROBE_AFTER_S
        assert monitor.check(now).step is Step.PROBE
        monitor.record_received(now)
        assert monitor.check(now).step is Step.WAIT
        assert monitor.check(now + PROBE_AFTER_S).step is Step.PROBE

    def test_silent_link_is_suspected_within_half_a_deadline(self) -> None:
        monitor = awaiting_monitor()
        now = PROBE_AFTER_S
        step = monitor.check(now)
        now += step.check_after_s
        assert monitor.check(now).step is Step.DOUBT
        assert now < 0.150 / 2

    def test_local_pause_causes_no_suspicion_before_a_read(self) -> None:
        monitor = awaiting_monitor()
        assert monitor.check(PAUSE_S / 100).step is Step.PROBE
        monitor.record_received(PAUSE_S / 100 + EPSILON_S)
        monitor.record_replies(1)
        assert monitor.check(PAUSE_S).step is Step.REST

    def test_probe_timeout_grows_with_the_round_trip(self) -> None:
        monitor = awaiting_monitor()
        monitor.round_trip_s = 0.060
        monitor.check(PROBE_AFTER_S)
        assert monitor.check(PROBE_AFTER_S + MIN_PROBE_TIMEOUT_S).step is Step.WAIT

    def test_lost_reply_is_not_awaited_forever(self) -> None:
        monitor = awaiting_monitor()
        monitor.record_received(0.01)
        assert monitor.check(REPLY_WAIT_LIMIT_S + EPSILON_S).step is Step.REST

    def test_frame_without_requests_is_probed_when_idle(self) -> None:
        monitor = LinkMonitor(0.0)
        monitor.record_sent(0.0, requests=0)
        assert monitor.check(1.0).step is Step.WAIT
        assert monitor.check(IDLE_PROBE_AFTER_S).step is Step.PROBE
