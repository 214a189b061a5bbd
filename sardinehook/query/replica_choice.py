"""Which replica of a service to ask first."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence
from random import Random
from typing import NamedTuple

from sardinehook.messages import Outcome, ReplicaReport, TargetState

__all__ = ["Placement", "ReplicaChooser", "ReplicaRecord"]

SAMPLE_WEIGHT = 0.1
RECOVERY_WEIGHT = 0.3
RECOVERY_RATIO = 0.5
LEAST_LATENCY_MS = 0.05
GIVEN_UP_FACTOR = 4.0
FAILURE_WEIGHT = 0.2
FAILURE_COST_MS = 200.0
FAILURE_HALF_LIFE_S = 5.0
PROBE_INTERVAL_S = 1.0
MUCH_SLOWER_RATIO = 3.0
REPEAT_RATIO = 0.2
MOST_REPEATS = 3.0
FIRST_GUESS_MS = 5.0
REMOTE_COST_MS = 15.0
COLD_COST_MS = 500.0
HINT_AGE_S = 1.0
NOT_USABLE = (TargetState.DRAINING, TargetState.GONE)


class Placement(NamedTuple):
    """Where a replica of a service lives."""

    replica: str
    data_centre: str


class ReplicaRecord:
    """What this process has seen of one replica.

    ``latency_ms`` is the geometric mean, over recent replies, of the time from sending
    to the reply, queueing included.
    ``failure_ratio`` averages failures; it halves each ``FAILURE_HALF_LIFE_S``.
    ``outstanding`` counts this process's own sub-queries that have no reply.
    ``repeats`` is how many sub-queries may be sent to it once more; each one sent
    earns ``REPEAT_RATIO`` of that.
    """

    __slots__ = (
        "failed_at",
        "failure_ratio",
        "latency_ms",
        "outstanding",
        "repeats",
        "samples",
        "seen_at",
        "tried_at",
        "view",
        "view_at",
    )

    def __init__(self) -> None:
        self.latency_ms = 0.0
        self.samples = 0
        self.failure_ratio = 0.0
        self.failed_at = 0.0
        self.outstanding = 0
        self.repeats = MOST_REPEATS
        self.seen_at = -1e9
        self.tried_at = -1e9
        self.view: ReplicaReport | None = None
        self.view_at = -1e9

    def observe(self, latency_ms: float, now: float) -> None:
        """Take in the latency of one reply.

        The first samples weigh more, and so does one much faster than the average: a
        replica that looks slow gets few samples to prove the contrary.
        """
        self.seen_at = now
        self.samples += 1
        if self.samples == 1:
            self.latency_ms = max(latency_ms, LEAST_LATENCY_MS)
            return
        ratio = max(latency_ms, LEAST_LATENCY_MS) / self.latency_ms
        weight = RECOVERY_WEIGHT if ratio < RECOVERY_RATIO else SAMPLE_WEIGHT
        self.latency_ms *= ratio ** max(weight, 1.0 / self.samples)

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
    "The power of two choices in randomized load balancing", 2001), plus a cost for
    recent failures. The owner's ``wait_ms`` counts only while nothing was
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

    def retain(self, replicas: Collection[str]) -> None:
        """Forget all replicas but these."""
        self.records = {
            name: record for name, record in self.records.items() if name in replicas
        }

    def set_out(self, data_centres: Iterable[str]) -> None:
        """Name the data centres that take no new work."""
        self.out = frozenset(data_centres)

    def observe_report(self, view: ReplicaReport, now: float) -> None:
        """Take in what an owner tells of its replica."""
        record = self.record_of(view.replica)
        record.view = view
        record.view_at = now

    def observe_sent(self, replica: str, now: float) -> None:
        """Count a sub-query that is out."""
        record = self.record_of(replica)
        record.outstanding += 1
        record.repeats = min(MOST_REPEATS, record.repeats + REPEAT_RATIO)
        record.tried_at = now

    def spend_repeat(self, replica: str) -> bool:
        """Take the right to send a sub-query to the same replica once more.

        Where replies are slow because a queue is long, repeats make it longer. The
        budget of a workload doesn't prevent that, being shared by all replicas.
        """
        record = self.record_of(replica)
        if record.repeats < 1.0:
            return False
        record.repeats -= 1.0
        return True

    def observe_reply(
        self, replica: str, outcome: Outcome, latency_ms: float, now: float
    ) -> None:
        """Take in the end of a sub-query.

        A wrong version or a cancellation says nothing of the replica.
        """
        record = self.record_of(replica)
        record.outstanding = max(0, record.outstanding - 1)
        match outcome:
            case Outcome.ANSWERED:
                record.observe(latency_ms, now)
                record.note_result(False, now)
            case Outcome.CANCELLED | Outcome.WRONG_VERSION:
                pass
            case _:
                record.note_result(True, now)

    def observe_given_up(self, replica: str, waited_ms: float, now: float) -> None:
        """Take in that another replica answered what was sent to this one first.

        The reply would have taken more than ``waited_ms``; it counts as if it had
        taken ``GIVEN_UP_FACTOR`` times as long, but never as better than usual.
        """
        record = self.record_of(replica)
        record.outstanding = max(0, record.outstanding - 1)
        likely_ms = waited_ms * GIVEN_UP_FACTOR
        if likely_ms > record.latency_ms:
            record.observe(likely_ms, now)

    def order(self, placements: Sequence[Placement], now: float) -> tuple[str, ...]:
        """Return the replicas that may be asked, the best first."""
        costs: list[tuple[float, float, str]] = []
        for placement in placements:
            if placement.data_centre not in self.out:
                record = self.record_of(placement.replica)
                cost = self.cost(record, placement.data_centre, now)
                if cost is not None:
                    costs.append((cost, self.random.random(), placement.replica))
        if len(costs) > 1:
            costs.sort()
        return tuple([replica for _, _, replica in costs])

    def is_much_slower(self, replica: str, than: str) -> bool:
        """Tell whether ``replica`` was seen to be several times slower than another."""
        usual_ms = self.record_of(than).latency_ms
        return self.record_of(replica).latency_ms > MUCH_SLOWER_RATIO * usual_ms > 0.0

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
        return record.view.state not in NOT_USABLE

    def cost(self, record: ReplicaRecord, data_centre: str, now: float) -> float | None:
        """Return the expected cost in ms, ``None`` if it must not be asked.

        It is zero for a replica of the own data centre that is due for a probe.
        """
        view = record.view
        cost = record.latency_ms or FIRST_GUESS_MS
        cold = False
        if view is not None:
            if view.state in NOT_USABLE:
                return None
            cold = view.state is TargetState.COLD
            if now - record.seen_at > HINT_AGE_S:
                cost = max(cost, view.wait_ms)
        own = data_centre == self.data_centre
        if own and not cold and now - record.tried_at > PROBE_INTERVAL_S:
            return 0.0
        cost *= record.outstanding + 1
        if record.failure_ratio:
            cost += FAILURE_COST_MS * record.failures(now)
        if cold:
            cost += COLD_COST_MS
        return cost if own else cost + REMOTE_COST_MS
