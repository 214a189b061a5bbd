"""Cached state of the store with a log of recent changes, as sent between gateways."""

from __future__ import annotations

from collections import deque
from typing import Annotated, NamedTuple
from zlib import compress, decompressobj
from zlib import error as zlib_error

import msgspec
from msgspec import Meta
from returns.result import Failure, Result, Success

from sardinehook.decoding import DECODE_ERRORS, Number
from sardinehook.gateway.era import Position
from sardinehook.gateway.store import Changes, Item
from sardinehook.gateway.value_difference import (
    MAX_PARTS,
    ItemDifference,
    Part,
    apply_difference,
    is_large,
)

__all__ = ["StateUpdate", "WatchCache", "decode_update", "encode_update"]

MAX_LOGGED_CHANGES = (
    2000  # for gateways that lag: some minutes of changes in a busy store
)
MAX_LOGGED_BYTES = 16 * 1024 * 1024  # values may be large, as a configuration is
LOGGED_CHANGE_BYTES = 256  # memory for a change besides its key and value
PLAIN = b"m"
COMPRESSED = b"z"
COMPRESSION_THRESHOLD_BYTES = 1400  # a body that fits one packet stays plain
COMPRESSION_LEVEL = 1  # the fastest level
MAX_BODY_BYTES = 32 * 1024 * 1024  # bounds the memory for a malformed body,
MAX_ITEMS = 100_000  # which may hold many small items
MAX_DIFFERENCES = 64  # few keys have large values
MAX_BASE_BYTES = 4 * 1024 * 1024  # of values from before the log, for differences


class StateUpdate(NamedTuple):
    """The store's state or its recent changes, as one gateway sends them to another.

    ``whole`` is set if the items are a full listing instead of changes only.
    ``current`` is set if the sender reads the store itself and its last call there
    succeeded.

    ``differences`` are changes of large values, from the values that the receiver has.
    ``confirmed_s`` is how long before the call of the receiver the sender's state was
    confirmed by the store, negative if after it; ``None`` if it never was.
    """

    changes: Changes
    whole: bool
    current: bool
    differences: tuple[ItemDifference, ...] = ()
    confirmed_s: float | None = None


class WireItem(msgspec.Struct, array_like=True):
    """The wire format of ``Item``; ``value`` is ``None`` if the key was deleted."""

    key: str
    value: bytes | None
    revision: Number


class WireDifference(msgspec.Struct, array_like=True):
    """The wire format of ``ItemDifference``."""

    key: str
    revision: Number
    base_revision: Number
    base_checksum: Number
    checksum: Number
    parts: Annotated[tuple[Part, ...], Meta(max_length=MAX_PARTS)]


class WireUpdate(msgspec.Struct, array_like=True):
    """The wire format of ``StateUpdate``, without the time of the confirmation."""

    revision: Number
    whole: bool
    current: bool
    items: Annotated[list[WireItem], Meta(max_length=MAX_ITEMS)]
    differences: Annotated[list[WireDifference], Meta(max_length=MAX_DIFFERENCES)] = []
    era: Number = 0


def encode_update(update: StateUpdate) -> bytes:
    """Encode an update; bodies above the threshold are compressed.

    A configuration is large and repetitive, and many gateways request it at once.
    """
    items = [WireItem(*item) for item in update.changes.items]
    wire = WireUpdate(
        update.changes.revision,
        update.whole,
        update.current,
        items,
        [WireDifference(*difference) for difference in update.differences],
        update.changes.era,
    )
    body = msgspec.msgpack.encode(wire)
    if len(body) < COMPRESSION_THRESHOLD_BYTES:
        return PLAIN + body
    return COMPRESSED + compress(body, COMPRESSION_LEVEL)


def decode_update(body: bytes) -> Result[StateUpdate, str]:
    """Decode an update; the failure says why the body is malformed.

    >>> update = StateUpdate(Changes((Item("a", b"1", 5),), 7), True, True)
    >>> decode_update(encode_update(update)).unwrap() == update
    True
    >>> decode_update(b"x").failure()
    "malformed update of a peer: unknown encoding b'x'"
    """
    try:
        wire = msgspec.msgpack.decode(unpack(body), type=WireUpdate)
    except (*DECODE_ERRORS, zlib_error) as error:
        return Failure(f"malformed update of a peer: {error}")
    items = tuple(Item(item.key, item.value, item.revision) for item in wire.items)
    differences = tuple(map(read_difference, wire.differences))
    changes = Changes(items, wire.revision, wire.era)
    return Success(StateUpdate(changes, wire.whole, wire.current, differences))


def read_difference(wire: WireDifference) -> ItemDifference:
    """Convert a difference, whose parts are checked when it is applied."""
    return ItemDifference(
        wire.key,
        wire.revision,
        wire.base_revision,
        wire.base_checksum,
        wire.checksum,
        wire.parts,
    )


def unpack(body: bytes) -> bytes:
    """Return the content of a body, decompressed up to ``MAX_BODY_BYTES``."""
    encoding, content = body[:1], body[1:]
    if encoding == PLAIN:
        return content
    if encoding != COMPRESSED:
        raise ValueError(f"unknown encoding {encoding!r}")
    return decompressobj().decompress(content, MAX_BODY_BYTES)


class WatchCache:
    """All keys as of ``revision``, which is ``None`` before the first listing.

    All revisions are of the store's era ``era``.

    Changes after the revision ``logged_from`` are logged, so that other gateways can
    be sent these instead of a full listing.

    >>> cache = WatchCache()
    >>> cache.replace(Changes((Item("a", b"1", 3),), 5))
    >>> cache.apply(Changes((Item("a", None, 6),), 6))
    (Item(key='a', value=None, revision=6),)
    >>> cache.apply(Changes((Item("a", b"1", 6),), 6))
    ()
    >>> cache.changes_after(5)
    Changes(items=(Item(key='a', value=None, revision=6),), revision=6, era=0)
    >>> cache.changes_after(4) is None
    True
    """

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.revision: int | None = None
        self.era = 0
        self.log: deque[Item] = deque()
        self.logged_bytes = 0
        self.logged_from = 0
        # The values before the first logged change of a key, if they are large.
        self.bases: dict[str, Item] = {}

    def replace(self, listing: Changes) -> None:
        """Replace all keys with a full listing, and clear the log."""
        self.items = {item.key: item for item in listing.items}
        self.revision = self.logged_from = listing.revision
        self.era = listing.era
        self.log.clear()
        self.bases.clear()
        self.logged_bytes = 0

    def apply(self, changes: Changes) -> tuple[Item, ...]:
        """Apply the changes since ``revision``, and return those that are new.

        They are of the same era.

        Changes up to ``revision`` are known, from another gateway for example. To apply
        them again could restore a key that was deleted since.
        """
        known = self.revision or 0
        fresh = tuple(item for item in changes.items if item.revision > known)
        self.revision = max(known, changes.revision)
        for item in fresh:
            self.apply_item(item)
        return fresh

    def apply_item(self, item: Item) -> None:
        """Apply and log one change, evicting the oldest ones from a full log."""
        replaced = self.items.get(item.key)
        if replaced is not None and is_large(replaced) and item.key not in self.bases:
            self.keep_base(replaced)
        if item.value is None:
            self.items.pop(item.key, None)
        else:
            self.items[item.key] = item
        self.log.append(item)
        self.logged_bytes += size_of(item)
        while (
            len(self.log) > MAX_LOGGED_CHANGES or self.logged_bytes > MAX_LOGGED_BYTES
        ):
            evicted = self.log.popleft()
            self.logged_bytes -= size_of(evicted)
            self.logged_from = evicted.revision
            if evicted.key in self.bases:
                self.keep_base(evicted)

    def changes_after(self, revision: int) -> Changes | None:
        """Return the changes after a revision, ``None`` if the log begins later.

        Of several changes of one key, only the last is returned.
        """
        if self.revision is None or revision < self.logged_from:
            return None
        last: dict[str, Item] = {}
        for item in self.log:
            if item.revision > revision:
                last.pop(item.key, None)
                last[item.key] = item
        return Changes(tuple(last.values()), max(self.revision, revision), self.era)

    @property
    def position(self) -> Position:
        """The state of the store that is held, before all others if there is none."""
        return (
            Position(-1, -1)
            if self.revision is None
            else Position(self.era, self.revision)
        )

    def keep_base(self, item: Item) -> None:
        """Keep the value of a key at the start of the log, within the limit."""
        self.bases.pop(item.key, None)
        held = sum(len(base.value or b"") for base in self.bases.values())
        if is_large(item) and held + len(item.value or b"") <= MAX_BASE_BYTES:
            self.bases[item.key] = item

    def version_at(self, key: str, revision: int) -> Item | None:
        """Return the large value that a key had at a logged revision, if it is known.

        >>> cache = WatchCache()
        >>> value = bytes(100_000)
        >>> cache.replace(Changes((Item("a", value, 3),), 5))
        >>> _ = cache.apply(Changes((Item("a", b"1", 6),), 6))
        >>> cache.version_at("a", 5).revision, cache.version_at("a", 4)
        (3, None)
        """
        if revision < self.logged_from:
            return None
        found = self.bases.get(key)
        for item in self.log:
            if item.revision > revision:
                break
            if item.key == key:
                found = item
        # A base that was not kept, because of the limit, is followed by a later one.
        return found if found is not None and found.revision <= revision else None

    def restore(self, update: StateUpdate) -> Result[StateUpdate, str]:
        """Replace the differences in an update by the values after them.

        Fails if one of them is from a value that is not the one in this cache.
        """
        if not update.differences:
            return Success(update)
        try:
            restored = [
                apply_difference(self.items.get(difference.key), difference)
                for difference in update.differences
            ]
        except ValueError as error:
            return Failure(str(error))
        # The log is in the order of the revisions.
        items = sorted([*update.changes.items, *restored], key=lambda i: i.revision)
        changes = update.changes._replace(items=tuple(items))
        return Success(update._replace(changes=changes, differences=()))

    def listing(self) -> Changes:
        """Return a full listing."""
        return Changes(tuple(self.items.values()), self.revision or 0, self.era)


def size_of(item: Item) -> int:
    """Return about how many bytes of memory a change takes in the log."""
    return LOGGED_CHANGE_BYTES + len(item.key) + len(item.value or b"")
