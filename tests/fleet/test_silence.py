"""Tests of the rules that tell when a link has gone silent."""

from __future__ import annotations

from sardinehook.fleet.silence import (
    IDLE_PROBE_AFTER_S,
    PROBE_AFTER_S,
    REPLY_EXPECTED_FOR_S,
    SILENT_AFTER_S,
    SilenceWatch,
    Step,
)

PAUSE_S = 30.0
MOMENT_S = 0.001


def asked_watch(now: float = 0.0) -> SilenceWatch:
    watch = SilenceWatch(now)
    watch.sent(now, requests=1)
    return watch


class TestSilenceWatch:
    def test_idle_link_rests(self) -> None:
        assert SilenceWatch(0.0).check(1000.0).step is Step.REST

    def test_answered_probe_removes_no_wait_for_the_reply(self) -> None:
        watch = asked_watch()
        now = PROBE_AFTER_S
        assert watch.check(now).step is Step.PROBE
        watch.heard(now)
        assert watch.check(now).step is Step.WAIT
        assert watch.check(now + PROBE_AFTER_S).step is Step.PROBE

    def test_silence_is_doubted_within_a_fraction_of_a_deadline(self) -> None:
        watch = asked_watch()
        now = PROBE_AFTER_S
        step = watch.check(now)
        now += step.check_after_s
        assert watch.check(now).step is Step.DOUBT
        assert now < 0.150 / 2

    def test_own_pause_casts_no_doubt_before_a_read(self) -> None:
        watch = asked_watch()
        assert watch.check(PAUSE_S / 100).step is Step.PROBE
        watch.heard(PAUSE_S / 100 + MOMENT_S)
        watch.replied(1)
        assert watch.check(PAUSE_S).step is Step.REST

    def test_long_round_trip_is_given_time(self) -> None:
        watch = asked_watch()
        watch.round_trip_s = 0.060
        watch.check(PROBE_AFTER_S)
        assert watch.check(PROBE_AFTER_S + SILENT_AFTER_S).step is Step.WAIT

    def test_lost_reply_is_not_awaited_for_ever(self) -> None:
        watch = asked_watch()
        watch.heard(0.01)
        assert watch.check(REPLY_EXPECTED_FOR_S + MOMENT_S).step is Step.REST

    def test_message_without_reply_is_probed_seldom(self) -> None:
        watch = SilenceWatch(0.0)
        watch.sent(0.0, requests=0)
        assert watch.check(1.0).step is Step.WAIT
        assert watch.check(IDLE_PROBE_AFTER_S).step is Step.PROBE
