"""A replica that limits its rate, and the gateways that send to it, on a fake clock."""

from __future__ import annotations

from collections.abc import Mapping
from random import Random

from sardinehook.gateway.rate_share import RateShare
from sardinehook.gateway.shares import weigh_by_demand

__all__ = ["LimitedReplica", "run_limit", "tolerated"]

WINDOW_S = 4.0
STEP_S = 0.02
GATEWAYS = (1, 3, 6, 9, 20, 70)
MAX_LIMIT_PER_S = 40.0
RUN_S = 20.0
RESTARTS = 3


def tolerated(limit_per_s: float) -> float:
    """Return how many requests a replica tolerates in one window."""
    return 1.5 * limit_per_s * WINDOW_S + 5.0


class LimitedReplica:
    """One replica that limits its rate, and the gateways that send to it.

    Each gateway has requests at its demand, and sends what its share allows.
    """

    def __init__(
        self, limit_per_s: float, demands: Mapping[str, float], seed: int = 1
    ) -> None:
        self.limit_per_s = limit_per_s
        self.demands = demands
        self.rng = Random(seed)
        self.now = 100.0
        self.views: dict[str, Mapping[str, float]] = {
            name: weigh(demands) for name in demands
        }
        self.shares = {name: self.make_share(name) for name in demands}
        self.sent: list[float] = []

    def make_share(self, name: str) -> RateShare:
        """Return the share of a gateway that has just learnt the limit."""
        share = RateShare(self.now)
        weights = self.views[name]
        share.update(self.limit_per_s, weights, name, "i-1", self.now)
        return share

    def set_view(self, name: str, weights: Mapping[str, float]) -> None:
        """Let a gateway know only some gateways, or other weights."""
        self.views[name] = weights
        share = self.shares[name]
        share.update(self.limit_per_s, weights, name, "i-1", self.now)

    def run(self, seconds: float) -> None:
        """Let requests arrive at random for a time."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            for name, demand in self.demands.items():
                if self.rng.random() < demand * STEP_S:
                    self.request(name)

    def request(self, name: str) -> None:
        """Send one request if the share of its gateway allows it."""
        share = self.shares[name]
        if share.allows(0, 0, 0.0, self.now):
            share.record_sent(self.now)
            share.stated_at = self.now
            self.sent.append(self.now)

    def peak(self) -> int:
        """Return the most requests that arrived in any window."""
        return max(
            sum(at - WINDOW_S < other <= at for other in self.sent) for at in self.sent
        )


def weigh(demands: Mapping[str, float]) -> dict[str, float]:
    """Return the weights of gateways whose demands are known."""
    return weigh_by_demand(dict.fromkeys(demands, 1.0), demands)


def run_limit(seed: int) -> float:
    """Run a drawn fleet with restarts and old views; return the peak to the tolerated.

    A third of the gateways at most knows other weights than the rest.
    """
    rng = Random(seed)
    names = [f"g-{number}" for number in range(rng.choice(GATEWAYS))]
    limit_per_s = rng.uniform(0.2, MAX_LIMIT_PER_S)
    demands = {name: rng.uniform(0.0, 6.0 * limit_per_s / len(names)) for name in names}
    replica = LimitedReplica(limit_per_s, demands, seed)
    outdated = rng.sample(names, len(names) // 3)
    for name in outdated:
        replica.set_view(name, dict.fromkeys(names, 1.0))
    for _ in range(RESTARTS):
        replica.run(RUN_S / RESTARTS)
        restarted = rng.choice(names)
        replica.shares[restarted] = replica.make_share(restarted)
    return replica.peak() / tolerated(limit_per_s) if replica.sent else 0.0
