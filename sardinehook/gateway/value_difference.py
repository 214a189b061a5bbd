"""Differences between two versions of a large value, as gateways send them."""

from __future__ import annotations

from typing import NamedTuple
from zlib import crc32

from sardinehook.gateway.store import Item

__all__ = [
    "LARGE_VALUE_BYTES",
    "MAX_PARTS",
    "ItemDifference",
    "Part",
    "apply_difference",
    "compare_items",
    "is_large",
]

LARGE_VALUE_BYTES = 32 * 1024  # smaller ones are sent whole, in a few packets
BLOCK_BYTES = 256  # unit in which equal parts of two versions are found
# Bounds on the comparison, about 20 ms of processor time at most. A version with more
# changes is sent whole.
MAX_COMPARED_BYTES = 32 * 1024
MAX_PARTS = 512
MAX_VALUE_BYTES = 32 * 1024 * 1024  # bounds the memory for a malformed difference

Part = bytes | tuple[int, int]


class ItemDifference(NamedTuple):
    """A change of a key, as the difference from the value at an earlier revision.

    ``parts`` are new bytes, and the offset and length of bytes to copy from the base.
    ``base_checksum`` and ``checksum`` are of the values before and after the change.
    """

    key: str
    revision: int
    base_revision: int
    base_checksum: int
    checksum: int
    parts: tuple[Part, ...]


def is_large(item: Item | None) -> bool:
    """Return whether a change has a value that is worth a comparison."""
    return item is not None and len(item.value or b"") >= LARGE_VALUE_BYTES


def compare_items(base: Item, item: Item) -> ItemDifference | None:
    """Return the difference between two versions of a key, ``None`` if it is large."""
    if base.value is None or item.value is None:
        return None
    parts = compare_values(base.value, item.value)
    if parts is None:
        return None
    return ItemDifference(
        item.key,
        item.revision,
        base.revision,
        crc32(base.value),
        crc32(item.value),
        parts,
    )


def apply_difference(base: Item | None, difference: ItemDifference) -> Item:
    """Return the changed item; raises ``ValueError`` if ``base`` is another version.

    >>> base = Item("k", b" ".join(b"%d" % n for n in range(1000, 2000)), 3)
    >>> item = Item("k", base.value.replace(b"1200", b"one"), 5)
    >>> difference = compare_items(base, item)
    >>> difference.parts
    ((0, 1000), b'one', (1004, 3995))
    >>> apply_difference(base, difference) == item
    True
    """
    if base is None or base.value is None or base.revision != difference.base_revision:
        raise ValueError(f"no value of {difference.key} at the revision of the base")
    if crc32(base.value) != difference.base_checksum:
        raise ValueError(f"another value of {difference.key} at the same revision")
    value = join_parts(base.value, difference.parts)
    if crc32(value) != difference.checksum:
        raise ValueError(f"wrong checksum of {difference.key}")
    return Item(difference.key, value, difference.revision)


def join_parts(base: bytes, parts: tuple[Part, ...]) -> bytes:
    """Return the value that parts describe; raises ``ValueError`` if it is too large.

    >>> join_parts(b"abc", ((1, 2), b"x"))
    b'bcx'
    """
    lengths = [part[1] if isinstance(part, tuple) else len(part) for part in parts]
    if sum(lengths) > MAX_VALUE_BYTES:
        raise ValueError(f"value of more than {MAX_VALUE_BYTES} bytes")
    if any(min(part) < 0 for part in parts if isinstance(part, tuple)):
        raise ValueError("negative offset or length")
    return b"".join(
        base[part[0] : part[0] + part[1]] if isinstance(part, tuple) else part
        for part in parts
    )


def compare_values(base: bytes, value: bytes) -> tuple[Part, ...] | None:
    """Return the parts of which ``value`` consists, ``None`` if too much is new.

    Bytes are copied from the base up to the first change. After a change, the next
    block of the base that the value contains is looked for, whatever the lengths of
    what was replaced. So a version number at the start of a document and a key in its
    middle are two small changes.
    """
    offsets: dict[bytes, int] = {}
    for offset in range(0, len(base) - BLOCK_BYTES + 1, BLOCK_BYTES):
        offsets.setdefault(base[offset : offset + BLOCK_BYTES], offset)
    position = shared_length(base, 0, value, 0)
    parts: list[Part] = [(0, position)] if position else []
    budget = MAX_COMPARED_BYTES
    while position < len(value):
        start = position
        end = min(len(value), start + budget)
        found = None
        while found is None and position < end:
            found = offsets.get(value[position : position + BLOCK_BYTES])
            position += found is None
        budget -= position - start
        if (found is None and position < len(value)) or len(parts) > MAX_PARTS - 2:
            return None
        source = len(base) if found is None else found
        before = shared_end(base, source, value, position, position - start)
        if start < position - before:
            parts.append(value[start : position - before])
        length = before + shared_length(base, source, value, position)
        if length:
            parts.append((source - before, length))
        position += length - before
    return tuple(parts)


def shared_length(base: bytes, offset: int, value: bytes, position: int) -> int:
    """Return how many bytes of the base from ``offset`` on stand at ``position`` too.

    >>> shared_length(b"abcd", 1, b"xxbcx", 2)
    2
    """
    limit = min(len(base) - offset, len(value) - position)
    length, size = 0, BLOCK_BYTES
    while length < limit and size:
        size = min(size, limit - length)
        first, second = offset + length, position + length
        if base[first : first + size] == value[second : second + size]:
            length += size
            size *= 2
        else:
            size //= 2
    return length


def shared_end(
    base: bytes, offset: int, value: bytes, position: int, limit: int
) -> int:
    """Return how many bytes before ``offset`` stand before ``position`` too.

    >>> shared_end(b"abcd", 3, b"xbcx", 3, 3)
    2
    """
    length = 0
    while (
        length < min(limit, offset)
        and base[offset - length - 1] == value[position - length - 1]
    ):
        length += 1
    return length
