"""Decides by the answers of both versions whether the new one is good or bad."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from sardinehook.gateway.rollout.baseline import Baseline
from sardinehook.gateway.rollout.evidence import ReplicaKey, ReplicaSample
from sardinehook.gateway.rollout.sequential import (
    ALTERNATIVES,
    BadShareTest,
    Observed,
)

__all__ = ["ERROR_RATE", "Bad", "Good", "Undecided", "Verdict", "VersionTrial"]

ERROR_RATE = 0.01  # of a bad verdict on a good version, and of a good one on a bad one
ROUTE_ERROR_RATE = 0.3  # of the good verdict for one route; the tests go on after it
LATE_ERROR_RATE = 0.1  # of a good verdict when time runs out; the tests go on after it
LATE_ROUTE_ERROR_RATE = 10.0  # then a route needs no answers, and may have a bad one
MIN_SLOW_SHARE = 0.03  # pauses of machines make several answers in a row slow
MIN_ROUTE_SHARE = 0.05  # of the answers: rarer routes need not be found good
MIN_ANSWERS = 10  # of the new version before it is good
SUSPICION_RATIO = 0.5  # of the bound of a bad verdict
TESTS_PER_ROUTE = 2 * len(ALTERNATIVES)  # failures and slow answers


@dataclass(frozen=True, slots=True)
class Undecided:
    """There is too little evidence; ``suspicious`` if it points at a bad version."""

    figures: str
    suspicious: bool


@dataclass(frozen=True, slots=True)
class Good:
    """The version is as good as the old one, by these figures."""

    figures: str


@dataclass(frozen=True, slots=True)
class Bad:
    """The version is worse than the old one, by these figures."""

    figures: str


Verdict = Undecided | Good | Bad


class Observations(NamedTuple):
    """The failed and the slow answers of each new replica."""

    failures: dict[str, Observed]
    slowness: dict[str, Observed]


class Tests:
    """The tests for failures and for slow answers."""

    def __init__(self) -> None:
        self.failures = BadShareTest()
        self.slowness = BadShareTest()

    def add(self, observations: Observations) -> None:
        """Add the answers of one interval."""
        self.failures.add(observations.failures)
        self.slowness.add(observations.slowness)


class RouteTrial:
    """The tests for one route, and what is expected there."""

    def __init__(self) -> None:
        self.baseline = Baseline()
        self.tests = Tests()

    def observe(
        self, samples: Mapping[ReplicaKey, ReplicaSample], now: float
    ) -> Observations:
        """Compare the answers of one interval with those of the old replicas."""
        self.baseline.add(samples, now)
        failures: dict[str, Observed] = {}
        slowness: dict[str, Observed] = {}
        for key, sample in samples.items():
            if key.is_new:
                share = self.baseline.failure_share(key)
                observed = Observed(sample.requests, sample.failures, share)
                merge(failures, key.replica_id, observed)
                merge(slowness, key.replica_id, self.observe_times(key, sample))
        timed = {name: one for name, one in slowness.items() if one.answers}
        return Observations(failures, timed)

    def observe_times(self, key: ReplicaKey, sample: ReplicaSample) -> Observed:
        """Return how many reply times are slow; none if that is unknown."""
        limit = self.baseline.slow_limit(key)
        if limit is None:
            return Observed(0, 0, 0.0)
        slow = sum(count for bucket, count in sample.times.items() if bucket >= limit)
        answers = sum(sample.times.values())
        if not self.baseline.believes_slow(key):
            answers, slow = answers - slow, 0
        share = max(MIN_SLOW_SHARE, self.baseline.slow_share(key, limit))
        return Observed(answers, slow, share)


class VersionTrial:
    """Compares the answers of the new replicas of a service with those of the old ones.

    There are tests for each route and for all routes. All together keep the error rate:
    the version is bad if one of them finds it bad. It is good if those for all routes
    find it good, and those for each route, at a higher error rate, too.
    """

    def __init__(self, error_rate: float = ERROR_RATE) -> None:
        self.error_rate = error_rate
        self.routes: dict[str, RouteTrial] = {}
        self.all_routes = Tests()

    def add(
        self, samples: Mapping[str, Mapping[ReplicaKey, ReplicaSample]], now: float
    ) -> None:
        """Add the answers of one interval, by route and replica."""
        together = Observations({}, {})
        for route, by_replica in samples.items():
            if route not in self.routes:
                self.routes[route] = RouteTrial()
            trial = self.routes[route]
            observations = trial.observe(by_replica, now)
            trial.tests.add(observations)
            for known, added in zip(together, observations, strict=True):
                for name, observed in added.items():
                    merge(known, name, observed)
        self.all_routes.add(together)

    @property
    def answers(self) -> int:
        """The answers of the new version so far."""
        return self.all_routes.failures.answers

    @property
    def scores(self) -> tuple[float, float]:
        """The scores of Wald's tests of failures and slow answers, on all routes."""
        tests = self.all_routes
        return tests.failures.pooled.total, tests.slowness.pooled.total

    def restore(self, answers: int, scores: tuple[float, float]) -> None:
        """Go on from the answers and scores that an earlier process has written."""
        tests = self.all_routes
        tests.failures.answers += answers
        tests.failures.pooled.total += scores[0]
        tests.slowness.pooled.total += scores[1]

    def candidates(self) -> Iterator[tuple[str, BadShareTest]]:
        """Return all tests with their names."""
        named = [("all", self.all_routes)]
        named += [(route, trial.tests) for route, trial in self.routes.items()]
        for route, tests in named:
            yield f"failures of route {route}", tests.failures
            yield f"slow answers of route {route}", tests.slowness

    def verdict(self, time_runs_out: bool = False) -> Verdict:
        """Return the verdict; ``time_runs_out`` accepts a good version sooner."""
        error_rate = self.error_rate / (TESTS_PER_ROUTE * (1 + len(self.routes)))
        name, worst = max(
            self.candidates(),
            key=lambda one: (
                one[1].is_bad(error_rate),
                one[1].score / one[1].bad_bound(error_rate),
            ),
        )
        figures = describe(name, worst, error_rate)
        if worst.is_bad(error_rate):
            return Bad(figures)
        figures = f"{self.answers} answers, most suspicious {figures}"
        if self.is_suspicious(worst, error_rate):
            return Undecided(figures, True)
        rates = (ERROR_RATE, ROUTE_ERROR_RATE)
        if time_runs_out:
            rates = (LATE_ERROR_RATE, LATE_ROUTE_ERROR_RATE)
        if self.is_good(rates, error_rate):
            return Good(figures)
        return Undecided(figures, False)

    def is_suspicious(self, test: BadShareTest, error_rate: float) -> bool:
        """Return whether a test points at a bad version, and not at one bad replica."""
        least = SUSPICION_RATIO * test.bad_bound(error_rate)
        if test.score < least:
            return False
        others = [max(scores.recent) for scores in test.without.values()]
        return len(others) < 2 or min(others) >= least

    def is_good(self, rates: tuple[float, float], bad_error_rate: float) -> bool:
        """Return whether the tests for all routes, and for each, find it good.

        ``rates`` are the error rates for all routes and for each.
        """
        answers = self.answers
        if answers < MIN_ANSWERS:
            return False
        has_times = any(trial.baseline.timed for trial in self.routes.values())
        checks = [(self.all_routes, rates[0])]
        for trial in self.routes.values():
            if trial.tests.failures.answers >= MIN_ROUTE_SHARE * answers:
                checks.append((trial.tests, rates[1]))
        return all(
            tests.failures.is_good(rate, bad_error_rate)
            and (not has_times or tests.slowness.is_good(rate, bad_error_rate))
            for tests, rate in checks
        )


def merge(found: dict[str, Observed], replica_id: str, observed: Observed) -> None:
    """Add the answers of a replica to those asked from another distance."""
    known = found.get(replica_id)
    if known is None or not known.answers:
        found[replica_id] = observed
        return
    answers = known.answers + observed.answers
    expected = known.answers * known.expected_share
    expected += observed.answers * observed.expected_share
    found[replica_id] = Observed(
        answers, known.bad + observed.bad, expected / max(1, answers)
    )


def describe(name: str, test: BadShareTest, error_rate: float) -> str:
    """Return the figures of a test, for the log and the store."""
    expected = test.expected_bad / max(1, test.answers)
    return (
        f"{name}: {test.bad} of {test.answers}, expected {expected:.3f}, "
        f"score {test.score:.1f} of {test.bad_bound(error_rate):.1f}, "
        f"{len(test.without)} replicas"
    )
