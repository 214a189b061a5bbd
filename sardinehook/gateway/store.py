"""Interface to the platform's key-value store, as far as a gateway uses it."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from returns.result import Result

from sardinehook.store.port import StoreUnavailable

__all__ = [
    "Changes",
    "Conflict",
    "GatewayStore",
    "HistoryGone",
    "Item",
    "LeaseGone",
    "StoreProblem",
    "Write",
]


class Item(NamedTuple):
    """A key and its value at a revision; ``value`` is ``None`` if it was deleted."""

    key: str
    value: bytes | None
    revision: int


class Changes(NamedTuple):
    """A listing or a batch of changes, valid as of the store revision ``revision``.

    All revisions are of the era ``era``, 0 if the store states none.
    """

    items: tuple[Item, ...]
    revision: int
    era: int = 0


@dataclass(frozen=True, slots=True)
class HistoryGone:
    """The store has discarded changes after the requested revision; list again."""


@dataclass(frozen=True, slots=True)
class LeaseGone:
    """The lease has expired or was revoked."""


@dataclass(frozen=True, slots=True)
class Conflict:
    """A key of a conditional write was not at its expected revision.

    ``items`` are the current items of these keys; a key that does not exist has none.
    """

    items: tuple[Item, ...]


class Write(NamedTuple):
    """A key to write, if it is still at a revision; 0 if it must not exist yet."""

    key: str
    value: bytes
    expected_revision: int


StoreProblem = StoreUnavailable | HistoryGone | LeaseGone


class GatewayStore(Protocol):
    """A key-value store with watches and leases.

    Methods return failures instead of raising, and do not retry. ``on_era`` is called
    with the era that an answer states, 0 if it states none, before the result of the
    call is returned.
    """

    on_era: Callable[[int], object]

    async def read_all(self, prefix: str) -> Result[Changes, StoreProblem]:
        """List the keys that begin with ``prefix``, as of the first page."""
        ...

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> Result[Changes, StoreProblem]:
        """Wait for changes after a revision; returns none after ``wait_s``."""
        ...

    async def put(
        self, key: str, value: bytes, lease: int
    ) -> Result[int, StoreProblem]:
        """Write a key that is deleted when ``lease`` ends; returns its revision."""
        ...

    async def write_if(
        self, writes: Sequence[Write]
    ) -> Result[int, StoreProblem | Conflict]:
        """Write all keys without a lease, or none if one has another revision.

        After ``StoreUnavailable``, the write may have been executed, or may be executed
        seconds later if its condition still holds.
        """
        ...

    async def grant_lease(self, ttl_s: float) -> Result[int, StoreProblem]:
        """Grant a lease that expires without renewal in ``ttl_s``; returns its id."""
        ...

    async def renew_lease(self, lease: int) -> Result[None, StoreProblem]:
        """Renew a lease; fails with ``LeaseGone`` if it has ended."""
        ...

    async def end_lease(self, lease: int) -> Result[None, StoreProblem]:
        """Revoke a lease, which deletes the keys written under it."""
        ...

    def drop_connections(self) -> None:
        """Close all connections; pending calls fail."""
        ...
