"""What stays in force although an older copy of the store says otherwise."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from returns.result import Success

from sardinehook.gateway.fleet import GATEWAY_PREFIX
from sardinehook.gateway.interfaces import ReplicaEntry, StoreSchema
from sardinehook.gateway.store import Item

__all__ = ["EVACUATION_RETENTION_S", "RECORD_RETENTION_S", "RetainedState"]

# Replicas and gateways write their entries again within seconds, once their lease or
# their entry turns out to be lost.
RECORD_RETENTION_S = 10.0
# An operator may have to repeat an evacuation, or the order for a rollout. One lifted
# while the store was not listed is held for as long, and its replicas are missed.
EVACUATION_RETENTION_S = 15.0
MAX_REMOVED = 1000  # keys whose last value before their removal is remembered


class RetainedState:
    """Decides which keys of a listing from an older copy count.

    ``in_force`` has what holds against the copy: the item from before, or ``None`` for
    a key that had been removed and is back in the copy. ``until`` tells when the copy
    counts, unless the operator or the replica has written the key in the meantime. A
    value that is older than a later write of the same process never counts. ``earlier``
    has the values in the copy that do not count.
    """

    def __init__(self, schema: StoreSchema) -> None:
        self.schema = schema
        self.order_prefixes = (schema.evacuation_prefix, schema.rollout_prefix)
        self.in_force: dict[str, Item | None] = {}
        self.until: dict[str, float] = {}
        self.earlier: dict[str, Item] = {}
        self.removed: dict[str, Item] = {}

    def record_removal(self, known: Item | None) -> None:
        """Remember the last value of a key that is removed."""
        if known is not None and self.is_withdrawal(known):
            self.removed.pop(known.key, None)
            self.removed[known.key] = known
            if len(self.removed) > MAX_REMOVED:
                del self.removed[next(iter(self.removed))]

    def is_withdrawal(self, item: Item) -> bool:
        """Return whether the return of this value would withdraw or restore a replica.

        These are the operators' orders, and entries of replicas that were draining. Any
        other entry does no harm: its replica is tried, and found to be gone or alive.
        """
        if item.key.startswith(self.order_prefixes):
            return True
        entry = self.read_entry(item)
        return entry is not None and entry.draining

    def read_entry(self, item: Item) -> ReplicaEntry | None:
        """Return the entry of a replica, ``None`` for any other or malformed item."""
        prefix = self.schema.replica_prefix
        if not item.key.startswith(prefix) or item.value is None:
            return None
        read = self.schema.read_replica(item.key[len(prefix) :], item.value)
        return read.unwrap() if isinstance(read, Success) else None

    def compare(
        self, known: Mapping[str, Item], listed: Iterable[Item], now: float
    ) -> None:
        """Decide by the items known before, when an older copy was listed.

        What held against the copy before that one holds on.
        """
        before: dict[str, Item | None] = {**known, **self.in_force}
        self.in_force, self.until, self.earlier = {}, {}, {}
        by_key = {item.key: item for item in listed}
        for key in before.keys() - by_key.keys():
            item, retention_s = before[key], self.retention_s(key)
            if item is not None and retention_s:
                self.in_force[key] = item
                self.until[key] = now + retention_s
        for key, item in by_key.items():
            held = before.get(key)
            if held is not None:
                if self.is_earlier_write(item, held):
                    self.in_force[key] = held
                    self.earlier[key] = item
            elif self.is_removed(item):
                self.in_force[key] = None
                self.until[key] = now + self.retention_s(key)
                self.earlier[key] = item

    def compare_again(self, listed: Iterable[Item]) -> None:
        """Release the keys of which a later listing has another value."""
        for item in listed:
            if item.key in self.in_force and self.earlier.get(item.key) != item:
                self.release(item)

    def retention_s(self, key: str) -> float:
        """Return for how long a key that the copy lacks is believed, 0 for others."""
        if key.startswith(self.order_prefixes):
            return EVACUATION_RETENTION_S
        if key.startswith((self.schema.replica_prefix, GATEWAY_PREFIX)):
            return RECORD_RETENTION_S
        return 0.0

    def is_removed(self, listed: Item) -> bool:
        """Return whether a listed item is one that was removed since the copy."""
        removed = self.removed.get(listed.key)
        if removed is None:
            return False
        same = (removed.value, removed.revision) == (listed.value, listed.revision)
        return same or self.is_earlier_write(listed, removed)

    def is_earlier_write(self, listed: Item, known: Item) -> bool:
        """Return whether a replica wrote ``listed`` before ``known``."""
        if listed.value == known.value:
            return False
        first, second = self.read_entry(listed), self.read_entry(known)
        if first is None or second is None:
            return False
        return (first.started_ms, first.sequence) < (
            second.started_ms,
            second.sequence,
        )

    def keys(self) -> list[str]:
        """Return the keys whose state in force is another one than the store's."""
        return sorted(self.in_force)

    def release(self, item: Item) -> None:
        """Record that a key was written or removed in the present era."""
        self.forget(item.key)
        if item.value is not None:
            self.removed.pop(item.key, None)

    def forget(self, key: str) -> None:
        """Let the store's word count for a key."""
        self.in_force.pop(key, None)
        self.until.pop(key, None)
        self.earlier.pop(key, None)

    def take_expired(self, now: float) -> list[str]:
        """Return the keys for which the copy counts from now on."""
        expired = sorted(key for key, until in self.until.items() if now >= until)
        for key in expired:
            self.forget(key)
            self.removed.pop(key, None)
        return expired

    def with_retained(self, names: Iterable[str]) -> list[str]:
        """Return the names of keys in a listing as they are in force.

        Those that were removed are left out, and those that are retained are added.
        """
        removed = {key for key, item in self.in_force.items() if item is None}
        return sorted((set(names) | self.in_force.keys()) - removed)
