"""What a target stand-in answers and what it remembers of its work."""

from __future__ import annotations

import random
from functools import lru_cache
from typing import NamedTuple

import msgspec

__all__ = ["WorkEvent", "WorkLog", "records_body"]


class Record(NamedTuple):
    """Names one record of an index by its number over all services."""

    number: int
    service: int


class FoundRecord(msgspec.Struct):
    """A record as it stands in a reply."""

    id: str
    rank: float
    fields: dict[str, str]


class FoundRecords(msgspec.Struct):
    """The body of a reply."""

    records: list[FoundRecord]
    truncated: bool = False


def place(number: int, services: int, partitioning: int) -> int:
    """Return which service holds a record under a partitioning.

    >>> [place(n, 3, 1) for n in range(6)], [place(n, 3, 2) for n in range(6)]
    ([0, 1, 2, 1, 2, 0], [0, 1, 2, 2, 0, 1])
    """
    return (number + number // services * partitioning) % services


class Shard(NamedTuple):
    """One service's part of an index at one version and partitioning."""

    index_name: str
    service: int
    services: int
    version: int
    partitioning: int


@lru_cache(maxsize=4096)
def records_body(shard: Shard, per_service: int, seed: int, flagged: bool) -> bytes:
    """Return the reply body of a shard; the same arguments give the same bytes.

    The ids are those of the whole index spread over its services, so a record that
    is returned twice in one answer shows that two partitionings were mixed.
    """
    records = []
    for number in range(shard.services * per_service):
        if place(number, shard.services, shard.partitioning) != shard.service:
            continue
        draw = random.Random(f"{seed}/{shard.index_name}/{number}/{shard.version}")
        fields = {"version": str(shard.version), "strikes": str(draw.randrange(1000))}
        records.append(
            FoundRecord(f"{shard.index_name}-{number}", draw.random(), fields)
        )
    records.sort(key=lambda one: -one.rank)
    return msgspec.json.encode(FoundRecords(records, flagged))


class WorkEvent(NamedTuple):
    """One event in a target's life; ``at`` is ``time.monotonic()`` in seconds.

    ``kind`` is one of ``begun``, ``finished``, ``cancelled``, ``expired``, ``shed``,
    ``lost``, ``spoiled``, ``restart``, ``drain``, ``leave``, ``return`` or
    ``fell_over``; ``spoiled`` follows a ``finished`` whose reply was not sound.
    """

    at: float
    kind: str
    replica: str
    request_id: str
    sub_query_id: str
    order_key: str
    index_version: int
    partitioning: int
    in_flight: int


class WorkLog:
    """A bounded log of events; what does not fit is counted."""

    def __init__(self, bound: int) -> None:
        self.bound = bound
        self.events: list[WorkEvent] = []
        self.left_out = 0

    def add(self, event: WorkEvent) -> None:
        """Add an event where there is room."""
        if len(self.events) < self.bound:
            self.events.append(event)
        else:
            self.left_out += 1
