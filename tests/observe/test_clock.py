"""Tests of the hybrid logical clock."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from sardinehook.observe.clock import COUNTER_BITS, MAX_STAMP, HybridClock


class TestHybridClock:
    @given(st.lists(st.floats(min_value=0.0, max_value=2e9), min_size=1))
    def test_stamps_grow_when_the_wall_clock_steps_back(
        self, walls: list[float]
    ) -> None:
        readings = iter(walls)
        clock = HybridClock(lambda: next(readings))
        stamps = [clock.tick() for _ in walls]
        assert stamps == sorted(set(stamps))

    def test_receipt_sorts_after_sending_by_clock_that_is_ahead(self) -> None:
        ahead, behind = HybridClock(lambda: 100.0), HybridClock(lambda: 1.0)
        sent = ahead.tick()
        assert behind.witness(sent) > sent
        assert behind.tick() > sent

    def test_stamps_follow_wall_clock_again_once_it_has_caught_up(self) -> None:
        clock = HybridClock(lambda: 100.0)
        clock.witness(5 << COUNTER_BITS)
        assert clock.tick() >> COUNTER_BITS == 100_000

    def test_out_of_range_stamps_are_ignored(self) -> None:
        clock = HybridClock(lambda: 1.0)
        clock.witness(MAX_STAMP)
        clock.witness(-1)
        assert clock.tick() >> COUNTER_BITS == 1000
