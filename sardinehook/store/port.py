"""Port for the platform's key-value service."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple, Protocol

from returns.result import Result

__all__ = [
    "CREATE",
    "Conflict",
    "Entry",
    "Store",
    "StoreFailure",
    "StoreUnavailable",
]

CREATE = 0  # expected revision of a key that does not exist yet


class Entry(NamedTuple):
    """A key with its value.

    ``revision`` is the service's change counter at the last change of this key.
    ``lease`` is empty for a key that is not bound to a lease.
    """

    key: str
    value: bytes
    revision: int
    lease: str


@dataclass(frozen=True)
class StoreUnavailable:
    """The service gave no usable answer.

    ``may_have_taken_effect`` is false only if the call certainly changed nothing.
    """

    detail: str
    may_have_taken_effect: bool


@dataclass(frozen=True)
class Conflict:
    """The key was not at the expected revision; ``current`` is its entry, if any."""

    current: Entry | None


StoreFailure = StoreUnavailable | Conflict


class Store(Protocol):
    """A key-value service with compare-and-swap, leases and watches.

    Methods return failures of the service instead of raising them. They never retry
    a write: after one that may have taken effect, the caller has to read back.
    """

    async def get(self, key: str) -> Result[Entry | None, StoreFailure]:
        """Read a key; None if it does not exist."""
        ...

    async def put(
        self, key: str, value: bytes, expect: int, lease: str = ""
    ) -> Result[Entry, StoreFailure]:
        """Write a key if its revision is ``expect``; ``CREATE`` means it is absent."""
        ...

    async def delete(self, key: str, expect: int) -> Result[None, StoreFailure]:
        """Delete a key if its revision is ``expect``."""
        ...

    async def scan(self, prefix: str) -> Result[list[Entry], StoreFailure]:
        """Read all entries whose keys start with ``prefix``, sorted by key."""
        ...

    async def watch(
        self, key: str, after: int, wait_ms: float
    ) -> Result[Entry | None, StoreFailure]:
        """Wait up to ``wait_ms`` for a revision above ``after``; None if none came."""
        ...

    async def grant_lease(self, ttl_ms: float) -> Result[str, StoreFailure]:
        """Grant a lease; its keys are deleted if it is not renewed in ``ttl_ms``."""
        ...

    async def renew_lease(self, lease: str) -> Result[None, StoreFailure]:
        """Renew a lease; ``Conflict`` if it no longer exists."""
        ...

    async def revoke_lease(self, lease: str) -> Result[None, StoreFailure]:
        """Revoke a lease and delete its keys."""
        ...
