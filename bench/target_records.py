"""The records and the event log of a simulated target."""

from __future__ import annotations

import random
from functools import lru_cache
from typing import NamedTuple

import msgspec

__all__ = ["WorkEvent", "WorkLog", "records_body"]


class Record(NamedTuple):
    """Identifies a record of an index by its number across all services."""

    number: int
    service: int


class FoundRecord(msgspec.Struct):
    """A record in the body of a reply."""

    id: str
    rank: float
    fields: dict[str, str]


class FoundRecords(msgspec.Struct):
    """The body of a reply."""

    records: list[FoundRecord]
    truncated: bool = False


def service_of_record(number: int, services: int, partitioning: int) -> int:
    """Return the service that holds a record under a partitioning.

    >>> [service_of_record(n, 3, 1) for n in range(6)]
    [0, 1, 2, 1, 2, 0]
    >>> [service_of_record(n, 3, 2) for n in range(6)]
    [0, 1, 2, 2, 0, 1]
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
def records_body(
    shard: Shard, records_per_service: int, seed: int, flagged: bool
) -> bytes:
    """Return the reply body of a shard; it is deterministic in the arguments.

    Record ids are unique across the services of an index under one partitioning. A
    duplicate record in an answer therefore shows that partitionings were mixed.
    """
    records = []
    for number in range(shard.services * records_per_service):
        if (
            service_of_record(number, shard.services, shard.partitioning)
            != shard.service
        ):
            continue
        draw = random.Random(f"{seed}/{shard.index_name}/{number}/{shard.version}")
        fields = {"version": str(shard.version), "strikes": str(draw.randrange(1000))}
        records.append(
            FoundRecord(f"{shard.index_name}-{number}", draw.random(), fields)
        )
    records.sort(key=lambda one: -one.rank)
    return msgspec.json.encode(FoundRecords(records, flagged))


class WorkEvent(NamedTuple):
    """An event at a target; ``at`` is ``time.monotonic()`` in seconds.

    ``kind`` is one of ``begun``, ``finished``, ``cancelled``, ``expired``, ``shed``,
    ``lost``, ``spoiled``, ``restart``, ``drain``, ``leave``, ``return`` or
    ``fell_over``; ``spoiled`` follows a ``finished`` whose reply carries an injected
    fault.
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
    """An event log of fixed capacity; events that do not fit are counted."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.events: list[WorkEvent] = []
        self.left_out = 0

    def add(self, event: WorkEvent) -> None:
        """Append an event, or count it as left out if the log is full."""
        if len(self.events) < self.capacity:
            self.events.append(event)
        else:
            self.left_out += 1
