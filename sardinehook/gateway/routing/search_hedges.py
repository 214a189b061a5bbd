"""When the shards of a search are hedged."""

from __future__ import annotations

from sardinehook.gateway.configuration import Route
from sardinehook.gateway.policy import RequestPolicy
from sardinehook.gateway.replica_selection import SelectedReplica
from sardinehook.gateway.routing.hedging import (
    HedgeBounds,
    hedge_delay_s,
    is_worth_hedging,
    last_chance_s,
)
from sardinehook.gateway.shard_request import ShardRequest

__all__ = ["SearchHedges"]

HEDGE_QUANTILE = 0.95  # of reply times: a shard without a reply by then is hedged
MIN_HEDGE_RATIO = 0.08  # of the objective: the earliest hedge
MAX_HEDGE_RATIO = 0.35  # of the objective: leaves time for the hedged reply


class SearchHedges:
    """The hedge delays of one search.

    Without ``adapts_to_load`` each shard is hedged after the same delay. With it, the
    hedge comes sooner where the replica that was chosen is expected to end sooner.
    """

    def __init__(
        self,
        policy: RequestPolicy,
        route: Route,
        shard_count: int,
        median_s: float,
        objective_at: float,
    ) -> None:
        self.policy = policy
        self.route = route
        self.shard_count = shard_count
        self.median_s = median_s
        self.objective_at = objective_at
        self.adapts = policy.directory.adapts_to_load
        earliest_s = MIN_HEDGE_RATIO * route.objective_s
        latest_s = MAX_HEDGE_RATIO * route.objective_s
        quantile_s = policy.latency_s(route, HEDGE_QUANTILE)
        self.usual_delay_s = min(max(quantile_s, earliest_s), latest_s)
        # A replica that is expected to be slow needs its hedge no later than others:
        # it is the one whose shard would be missing at the objective.
        self.bounds = HedgeBounds(earliest_s, self.usual_delay_s)
        self.overdue_ratio = policy.overdue_ratios.overdue_ratio(route.name)

    def delay_s(self, choice: SelectedReplica, now: float) -> float:
        """Return how long after now the request to a chosen replica is hedged."""
        if not self.adapts:
            return self.usual_delay_s
        left_s = self.objective_at - now
        return hedge_delay_s(
            choice.expected_s,
            self.overdue_ratio,
            self.bounds,
            last_chance_s(left_s, self.median_s),
        )

    def overdue_at(self, shard: ShardRequest) -> float:
        """Return when the newest request for a shard is overdue."""
        exchange = shard.open_exchanges[-1]
        overdue_s = exchange.expected_s * self.overdue_ratio
        bounds = self.bounds
        overdue_s = max(min(overdue_s, bounds.latest_s), bounds.earliest_s)
        return exchange.started_at + overdue_s

    def is_due(
        self, shard: ShardRequest, now: float, unanswered: int, has_coverage: bool
    ) -> bool:
        """Return whether to hedge a shard whose delay has passed, or postpone it.

        ``unanswered`` is the number of shards of the search without an answer.
        """
        if not self.adapts:
            return True
        overdue_at = self.overdue_at(shard)
        left_s = self.objective_at - now
        overdue = now >= overdue_at
        if is_worth_hedging(
            overdue, unanswered, self.shard_count, self.median_s, left_s, has_coverage
        ):
            return True
        shard.hedge_at = self.objective_at if overdue else overdue_at
        return False

    def observe(self, took_s: float, expected_s: float) -> None:
        """Learn by how much replies exceed what was expected of their replicas."""
        if self.adapts and expected_s > 0.0:
            self.policy.overdue_ratios.observe(self.route.name, took_s / expected_s)
