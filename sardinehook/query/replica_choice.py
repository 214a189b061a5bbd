"""Which replica of a service to ask first."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from random import Random
from typing import NamedTuple

from sardinehook.messages import Outcome, ReplicaView, TargetState

__all__ = ["Placement", "ReplicaChooser", "ReplicaRecord"]

SAMPLE_WEIGHT = 0.1
MOST_SAMPLE_RATIO = 4.0
FAILURE_WEIGHT = 0.2
FAILURE_COST_MS = 200.0
FAILURE_HALF_LIFE_S = 5.0
PROBE_INTERVAL_S = 1.0
MUCH_SLOWER_RATIO = 3.0
SLOW_RATIO = 2.0
SLOW_WEIGHT = 0.1
SLOW_COST_MS = 50.0
MUCH_SLOWER_DIFFERENCE = 0.2
FIRST_GUESS_MS = 5.0
REMOTE_COST_MS = 15.0
COLD_COST_MS = 500.0
HINT_AGE_S = 1.0


class Placement(NamedTuple):
    """Where a replica of a service lives."""

    replica: str
    data_centre: str


class ReplicaRecord:
    """What this process has seen of one replica.

    ``latency_ms`` averages the time from sending to the reply, queueing included.
    ``slow_ratio`` averages how often a reply took more than ``SLOW_RATIO`` times that,
    or was given up after such a time. ``failure_ratio`` averages failures; it halves
    each ``FAILURE_HALF_LIFE_S``.
    ``outstanding`` counts this process's own sub-queries that have no reply.
    """

    __slots__ = (
        "failed_at",
        "failure_ratio",
        "latency_ms",
        "outstanding",
        "seen_at",
        "slow_ratio",
        "tried_at",
        "view",
        "view_at",
    )

    def __init__(self) -> None:
        self.latency_ms = 0.0
        self.slow_ratio = 0.0
        self.failure_ratio = 0.0
        self.failed_at = 0.0
        self.outstanding = 0
        self.seen_at = -1e9
        self.tried_at = -1e9
        self.view: ReplicaView | None = None
        self.view_at = -1e9

    def observe(self, latency_ms: float, now: float) -> None:
        """Take in the latency of one reply."""
        self.seen_at = now
        if self.latency_ms == 0.0:
            self.latency_ms = latency_ms
            return
        slow = latency_ms > SLOW_RATIO * self.latency_ms
        self.slow_ratio += SLOW_WEIGHT * (float(slow) - self.slow_ratio)
        bounded = min(latency_ms, self.latency_ms * MOST_SAMPLE_RATIO)
        self.latency_ms += SAMPLE_WEIGHT * (bounded - self.latency_ms)

    def note_result(self, failed: bool, now: float) -> None:
        """Take in whether a sub-query failed."""
        if not failed and self.failure_ratio == 0.0:
            return
        ratio = self.failures(now)
        self.failure_ratio = ratio + FAILURE_WEIGHT * (float(failed) - ratio)
        self.failed_at = now

    def failures(self, now: float) -> float:
        """Return the failure ratio as it has faded by ``now``."""
        halvings = (now - self.failed_at) / FAILURE_HALF_LIFE_S
        return float(self.failure_ratio * 0.5**halvings)


class ReplicaChooser:
    """Orders the replicas of a service by their expected cost.

    What was seen on real replies goes first: the averaged latency, times one more
    than the own sub-queries that are out (least loaded of two, as in M. Mitzenmacher,
    "The power of two choices in randomized load balancing", 2001), plus costs for slow
    replies and recent failures. The owner's ``wait_ms`` counts only while nothing was
    seen for ``HINT_AGE_S``. A replica of another data centre costs ``REMOTE_COST_MS``
    more, so work spills only when the own ones are that much worse. Cold replicas come
    after warm ones, and draining or gone ones and those of a data centre that is out
    are left away.

    A replica of the own data centre that looks worse is asked first once in
    ``PROBE_INTERVAL_S`` by this process, so that its recovery is noticed.
    """

    def __init__(self, data_centre: str, seed: int) -> None:
        self.data_centre = data_centre
        self.random = Random(seed)
        self.records: dict[str, ReplicaRecord] = {}
        self.out: frozenset[str] = frozenset()

    def record_of(self, replica: str) -> ReplicaRecord:
        """Return what was seen of ``replica``."""
        record = self.records.get(replica)
        if record is None:
            record = self.records[replica] = ReplicaRecord()
        return record

    def set_out(self, data_centres: Iterable[str]) -> None:
        """Name the data centres that take no new work."""
        self.out = frozenset(data_centres)

    def observe_view(self, view: ReplicaView, now: float) -> None:
        """Take in what an owner tells of its replica."""
        record = self.record_of(view.replica)
        record.view = view
        record.view_at = now

    def observe_sent(self, replica: str, now: float) -> None:
        """Count a sub-query that is out."""
        record = self.record_of(replica)
        record.outstanding += 1
        record.tried_at = now

    def observe_reply(
        self, replica: str, outcome: Outcome, latency_ms: float, now: float
    ) -> None:
        """Take in the end of a sub-query.

        A wrong version says nothing of the replica's speed or health. A cancelled
        one took at least ``latency_ms``, which counts if it is longer than usual.
        """
        record = self.record_of(replica)
        record.outstanding = max(0, record.outstanding - 1)
        match outcome:
            case Outcome.ANSWERED:
                record.observe(latency_ms, now)
                record.note_result(False, now)
            case Outcome.CANCELLED:
                if latency_ms > record.latency_ms:
                    record.observe(latency_ms, now)
            case Outcome.WRONG_VERSION:
                pass
            case _:
                record.note_result(True, now)

    def order(self, placements: Sequence[Placement], now: float) -> tuple[str, ...]:
        """Return the replicas that may be asked, the best first."""
        costs: list[tuple[float, float, Placement]] = []
        for placement in placements:
            if placement.data_centre in self.out:
                continue
            cost = self.cost(placement, now)
            if cost is not None:
                costs.append((cost, self.random.random(), placement))
        costs.sort()
        ordered = [placement for _, _, placement in costs]
        self.move_probe_first(ordered, now)
        return tuple([placement.replica for placement in ordered])

    def is_much_slower(self, replica: str, than: str) -> bool:
        """Tell whether ``replica`` was seen to be several times slower than another."""
        one = self.record_of(replica)
        other = self.record_of(than)
        if one.slow_ratio > other.slow_ratio + MUCH_SLOWER_DIFFERENCE:
            return True
        return one.latency_ms > MUCH_SLOWER_RATIO * other.latency_ms > 0.0

    def usable(self, placements: Sequence[Placement]) -> list[str]:
        """Return the replicas that may be asked, in no order."""
        return [
            placement.replica
            for placement in placements
            if placement.data_centre not in self.out and self.takes_work(placement)
        ]

    def takes_work(self, placement: Placement) -> bool:
        """Tell whether a replica is neither draining nor gone."""
        record = self.records.get(placement.replica)
        if record is None or record.view is None:
            return True
        return record.view.state not in (TargetState.DRAINING, TargetState.GONE)

    def move_probe_first(self, ordered: list[Placement], now: float) -> None:
        """Ask a replica of the own data centre first that was not asked for long."""
        for position in range(1, len(ordered)):
            placement = ordered[position]
            if placement.data_centre == self.data_centre and self.must_probe(
                self.record_of(placement.replica), now
            ):
                ordered.insert(0, ordered.pop(position))
                return

    def must_probe(self, record: ReplicaRecord, now: float) -> bool:
        """Tell whether a replica that is not cold was not asked for long."""
        if record.view is not None and record.view.state is TargetState.COLD:
            return False
        return now - record.tried_at > PROBE_INTERVAL_S

    def cost(self, placement: Placement, now: float) -> float | None:
        """Return the expected cost in ms, ``None`` if it must not be asked."""
        record = self.record_of(placement.replica)
        cost = record.latency_ms or FIRST_GUESS_MS
        view = record.view
        if view is not None:
            if view.state in (TargetState.DRAINING, TargetState.GONE):
                return None
            if now - record.seen_at > HINT_AGE_S:
                cost = max(cost, view.wait_ms)
            if view.state is TargetState.COLD:
                cost += COLD_COST_MS
        cost *= record.outstanding + 1
        cost += SLOW_COST_MS * record.slow_ratio
        if record.failure_ratio:
            cost += FAILURE_COST_MS * record.failures(now)
        if placement.data_centre != self.data_centre:
            cost += REMOTE_COST_MS
        return cost
