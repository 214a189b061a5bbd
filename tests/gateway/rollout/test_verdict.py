"""Verdicts: each kind of bad version, good ones beside trouble, and error rates."""

from __future__ import annotations

from collections import Counter

import pytest

from sardinehook.gateway.rollout.evidence import ReplicaKey, fair_time_s
from sardinehook.gateway.rollout.verdict import Bad, Good
from tests.gateway.rollout.simulation import Answer, Behaviour, Site, play, usual

USUAL = Answer()
SEEDS = {1.0: 10, 10.0: 10, 100.0: 2}


def failing(key: ReplicaKey, route: str, at: float) -> Answer:
    return Answer(0.4) if key.is_new else USUAL


def failing_later(key: ReplicaKey, route: str, at: float) -> Answer:
    return Answer(0.6) if key.is_new and at > 12.0 else USUAL


def failing_on_one_route(key: ReplicaKey, route: str, at: float) -> Answer:
    return Answer(0.8) if key.is_new and route == "write" else USUAL


def failing_under_load(key: ReplicaKey, route: str, at: float) -> Answer:
    """Both versions have bursts, in which only the new one fails."""
    return Answer(0.5) if key.is_new and at % 3.0 < 1.5 else USUAL


def slow(key: ReplicaKey, route: str, at: float) -> Answer:
    return Answer(0.005, 4.0) if key.is_new else USUAL


def one_bad_new_replica(key: ReplicaKey, route: str, at: float) -> Answer:
    return Answer(0.4) if key.replica_id == "n-1" else USUAL


def one_bad_old_replica(key: ReplicaKey, route: str, at: float) -> Answer:
    return Answer(0.4) if key.replica_id == "o-1" else USUAL


def slow_data_centre(key: ReplicaKey, route: str, at: float) -> Answer:
    return Answer(0.05, 4.0) if key.data_centre == "b" else USUAL


def pausing(key: ReplicaKey, route: str, at: float) -> Answer:
    """Each machine pauses for 250 ms in 4.5 s, at moments of its own."""
    phase = sum(map(ord, key.replica_id)) * 1.3
    return Answer(0.005, 4.0) if (at + phase) % 4.5 < 0.25 else USUAL


def noisy(key: ReplicaKey, route: str, at: float) -> Answer:
    return Answer(0.03)


def count(behaviour: Behaviour, site: Site, seeds: int) -> Counter[str]:
    """Count the verdicts over seeds."""
    return Counter(
        type(play(site, behaviour, seed).verdict).__name__ for seed in range(seeds)
    )


@pytest.mark.parametrize("rate_per_s", [1.0, 10.0, 100.0])
class TestKinds:
    @pytest.mark.parametrize(
        "behaviour",
        [failing, failing_later, failing_on_one_route, failing_under_load, slow],
    )
    def test_bad_version_is_not_found_good(
        self, behaviour: Behaviour, rate_per_s: float
    ) -> None:
        """Guards against a bad version that is completed, or gets 50 bad answers."""
        for seed in range(SEEDS[rate_per_s]):
            outcome = play(Site(rate_per_s), behaviour, seed)
            assert not isinstance(outcome.verdict, Good)
            assert isinstance(outcome.verdict, Bad) or rate_per_s == 1.0
            assert outcome.bad < 50

    @pytest.mark.parametrize(
        "behaviour",
        [usual, one_bad_old_replica, one_bad_new_replica, slow_data_centre, pausing],
    )
    def test_good_version_is_not_found_bad(
        self, behaviour: Behaviour, rate_per_s: float
    ) -> None:
        """Guards against trouble of one machine or place that ends a good rollout."""
        found = count(behaviour, Site(rate_per_s), SEEDS[rate_per_s])
        assert not found["Bad"]
        assert found["Good"] >= 0.5 * found.total() or rate_per_s == 1.0


class TestErrorRates:
    """Guards against error rates that are far from the ones that are stated."""

    @pytest.mark.parametrize("replicas", [1, 2, 3])
    @pytest.mark.parametrize("behaviour", [usual, noisy])
    def test_good_versions_found_bad(self, behaviour: Behaviour, replicas: int) -> None:
        found = count(behaviour, Site(10.0, new_replicas=replicas), 100)
        assert found["Bad"] <= 3
        assert found["Good"] >= 85

    @pytest.mark.parametrize("replicas", [1, 2, 3])
    def test_bad_versions_found_good(self, replicas: int) -> None:
        found = count(failing_later, Site(10.0, new_replicas=replicas), 100)
        assert found["Good"] <= 3

    def test_bad_versions_found_good_with_few_answers(self) -> None:
        assert count(failing, Site(1.0), 100)["Good"] <= 3


class TestFairTimes:
    def test_queue_and_busy_machine_are_not_slowness_of_the_version(self) -> None:
        assert fair_time_s(0.6, 3.0, 0.0, None) == pytest.approx(0.2)
        assert fair_time_s(0.6, 1.0, 2.0, None) == pytest.approx(0.2)
        assert fair_time_s(0.5, 1.0, 0.0, 2.5) == pytest.approx(0.2)
