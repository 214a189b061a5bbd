"""Parses the replies of targets and merges them into one ranked list."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import accumulate
from operator import attrgetter
from typing import NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from sardinehook.decoding import DECODE_ERRORS
from sardinehook.query.coverage import MissingReason

__all__ = [
    "Hit",
    "MergedRecords",
    "Merger",
    "Page",
    "Record",
    "merge",
    "merge_indexes",
    "parse_page",
]

PRUNE_FACTOR = 4


class Record(msgspec.Struct, frozen=True, gc=False):
    """One record as a target sent it; ``fields`` is passed on undecoded.

    It is a ``msgspec.Struct`` because named tuples decode from JSON arrays only.
    """

    id: str
    rank: float
    fields: msgspec.Raw


class Page(msgspec.Struct, frozen=True, gc=False):
    """The body of a target's reply; ``truncated`` is set if it left records out."""

    records: list[Record]
    truncated: bool


class Hit(msgspec.Struct, frozen=True, gc=False):
    """A record of an answer, identified by ``index`` and ``id`` together."""

    index: str
    id: str
    rank: float
    fields: msgspec.Raw


class MergedRecords(NamedTuple):
    """Records by rank; ``limited`` tells whether a limit left some out."""

    records: tuple[Hit, ...]
    limited: bool


RECORD_ORDER = attrgetter("rank", "id")
HIT_ORDER = attrgetter("rank", "id", "index")
PAGE_DECODER = msgspec.json.Decoder(Page)


def parse_page(body: bytes) -> Result[Page, MissingReason]:
    """Decode a target's reply.

    A body that isn't a valid page fails with ``GARBLED`` and a page that its target
    truncated with ``TRUNCATED``; neither counts as an answer.

    >>> parse_page(b'{"records":[],"truncated":false}').unwrap().records
    []
    >>> parse_page(b'{"records":[],"truncated":true}').failure().value
    'truncated'
    """
    try:
        page = PAGE_DECODER.decode(body)
    except DECODE_ERRORS:
        return Failure(MissingReason.GARBLED)
    if page.truncated:
        return Failure(MissingReason.TRUNCATED)
    return Success(page)


class Merger:
    """Merges the records of one index in bounded memory.

    Records are ordered by ascending rank and deduplicated by id. If services of one
    snapshot return different content for one id, the copy of the lowest rank is kept,
    and on equal ranks the one whose content comes first in byte order, so the result
    doesn't depend on the order of the replies.

    Between two calls at most ``PRUNE_FACTOR`` times ``limit`` records and about
    ``max_bytes`` are held; records that can't be in the answer are pruned.
    """

    def __init__(self, index: str, limit: int, max_bytes: int) -> None:
        self.index = index
        self.limit = limit
        self.max_bytes = max_bytes
        self.records: list[Record] = []
        self.held_bytes = 0
        self.limited = False

    def add(self, page: Page, body_bytes: int) -> int:
        """Add a page whose body has ``body_bytes`` bytes.

        Returns the change of ``held_bytes``, which is negative after pruning.
        """
        before = self.held_bytes
        self.records.extend(page.records)
        self.held_bytes += body_bytes
        if self.exceeds_bounds():
            self.prune()
        return self.held_bytes - before

    def exceeds_bounds(self) -> bool:
        """Tell whether the records held exceed the limits of number or size."""
        too_many = len(self.records) > PRUNE_FACTOR * self.limit
        return too_many or self.held_bytes > self.max_bytes

    def prune(self) -> None:
        """Truncate the records and copy those kept, so that reply bodies are freed."""
        self.truncate()
        self.records = [
            Record(record.id, record.rank, record.fields.copy())
            for record in self.records
        ]

    def truncate(self) -> None:
        """Sort the records and keep the first ``limit`` that fit into ``max_bytes``."""
        distinct = distinct_records(self.records)
        kept = distinct[: self.limit]
        sizes = accumulate(
            [len(memoryview(record.fields)) + len(record.id) for record in kept]
        )
        fitting = [size for size in sizes if size <= self.max_bytes]
        self.records = kept[: len(fitting)]
        self.held_bytes = fitting[-1] if fitting else 0
        self.limited = self.limited or len(fitting) < len(distinct)

    def merged(self) -> MergedRecords:
        """Return the records by rank, within the limits."""
        self.truncate()
        index = self.index
        hits = [
            Hit(index, record.id, record.rank, record.fields) for record in self.records
        ]
        return MergedRecords(tuple(hits), self.limited)


def distinct_records(records: list[Record]) -> list[Record]:
    """Sort ``records`` in place by rank and id and return one of each id."""
    records.sort(key=RECORD_ORDER)
    distinct: dict[str, Record] = {}
    for record in records:
        held = distinct.setdefault(record.id, record)
        if held is not record and precedes(record, held):
            distinct[record.id] = record
    return list(distinct.values())


def precedes(record: Record, held: Record) -> bool:
    """Tell whether ``record`` replaces ``held``, which has the same id.

    ``held`` comes earlier in the sort order, so its rank is not higher.
    """
    return record.rank == held.rank and bytes(record.fields) < bytes(held.fields)


def merge_indexes(parts: Iterable[MergedRecords], limit: int) -> MergedRecords:
    """Merge the records of several indexes; equal ids of two indexes are distinct."""
    hits: list[Hit] = []
    limited = False
    for part in parts:
        hits.extend(part.records)
        limited = limited or part.limited
    hits.sort(key=HIT_ORDER)
    return MergedRecords(tuple(hits[:limit]), limited or len(hits) > limit)


def merge(
    pages: Iterable[tuple[str, Page]], limit: int, max_bytes: int
) -> MergedRecords:
    """Merge pages that are all at hand, each given with the name of its index."""
    mergers: dict[str, Merger] = {}
    for index, page in pages:
        merger = mergers.setdefault(index, Merger(index, limit, max_bytes))
        merger.add(page, 0)
    return merge_indexes([merger.merged() for merger in mergers.values()], limit)
