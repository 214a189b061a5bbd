"""One gateway's share of the rate that a replica takes from all gateways together.

The decisions use no network: the limit that the replica states, and the weights of the
gateways that are known, are all that they depend on.
"""

from __future__ import annotations

from collections.abc import Mapping
from math import log
from typing import NamedTuple
from zlib import crc32

from sardinehook.gateway.retry_budget import SlidingWindowCounter

__all__ = ["RateAllocation", "RateShare", "allocate_rate"]

WINDOW_S = 4.0  # replicas count their requests in windows of this length
PEAK_RATIO = 1.375  # of the limit: all gateways' requests in one window,
PEAK_REQUESTS = 4.0  # and this many more; replicas tolerate 1.5 times the limit and 5
MIN_PEAK = 2.0  # of one gateway: a request of the highest priority and another one
AVERAGING_S = 8.0  # unused requests of this time may be sent later
PROBE_RATIO = 0.25  # of the limit: the rate of all gateways that ask for it anew
MIN_PROBE_PER_S = 0.25  # of all gateways, however small the limit: one in a window
MIN_VALIDITY_S = 10.0  # of a limit that no reply has repeated
HASH_RANGE = 1 << 32


class RateAllocation(NamedTuple):
    """What one gateway may send: requests per second on average, and in one window."""

    rate_per_s: float
    peak: float


NOTHING = RateAllocation(0.0, 0.0)


def allocate_rate(
    limit_per_s: float, weights: Mapping[str, float], node: str, replica_id: str
) -> RateAllocation:
    """Return the share of ``node`` in the limit of a replica.

    Shares are proportional to ``weights``, which contains ``node``. Gateways that know
    the same weights send ``limit_per_s`` together on average, and ``PEAK_RATIO`` times
    that and ``PEAK_REQUESTS`` in any window at most. Where a share would be too small
    for whole requests, fewer gateways share the limit: those whose weighted hash for
    this replica is lowest (weighted rendezvous hashing), so that the gateways select
    the same ones without coordination, and others for each replica.

    >>> allocate_rate(12.0, {"a": 1.0, "b": 2.0}, "b", "i-1")
    RateAllocation(rate_per_s=8.0, peak=46.0)
    >>> weights = dict.fromkeys(("a", "b", "c"), 1.0)
    >>> [allocate_rate(0.2, weights, node, "i-1").peak for node in weights]
    [2.55, 2.55, 0.0]
    """
    total = PEAK_RATIO * WINDOW_S * limit_per_s + PEAK_REQUESTS
    count = max(1, int(total / MIN_PEAK))
    holders = sorted(weights, key=lambda name: rank(name, replica_id, weights[name]))
    holders = holders[:count]
    if node not in holders:
        return NOTHING
    share = weights[node] / sum(weights[name] for name in holders)
    spare = total - MIN_PEAK * len(holders)
    return RateAllocation(limit_per_s * share, MIN_PEAK + spare * share)


def rank(node: str, replica_id: str, weight: float) -> float:
    """Return the weighted hash of a gateway for a replica; the lowest ones are chosen.

    The chance to be lowest is proportional to the weight.
    """
    uniform = (crc32(f"{node} {replica_id}".encode()) + 1) / (HASH_RANGE + 1)
    return -log(uniform) / weight


class RateShare:
    """The requests that one gateway may send to one replica that limits its rate.

    A token bucket bounds the average, a sliding window the peaks. The limit is valid as
    long as replies repeat it. A gateway without a share gets no replies; after
    ``validity_s`` it may send one request to learn whether the limit still holds.
    """

    __slots__ = (
        "allocation",
        "gateways",
        "limit_per_s",
        "refilled_at",
        "sent",
        "stated_at",
        "tokens",
    )

    def __init__(self, now: float) -> None:
        self.limit_per_s = 0.0
        self.allocation = NOTHING
        self.gateways = 1
        self.stated_at = now
        self.tokens = 0.0
        self.refilled_at = now
        self.sent = SlidingWindowCounter(WINDOW_S)

    def update(
        self,
        limit_per_s: float,
        weights: Mapping[str, float],
        node: str,
        replica_id: str,
        now: float,
    ) -> None:
        """Use a limit or weights that have changed."""
        self.refill(now)
        self.limit_per_s = limit_per_s
        self.gateways = len(weights)
        self.allocation = allocate_rate(limit_per_s, weights, node, replica_id)

    def refill(self, now: float) -> None:
        """Add the tokens of the time that has passed, at most of ``AVERAGING_S``."""
        rate_per_s, peak = self.allocation
        earned = rate_per_s * (now - self.refilled_at)
        most = min(peak, AVERAGING_S * rate_per_s + MIN_PEAK)
        self.tokens = min(self.tokens + earned, most)
        self.refilled_at = now

    def available(self, now: float) -> float:
        """Return how many requests may be sent now."""
        self.refill(now)
        return min(self.tokens, self.allocation.peak - self.sent.total(now))

    @property
    def validity_s(self) -> float:
        """How long the limit is valid without a reply.

        Gateways that ask for it anew send ``PROBE_RATIO`` of it together at most, but
        not so few that a wrong limit would keep them away for good.
        """
        probe_rate = max(PROBE_RATIO * self.limit_per_s, MIN_PROBE_PER_S)
        return max(MIN_VALIDITY_S, self.gateways / probe_rate)

    def allows(self, unsent: int, in_flight: int, reserve: float, now: float) -> bool:
        """Return whether one more request may be sent, leaving ``reserve`` of them.

        ``unsent`` requests wait for a connection and are not counted as sent yet.
        """
        if now - self.stated_at > self.validity_s:
            return in_flight == 0
        return self.available(now) - unsent >= 1.0 + reserve

    def record_sent(self, now: float) -> None:
        """Count a request that is sent."""
        self.refill(now)
        self.tokens -= 1.0
        self.sent.add(1, now)

    def wait_s(self, reserve: float, now: float) -> float:
        """Return about how long until a request may be sent, if no other one is."""
        valid_s = max(0.0, self.stated_at + self.validity_s - now)
        missing = max(0.0, 1.0 + reserve - self.available(now))
        if not missing:
            return 0.0
        if not self.allocation.rate_per_s:
            return valid_s
        return min(valid_s, missing / self.allocation.rate_per_s)
