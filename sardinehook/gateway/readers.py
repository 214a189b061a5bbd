"""Selection of the gateways that watch the store for their data centre."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple
from zlib import crc32

from sardinehook.gateway.fleet import GatewayRecord

__all__ = ["Reader", "ReaderSelector", "rank_readers"]

READERS_PER_DATA_CENTRE = 3  # one may be down and one cut off from the store
AVOID_AFTER_FAILURE_S = 2.0  # covers a restart or a short network interruption


class Reader(NamedTuple):
    """A gateway that watches the store, and its address for calls of its peers."""

    name: str
    address: str


def rank_readers(
    records: Mapping[str, GatewayRecord], data_centre: str, node: str = ""
) -> list[str]:
    """Return the names of a data centre's readers, the first ones for long polls.

    Gateways without an address for calls are none, except ``node`` itself.
    """
    candidates = [
        name
        for name, record in records.items()
        if record.data_centre == data_centre and (record.peer_address or name == node)
    ]
    candidates.sort(key=lambda n: (-records[n].link_mbps, crc32(n.encode()), n))
    return candidates[:READERS_PER_DATA_CENTRE]


class ReaderSelector:
    """Selects the readers of a data centre, and the one to call for changes.

    Readers are the gateways with the highest bandwidth, among equals those with the
    lowest name hashes, so that all gateways which know each other select the same ones
    without coordination. The other gateways long-poll one primary reader, of those with
    the highest bandwidth, and call the others in rotation, so that a reader that lags,
    hangs or is cut off from the store delays changes by one call only. A gateway
    without a usable reader reads the store itself.

    >>> records = {f"g-{n}": GatewayRecord(f"10.0.0.{n}:1", "a") for n in range(9)}
    >>> selectors = [ReaderSelector(n, record) for n, record in records.items()]
    >>> for selector in selectors:
    ...     _ = selector.update(records)
    >>> sum(selector.is_reader for selector in selectors)
    3
    """

    def __init__(self, node: str, record: GatewayRecord) -> None:
        self.node = node
        self.record = record
        self.readers: tuple[Reader, ...] = ()
        self.is_reader = True
        self.primary_count = 0
        self.secondary_turn = 0
        self.other_reader_turn = 0
        self.avoided_until: dict[str, float] = {}

    def update(self, records: Mapping[str, GatewayRecord]) -> bool:
        """Select from the registered gateways; return whether the readers changed."""
        here = self.record.data_centre
        candidates = {self.node: self.record}
        for name, record in records.items():
            if record.data_centre == here and record.peer_address:
                candidates[name] = record
        chosen = rank_readers(candidates, here, self.node)
        readers = tuple(Reader(name, candidates[name].peer_address) for name in chosen)
        if readers == self.readers:
            return False
        self.is_reader = self.node in chosen
        highest = candidates[chosen[0]].link_mbps
        self.primary_count = sum(
            candidates[name].link_mbps == highest for name in chosen
        )
        self.readers = readers
        return True

    def usable(self, now: float) -> list[Reader]:
        """Return the usable readers, the one for long polls first.

        The list is empty if this gateway is a reader, or if all of them failed lately.
        """
        if self.is_reader:
            return []
        primaries = self.readers[: self.primary_count]
        first = crc32(self.node.encode()) % len(primaries)
        ordered = primaries[first:] + primaries[:first]
        ordered += self.readers[self.primary_count :]
        return [
            reader
            for reader in ordered
            if now >= self.avoided_until.get(reader.name, 0.0)
        ]

    def next_other_reader(self) -> str:
        """Return the address of the next other reader in rotation, or ``""``."""
        others = [reader for reader in self.readers if reader.name != self.node]
        if not others:
            return ""
        self.other_reader_turn += 1
        return others[self.other_reader_turn % len(others)].address

    def next_secondary(self, now: float) -> Reader | None:
        """Return the next usable reader in rotation, apart from the primary one."""
        others = self.usable(now)[1:]
        if not others:
            return None
        self.secondary_turn += 1
        return others[self.secondary_turn % len(others)]

    def record_result(self, reader: Reader, healthy: bool, now: float) -> bool:
        """Record whether a reader is healthy; return whether this is a change.

        Otherwise the reader is avoided for ``AVOID_AFTER_FAILURE_S``.
        """
        was_avoided = reader.name in self.avoided_until
        if healthy:
            self.avoided_until.pop(reader.name, None)
        else:
            self.avoided_until[reader.name] = now + AVOID_AFTER_FAILURE_S
        return was_avoided == healthy
