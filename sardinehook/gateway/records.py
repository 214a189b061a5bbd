"""Records of shards and their merge."""

from __future__ import annotations

from collections.abc import Iterable

__all__ = ["merge_records", "split_records"]

RECORD_BYTES = 16


def split_records(body: bytes, most: int) -> list[bytes]:
    """Return the greatest ``most`` records of a body, the greatest first.

    A remainder that is shorter than a record is dropped.

    >>> split_records(b"a" * 16 + b"b" * 16 + b"c", 1)
    [b'bbbbbbbbbbbbbbbb']
    """
    last = len(body) - RECORD_BYTES + 1
    records = [body[at : at + RECORD_BYTES] for at in range(0, last, RECORD_BYTES)]
    records.sort(reverse=True)
    return records[:most]


def merge_records(parts: Iterable[list[bytes]], most: int) -> bytes:
    """Return the greatest ``most`` records of all parts; equal ones all count.

    >>> merge_records([[b"a" * 16], [b"b" * 16, b"a" * 16]], 2)
    b'bbbbbbbbbbbbbbbbaaaaaaaaaaaaaaaa'
    """
    records = [record for part in parts for record in part]
    records.sort(reverse=True)
    return b"".join(records[:most])
