"""Answers of two versions of a service, drawn for the tests of verdicts."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from math import exp
from random import Random
from typing import NamedTuple

from sardinehook.gateway.rollout.evidence import ReplicaKey, ReplicaSample, bucket_of
from sardinehook.gateway.rollout.exposure import Exposure
from sardinehook.gateway.rollout.verdict import Bad, Good, Undecided, VersionTrial

__all__ = ["Answer", "Behaviour", "Outcome", "Site", "play", "usual"]

TICK_S = 0.25
DATA_CENTRES = ("a", "b", "c")
WORK_S = 0.1


class Answer(NamedTuple):
    """How likely an answer fails, and how many times the usual time it takes."""

    failing: float = 0.005
    slowness: float = 1.0


Behaviour = Callable[[ReplicaKey, str, float], Answer]


def usual(key: ReplicaKey, route: str, at: float) -> Answer:
    """Answer as a good version does."""
    return Answer()


class Site(NamedTuple):
    """Requests a second of the service, and how they spread."""

    rate_per_s: float = 10.0
    share: float = 0.1
    extra: float = 30.0
    routes: Mapping[str, float] = {"read": 0.7, "write": 0.3}
    new_replicas: int = 3


class Outcome(NamedTuple):
    """The first verdict, when it was given, and the answers of the new version."""

    verdict: Good | Bad | Undecided
    at: float
    answers: int
    bad: int


def replicas(site: Site) -> list[ReplicaKey]:
    """Return three old replicas, and the new ones, in three data centres."""
    old = [ReplicaKey(f"o-{n}", DATA_CENTRES[n], False, False) for n in range(3)]
    new = [
        ReplicaKey(f"n-{n}", DATA_CENTRES[n % 3], True, False)
        for n in range(site.new_replicas)
    ]
    return old + new


def draw_count(rng: Random, mean: float) -> int:
    """Draw a number of requests from a Poisson distribution."""
    limit, product, count = exp(-mean), rng.random(), 0
    while product > limit:
        product *= rng.random()
        count += 1
    return count


def add_answer(rng: Random, sample: ReplicaSample, answer: Answer) -> bool:
    """Draw an answer and count it in a sample; return whether it is bad."""
    failed = rng.random() < answer.failing
    bucket = bucket_of(WORK_S * rng.lognormvariate(0.0, 0.3) * answer.slowness)
    sample.requests += 1
    sample.failures += failed
    sample.times[bucket] = sample.times.get(bucket, 0) + 1
    return failed or answer.slowness >= 2.0


def play(
    site: Site,
    behaviour: Behaviour,
    seed: int,
    duration_s: float = 60.0,
    good_from_s: float = 24.0,
) -> Outcome:
    """Play a rollout until a verdict, which is good from ``good_from_s`` on at most.

    The share of the new version and the extra requests are those of the last step.
    """
    rng = Random(f"{seed} {site} {behaviour.__name__}")
    trial = VersionTrial()
    keys = replicas(site)
    old = [key for key in keys if not key.is_new]
    new = [key for key in keys if key.is_new]
    exposure = Exposure(rng.random())
    exposure.set_share(site.share, site.extra)
    bad = 0
    ticks = int(duration_s / TICK_S)
    for tick in range(ticks):
        now = tick * TICK_S
        samples: dict[str, dict[ReplicaKey, ReplicaSample]] = {}
        for route, weight in site.routes.items():
            by_replica = samples.setdefault(route, {})
            for _ in range(draw_count(rng, site.rate_per_s * weight * TICK_S)):
                is_new = exposure.is_due
                exposure.record(is_new)
                key = rng.choice(new if is_new else old)
                sample = by_replica.setdefault(key, ReplicaSample())
                was_bad = add_answer(rng, sample, behaviour(key, route, now))
                bad += is_new and was_bad
        trial.add(samples, now)
        found = trial.verdict(now > 0.55 * duration_s)
        if isinstance(found, Bad):
            return Outcome(found, now, trial.answers, bad)
        if isinstance(found, Good) and now >= good_from_s:
            return Outcome(found, now, trial.answers, bad)
    return Outcome(trial.verdict(True), duration_s, trial.answers, bad)
