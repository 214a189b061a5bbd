"""What is expected of a version: the answers of the old replicas at the same time."""

from __future__ import annotations

from collections.abc import Mapping
from math import sqrt

from sardinehook.gateway.rollout.evidence import (
    BUCKET_RATIO,
    SHORTEST_S,
    ReplicaKey,
    ReplicaSample,
    bucket_of,
)

__all__ = ["SLOW_BUCKETS", "Baseline"]

HALF_LIFE_S = 30.0  # short, since both versions are compared at the same time
SLOW_BUCKETS = 3  # longer than the median of the old replicas: 2.7 times, 2 to 3.8
FAR_ALLOWANCE_S = 0.03  # round trip, if the old replicas were asked from nearer by
PRIOR_ANSWERS = 25.0  # with PRIOR_BAD of them bad, before there are answers
PRIOR_BAD = 0.5
MIN_ANSWERS = 10.0  # of the old replicas in one data centre, else in all of them
MIN_TIMED = 5.0  # for a median over data centres
MIN_TIMED_ELSEWHERE = 30.0  # then there seem to be no old replicas in that place
MIN_TIMED_ALIKE = 2.0  # in one data centre: a rough median is better than another's


class OldReplica:
    """Answers of one old replica, those of ``HALF_LIFE_S`` ago counted half."""

    __slots__ = ("failures", "requests", "times")

    def __init__(self) -> None:
        self.requests = 0.0
        self.failures = 0.0
        self.times: dict[int, float] = {}

    def fade(self, ratio: float) -> None:
        """Reduce the weight of what was counted so far."""
        self.requests *= ratio
        self.failures *= ratio
        self.times = {bucket: count * ratio for bucket, count in self.times.items()}

    def add(self, sample: ReplicaSample) -> None:
        """Count further answers."""
        self.requests += sample.requests
        self.failures += sample.failures
        for bucket, count in sample.times.items():
            self.times[bucket] = self.times.get(bucket, 0.0) + count

    @property
    def timed(self) -> float:
        """The number of answers with a reply time."""
        return sum(self.times.values())

    def slow(self, limit: int) -> float:
        """Return the number of reply times from bucket ``limit`` on."""
        return sum(count for bucket, count in self.times.items() if bucket >= limit)


class Baseline:
    """The answers of the old replicas to one route.

    Replicas are compared with the old ones of their data centre, without the worst of
    these: one bad old machine does not make a bad version look usual.
    """

    def __init__(self) -> None:
        self.replicas: dict[ReplicaKey, OldReplica] = {}
        self.faded_at: float | None = None

    def add(self, samples: Mapping[ReplicaKey, ReplicaSample], now: float) -> None:
        """Count the answers of old replicas in one interval."""
        if self.faded_at is not None:
            ratio = 0.5 ** ((now - self.faded_at) / HALF_LIFE_S)
            for replica in self.replicas.values():
                replica.fade(ratio)
        self.faded_at = now
        for key, sample in samples.items():
            if not key.is_new:
                self.replicas.setdefault(key, OldReplica()).add(sample)

    @property
    def timed(self) -> float:
        """The number of timed answers of old replicas."""
        return sum(replica.timed for replica in self.replicas.values())

    def failure_share(self, key: ReplicaKey) -> float:
        """Return the share of failures expected of a replica."""
        chosen = [
            replica
            for other, replica in self.replicas.items()
            if other.data_centre == key.data_centre
        ]
        if sum(replica.requests for replica in chosen) < MIN_ANSWERS:
            chosen = list(self.replicas.values())
        return share_without_worst([(one.failures, one.requests) for one in chosen])

    def slow_limit(self, key: ReplicaKey) -> int | None:
        """Return the bucket from which a reply time is slow, ``None`` if unknown.

        Where no old replica was asked from as near, or as far, those of other data
        centres count, with an allowance for the distance.
        """
        chosen, allowance_s = self.alike(key), 0.0
        if not self.is_known(key):
            chosen, allowance_s = list(self.replicas.values()), FAR_ALLOWANCE_S
            if sum(replica.timed for replica in chosen) < MIN_TIMED:
                return None
        median_s = SHORTEST_S * BUCKET_RATIO ** (median_bucket(chosen) + 0.5)
        return bucket_of(median_s + allowance_s) + SLOW_BUCKETS

    def is_known(self, key: ReplicaKey) -> bool:
        """Return whether old replicas in the same place give a reply time."""
        return sum(replica.timed for replica in self.alike(key)) >= MIN_TIMED_ALIKE

    def believes_slow(self, key: ReplicaKey) -> bool:
        """Return whether slow answers of a replica count against its version.

        Until old replicas in the same place have answered, its data centre may be slow.
        """
        return self.is_known(key) or self.timed >= MIN_TIMED_ELSEWHERE

    def alike(self, key: ReplicaKey) -> list[OldReplica]:
        """Return the old replicas of a data centre, asked from as near or far."""
        return [
            replica
            for other, replica in self.replicas.items()
            if (other.data_centre, other.far) == (key.data_centre, key.far)
        ]

    def slow_share(self, key: ReplicaKey, limit: int) -> float:
        """Return the share of slow answers expected of a replica."""
        chosen = self.alike(key)
        if sum(replica.timed for replica in chosen) < MIN_ANSWERS:
            chosen = list(self.replicas.values())
        return share_without_worst([(one.slow(limit), one.timed) for one in chosen])


def share_without_worst(counts: list[tuple[float, float]]) -> float:
    """Return the share of bad answers, without the worst of several replicas.

    It is one standard deviation above the one observed: a share that is too low by
    chance would make a good version look bad.

    >>> share_without_worst([(0.0, 100.0), (50.0, 100.0), (4.0, 75.0)])
    0.0325
    >>> share_without_worst([])
    0.02
    """
    if len(counts) > 1:
        worst = max(counts, key=lambda one: (one[0] + PRIOR_BAD) / (one[1] + 1.0))
        counts = [one for one in counts if one is not worst]
    bad = sum(one[0] for one in counts)
    answers = sum(one[1] for one in counts) + PRIOR_ANSWERS
    return min(1.0, (bad + sqrt(bad) + PRIOR_BAD) / answers)


def median_bucket(replicas: list[OldReplica]) -> int:
    """Return the bucket of the median reply time.

    The median of all answers is that of the usual replicas: one slow replica of several
    has the smaller part of them.
    """
    counts: dict[int, float] = {}
    for replica in replicas:
        for bucket, count in replica.times.items():
            counts[bucket] = counts.get(bucket, 0.0) + count
    half = sum(counts.values()) / 2
    for bucket in sorted(counts):
        half -= counts[bucket]
        if half <= 0.0:
            return bucket
    return max(counts)
