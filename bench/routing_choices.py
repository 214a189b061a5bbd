"""Simulates what load reports are worth, and how gateways choose among replicas.

``python -m bench.routing_choices`` prints both tables of docs/design/0029. It uses no
network; the replicas are simulated and the estimates are those of the gateway.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from heapq import heappop, heappush
from random import Random
from typing import NamedTuple

from sardinehook.gateway.interfaces import Load
from sardinehook.gateway.replica_selection import BUSY_COST_RATIO, SPREAD
from sardinehook.gateway.routing.load_estimate import (
    ReplicaSpeed,
    requests_of_others,
    service_times,
)

__all__ = ["POLICIES", "Policy", "herding_table", "report_worth", "simulate_choices"]

SLOW_SHARE = 0.15  # of the time, work takes SLOW_RATIO as long
SLOW_RATIO = 2.5
REDRAW_S = 0.6  # mean time between two draws of the work ratio
SPEEDS = (0.8, 1.3)  # range of the base slowdowns
REPLICAS = 3
SLOTS = 2


def draw_ratio(random: Random) -> float:
    """Draw a work ratio."""
    return SLOW_RATIO if random.random() < SLOW_SHARE else 1.0


def report_worth(age_s: float | None, trials: int = 20000, seed: int = 1) -> float:
    """Return the mean work ratio of the replica picked of three by reports of an age.

    ``None`` stands for no reports.
    """
    random = Random(seed)
    total = 0.0
    for _ in range(trials):
        truths, estimates = [], []
        for _ in range(REPLICAS):
            speed = ReplicaSpeed()
            speed.mean_ratio = 1.0 + SLOW_SHARE * (SLOW_RATIO - 1.0)
            ratio = draw_ratio(random)
            if age_s is not None:
                speed.observe_work(ratio, 0.0)
                if random.random() > pow(2.718281828, -age_s / REDRAW_S):
                    ratio = draw_ratio(random)
            truths.append(ratio)
            estimates.append(speed.work_ratio(age_s or 0.0) + 1e-6 * random.random())
        total += truths[estimates.index(min(estimates))]
    return total / trials


class View(NamedTuple):
    """What a gateway knows of one replica when it chooses."""

    reply_s: float
    requests: float
    slots: int
    age_s: float


Policy = Callable[[Sequence[View], Random], int]


def lowest_cost(views: Sequence[View], random: Random) -> int:
    """Choose the lowest expected reply time, with 10% jitter (as without figures)."""
    costs = [view.reply_s * (1.0 + 0.1 * random.random()) for view in views]
    return costs.index(min(costs))


def two_choices(views: Sequence[View], random: Random) -> int:
    """Choose the better of two replicas drawn at random."""
    first, second = random.sample(range(len(views)), 2)
    return first if views[first].reply_s <= views[second].reply_s else second


def hot_and_cold(views: Sequence[View], random: Random) -> int:
    """Choose the fastest replica with a free slot, else the least loaded one."""
    cold = [n for n, view in enumerate(views) if view.requests < view.slots]
    if not cold:
        return min(range(len(views)), key=lambda n: views[n].requests / views[n].slots)
    return min(cold, key=lambda n: views[n].reply_s * (1.0 + 0.1 * random.random()))


def aged_jitter(views: Sequence[View], random: Random) -> int:
    """Choose the lowest cost, with a jitter that grows with the age of the report."""
    costs = [
        view.reply_s
        * (1.0 + (0.1 + 0.3 * min(1.0, view.age_s / 0.6)) * random.random())
        for view in views
    ]
    return costs.index(min(costs))


def spread_cost(views: Sequence[View], random: Random) -> int:
    """Choose the lowest cost where requests at a replica count, with 30% jitter."""
    costs = [
        (view.reply_s + BUSY_COST_RATIO * SERVICE_S * view.requests / view.slots)
        * (1.0 + SPREAD * random.random())
        for view in views
    ]
    return costs.index(min(costs))


SERVICE_S = 0.01  # usual time of one request
POLICIES: dict[str, Policy] = {
    "lowest cost, jitter 0.1": lowest_cost,
    "two choices": two_choices,
    "hot and cold": hot_and_cold,
    "jitter by age": aged_jitter,
    "cost of requests, jitter 0.3": spread_cost,
}


@dataclass
class SimulatedReplica:
    """A replica with slots, a queue, a base slowdown and a changing work ratio."""

    base: float
    random: Random
    ratio: float = 1.0
    redraw_at: float = 0.0
    running: int = 0
    free_at: tuple[float, ...] = (0.0,) * SLOTS

    def serve(self, now: float) -> float:
        """Return when a request that arrives now ends."""
        while self.redraw_at <= now:
            self.ratio = draw_ratio(self.random)
            self.redraw_at += self.random.expovariate(1.0 / REDRAW_S)
        first, *rest = sorted(self.free_at)
        took_s = SERVICE_S * self.base * self.ratio * self.random.uniform(0.8, 1.2)
        end = max(now, first) + took_s
        self.free_at = (end, *rest)
        return end


class GatewayView:
    """What one gateway has learned of one replica."""

    def __init__(self) -> None:
        self.speed = ReplicaSpeed()
        self.own = 0
        self.own_at_report = 0
        self.load: Load | None = None
        self.load_at = -1.0

    def view(self, now: float) -> View:
        """Return what the gateway knows now."""
        age_s = now - self.load_at
        requests = float(self.own)
        if self.load is not None:
            requests += requests_of_others(self.load, self.own_at_report, age_s)
        service_s = SERVICE_S * self.speed.base_slowdown * self.speed.work_ratio(now)
        return View(service_s * service_times(requests, SLOTS), requests, SLOTS, age_s)


def simulate_choices(
    policy: Policy, gateways: int, utilisation: float, burst: int, seed: int = 1
) -> list[float]:
    """Return the sorted reply times when ``burst`` gateways choose at the same time."""
    random = Random(seed)
    replicas = [
        SimulatedReplica(random.uniform(*SPEEDS), Random(seed + n))
        for n in range(REPLICAS)
    ]
    known = [[GatewayView() for _ in replicas] for _ in range(gateways)]
    bursts_per_s = utilisation * REPLICAS * SLOTS / (1.3 * SERVICE_S) / burst
    events: list[tuple[float, int, int, int, float, float]] = [
        (0.0, 0, -1, 0, 0.0, 0.0)
    ]
    times: list[float] = []
    number = 0
    while len(times) < 12000:
        now, _, gateway, chosen, sent_at, expected = heappop(events)
        if gateway < 0:
            for sender in random.sample(range(gateways), burst):
                views = [one.view(now) for one in known[sender]]
                pick = policy(views, random)
                known[sender][pick].own += 1
                replica = replicas[pick]
                end = replica.serve(now)
                ahead = service_times(views[pick].requests, SLOTS)
                number += 1
                heappush(events, (end, number, sender, pick, now, ahead))
                replica.running += 1
            number += 1
            next_at = now + random.expovariate(bursts_per_s)
            heappush(events, (next_at, number, -1, 0, 0.0, 0.0))
            continue
        replica, view = replicas[chosen], known[gateway][chosen]
        replica.running -= 1
        times.append(now - sent_at)
        present = replica.running
        view.load = Load(min(present, SLOTS), max(0, present - SLOTS), SLOTS)
        view.own -= 1
        view.load_at, view.own_at_report = now, view.own
        view.speed.observe_work(replica.ratio, now)
        view.speed.observe_reply((now - sent_at) / (SERVICE_S * expected), now)
    return sorted(times[2000:])


def herding_table(gateways: int, utilisation: float, burst: int) -> list[str]:
    """Return a line for each policy: mean, 90th and 99th percentile in ms."""
    lines = []
    for name, policy in POLICIES.items():
        runs = [
            simulate_choices(policy, gateways, utilisation, burst, seed)
            for seed in (1, 2, 3, 4)
        ]
        means = [sum(run) / len(run) for run in runs]
        tails = [[run[int(q * len(run))] for run in runs] for q in (0.9, 0.99)]
        figures = [sum(one) / len(one) * 1000.0 for one in (means, *tails)]
        lines.append(f"{name:33}" + "".join(f"{one:8.1f}" for one in figures))
    return lines


SETTINGS = ((6, 0.3, 1), (6, 0.3, 4), (6, 0.6, 4), (24, 0.5, 12))


def main() -> None:
    """Print both tables."""
    for age in (None, 0.005, 0.05, 0.5):
        print(f"report of {age} s: mean work ratio {report_worth(age):.3f}")
    for gateways, utilisation, burst in (
        (6, 0.3, 1),
        (6, 0.3, 4),
        (6, 0.6, 4),
        (24, 0.5, 12),
    ):
        print(f"gateways {gateways}, utilisation {utilisation}, burst {burst}")
        print("\n".join(herding_table(gateways, utilisation, burst)))


if __name__ == "__main__":
    main()
