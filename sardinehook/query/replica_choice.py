"""Replica selection: the order in which the replicas of a service are asked."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence
from random import Random
from typing import NamedTuple

from sardinehook.messages import Outcome, ReplicaReport, TargetState

__all__ = ["Placement", "ReplicaChooser", "ReplicaStats"]

SAMPLE_WEIGHT = 0.1
RECOVERY_WEIGHT = 0.3
RECOVERY_RATIO = 0.5
MIN_LATENCY_MS = 0.05
CENSORED_LATENCY_FACTOR = 4.0
FAILURE_WEIGHT = 0.2
FAILURE_COST_MS = 200.0
FAILURE_HALF_LIFE_S = 5.0
PROBE_INTERVAL_S = 1.0
MUCH_SLOWER_RATIO = 3.0
RETRY_RATIO = 0.2
MAX_RETRIES = 3.0
DEFAULT_LATENCY_MS = 5.0
REMOTE_COST_MS = 15.0
COLD_COST_MS = 500.0
LATENCY_VALID_S = 1.0
NOT_USABLE = (TargetState.DRAINING, TargetState.GONE)


class Placement(NamedTuple):
    """A replica of a service and its data centre."""

    replica: str
    data_centre: str


class ReplicaStats:
    """What this process has observed of one replica.

    ``latency_ms`` is the geometric mean, over recent replies, of the time from sending
    to the reply, queueing included.
    ``failure_ratio`` is the moving average of failures; its half-life is
    ``FAILURE_HALF_LIFE_S``.
    ``outstanding`` counts this process's own sub-queries that have no reply.
    ``retries`` is how many sub-queries may be retried on this same replica; each one
    sent to it adds ``RETRY_RATIO``, up to ``MAX_RETRIES``.
    """

    __slots__ = (
        "failure_ratio",
        "failures_updated_at",
        "last_reply_at",
        "last_sent_at",
        "latency_ms",
        "outstanding",
        "report",
        "reported_at",
        "retries",
        "samples",
    )

    def __init__(self) -> None:
        self.latency_ms = 0.0
        self.samples = 0
        self.failure_ratio = 0.0
        self.failures_updated_at = 0.0
        self.outstanding = 0
        self.retries = MAX_RETRIES
        self.last_reply_at = -1e9
        self.last_sent_at = -1e9
        self.report: ReplicaReport | None = None
        self.reported_at = -1e9

    def record_latency(self, latency_ms: float, now: float) -> None:
        """Update the average latency with one reply.

        The first samples weigh more, and so does one much faster than the average: a
        replica that looks slow is asked rarely, so few samples can show a recovery.
        """
        self.last_reply_at = now
        self.samples += 1
        if self.samples == 1:
            self.latency_ms = max(latency_ms, MIN_LATENCY_MS)
            return
        ratio = max(latency_ms, MIN_LATENCY_MS) / self.latency_ms
        weight = RECOVERY_WEIGHT if ratio < RECOVERY_RATIO else SAMPLE_WEIGHT
        self.latency_ms *= ratio ** max(weight, 1.0 / self.samples)

    def record_result(self, failed: bool, now: float) -> None:
        """Update the failure ratio with the result of one sub-query."""
        if not failed and self.failure_ratio == 0.0:
            return
        ratio = self.current_failure_ratio(now)
        self.failure_ratio = ratio + FAILURE_WEIGHT * (float(failed) - ratio)
        self.failures_updated_at = now

    def current_failure_ratio(self, now: float) -> float:
        """Return the failure ratio, decayed until ``now``."""
        halvings = (now - self.failures_updated_at) / FAILURE_HALF_LIFE_S
        return float(self.failure_ratio * 0.5**halvings)


class ReplicaChooser:
    """Orders the replicas of a service by their expected cost.

    The cost is based on observed replies: the average latency, multiplied by one more
    than the number of this process's outstanding sub-queries (least loaded of two, as
    in M. Mitzenmacher, "The power of two choices in randomized load balancing", 2001),
    plus a penalty for recent failures. The ``wait_ms`` that the owner reports is used
    only if no reply was observed for ``LATENCY_VALID_S``. A replica of another data
    centre costs ``REMOTE_COST_MS`` more, so requests spill over only when the local
    ones are worse by that much. Cold replicas come after warm ones. Draining or gone
    replicas and those of a data centre that is out are excluded.

    A local replica that looks worse is asked first once in ``PROBE_INTERVAL_S`` by
    this process, so that its recovery is detected.
    """

    def __init__(self, data_centre: str, seed: int) -> None:
        self.data_centre = data_centre
        self.random = Random(seed)
        self.stats: dict[str, ReplicaStats] = {}
        self.out_data_centres: frozenset[str] = frozenset()

    def stats_of(self, replica: str) -> ReplicaStats:
        """Return the statistics of ``replica``, created on first use."""
        stats = self.stats.get(replica)
        if stats is None:
            stats = self.stats[replica] = ReplicaStats()
        return stats

    def retain(self, replicas: Collection[str]) -> None:
        """Drop the statistics of all replicas but these."""
        self.stats = {
            name: stats for name, stats in self.stats.items() if name in replicas
        }

    def set_out_data_centres(self, data_centres: Iterable[str]) -> None:
        """Set the data centres that receive no new requests."""
        self.out_data_centres = frozenset(data_centres)

    def observe_report(self, report: ReplicaReport, now: float) -> None:
        """Store the latest report of a replica's owner."""
        stats = self.stats_of(report.replica)
        stats.report = report
        stats.reported_at = now

    def observe_sent(self, replica: str, now: float) -> None:
        """Count a sub-query as outstanding."""
        stats = self.stats_of(replica)
        stats.outstanding += 1
        stats.retries = min(MAX_RETRIES, stats.retries + RETRY_RATIO)
        stats.last_sent_at = now

    def spend_retry(self, replica: str) -> bool:
        """Spend one retry on the same replica; return false if none is left.

        Where replies are slow because a queue is long, retries on the same replica
        make it longer. The budget of a workload doesn't prevent that, because it is
        shared by all replicas.
        """
        stats = self.stats_of(replica)
        if stats.retries < 1.0:
            return False
        stats.retries -= 1.0
        return True

    def observe_reply(
        self, replica: str, outcome: Outcome, latency_ms: float, now: float
    ) -> None:
        """Update the statistics with the outcome of a sub-query.

        A wrong version or a cancellation is no evidence about the replica's health.
        """
        stats = self.stats_of(replica)
        stats.outstanding = max(0, stats.outstanding - 1)
        match outcome:
            case Outcome.ANSWERED:
                stats.record_latency(latency_ms, now)
                stats.record_result(False, now)
            case Outcome.CANCELLED | Outcome.WRONG_VERSION:
                pass
            case _:
                stats.record_result(True, now)

    def observe_slow_cancel(self, replica: str, waited_ms: float, now: float) -> None:
        """Update the statistics with a sub-query that was cancelled as slow.

        The latency is censored: it is only known to exceed ``waited_ms``. It counts as
        ``CENSORED_LATENCY_FACTOR`` times that, and is ignored if that is no more than
        the average.
        """
        stats = self.stats_of(replica)
        stats.outstanding = max(0, stats.outstanding - 1)
        likely_ms = waited_ms * CENSORED_LATENCY_FACTOR
        if likely_ms > stats.latency_ms:
            stats.record_latency(likely_ms, now)

    def order(self, placements: Sequence[Placement], now: float) -> tuple[str, ...]:
        """Return the replicas that may be asked, the cheapest first."""
        costs: list[tuple[float, float, str]] = []
        for placement in placements:
            if placement.data_centre not in self.out_data_centres:
                stats = self.stats_of(placement.replica)
                cost = self.cost(stats, placement.data_centre, now)
                if cost is not None:
                    costs.append((cost, self.random.random(), placement.replica))
        if len(costs) > 1:
            costs.sort()
        return tuple([replica for _, _, replica in costs])

    def is_much_slower(self, replica: str, than: str) -> bool:
        """Tell whether the latency of ``replica`` is several times that of ``than``."""
        average_ms = self.stats_of(than).latency_ms
        return self.stats_of(replica).latency_ms > MUCH_SLOWER_RATIO * average_ms > 0.0

    def usable(self, placements: Sequence[Placement]) -> list[str]:
        """Return the replicas that may be asked, in no order."""
        return [
            placement.replica
            for placement in placements
            if placement.data_centre not in self.out_data_centres
            and self.accepts_work(placement)
        ]

    def accepts_work(self, placement: Placement) -> bool:
        """Tell whether a replica is neither draining nor gone."""
        stats = self.stats.get(placement.replica)
        if stats is None or stats.report is None:
            return True
        return stats.report.state not in NOT_USABLE

    def cost(self, stats: ReplicaStats, data_centre: str, now: float) -> float | None:
        """Return the expected cost in ms, ``None`` if it must not be asked.

        It is zero for a replica of the local data centre that is due for a probe.
        """
        report = stats.report
        cost = stats.latency_ms or DEFAULT_LATENCY_MS
        cold = False
        if report is not None:
            if report.state in NOT_USABLE:
                return None
            cold = report.state is TargetState.COLD
            if now - stats.last_reply_at > LATENCY_VALID_S:
                cost = max(cost, report.wait_ms)
        local = data_centre == self.data_centre
        if local and not cold and now - stats.last_sent_at > PROBE_INTERVAL_S:
            return 0.0
        cost *= stats.outstanding + 1
        if stats.failure_ratio:
            cost += FAILURE_COST_MS * stats.current_failure_ratio(now)
        if cold:
            cost += COLD_COST_MS
        return cost if local else cost + REMOTE_COST_MS
