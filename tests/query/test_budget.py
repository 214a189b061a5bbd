"""Tests of the budget of extra sub-queries."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from sardinehook.query.budget import (
    RESERVE_ATTEMPTS,
    RESERVE_ATTEMPTS_PER_S,
    AttemptBudget,
)

STEPS = st.lists(
    st.tuples(st.floats(0.0, 5.0), st.integers(0, 50), st.integers(0, 50)), max_size=60
)


class TestAttemptBudget:
    @given(STEPS, st.floats(0.0, 0.5))
    def test_extra_attempts_stay_a_ratio_of_first_attempts(
        self, steps: list[tuple[float, int, int]], ratio: float
    ) -> None:
        budget = AttemptBudget(0.0)
        now, first, extra = 0.0, 0, 0
        for elapsed, earned, wanted in steps:
            now += elapsed
            budget.earn(earned, ratio, now)
            first += earned
            extra += wanted if budget.spend(wanted, now) else 0
            reserve = RESERVE_ATTEMPTS + RESERVE_ATTEMPTS_PER_S * now
            assert extra <= first * ratio + reserve + 1e-6

    def test_unused_credit_decays(self) -> None:
        budget = AttemptBudget(0.0)
        budget.earn(100_000, 0.05, 0.0)
        assert not budget.spend(100, 20.0)
        assert budget.spend(20, 20.0)

    def test_ratio_of_zero_allows_no_extra_attempts(self) -> None:
        budget = AttemptBudget(0.0)
        budget.earn(1000, 0.0, 0.0)
        assert not budget.spend(1, 0.0)
        assert not budget.spend(1, 60.0)
