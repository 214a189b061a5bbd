"""Tests of the rules that tell when a link has gone silent."""

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
MOMENT_S = 0.001


def awaiting_monitor(now: float = 0.0) -> LinkMonitor:
    monitor = LinkMonitor(now)
    monitor.record_sent(now, requests=1)
    return monitor


class TestLinkMonitor:
    def test_idle_link_rests(self) -> None:
        assert LinkMonitor(0.0).check(1000.0).step is Step.REST

    def test_answered_probe_removes_no_wait_for_the_reply(self) -> None:
        monitor = awaiting_monitor()
        now = PROBE_AFTER_S
        assert monitor.check(now).step is Step.PROBE
        monitor.record_received(now)
        assert monitor.check(now).step is Step.WAIT
        assert monitor.check(now + PROBE_AFTER_S).step is Step.PROBE

    def test_silence_is_doubted_within_a_fraction_of_a_deadline(self) -> None:
        monitor = awaiting_monitor()
        now = PROBE_AFTER_S
        step = monitor.check(now)
        now += step.check_after_s
        assert monitor.check(now).step is Step.DOUBT
        assert now < 0.150 / 2

    def test_own_pause_casts_no_doubt_before_a_read(self) -> None:
        monitor = awaiting_monitor()
        assert monitor.check(PAUSE_S / 100).step is Step.PROBE
        monitor.record_received(PAUSE_S / 100 + MOMENT_S)
        monitor.record_replies(1)
        assert monitor.check(PAUSE_S).step is Step.REST

    def test_long_round_trip_is_given_time(self) -> None:
        monitor = awaiting_monitor()
        monitor.round_trip_s = 0.060
        monitor.check(PROBE_AFTER_S)
        assert monitor.check(PROBE_AFTER_S + MIN_PROBE_TIMEOUT_S).step is Step.WAIT

    def test_lost_reply_is_not_awaited_for_ever(self) -> None:
        monitor = awaiting_monitor()
        monitor.record_received(0.01)
        assert monitor.check(REPLY_WAIT_LIMIT_S + MOMENT_S).step is Step.REST

    def test_message_without_reply_is_probed_seldom(self) -> None:
        monitor = LinkMonitor(0.0)
        monitor.record_sent(0.0, requests=0)
        assert monitor.check(1.0).step is Step.WAIT
        assert monitor.check(IDLE_PROBE_AFTER_S).step is Step.PROBE
