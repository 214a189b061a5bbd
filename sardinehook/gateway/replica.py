"""Load, latency and failure statistics of one replica."""

from __future__ import annotations

from collections import deque
from math import exp
from typing import TYPE_CHECKING, NamedTuple

from sardinehook.gateway.interfaces import Load, ReplicaEntry
from sardinehook.gateway.notices import Notices
from sardinehook.gateway.pace.window import Window
from sardinehook.gateway.pool import ConnectionPool
from sardinehook.gateway.retry_budget import SlidingWindowCounter
from sardinehook.gateway.routing.load_estimate import (
    ReplicaSpeed,
    requests_of_others,
    service_times,
)

if TYPE_CHECKING:
    from sardinehook.gateway.dispatch import Exchange

__all__ = ["COLD_RATE_WINDOW_S", "Forecast", "Replica"]

MIN_SAMPLES = 3  # the fewest whose median ignores a single pause
MAX_SAMPLES = 9  # bounds the cost; a pause delays fewer than half of them
SAMPLE_MEMORY_S = 1.5  # older samples are dropped down to MIN_SAMPLES
SLOWDOWN_MEMORY_S = 4.0  # samples are stale after this long without a new one
SLOWDOWN_HALF_LIFE_S = 2.0  # lets a slow replica be tried again
MAX_SLOWDOWN = 50.0  # bounds how long one bad sample keeps requests away
FAILURE_WEIGHT = 0.3  # weight of one result in the moving average
FAILURE_HALF_LIFE_S = 6.0  # lets a failing replica be tried again
LOAD_MEMORY_S = 0.1  # a reported load is stale after a few service times
MAX_LOAD_RATIO = 8.0  # of the slots; bounds how long one bad report keeps requests away
MAX_SLOTS_RATIO = 4.0  # of the registered slots, for the slots that a reply states
COLD_RATE_WINDOW_S = 1.0  # window of the cold-start rate limit
LN_2 = 0.693147


class Sample(NamedTuple):
    """Ratio of a reply time to the expected one, and when the reply arrived."""

    at: float
    ratio: float


class Forecast(NamedTuple):
    """What is expected of a replica now, relative to the usual service time.

    ``slowdown`` is how long work takes there, ``requests`` how many are there.
    """

    slowdown: float
    requests: float
    slots: int

    @property
    def service_times(self) -> float:
        """How many service times a new request takes, queueing included."""
        return service_times(self.requests, self.slots)


class Replica:
    """State of one replica from discovery, its replies and its failures.

    ``slowdown`` is the ratio of its reply times to the expected ones, ``failure_ratio``
    the moving average of failed exchanges. Both decay, so that a replica that gets no
    requests is tried again. ``deregistered_at`` is when it left discovery; it may be
    used for a short time after that, since entries also expire while the store is
    unavailable. ``speed`` and ``window`` have an effect only in deployments that adapt
    to load.
    """

    def __init__(self, entry: ReplicaEntry, pool: ConnectionPool) -> None:
        self.entry = entry
        self.pool = pool
        self.in_flight: dict[Exchange, None] = {}
        self.slowdown = 1.0
        self.slowdown_at = 0.0
        self.samples: deque[Sample] = deque(maxlen=MAX_SAMPLES)
        self.failure_ratio = 0.0
        self.failure_ratio_at = 0.0
        self.load: Load | None = None
        self.load_at = 0.0
        self.stated_slots = 0
        self.in_flight_at_load = 0
        self.speed = ReplicaSpeed()
        self.window: Window | None = None
        self.cold_until = 0.0
        self.cold_sends = SlidingWindowCounter(COLD_RATE_WINDOW_S)
        self.deregistered_at: float | None = None
        self.notices = Notices()

    @property
    def replica_id(self) -> str:
        """The id under which the replica is registered in discovery."""
        return self.entry.replica_id

    def is_cold(self, now: float) -> bool:
        """Return whether the replica is in its cold start."""
        return now < self.cold_until

    def current_slowdown(self, now: float) -> float:
        """Return the slowdown, decayed until ``now``."""
        age_s = now - self.slowdown_at
        return 1.0 + (self.slowdown - 1.0) * exp(-LN_2 * age_s / SLOWDOWN_HALF_LIFE_S)

    def current_failure_ratio(self, now: float) -> float:
        """Return the failure ratio, decayed until ``now``."""
        if not self.failure_ratio:
            return 0.0
        return self.failure_ratio * exp(
            -LN_2 * (now - self.failure_ratio_at) / FAILURE_HALF_LIFE_S
        )

    def observe_latency(self, ratio: float, now: float) -> None:
        """Record a reply that took ``ratio`` times as long as expected.

        The median of a few replies separates a slow replica from a single pause.
        """
        known = self.current_slowdown(now)
        if now - self.slowdown_at > SLOWDOWN_MEMORY_S:
            known = 1.0
            self.samples.clear()
        samples = self.samples
        samples.append(Sample(now, min(ratio, MAX_SLOWDOWN)))
        while len(samples) > MIN_SAMPLES and samples[0].at < now - SAMPLE_MEMORY_S:
            samples.popleft()
        padding = [known] * (MIN_SAMPLES - len(samples))
        ordered = sorted([*(sample.ratio for sample in samples), *padding])
        self.slowdown = max(1.0, ordered[len(ordered) // 2])
        self.slowdown_at = now

    def observe_overdue(self, ratio: float, now: float) -> None:
        """Record an overdue reply; it can only raise the slowdown."""
        if ratio > self.current_slowdown(now):
            self.observe_latency(ratio, now)

    def observe_result(self, failed: bool, now: float) -> None:
        """Record whether an exchange failed because of the replica."""
        known = self.current_failure_ratio(now)
        if failed or known:
            self.failure_ratio = known + FAILURE_WEIGHT * (float(failed) - known)
            self.failure_ratio_at = now

    def observe_load(self, load: Load, now: float) -> None:
        """Record the load that a reply reports."""
        self.load = load
        self.load_at = now
        self.in_flight_at_load = len(self.in_flight)
        if load.slots <= MAX_SLOTS_RATIO * self.entry.slots:
            self.stated_slots = load.slots
        if load.work_ratio is not None:
            self.speed.observe_work(load.work_ratio, now)

    def forecast(self, now: float) -> Forecast:
        """Return what is expected of the replica by all figures of its load."""
        requests = float(len(self.in_flight))
        if self.load is not None:
            requests += requests_of_others(
                self.load, self.in_flight_at_load, now - self.load_at
            )
        slowdown = self.speed.base_slowdown * self.speed.work_ratio(now)
        if self.slowdown > 1.0:
            slowdown *= self.current_slowdown(now)
        return Forecast(slowdown, requests, self.stated_slots or self.entry.slots)

    def estimated_requests(self, now: float) -> float:
        """Return the estimated number of requests at the replica.

        It is the number in flight from here plus the reported load of other gateways,
        which decays with its age. Replicas queue only a few requests more than they
        have slots.
        """
        own = float(len(self.in_flight))
        if self.load is None:
            return own
        age_s = now - self.load_at
        stated = self.load.running + self.load.waiting - self.in_flight_at_load
        others = min(max(0.0, stated), MAX_LOAD_RATIO * self.entry.slots)
        return own + others * exp(-age_s / LOAD_MEMORY_S)

    def expected_service_times(self, now: float) -> float:
        """Return how many service times a new request takes, queueing included."""
        return service_times(self.estimated_requests(now), self.entry.slots)

    def cold_requests(self, now: float) -> int:
        """Return how many requests count against the cold-start limit now.

        Requests that wait for a connection count, since they may all be sent at once.
        """
        unsent = sum(not exchange.sent_at for exchange in self.in_flight)
        return self.cold_sends.total(now) + unsent

    def limit_allows(self, reserve: float, now: float) -> bool:
        """Return whether this gateway's share of the rate limit allows one request.

        ``reserve`` is how many more it has to leave for requests of higher priority.
        """
        share = self.notices.rate_share
        if share is None:
            return True
        unsent = sum(not exchange.sent_at for exchange in self.in_flight)
        return share.allows(unsent, len(self.in_flight), reserve, now)

    def oldest_pending_s(self, now: float) -> float:
        """Return how long the oldest request in flight has waited for a reply."""
        for exchange in self.in_flight:
            return now - exchange.sent_at if exchange.sent_at else 0.0
        return 0.0
