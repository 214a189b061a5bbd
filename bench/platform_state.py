"""The in-memory key-value store and leases of the simulated platform."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

__all__ = ["Held", "KeyValues", "Refused"]


class Held(NamedTuple):
    """A key's value with the revision of its last change."""

    key: str
    value: bytes
    revision: int
    lease: str


class Refused(NamedTuple):
    """A compare-and-swap that did not match, with the current entry."""

    current: Held | None


@dataclass
class Lease:
    """A lease and the keys that are deleted when it ends."""

    ttl_s: float
    expires_at: float
    keys: set[str] = field(default_factory=set)


class KeyValues:
    """Key-value store with compare-and-swap, a global revision counter and leases.

    Times are seconds of one monotonic clock, passed by the caller. ``changed``
    collects the keys that changed until the caller resets it.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.held: dict[str, Held] = {}
        self.leases: dict[str, Lease] = {}
        self.granted = 0
        self.changed: set[str] = set()

    def expire(self, now: float) -> None:
        """Revoke the leases that were not renewed in time."""
        expired = [
            name for name, lease in self.leases.items() if now > lease.expires_at
        ]
        for name in expired:
            self.revoke(name)

    def put(self, key: str, value: bytes, expect: int, lease: str) -> Held | Refused:
        """Write a key if its revision is ``expect``; zero if it must not exist.

        An unknown or expired lease refuses the write as well.
        """
        current = self.held.get(key)
        if expect != (current.revision if current else 0):
            return Refused(current)
        if lease and lease not in self.leases:
            return Refused(current)
        self.detach_from_lease(current)
        self.revision += 1
        written = Held(key, value, self.revision, lease)
        self.held[key] = written
        if lease:
            self.leases[lease].keys.add(key)
        self.changed.add(key)
        return written

    def delete(self, key: str, expect: int) -> Refused | None:
        """Delete a key if its revision is ``expect``."""
        current = self.held.get(key)
        if current is None or current.revision != expect:
            return Refused(current)
        self.drop(key)
        return None

    def drop(self, key: str) -> None:
        """Delete a key regardless of its revision; it must exist."""
        self.revision += 1
        self.detach_from_lease(self.held.pop(key))
        self.changed.add(key)

    def detach_from_lease(self, held: Held | None) -> None:
        """Remove a key from the lease that it was written with."""
        if held is not None and held.lease in self.leases:
            self.leases[held.lease].keys.discard(held.key)

    def scan(self, prefix: str) -> list[Held]:
        """Return the entries whose key starts with ``prefix``, sorted by key."""
        return [self.held[key] for key in sorted(self.held) if key.startswith(prefix)]

    def grant(self, ttl_s: float, now: float) -> str:
        """Grant a lease and return its name."""
        self.granted += 1
        name = f"lease-{self.granted}"
        self.leases[name] = Lease(ttl_s, now + ttl_s)
        return name

    def renew(self, name: str, now: float) -> bool:
        """Renew a lease; returns False if it has expired or was revoked."""
        lease = self.leases.get(name)
        if lease is None:
            return False
        lease.expires_at = now + lease.ttl_s
        return True

    def revoke(self, name: str) -> bool:
        """Revoke a lease and delete its keys; returns False if it does not exist."""
        lease = self.leases.pop(name, None)
        if lease is None:
            return False
        for key in sorted(lease.keys):
            self.drop(key)
        return True
