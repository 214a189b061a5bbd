"""What a gateway knows of the store, and the changes that led there."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple
from zlib import compress, decompressobj
from zlib import error as zlib_error

import msgspec
from returns.result import Failure, Result, Success

from sardinehook.gateway.store import Changes, Item

__all__ = ["StateUpdate", "WatchCache", "decode_update", "encode_update"]

MAX_LOGGED_CHANGES = (
    2000  # changes kept for gateways that lag: some minutes of a busy store
)
PLAIN = b"m"
COMPRESSED = b"z"
COMPRESSED_FROM = 1400  # bytes: what fits a packet is sent as it is
COMPRESSION_LEVEL = 1  # the fastest one
MAX_BODY_BYTES = 64 * 1024 * 1024  # bounds what a malformed body can take


class StateUpdate(NamedTuple):
    """What one gateway tells another.

    ``whole`` is set where the items are everything that is known, not only what has
    changed. ``current`` is set where the teller follows the store itself and has no
    reason to doubt that it hears of each change.
    """

    changes: Changes
    whole: bool
    current: bool


class WireItem(msgspec.Struct, array_like=True):
    """A key as a gateway has seen it last; without a value it was deleted."""

    key: str
    value: bytes | None
    revision: int


class WireUpdate(msgspec.Struct, array_like=True):
    """The form of ``StateUpdate`` between gateways."""

    revision: int
    whole: bool
    current: bool
    items: list[WireItem]


def encode_update(update: StateUpdate) -> bytes:
    """Encode what is told to another gateway; much of it is compressed.

    A configuration is large and repeats itself, and many gateways ask for it at once.
    """
    items = [WireItem(*item) for item in update.changes.items]
    wire = WireUpdate(update.changes.revision, update.whole, update.current, items)
    body = msgspec.msgpack.encode(wire)
    if len(body) < COMPRESSED_FROM:
        return PLAIN + body
    return COMPRESSED + compress(body, COMPRESSION_LEVEL)


def decode_update(body: bytes) -> Result[StateUpdate, str]:
    """Decode what another gateway told.

    >>> update = StateUpdate(Changes((Item("a", b"1", 5),), 7), True, True)
    >>> decode_update(encode_update(update)).unwrap() == update
    True
    >>> decode_update(b"x").failure()
    "malformed changes of a peer: unknown form b'x'"
    """
    try:
        wire = msgspec.msgpack.decode(unpack(body), type=WireUpdate)
    except (msgspec.MsgspecError, UnicodeDecodeError, ValueError, zlib_error) as error:
        return Failure(f"malformed changes of a peer: {error}")
    items = tuple(Item(item.key, item.value, item.revision) for item in wire.items)
    return Success(StateUpdate(Changes(items, wire.revision), wire.whole, wire.current))


def unpack(body: bytes) -> bytes:
    """Return the encoded changes of a body, of a bounded size."""
    form, content = body[:1], body[1:]
    if form == PLAIN:
        return content
    if form != COMPRESSED:
        raise ValueError(f"unknown form {form!r}")
    return decompressobj().decompress(content, MAX_BODY_BYTES)


class WatchCache:
    """All keys as of ``revision``, which is ``None`` before the first listing.

    The changes after the revision ``logged_from`` are kept, so that others need not
    be told everything anew.

    >>> cache = WatchCache()
    >>> cache.replace(Changes((Item("a", b"1", 3),), 5))
    >>> cache.apply(Changes((Item("a", None, 6),), 6))
    >>> cache.changes_after(5)
    Changes(items=(Item(key='a', value=None, revision=6),), revision=6)
    >>> cache.changes_after(4) is None
    True
    """

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.revision: int | None = None
        self.log: deque[Item] = deque()
        self.logged_from = 0

    def replace(self, listing: Changes) -> None:
        """Take a listing of everything."""
        self.items = {item.key: item for item in listing.items}
        self.revision = self.logged_from = listing.revision
        self.log.clear()

    def apply(self, changes: Changes) -> None:
        """Take the changes since the revision that is known."""
        self.revision = max(self.revision or 0, changes.revision)
        for item in changes.items:
            self.note(item)

    def note(self, item: Item) -> None:
        """Take one change."""
        if item.value is None:
            self.items.pop(item.key, None)
        else:
            self.items[item.key] = item
        self.log.append(item)
        if len(self.log) > MAX_LOGGED_CHANGES:
            self.logged_from = self.log.popleft().revision

    def changes_after(self, revision: int) -> Changes | None:
        """Return what came after a revision, ``None`` if that is not known any more.

        Of a key that changed several times only the last change is told.
        """
        if self.revision is None or revision < self.logged_from:
            return None
        last: dict[str, Item] = {}
        for item in self.log:
            if item.revision > revision:
                last.pop(item.key, None)
                last[item.key] = item
        return Changes(tuple(last.values()), max(self.revision, revision))

    def everything(self) -> Changes:
        """Return all items as a listing."""
        return Changes(tuple(self.items.values()), self.revision or 0)
