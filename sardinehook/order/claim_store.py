"""Reads and compare-and-swaps order claims in the platform's store."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Failure, Success

from sardinehook.errors import Problem
from sardinehook.order.claim import (
    OrderClaim,
    decode_claim,
    encode_claim,
    store_key,
)
from sardinehook.store.port import (
    Conflict,
    Entry,
    Store,
    StoreUnavailable,
)

__all__ = [
    "ClaimStore",
    "NoRecord",
    "OlderState",
    "ReadResult",
    "StoredClaim",
    "SwapResult",
    "Unavailable",
    "Unreadable",
    "Written",
]

LEASE_REUSE_SECONDS = 3600.0
LEASE_MARGIN_SECONDS = 900.0
MS_PER_SECOND = 1000.0


@dataclass(frozen=True)
class Written:
    """The key holds the claim that was written."""

    revision: int


@dataclass(frozen=True)
class OlderState:
    """The key holds an earlier state of the same attempt's claim."""

    revision: int


@dataclass(frozen=True)
class StoredClaim:
    """The key holds this claim; as the result of a swap, another attempt's."""

    claim: OrderClaim
    revision: int


@dataclass(frozen=True)
class NoRecord:
    """The key does not exist."""


@dataclass(frozen=True)
class Unreadable:
    """The key holds a value that cannot be decoded as a claim."""

    problem: Problem


@dataclass(frozen=True)
class Unavailable:
    """The store did not answer; the flag tells whether a write may have happened."""

    detail: str
    may_have_taken_effect: bool


SwapResult = Written | OlderState | StoredClaim | NoRecord | Unreadable | Unavailable
ReadResult = StoredClaim | NoRecord | Unreadable | Unavailable


class ClaimStore:
    """The order claims of one environment.

    A claim is kept for at least ``retention_ms`` by a lease of the store. All
    claims written within an hour share a lease, which is never renewed.
    ``monotonic_clock`` returns seconds.
    """

    def __init__(
        self,
        store: Store,
        environment: str,
        retention_ms: float,
        monotonic_clock: Callable[[], float],
    ) -> None:
        self.store = store
        self.environment = environment
        self.retention_ms = retention_ms
        self.monotonic_clock = monotonic_clock
        self.lease = ""
        self.lease_reuse_until = float("-inf")

    async def current_lease(self) -> str | Unavailable:
        """Return the lease for writing claims; a new one is granted once an hour.

        The hour counts from before the request, so that each claim is kept for at
        least the retention time.
        """
        requested_at = self.monotonic_clock()
        if requested_at < self.lease_reuse_until:
            return self.lease
        shared_ms = (LEASE_REUSE_SECONDS + LEASE_MARGIN_SECONDS) * MS_PER_SECOND
        match await self.store.grant_lease(self.retention_ms + shared_ms):
            case Success(lease):
                self.lease = lease
                self.lease_reuse_until = requested_at + LEASE_REUSE_SECONDS
                return self.lease
            case Failure(StoreUnavailable(detail=detail)):
                return Unavailable(detail, may_have_taken_effect=False)
        return Unavailable("the store granted no lease", may_have_taken_effect=False)

    def invalidate_lease(self) -> None:
        """Make the next ``current_lease`` request a new lease."""
        self.lease_reuse_until = float("-inf")

    async def swap(self, claim: OrderClaim, expect: int, lease: str) -> SwapResult:
        """Write a claim if the key is at revision ``expect``, ``CREATE`` if new.

        A conflict with an identical claim means that an earlier try took effect
        and its reply was lost; the result is then ``Written``. So repeating a swap
        whose reply was lost reveals its outcome, even if reads may be stale.
        """
        key = store_key(self.environment, claim.key)
        value = encode_claim(claim)
        match await self.store.put(key, value, expect, lease):
            case Success(entry):
                return Written(entry.revision)
            case Failure(Conflict(current)):
                if current is None or current.revision == expect:
                    # The revision is as expected, so the conflict is a lost lease.
                    self.invalidate_lease()
                return _classify_conflict(claim, value, current)
            case Failure(StoreUnavailable(detail=detail, may_have_taken_effect=may)):
                return Unavailable(detail, may)
        raise AssertionError("unreachable")

    async def read(self, key: str) -> ReadResult:
        """Read the claim on a key; the read may be stale."""
        name = store_key(self.environment, key)
        match await self.store.get(name):
            case Success(entry):
                return decode_entry(entry)
            case Failure(StoreUnavailable(detail=detail)):
                return Unavailable(detail, may_have_taken_effect=False)
        return Unavailable("the store refused the read", may_have_taken_effect=False)

    async def confirm(self, seen: StoredClaim) -> ReadResult:
        """Return the current claim, by writing back the one that was read.

        A read may be stale, but a swap succeeds only on the current state.
        """
        lease = await self.current_lease()
        if isinstance(lease, Unavailable):
            return lease
        match await self.swap(seen.claim, seen.revision, lease):
            case Written(revision):
                return StoredClaim(seen.claim, revision)
            case OlderState():
                return await self.read(seen.claim.key)
            case other:
                return other

    async def wait_for_change(
        self, claim: OrderClaim, after: int, wait_ms: float
    ) -> ReadResult:
        """Wait for a change of the key; ``NoRecord`` if unchanged or deleted."""
        name = store_key(self.environment, claim.key)
        match await self.store.watch(name, after, wait_ms):
            case Success(entry):
                return decode_entry(entry)
            case Failure(StoreUnavailable(detail=detail)):
                return Unavailable(detail, may_have_taken_effect=False)
        return Unavailable("the store refused the watch", may_have_taken_effect=False)


def decode_entry(entry: Entry | None) -> StoredClaim | NoRecord | Unreadable:
    """Decode the claim in a store entry."""
    if entry is None:
        return NoRecord()
    match decode_claim(entry.value):
        case Success(claim):
            return StoredClaim(claim, entry.revision)
        case Failure(problem):
            return Unreadable(problem)
    raise AssertionError("unreachable")


def _classify_conflict(
    claim: OrderClaim, value: bytes, current: Entry | None
) -> Written | OlderState | StoredClaim | NoRecord | Unreadable:
    if current is not None and current.value == value:
        return Written(current.revision)
    seen = decode_entry(current)
    if isinstance(seen, StoredClaim) and seen.claim.attempt == claim.attempt:
        return OlderState(seen.revision)
    return seen
