"""Selects the replica of a service that serves a request."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Sequence
from random import Random
from typing import NamedTuple
from zlib import crc32

from sardinehook.gateway.configuration import Service
from sardinehook.gateway.directory import Directory
from sardinehook.gateway.pace.window import Window
from sardinehook.gateway.replica import COLD_RATE_WINDOW_S, Forecast, Replica
from sardinehook.gateway.routing.load_estimate import service_times
from sardinehook.gateway.settings import Bounds

__all__ = ["ReplicaSelector", "SelectedReplica"]

CROSS_DATA_CENTRE_COST_S = 0.015  # round trip to another data centre, plus its cost
BUSY_COST_RATIO = 0.5  # of the baseline latency, when all slots are in use
STALLED_RATIO = 3.0  # of the baseline latency; later replies suggest a pause
STALL_COST_S = 0.1  # mean remaining length of a pause
FAILURE_COST_S = 0.4  # a failed exchange costs at least one retry
COLD_COST_S = 0.02  # replies during a cold start take longer
BEYOND_WINDOW_COST_S = 0.6  # prefers any reachable sibling with room
UNREACHABLE_COST_S = 1.0  # makes an unreachable replica a last resort
DEREGISTERED_COST_S = 0.5  # makes a deregistered replica a last resort
SPARING_COST_S = 0.08  # less than that of a stalled replica
SPARED_REQUESTS = 4.0  # of a limited rate, kept for hedges and stalls of siblings
JITTER = 0.1  # keeps gateways from all selecting the same replica
SPREAD = 0.3  # the jitter where choices follow load (bench/routing_choices.py)
MAX_SPREAD_S = 0.0075  # half of the cost of another data centre: none is crossed for it
COLD_SAFETY_RATIO = 0.9  # of the cold rate; network delay bunches arrivals


VersionGroups = Callable[[str, Sequence[Replica], float], Sequence[Sequence[Replica]]]


def one_group(
    service: str, replicas: Sequence[Replica], now: float
) -> Sequence[Sequence[Replica]]:
    """Return all replicas as one group: versions make no difference."""
    return (replicas,)


class SelectedReplica(NamedTuple):
    """The selected replica and its expected reply time in seconds.

    ``unloaded_s`` is the reply time expected if the replica had no other requests.
    """

    replica: Replica
    unloaded_s: float
    expected_s: float


class ReplicaSelector:
    """Selects the replica of a service with the lowest estimated cost.

    The estimate is the baseline latency, times the slowdown of the replica, times the
    requests queued per slot (least-loaded selection, as in M. Mitzenmacher, "The power
    of two choices in randomized load balancing", 2001). Costs are added for another
    data centre, recent failures, a cold start, and an overdue reply, which suggests
    that the whole replica is paused.
    """

    def __init__(
        self, directory: Directory, node: str, data_centre: str, seed: int
    ) -> None:
        self.directory = directory
        self.node = node
        self.data_centre = data_centre
        self.random = Random(seed)
        self.bounds = Bounds()
        self.counting_since = float("-inf")
        self.on_cold_denied: Callable[[], object] = int
        self.on_rate_denied: Callable[[], object] = int
        self.on_pace_denied: Callable[[], object] = int
        # Groups of replicas in order of preference, while a version is rolled out.
        self.version_groups: VersionGroups = one_group

    def select(
        self,
        service: str,
        baseline_s: float,
        excluded: Collection[Replica],
        time_left_s: float,
        now: float,
        reserve: float = 0.0,
    ) -> SelectedReplica | None:
        """Return the replica with the lowest cost, ``None`` if none is eligible.

        Replicas in ``excluded`` are not eligible, nor are those whose expected reply
        time exceeds ``time_left_s``: the request would expire in the queue and delay
        the requests behind it. Of a replica that limits its rate, ``reserve`` requests
        are left for others. Replicas beyond their window of requests are chosen only if
        no other one is eligible.
        """
        replicas = self.directory.replicas_of(service)
        for group in self.version_groups(service, replicas, now):
            best = self.best_of(group, baseline_s, excluded, time_left_s, now, reserve)
            if best is not None:
                return best
        return None

    def best_of(
        self,
        replicas: Iterable[Replica],
        baseline_s: float,
        excluded: Collection[Replica],
        time_left_s: float,
        now: float,
        reserve: float,
    ) -> SelectedReplica | None:
        """Return the replica with the lowest cost, ``None`` if none is eligible."""
        best: SelectedReplica | None = None
        best_cost = float("inf")
        adapts = self.directory.adapts_to_load
        for replica in replicas:
            if replica in excluded or not self.limits_allow(replica, reserve, now):
                continue
            forecast = (
                replica.forecast(now) if adapts else unaided_forecast(replica, now)
            )
            unloaded_s = baseline_s * forecast.slowdown
            expected_s = unloaded_s * service_times(forecast.requests, forecast.slots)
            if expected_s > time_left_s:
                continue
            busy = forecast.requests / forecast.slots
            cost = expected_s + self.penalty_s(replica, baseline_s, busy, now)
            if adapts:
                cost += min(SPREAD * cost, MAX_SPREAD_S) * self.random.random()
                if replica.window is not None:
                    cost += self.pace_cost_s(replica, replica.window, now)
            else:
                cost *= 1.0 + JITTER * self.random.random()
            if cost < best_cost:
                best, best_cost = SelectedReplica(replica, unloaded_s, expected_s), cost
        return best

    def pace_cost_s(self, replica: Replica, window: Window, now: float) -> float:
        """Return the cost of exceeding a replica's window, infinite if not allowed."""
        in_flight = len(replica.in_flight)
        if window.has_room(in_flight, now):
            return 0.0
        self.on_pace_denied()
        if window.has_room_if_needed(in_flight, now):
            return BEYOND_WINDOW_COST_S
        return float("inf")

    def penalty_s(
        self, replica: Replica, baseline_s: float, busy: float, now: float
    ) -> float:
        """Return the cost added to the expected reply time for risks, in seconds.

        ``busy`` is the number of requests at the replica for each of its slots.
        """
        cost = baseline_s * BUSY_COST_RATIO * busy
        if replica.entry.data_centre != self.data_centre:
            cost += CROSS_DATA_CENTRE_COST_S
        if replica.oldest_pending_s(now) > STALLED_RATIO * baseline_s:
            cost += STALL_COST_S
        if replica.is_cold(now):
            cost += COLD_COST_S
        if replica.deregistered_at is not None:
            cost += DEREGISTERED_COST_S
        limit = replica.notices.rate_share
        if limit is not None and limit.available(now) < SPARED_REQUESTS:
            cost += SPARING_COST_S
        if not replica.pool.has_capacity:
            cost += baseline_s
        reachability = self.directory.reachability
        data_centre = replica.entry.data_centre
        if replica.pool.is_failing or reachability.is_suspect(data_centre, now):
            cost += UNREACHABLE_COST_S
        return cost + FAILURE_COST_S * replica.current_failure_ratio(now)

    def limits_allow(self, replica: Replica, reserve: float, now: float) -> bool:
        """Return whether the limits on rates allow one more request to a replica."""
        if replica.limit_allows(reserve, now):
            return self.cold_limit_allows(replica, now)
        self.on_rate_denied()
        return False

    def cold_limit_allows(self, replica: Replica, now: float) -> bool:
        """Return whether the cold-start rate limit allows one more request."""
        if not replica.is_cold(now):
            return True
        configuration = self.directory.configuration
        service = configuration and configuration.services.get(replica.entry.service)
        if not service or service.cold_requests_per_s <= 0.0:
            return True
        # An earlier process may have used the share in the present window.
        counted = now >= self.counting_since + COLD_RATE_WINDOW_S
        limit = self.cold_request_limit(replica, service)
        if counted and replica.cold_requests(now) < limit:
            return True
        self.on_cold_denied()
        return False

    def cold_request_limit(self, replica: Replica, service: Service) -> int:
        """Return how many requests per second this gateway may send a cold replica.

        Where the limit is less than one request per gateway, it goes to those of the
        gateways with equal shares whose hash for this replica is lowest.
        """
        bounds = self.bounds
        bound = service.cold_requests_per_s * bounds.cold_factor + bounds.cold_slack
        total = COLD_SAFETY_RATIO * bound
        part = total / self.directory.share_divisor(service.name)
        if part >= 1.0:
            return int(part)
        alike = self.directory.shares.equal_share_gateways
        ranked = sorted(
            alike, key=lambda name: crc32(f"{name} {replica.replica_id}".encode())
        )
        return int(self.node in ranked[: int(part * len(alike))])


def unaided_forecast(replica: Replica, now: float) -> Forecast:
    """Return what is expected of a replica in deployments that don't adapt to load."""
    return Forecast(
        replica.current_slowdown(now),
        replica.estimated_requests(now),
        replica.entry.slots,
    )
