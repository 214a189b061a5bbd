"""Splits shard replies into records and merges the top records."""

from __future__ import annotations

from collections.abc import Iterable
from heapq import nlargest

__all__ = ["merge_records", "split_records"]

RECORD_BYTES = 16
MAX_SORTED_BYTES = 64 * 1024  # of a body; a record of its own takes 72 bytes


def split_records(body: bytes, limit: int) -> list[bytes]:
    """Return the ``limit`` greatest records of a body in descending order.

    Trailing bytes that don't fill a record are dropped.

    >>> split_records(b"a" * 16 + b"b" * 16 + b"c", 1)
    [b'bbbbbbbbbbbbbbbb']
    """
    last = len(body) - RECORD_BYTES + 1
    if last > MAX_SORTED_BYTES:
        offsets = range(0, last, RECORD_BYTES)
        return nlargest(limit, (body[n : n + RECORD_BYTES] for n in offsets))
    records = [
        body[offset : offset + RECORD_BYTES] for offset in range(0, last, RECORD_BYTES)
    ]
    records.sort(reverse=True)
    return records[:limit]


def merge_records(shards: Iterable[list[bytes]], limit: int) -> bytes:
    """Return the ``limit`` greatest records of all shards; duplicates are kept.

    >>> merge_records([[b"a" * 16], [b"b" * 16, b"a" * 16]], 2)
    b'bbbbbbbbbbbbbbbbaaaaaaaaaaaaaaaa'
    """
    records = [record for shard in shards for record in shard]
    records.sort(reverse=True)
    return b"".join(records[:limit])
