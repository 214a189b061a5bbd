"""The port to the platform's key-value service."""

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

CREATE = 0  # the revision that a put expects of a key that does not exist


class Entry(NamedTuple):
    """A key with its value, as the service holds it.

    ``revision`` is the service's counter at the last change of this key. ``lease``
    is empty for a key that lasts until it is deleted.
    """

    key: str
    value: bytes
    revision: int
    lease: str


@dataclass(frozen=True)
class StoreUnavailable:
    """The service gave no usable answer.

    ``may_have_taken_effect`` is false only if the call surely changed nothing.
    """

    detail: str
    may_have_taken_effect: bool


@dataclass(frozen=True)
class Conflict:
    """The key was not at the expected revision; ``current`` is what it holds."""

    current: Entry | None


StoreFailure = StoreUnavailable | Conflict


class Store(Protocol):
    """A key-value service with compare-and-swap, leases and watches.

    No method raises for a failure of the service, and none writes twice: after a
    write that may have taken effect the caller reads back.
    """

    async def get(self, key: str) -> Result[Entry | None, StoreFailure]:
        """Read a key; None if it does not exist."""
        ...

    async def put(
        self, key: str, value: bytes, expect: int, lease: str = ""
    ) -> Result[Entry, StoreFailure]:
        """Write a key that is at revision ``expect``, ``CREATE`` if it is new."""
        ...

    async def delete(self, key: str, expect: int) -> Result[None, StoreFailure]:
        """Delete a key that is at revision ``expect``."""
        ...

    async def scan(self, prefix: str) -> Result[list[Entry], StoreFailure]:
        """Read all keys that start with ``prefix``, in the order of their keys."""
        ...

    async def watch(
        self, key: str, after: int, wait_ms: float
    ) -> Result[Entry | None, StoreFailure]:
        """Wait until the key's revision exceeds ``after``; None if it did not."""
        ...

    async def grant_lease(self, ttl_ms: float) -> Result[str, StoreFailure]:
        """Grant a lease; keys put with it vanish when it is not renewed in time."""
        ...

    async def renew_lease(self, lease: str) -> Result[None, StoreFailure]:
        """Renew a lease; ``Conflict`` if it does not exist any more."""
        ...

    async def revoke_lease(self, lease: str) -> Result[None, StoreFailure]:
        """Revoke a lease and delete its keys."""
        ...
