"""The policies, limits and statistics that the searches of a process share."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import count

from sardinehook.environment.document import Limits
from sardinehook.query.budget import AttemptBudgets
from sardinehook.query.hedging import HedgePolicy, QuantileHedge
from sardinehook.query.latency import LatencyEstimates
from sardinehook.query.memory import MemoryBudget
from sardinehook.query.replica_choice import ReplicaChooser
from sardinehook.query.snapshot import ReplicaSnapshots

__all__ = ["SearchPolicy"]

MAX_PROCESS_REPLY_BYTES = 268_435_456


@dataclass(slots=True)
class SearchPolicy:
    """Shared policies, limits and statistics, which outlive a single search.

    ``sub_query_ids`` must yield each id once in the life of the process. A sub-query
    without a reply within ``reply_timeout_ratio`` of the time left when it was sent is
    retried on another replica, whatever the hedge policy; 1.0 turns that off.
    ``enforces_budget`` is false where extra attempts are counted but not limited: for
    workloads with a fixed hedge delay and for the baselines of benchmarks.
    """

    sub_query_ids: Iterator[int] = field(default_factory=lambda: count(1))
    limits: Limits = Limits()
    hedge: HedgePolicy = QuantileHedge()
    reply_timeout_ratio: float = 0.5
    enforces_budget: bool = True
    budgets: AttemptBudgets = field(default_factory=AttemptBudgets)
    latencies: LatencyEstimates = field(default_factory=LatencyEstimates)
    chooser: ReplicaChooser = field(default_factory=lambda: ReplicaChooser("", 0))
    replica_snapshots: ReplicaSnapshots = field(default_factory=ReplicaSnapshots)
    memory: MemoryBudget = field(
        default_factory=lambda: MemoryBudget(MAX_PROCESS_REPLY_BYTES)
    )
