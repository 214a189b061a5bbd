"""The port to the platform's store as the gateway uses it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple, Protocol

from returns.result import Result

from sardinehook.store.port import StoreUnavailable

__all__ = [
    "Changes",
    "GatewayStore",
    "HistoryGone",
    "Item",
    "LeaseGone",
    "StoreProblem",
]


class Item(NamedTuple):
    """A key with its value, or without one if it was deleted."""

    key: str
    value: bytes | None
    revision: int


class Changes(NamedTuple):
    """Items as of the store's revision ``revision``."""

    items: tuple[Item, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class HistoryGone:
    """The store no longer has the changes after the revision named."""


@dataclass(frozen=True, slots=True)
class LeaseGone:
    """The lease does not exist any more."""


StoreProblem = StoreUnavailable | HistoryGone | LeaseGone


class GatewayStore(Protocol):
    """A key-value service with watches and leases. No method raises or repeats."""

    async def read_all(self, prefix: str) -> Result[Changes, StoreProblem]:
        """Read all keys that begin with ``prefix``, as of the first page."""
        ...

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> Result[Changes, StoreProblem]:
        """Wait for changes after a revision; none come if ``wait_s`` passes first."""
        ...

    async def put(
        self, key: str, value: bytes, lease: int
    ) -> Result[int, StoreProblem]:
        """Write a key that lasts as long as ``lease``; returns its revision."""
        ...

    async def grant_lease(self, ttl_s: float) -> Result[int, StoreProblem]:
        """Return a new lease."""
        ...

    async def renew_lease(self, lease: int) -> Result[None, StoreProblem]:
        """Renew a lease."""
        ...

    async def end_lease(self, lease: int) -> Result[None, StoreProblem]:
        """End a lease, which deletes its keys."""
        ...

    def drop_connections(self) -> None:
        """Close all connections; calls that wait fail."""
        ...
