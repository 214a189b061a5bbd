"""Which shards are asked when some are slow or have long queues."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from sardinehook.errors import ErrorKind
from sardinehook.gateway.fan_out import Ask, Refuse, plan_fan_out
from sardinehook.gateway.replica import Replica
from sardinehook.gateway.replica_selection import SelectedReplica
from tests.gateway.support import make_gateway

GATEWAY = make_gateway()
REPLICA: Replica = GATEWAY.add("a", "s")


def choice(unloaded_s: float, expected_s: float) -> SelectedReplica:
    """Make a choice of a replica with its estimates."""
    return SelectedReplica(REPLICA, unloaded_s, expected_s)


FAST = choice(0.03, 0.03)
QUEUED = choice(0.03, 0.5)
SLOW = choice(0.4, 0.4)
SLOW_QUEUED = choice(0.4, 0.9)


class TestSlowShards:
    """Answers the pattern: both replicas of some shards turn slow."""

    def test_no_more_are_asked_than_the_coverage_needs_and_one(self) -> None:
        plan = plan_fan_out([FAST] * 16 + [SLOW_QUEUED] * 4, 18, 0.2)
        assert isinstance(plan, Ask)
        assert len(plan.places) == 16 + 3

    def test_those_that_are_idle_are_always_asked(self) -> None:
        plan = plan_fan_out([FAST] * 16 + [SLOW] * 4, 15, 0.2)
        assert plan == Ask(frozenset(range(20)))

    def test_none_of_a_long_queue_is_asked_where_the_rest_is_enough(self) -> None:
        plan = plan_fan_out([FAST] * 16 + [SLOW_QUEUED] * 4, 15, 0.2)
        assert plan == Ask(frozenset(range(16)))


class TestQueues:
    """Answers the pattern: half of the replicas are down, the rest are overloaded."""

    def test_a_search_that_queues_would_make_late_is_refused(self) -> None:
        plan = plan_fan_out([FAST] * 10 + [QUEUED] * 10, 18, 0.2)
        assert isinstance(plan, Refuse)
        assert plan.problem.kind is ErrorKind.OVERLOADED

    def test_too_few_shards_are_refused_as_unavailable(self) -> None:
        plan = plan_fan_out([FAST] * 10 + [None] * 10, 18, 0.2)
        assert isinstance(plan, Refuse)
        assert plan.problem.kind is ErrorKind.TARGET_UNAVAILABLE


CHOICES = st.lists(
    st.sampled_from([FAST, QUEUED, SLOW, SLOW_QUEUED, None]), min_size=1, max_size=12
)


class TestAlways:
    @given(CHOICES, st.floats(0.1, 1.0))
    def test_enough_are_asked_or_none(
        self, choices: list[SelectedReplica | None], ratio: float
    ) -> None:
        least = max(1, round(ratio * len(choices)))
        plan = plan_fan_out(choices, least, 0.2)
        if isinstance(plan, Ask):
            assert len(plan.places) >= least
            assert all(choices[place] is not None for place in plan.places)
