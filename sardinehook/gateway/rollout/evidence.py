"""What answers of the two versions count as, and their counters in the usage ledger."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from functools import lru_cache
from math import floor, log
from typing import NamedTuple
from urllib.parse import quote

from sardinehook.gateway.usage.interfaces import Marks, UsageLedger
from sardinehook.gateway.usage.table import shorten

__all__ = [
    "BUCKETS",
    "BUCKET_RATIO",
    "SHORTEST_S",
    "EvidenceReader",
    "ReplicaKey",
    "ReplicaSample",
    "bucket_of",
    "fair_time_s",
    "subject_of",
]

BUCKET_RATIO = 1.4  # between reply times that are counted apart
SHORTEST_S = 0.001  # the first bucket ends here
BUCKETS = 32  # the last one begins at 34 s
REPORT_DELAY_S = 0.6  # counts of other gateways are known by then
MAX_READ_BACK_S = 3.0  # the ledger covers a few seconds only

REQUESTS = "requests"
FAILURES = "failures"
OLD = "old"
NEW = "new"


class ReplicaKey(NamedTuple):
    """A replica as seen from gateways of its own data centre, or ``far`` ones."""

    replica_id: str
    data_centre: str
    is_new: bool
    far: bool


@dataclass(slots=True)
class ReplicaSample:
    """Answers of one replica to one route in some time.

    ``times`` are counts of reply times by bucket; not every answer is timed.
    """

    requests: int = 0
    failures: int = 0
    times: dict[int, int] = field(default_factory=dict)


@lru_cache(maxsize=16384)
def subject_of(
    service: str, version: str, route: str, key: ReplicaKey, counter: str
) -> str:
    """Return the ledger's subject of a counter; ``version`` is the one rolled out.

    >>> key = ReplicaKey("i-1", "a", True, False)
    >>> subject_of("desk", "2.0", "read", key, "failures")
    'rollout/desk/2.0/read/new.i-1.near.failures'
    """
    kind = NEW if key.is_new else OLD
    distance = "far" if key.far else "near"
    prefix = subject_prefix(service, version)
    replica = quote(key.replica_id, safe="")
    counted = f"{kind}.{replica}.{distance}.{counter}"
    return shorten(f"{prefix}{quote(route, safe='')}/{counted}")


def subject_prefix(service: str, version: str) -> str:
    """Return what the subjects of all counters of a rollout begin with."""
    return f"rollout/{quote(service, safe='')}/{quote(version, safe='')}/"


def bucket_of(seconds: float) -> int:
    """Return the bucket of a reply time.

    >>> [bucket_of(s) for s in (0.0, 0.001, 0.0015, 0.1, 1e9)]
    [0, 0, 1, 13, 31]
    """
    if seconds <= SHORTEST_S:
        return 0
    return min(BUCKETS - 1, floor(log(seconds / SHORTEST_S) / log(BUCKET_RATIO)))


def fair_time_s(
    took_s: float, service_times: float, queued: float, work_ratio: float | None
) -> float:
    """Return a reply time without what the replica's load has added.

    ``service_times`` is how many service times the reply was expected to take, queueing
    included, ``queued`` how many service times of queue the reply itself states, and
    ``work_ratio`` how slow work is on the machine now.

    >>> fair_time_s(0.4, 1.0, 1.0, 2.0)
    0.1
    """
    return took_s / max(service_times, 1.0 + queued) / max(1.0, work_ratio or 1.0)


class EvidenceReader:
    """Reads from the ledger what was counted since the last call.

    A read ends ``REPORT_DELAY_S`` before the call, so that counts of other gateways
    have arrived, and returns each count once.
    """

    def __init__(
        self, ledger: UsageLedger, service: str, version: str, since: float
    ) -> None:
        self.ledger = ledger
        self.service = service
        self.version = version
        self.since = since
        self.marks: Marks = {}

    def read(
        self, routes: Iterable[str], keys: Iterable[ReplicaKey], now: float
    ) -> dict[str, dict[ReplicaKey, ReplicaSample]]:
        """Return the samples of each route since the last call."""
        counts = self.ledger.take(
            subject_prefix(self.service, self.version),
            self.marks,
            max(self.since, now - MAX_READ_BACK_S),
            now - REPORT_DELAY_S,
        )
        if not counts:
            return {}
        replicas = list(keys)
        found: dict[str, dict[ReplicaKey, ReplicaSample]] = {}
        for route in routes:
            for key in replicas:
                sample = self.sample_of(route, key, counts)
                if sample is not None:
                    found.setdefault(route, {})[key] = sample
        return found

    def sample_of(
        self, route: str, key: ReplicaKey, counts: Mapping[str, float]
    ) -> ReplicaSample | None:
        """Return the sample of one replica, ``None`` if it has no requests."""

        def count(counter: str) -> int:
            subject = subject_of(self.service, self.version, route, key, counter)
            return round(counts.get(subject, 0.0))

        requests = count(REQUESTS)
        if requests <= 0:
            return None
        times = {bucket: count(f"t{bucket}") for bucket in range(BUCKETS)}
        return ReplicaSample(
            requests,
            max(0, min(requests, count(FAILURES))),
            {bucket: number for bucket, number in times.items() if number > 0},
        )
