"""Which replica of a service gets a request."""

from __future__ import annotations

from collections.abc import Callable, Collection
from random import Random
from typing import NamedTuple
from zlib import crc32

from sardinehook.gateway.configuration import Service
from sardinehook.gateway.directory import Directory
from sardinehook.gateway.replica import Replica
from sardinehook.gateway.settings import Bounds

__all__ = ["Choice", "ReplicaChooser"]

CROSS_DATA_CENTRE_S = 0.015  # round trip to another data centre, and its price
BUSY_COST_RATIO = 0.5  # of the usual latency, for slots that are taken
STALLED_RATIO = 3.0  # a reply this many times overdue hints at a pause
STALL_COST_S = 0.1  # mean rest of a pause
FAILURE_COST_S = 0.4  # a failed exchange costs a repeat at best
COLD_COST_S = 0.02  # a cold replica works more slowly
UNREACHABLE_COST_S = 1.0  # one that can't be reached now is a last resort
LOST_COST_S = 0.5  # one that left discovery is a last resort
JITTER = 0.1  # keeps gateways from choosing alike
COLD_SAFETY_RATIO = 0.9  # of a cold replica's rate, since arrivals bunch on the wire


class Choice(NamedTuple):
    """The replica to ask, and how long its reply is expected to take in seconds.

    ``idle_s`` is how long it would take if no other request were there.
    """

    replica: Replica
    idle_s: float
    likely_s: float


class ReplicaChooser:
    """Orders the replicas of a service by the time that a reply would take.

    The estimate is the usual latency, times the replica's own slowness, times the
    requests that are ahead at its slots (least loaded of a few, as in M. Mitzenmacher,
    "The power of two choices in randomized load balancing", 2001). Costs are added
    for another data centre, recent failures, a cold start, and a reply that is
    overdue, which hints at a pause of the whole replica.
    """

    def __init__(
        self, directory: Directory, node: str, data_centre: str, seed: int
    ) -> None:
        self.directory = directory
        self.node = node
        self.data_centre = data_centre
        self.random = Random(seed)
        self.bounds = Bounds()
        self.note_cold_denied: Callable[[], object] = int

    def choose(
        self,
        service: str,
        usual_s: float,
        excluded: Collection[Replica],
        within_s: float,
        now: float,
    ) -> Choice | None:
        """Return the replica to ask, ``None`` if there is none to be asked.

        A replica from which no reply is to be expected within ``within_s`` is passed
        over: the request would wait in its queue for nothing, and in front of others.
        """
        best: Choice | None = None
        best_cost = float("inf")
        for replica in self.directory.replicas_of(service):
            if replica in excluded or not self.may_ask(replica, now):
                continue
            idle_s = usual_s * replica.current_slowness(now)
            likely_s = idle_s * replica.waits(now)
            if likely_s > within_s:
                continue
            cost = likely_s + self.extra_cost(replica, usual_s, now)
            cost *= 1.0 + JITTER * self.random.random()
            if cost < best_cost:
                best, best_cost = Choice(replica, idle_s, likely_s), cost
        return best

    def extra_cost(self, replica: Replica, usual_s: float, now: float) -> float:
        """Return what is added to the estimate for other risks, in seconds."""
        cost = usual_s * BUSY_COST_RATIO * replica.busy(now) / replica.entry.slots
        if replica.entry.data_centre != self.data_centre:
            cost += CROSS_DATA_CENTRE_S
        if replica.oldest_age_s(now) > STALLED_RATIO * usual_s:
            cost += STALL_COST_S
        if replica.is_cold(now):
            cost += COLD_COST_S
        if replica.lost_at is not None:
            cost += LOST_COST_S
        if not replica.pool.has_room:
            cost += usual_s
        reachability = self.directory.reachability
        place = replica.entry.data_centre
        if replica.pool.is_failing or reachability.is_suspect(place, now):
            cost += UNREACHABLE_COST_S
        return cost + FAILURE_COST_S * replica.current_failures(now)

    def may_ask(self, replica: Replica, now: float) -> bool:
        """Tell whether a replica in its cold start bears one more request."""
        if not replica.is_cold(now):
            return True
        configuration = self.directory.configuration
        service = configuration and configuration.services.get(replica.entry.service)
        if not service or service.cold_requests_per_s <= 0.0:
            return True
        if replica.cold_requests(now) < self.cold_share(replica, service):
            return True
        self.note_cold_denied()
        return False

    def cold_share(self, replica: Replica, service: Service) -> int:
        """Return how many requests a second a cold replica may get from here.

        Where not each of the gateways with the same part can have one, those with the
        lowest hashes have one.
        """
        bounds = self.bounds
        bound = service.cold_requests_per_s * bounds.cold_factor + bounds.cold_slack
        total = COLD_SAFETY_RATIO * bound
        part = total / self.directory.sharers(service.name)
        if part >= 1.0:
            return int(part)
        alike = self.directory.shares.equal_share_gateways
        ranked = sorted(
            alike, key=lambda name: crc32(f"{name} {replica.replica_id}".encode())
        )
        return int(self.node in ranked[: int(part * len(alike))])
