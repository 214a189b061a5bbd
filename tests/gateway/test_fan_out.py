"""The choice of shards to query when some are slow or have long queues."""

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
    """Make a choice with the estimated latencies of its replica."""
    return SelectedReplica(REPLICA, unloaded_s, expected_s)


FAST = choice(0.03, 0.03)
QUEUED = choice(0.03, 0.5)
SLOW = choice(0.4, 0.4)
SLOW_QUEUED = choice(0.4, 0.9)


class TestSlowShards:
    """Guards against late searches when all replicas of some shards are slow."""

    def test_doubtful_shards_are_limited_to_the_least_coverage_and_a_spare(
        self,
    ) -> None:
        plan = plan_fan_out([FAST] * 16 + [SLOW_QUEUED] * 4, 18, 0.2)
        assert isinstance(plan, Ask)
        assert len(plan.positions) == 16 + 3

    def test_slow_idle_shards_are_queried(self) -> None:
        plan = plan_fan_out([FAST] * 16 + [SLOW] * 4, 15, 0.2)
        assert plan == Ask(frozenset(range(20)))

    def test_long_queues_are_avoided_if_the_others_suffice(self) -> None:
        plan = plan_fan_out([FAST] * 16 + [SLOW_QUEUED] * 4, 15, 0.2)
        assert plan == Ask(frozenset(range(16)))


class TestQueues:
    """Guards against queues that make all searches late.

    Half of the replicas are down and the others are overloaded.
    """

    def test_search_that_would_miss_its_objective_in_queues_is_refused(self) -> None:
        plan = plan_fan_out([FAST] * 10 + [QUEUED] * 10, 18, 0.2)
        assert isinstance(plan, Refuse)
        assert plan.problem.kind is ErrorKind.OVERLOADED

    def test_too_few_available_shards_are_refused_as_unavailable(self) -> None:
        plan = plan_fan_out([FAST] * 10 + [None] * 10, 18, 0.2)
        assert isinstance(plan, Refuse)
        assert plan.problem.kind is ErrorKind.TARGET_UNAVAILABLE


CHOICES = st.lists(
    st.sampled_from([FAST, QUEUED, SLOW, SLOW_QUEUED, None]), min_size=1, max_size=12
)


class TestProperties:
    @given(CHOICES, st.floats(0.1, 1.0))
    def test_enough_shards_are_queried_or_none(
        self, choices: list[SelectedReplica | None], ratio: float
    ) -> None:
        least = max(1, round(ratio * len(choices)))
        plan = plan_fan_out(choices, least, 0.2)
        if isinstance(plan, Ask):
            assert len(plan.positions) >= least
            assert all(choices[position] is not None for position in plan.positions)
