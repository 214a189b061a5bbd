"""Reads and compare-and-swaps of order records in the platform's service."""

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
    "Behind",
    "ClaimStore",
    "Gone",
    "Other",
    "Seen",
    "Swap",
    "Unavailable",
    "Unreadable",
    "Written",
]

LEASE_SHARED_SECONDS = 3600.0
LEASE_MARGIN_SECONDS = 900.0
MS_PER_SECOND = 1000.0


@dataclass(frozen=True)
class Written:
    """The key holds the claim that was to be written."""

    revision: int


@dataclass(frozen=True)
class Behind:
    """The key holds an earlier state of the same attempt's claim."""

    revision: int


@dataclass(frozen=True)
class Other:
    """The key is held by another attempt."""

    claim: OrderClaim
    revision: int


@dataclass(frozen=True)
class Gone:
    """The key does not exist."""


@dataclass(frozen=True)
class Unreadable:
    """The key holds something that is no claim."""

    problem: Problem


@dataclass(frozen=True)
class Unavailable:
    """The service did not answer; the write may have taken effect if so marked."""

    detail: str
    may_have_taken_effect: bool


Swap = Written | Behind | Other | Gone | Unreadable | Unavailable
Seen = Other | Gone | Unreadable | Unavailable


class ClaimStore:
    """The order records of one environment.

    Records last for ``retention_ms`` by leases of the service, each shared by the
    claims of an hour and never renewed. ``seconds`` is a monotonic clock.
    """

    def __init__(
        self,
        store: Store,
        environment: str,
        retention_ms: float,
        seconds: Callable[[], float],
    ) -> None:
        self.store = store
        self.environment = environment
        self.retention_ms = retention_ms
        self.seconds = seconds
        self.lease = ""
        self.lease_shared_until = float("-inf")

    async def current_lease(self) -> str | Unavailable:
        """Return the lease to put claims with, granted anew once an hour.

        Its time is counted from before the request, so that each record lasts
        for the retention time at least.
        """
        asked_at = self.seconds()
        if asked_at < self.lease_shared_until:
            return self.lease
        shared_ms = (LEASE_SHARED_SECONDS + LEASE_MARGIN_SECONDS) * MS_PER_SECOND
        match await self.store.grant_lease(self.retention_ms + shared_ms):
            case Success(lease):
                self.lease = lease
                self.lease_shared_until = asked_at + LEASE_SHARED_SECONDS
                return self.lease
            case Failure(StoreUnavailable(detail=detail)):
                return Unavailable(detail, may_have_taken_effect=False)
        return Unavailable("no lease was granted", may_have_taken_effect=False)

    def forget_lease(self) -> None:
        """Grant another lease for the next claim."""
        self.lease_shared_until = float("-inf")

    async def swap(self, claim: OrderClaim, expect: int, lease: str) -> Swap:
        """Write a claim over revision ``expect``, ``CREATE`` if the key is new.

        A conflict with the very claim that was to be written means that an
        earlier try took effect though its reply was lost: that is ``Written``.
        So repeating a swap whose reply was lost settles what became of it, also
        where reads may be stale.
        """
        key = store_key(self.environment, claim.key)
        value = encode_claim(claim)
        match await self.store.put(key, value, expect, lease):
            case Success(entry):
                return Written(entry.revision)
            case Failure(Conflict(current)):
                if current is None or current.revision == expect:
                    self.forget_lease()  # only a lost lease refuses what is expected
                return _judge_conflict(claim, value, current)
            case Failure(StoreUnavailable(detail=detail, may_have_taken_effect=may)):
                return Unavailable(detail, may)
        raise AssertionError("unreachable")

    async def read(self, key: str) -> Seen:
        """Read a key's record, which may be an older state of it."""
        name = store_key(self.environment, key)
        match await self.store.get(name):
            case Success(entry):
                return judge_entry(entry)
            case Failure(StoreUnavailable(detail=detail)):
                return Unavailable(detail, may_have_taken_effect=False)
        return Unavailable("the read was refused", may_have_taken_effect=False)

    async def confirm(self, seen: Other) -> Seen:
        """Return the record as it is now, by rewriting what was read.

        A read may be stale, but a swap succeeds on the present state only.
        """
        lease = await self.current_lease()
        if isinstance(lease, Unavailable):
            return lease
        match await self.swap(seen.claim, seen.revision, lease):
            case Written(revision):
                return Other(seen.claim, revision)
            case Behind():
                return await self.read(seen.claim.key)
            case other:
                return other

    async def await_change(self, claim: OrderClaim, after: int, wait_ms: float) -> Seen:
        """Wait until a key has changed; ``Gone`` if it has not or is gone."""
        name = store_key(self.environment, claim.key)
        match await self.store.watch(name, after, wait_ms):
            case Success(entry):
                return judge_entry(entry)
            case Failure(StoreUnavailable(detail=detail)):
                return Unavailable(detail, may_have_taken_effect=False)
        return Unavailable("the watch was refused", may_have_taken_effect=False)


def judge_entry(entry: Entry | None) -> Other | Gone | Unreadable:
    """Decode what a key holds."""
    if entry is None:
        return Gone()
    match decode_claim(entry.value):
        case Success(claim):
            return Other(claim, entry.revision)
        case Failure(problem):
            return Unreadable(problem)
    raise AssertionError("unreachable")


def _judge_conflict(
    claim: OrderClaim, value: bytes, current: Entry | None
) -> Written | Behind | Other | Gone | Unreadable:
    if current is not None and current.value == value:
        return Written(current.revision)
    seen = judge_entry(current)
    if isinstance(seen, Other) and seen.claim.attempt == claim.attempt:
        return Behind(seen.revision)
    return seen
