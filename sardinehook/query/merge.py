"""Parsing of targets' replies and their merge into one ranked list."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import accumulate
from operator import attrgetter
from typing import NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from sardinehook.query.coverage import MissingReason

__all__ = [
    "Hit",
    "Merged",
    "Merger",
    "Page",
    "Record",
    "merge",
    "merge_indexes",
    "parse_page",
]

PRUNE_FACTOR = 4


class Record(msgspec.Struct, frozen=True, gc=False):
    """One record as a target sent it; ``fields`` is passed on unread.

    It is a ``msgspec.Struct`` because named tuples decode from JSON arrays only.
    """

    id: str
    rank: float
    fields: msgspec.Raw


class Page(msgspec.Struct, frozen=True, gc=False):
    """The whole reply of one target."""

    records: list[Record]
    truncated: bool


class Hit(msgspec.Struct, frozen=True, gc=False):
    """A record of an answer. Its identity is ``index`` and ``id`` together."""

    index: str
    id: str
    rank: float
    fields: msgspec.Raw


class Merged(NamedTuple):
    """Records in order, and whether a bound cut some off."""

    records: tuple[Hit, ...]
    limited: bool


RECORD_ORDER = attrgetter("rank", "id")
HIT_ORDER = attrgetter("rank", "id", "index")
PAGE_DECODER = msgspec.json.Decoder(Page)


def parse_page(body: bytes) -> Result[Page, MissingReason]:
    """Decode a target's reply.

    A body that isn't a page fails as ``GARBLED`` and a page that its target cut short
    as ``TRUNCATED``; neither may be counted as an answer.

    >>> parse_page(b'{"records":[],"truncated":false}').unwrap().records
    []
    >>> parse_page(b'{"records":[],"truncated":true}').failure().value
    'truncated'
    """
    try:
        page = PAGE_DECODER.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return Failure(MissingReason.GARBLED)
    if page.truncated:
        return Failure(MissingReason.TRUNCATED)
    return Success(page)


class Merger:
    """Collects the records of one index in bounded memory.

    The lowest rank comes first. A record is kept once for each id. When services of
    one snapshot send different content for one id, the copy of the lowest rank stays,
    and on equal ranks the one whose content is first in byte order, so the choice
    doesn't depend on the order of the replies.

    No more than about ``PRUNE_FACTOR`` times ``limit`` records or ``max_bytes`` are
    held between two calls; what can't be in the answer is dropped on the way.
    """

    def __init__(self, index: str, limit: int, max_bytes: int) -> None:
        self.index = index
        self.limit = limit
        self.max_bytes = max_bytes
        self.records: list[Record] = []
        self.held_bytes = 0
        self.limited = False

    def add(self, page: Page, body_bytes: int) -> int:
        """Take in a page that took ``body_bytes`` on the wire.

        Returns by how many bytes that changed what is held.
        """
        before = self.held_bytes
        self.records.extend(page.records)
        self.held_bytes += body_bytes
        if self.must_prune():
            self.prune()
        return self.held_bytes - before

    def must_prune(self) -> bool:
        """Tell whether more is held than the bounds allow."""
        too_many = len(self.records) > PRUNE_FACTOR * self.limit
        return too_many or self.held_bytes > self.max_bytes

    def prune(self) -> None:
        """Keep the first records only, in copies that free the replies they are of."""
        self.cut()
        self.records = [
            Record(record.id, record.rank, record.fields.copy())
            for record in self.records
        ]

    def cut(self) -> None:
        """Keep the first ``limit`` records that fit, in order."""
        distinct = distinct_records(self.records)
        kept = distinct[: self.limit]
        sizes = accumulate(
            [len(memoryview(record.fields)) + len(record.id) for record in kept]
        )
        fitting = [size for size in sizes if size <= self.max_bytes]
        self.records = kept[: len(fitting)]
        self.held_bytes = fitting[-1] if fitting else 0
        self.limited = self.limited or len(fitting) < len(distinct)

    def merged(self) -> Merged:
        """Return the records in order."""
        self.cut()
        index = self.index
        hits = [
            Hit(index, record.id, record.rank, record.fields) for record in self.records
        ]
        return Merged(tuple(hits), self.limited)


def distinct_records(records: list[Record]) -> list[Record]:
    """Sort ``records`` by rank and id, and keep one of each id."""
    records.sort(key=RECORD_ORDER)
    distinct: dict[str, Record] = {}
    for record in records:
        held = distinct.setdefault(record.id, record)
        if held is not record and goes_before(record, held):
            distinct[record.id] = record
    return list(distinct.values())


def goes_before(record: Record, held: Record) -> bool:
    """Tell whether ``record`` stays in place of one with its id and no higher rank."""
    return record.rank == held.rank and bytes(record.fields) < bytes(held.fields)


def merge_indexes(parts: Iterable[Merged], limit: int) -> Merged:
    """Merge the records of several indexes, whose ids have nothing in common."""
    hits: list[Hit] = []
    limited = False
    for part in parts:
        hits.extend(part.records)
        limited = limited or part.limited
    hits.sort(key=HIT_ORDER)
    return Merged(tuple(hits[:limit]), limited or len(hits) > limit)


def merge(pages: Iterable[tuple[str, Page]], limit: int, max_bytes: int) -> Merged:
    """Merge pages, each with the name of its index, in one go."""
    mergers: dict[str, Merger] = {}
    for index, page in pages:
        merger = mergers.setdefault(index, Merger(index, limit, max_bytes))
        merger.add(page, 0)
    return merge_indexes([merger.merged() for merger in mergers.values()], limit)
