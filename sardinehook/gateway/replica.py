"""One replica as this gateway knows it."""

from __future__ import annotations

from collections import deque
from math import exp
from typing import TYPE_CHECKING, NamedTuple

from sardinehook.gateway.pool import ConnectionPool
from sardinehook.gateway.ports import Load, ReplicaEntry, ReplicaReply
from sardinehook.gateway.retry_budget import SlidingWindowCounter

if TYPE_CHECKING:
    from sardinehook.gateway.dispatch import Exchange

__all__ = ["Replica"]

LEAST_SAMPLES = 3  # the fewest of which a median leaves out one pause
MOST_SAMPLES = 9  # bounds the work; a pause holds up fewer requests than half of them
SAMPLE_MEMORY_S = 1.5  # samples beyond the fewest that are older than this are dropped
SLOWNESS_MEMORY_S = 4.0  # samples say little of a replica that was not asked for long
SLOWNESS_HALF_LIFE_S = 2.0  # a replica that was slow is tried again after some of these
MOST_SLOWNESS = 50.0  # bounds how long a replica is avoided after one bad sample
FAILURE_WEIGHT = 0.3  # of one result in the share of failures
FAILURE_HALF_LIFE_S = 6.0  # a failing replica is tried again after some of these
LOAD_MEMORY_S = 0.1  # a stated load says little after a few request times
COLD_WINDOW_S = 1.0  # the rate of a cold replica is bounded within each second
LN_2 = 0.693147


class Sample(NamedTuple):
    """How many times longer than usual a reply took, and when it came."""

    at: float
    ratio: float


class Replica:
    """What discovery, replies and failures tell of one replica.

    ``slowness`` is how many times longer than usual its replies take, ``failures``
    the share of its recent exchanges that failed; both fade with time, so that a
    replica that is not asked gets another chance. ``lost_at`` is when it left
    discovery; it may be used for a short while after, since entries also lapse while
    the store is away.
    """

    def __init__(self, entry: ReplicaEntry, pool: ConnectionPool) -> None:
        self.entry = entry
        self.pool = pool
        self.in_flight: dict[Exchange, None] = {}
        self.slowness = 1.0
        self.slowness_at = 0.0
        self.samples: deque[Sample] = deque(maxlen=MOST_SAMPLES)
        self.failures = 0.0
        self.failures_at = 0.0
        self.load: Load | None = None
        self.load_at = 0.0
        self.own_at_load = 0
        self.cold_until = 0.0
        self.cold_arrivals = SlidingWindowCounter(COLD_WINDOW_S)
        self.lost_at: float | None = None

    @property
    def replica_id(self) -> str:
        """The id under which the replica is registered."""
        return self.entry.replica_id

    def is_cold(self, now: float) -> bool:
        """Tell whether the replica is in its cold start."""
        return now < self.cold_until

    def current_slowness(self, now: float) -> float:
        """Return the slowness as it has faded by ``now``."""
        age_s = now - self.slowness_at
        return 1.0 + (self.slowness - 1.0) * exp(-LN_2 * age_s / SLOWNESS_HALF_LIFE_S)

    def current_failures(self, now: float) -> float:
        """Return the share of failures as it has faded by ``now``."""
        if not self.failures:
            return 0.0
        return self.failures * exp(
            -LN_2 * (now - self.failures_at) / FAILURE_HALF_LIFE_S
        )

    def observe_latency(self, ratio: float, now: float) -> None:
        """Take in a reply that took ``ratio`` times as long as usual.

        The median of a few replies tells a slow replica from one that paused once.
        """
        known = self.current_slowness(now)
        if now - self.slowness_at > SLOWNESS_MEMORY_S:
            known = 1.0
            self.samples.clear()
        samples = self.samples
        samples.append(Sample(now, min(ratio, MOST_SLOWNESS)))
        while len(samples) > LEAST_SAMPLES and samples[0].at < now - SAMPLE_MEMORY_S:
            samples.popleft()
        padding = [known] * (LEAST_SAMPLES - len(samples))
        ordered = sorted([*(sample.ratio for sample in samples), *padding])
        self.slowness = max(1.0, ordered[len(ordered) // 2])
        self.slowness_at = now

    def observe_overdue(self, ratio: float, now: float) -> None:
        """Take in a reply that is overdue; it never speaks for a replica."""
        if ratio > self.current_slowness(now):
            self.observe_latency(ratio, now)

    def observe_result(self, failed: bool, now: float) -> None:
        """Take in whether an exchange failed for a reason of the replica."""
        known = self.current_failures(now)
        if failed or known:
            self.failures = known + FAILURE_WEIGHT * (float(failed) - known)
            self.failures_at = now

    def observe_reply(self, reply: ReplicaReply, now: float) -> None:
        """Take in what a reply tells of load and cold start."""
        if reply.load is not None:
            self.load = reply.load
            self.load_at = now
            self.own_at_load = len(self.in_flight)
        if reply.cold_left_s is not None:
            self.cold_until = now + reply.cold_left_s

    def busy(self, now: float) -> float:
        """Return the estimated number of requests at the replica, ours included."""
        own = float(len(self.in_flight))
        if self.load is None:
            return own
        age_s = now - self.load_at
        stated = self.load.running + self.load.waiting - self.own_at_load
        return own + max(0, stated) * exp(-age_s / LOAD_MEMORY_S)

    def waits(self, now: float) -> float:
        """Return how many service times one more request would take, queueing too."""
        ahead = self.busy(now) + 1.0 - self.entry.slots
        return 1.0 + max(0.0, ahead) / self.entry.slots

    def cold_requests(self, now: float) -> int:
        """Return how many requests a cold replica gets in this second from here.

        Those that wait for a connection count, since they may all be sent at once.
        """
        unsent = sum(not exchange.sent_at for exchange in self.in_flight)
        return self.cold_arrivals.total(now) + unsent

    def oldest_age_s(self, now: float) -> float:
        """Return for how long the oldest request here has had no reply."""
        for exchange in self.in_flight:
            return now - exchange.sent_at if exchange.sent_at else 0.0
        return 0.0
