"""Parsing of targets' replies and their merge into one ranked list."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from sardinehook.query.coverage import MissingReason

__all__ = ["Hit", "Merged", "Merger", "Page", "Record", "merge", "parse_page"]

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


def record_order(hit: Hit) -> tuple[float, str, str, bytes]:
    """Order by rank (lowest first), then id, index and content."""
    return (hit.rank, hit.id, hit.index, bytes(hit.fields))


class Merger:
    """Collects the records of one query in bounded memory.

    The lowest rank comes first. A record is kept once for each identity (index and
    id). When services of one snapshot send different content for one identity, the
    copy of the lowest rank stays, and on equal ranks the one whose content is first
    in byte order, so the choice doesn't depend on the order of the replies.

    No more than about ``PRUNE_FACTOR`` times ``limit`` records or ``most_bytes`` are
    held between two calls; what can't be in the answer is dropped on the way.
    """

    def __init__(self, limit: int, most_bytes: int) -> None:
        self.limit = limit
        self.most_bytes = most_bytes
        self.hits: list[Hit] = []
        self.held_bytes = 0
        self.limited = False

    def add(self, index: str, page: Page, body_bytes: int) -> None:
        """Take in the records of one page that took ``body_bytes`` on the wire."""
        self.hits.extend(
            Hit(index, record.id, record.rank, record.fields) for record in page.records
        )
        self.held_bytes += body_bytes
        if self.must_prune():
            self.prune()

    def must_prune(self) -> bool:
        """Tell whether more is held than the bounds allow."""
        too_many = len(self.hits) > PRUNE_FACTOR * self.limit
        return too_many or self.held_bytes > self.most_bytes

    def prune(self) -> None:
        """Keep the first ``limit`` records that fit, in copies of their own."""
        kept: list[Hit] = []
        held_bytes = 0
        distinct = distinct_hits(self.hits)
        for hit in distinct[: self.limit]:
            held_bytes += len(bytes(hit.fields)) + len(hit.id)
            if held_bytes > self.most_bytes:
                break
            kept.append(Hit(hit.index, hit.id, hit.rank, hit.fields.copy()))
        self.limited = self.limited or len(kept) < len(distinct)
        self.hits = kept
        self.held_bytes = sum(len(bytes(hit.fields)) + len(hit.id) for hit in kept)

    def merged(self) -> Merged:
        """Return the records in order."""
        self.prune()
        return Merged(tuple(self.hits), self.limited)


def distinct_hits(hits: Iterable[Hit]) -> list[Hit]:
    """Sort ``hits`` and keep the first of each identity."""
    seen: set[tuple[str, str]] = set()
    distinct: list[Hit] = []
    for hit in sorted(hits, key=record_order):
        identity = (hit.index, hit.id)
        if identity not in seen:
            seen.add(identity)
            distinct.append(hit)
    return distinct


def merge(pages: Iterable[tuple[str, Page]], limit: int, most_bytes: int) -> Merged:
    """Merge pages, each with the name of its index, in one go."""
    merger = Merger(limit, most_bytes)
    for index, page in pages:
        merger.add(index, page, 0)
    return merger.merged()
