"""Which gateways follow the store for the others of their data centre."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple
from zlib import crc32

from sardinehook.gateway.fleet import GatewayRecord

__all__ = ["Reader", "ReaderRotation"]

READERS_PER_DATA_CENTRE = 3  # one may be down and one cut off from the store
AVOIDED_S = 2.0  # after a failure: a restart or a short cut is over by then


class Reader(NamedTuple):
    """A gateway that follows the store, and where it is asked for changes."""

    name: str
    address: str


class ReaderRotation:
    """Says whom to ask for changes.

    The readers of a data centre are those of its gateways with the widest links, among
    equals those with the lowest hashes, so all gateways agree on them without a
    message as soon as they know each other. Each
    of the others has one reader whose calls it lets wait, and looks in at the rest in
    turn: a reader that lags, hangs or is cut off from the store delays the news by
    one call. With no reader left to ask, a gateway reads the store itself.

    >>> records = {f"g-{n}": GatewayRecord(f"10.0.0.{n}:1", "a") for n in range(9)}
    >>> rotations = [ReaderRotation(n, record) for n, record in records.items()]
    >>> for rotation in rotations:
    ...     _ = rotation.update(records)
    >>> sum(rotation.is_reader for rotation in rotations)
    3
    """

    def __init__(self, node: str, record: GatewayRecord) -> None:
        self.node = node
        self.record = record
        self.readers: tuple[Reader, ...] = ()
        self.is_reader = True
        self.turn = 0
        self.neighbours_asked = 0
        self.avoided_until: dict[str, float] = {}

    def update(self, records: Mapping[str, GatewayRecord]) -> bool:
        """Take the gateways that are registered; tell whether the readers changed."""
        here = self.record.data_centre
        candidates = {self.node: self.record}
        for name, record in records.items():
            if record.data_centre == here and record.peer_address:
                candidates[name] = record
        ranked = sorted(
            candidates,
            key=lambda name: (-candidates[name].link_mbps, crc32(name.encode()), name),
        )
        chosen = ranked[:READERS_PER_DATA_CENTRE]
        readers = tuple(Reader(name, candidates[name].peer_address) for name in chosen)
        if readers == self.readers:
            return False
        self.is_reader = self.node in chosen
        self.readers = readers
        return True

    def usable(self, now: float) -> list[Reader]:
        """List the readers to ask, the one whose calls may wait first.

        The list is empty for a reader, and where no reader can be relied on.
        """
        if self.is_reader:
            return []
        first = crc32(self.node.encode()) % len(self.readers)
        ordered = self.readers[first:] + self.readers[:first]
        return [
            reader
            for reader in ordered
            if now >= self.avoided_until.get(reader.name, 0.0)
        ]

    def neighbour(self) -> str:
        """Return the address of another reader, each in its turn, empty if none is."""
        others = [reader for reader in self.readers if reader.name != self.node]
        if not others:
            return ""
        self.neighbours_asked += 1
        return others[self.neighbours_asked % len(others)].address

    def look_in(self, now: float) -> Reader | None:
        """Return the reader to look in at besides the first, each in its turn."""
        others = self.usable(now)[1:]
        if not others:
            return None
        self.turn += 1
        return others[self.turn % len(others)]

    def note(self, reader: Reader, good: bool, now: float) -> bool:
        """Take whether a reader can be relied on; tell whether that is news.

        One that can't is passed over for a while.
        """
        was_avoided = reader.name in self.avoided_until
        if good:
            self.avoided_until.pop(reader.name, None)
        else:
            self.avoided_until[reader.name] = now + AVOIDED_S
        return was_avoided == good
