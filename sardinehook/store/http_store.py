"""HTTP adapter for the platform's key-value service."""

from __future__ import annotations

from typing import TypedDict, TypeVar
from urllib.parse import quote

import msgspec
from returns.result import Failure, Result, Success
from twisted.internet.defer import Deferred

from sardinehook.decoding import DECODE_ERRORS
from sardinehook.store.http_client import HttpClient, HttpReply
from sardinehook.store.port import (
    Conflict,
    Entry,
    StoreFailure,
    StoreUnavailable,
)
from sardinehook.transport.reactor import Timers

__all__ = ["HttpStore"]

OK = 200
NO_CONTENT = 204
NOT_FOUND = 404
CONFLICT = 409

Reply = TypeVar("Reply")


class EntryReply(TypedDict):
    """An entry as JSON; ``value`` is base64-encoded."""

    key: str
    value: bytes
    revision: int
    lease: str


class EntriesReply(TypedDict):
    """The reply to a scan."""

    entries: list[EntryReply]


class RevisionReply(TypedDict):
    """The reply to a put."""

    revision: int


class LeaseReply(TypedDict):
    """The reply to the grant of a lease."""

    lease: str


class HttpStore:
    """Implements ``Store`` over the platform's HTTP API.

    ``address`` is ``IP:port``. ``timeout_ms`` applies to each call; a watch adds its
    own wait to it.
    """

    def __init__(self, reactor: Timers, address: str, timeout_ms: float) -> None:
        self.client = HttpClient(reactor, address, timeout_ms)

    async def get(self, key: str) -> Result[Entry | None, StoreFailure]:
        """Read a key; None if it does not exist."""
        return read_entry(await self.client.read(f"/kv/{quote(key)}"), NOT_FOUND)

    async def put(
        self, key: str, value: bytes, expect: int, lease: str = ""
    ) -> Result[Entry, StoreFailure]:
        """Write a key if its revision is ``expect``; ``CREATE`` means it is absent."""
        path = f"/kv/{quote(key)}?expect={expect}"
        if lease:
            path += f"&lease={quote(lease, safe='')}"
        result = check_write(await self.client.write("PUT", path, value))
        return result.bind(lambda reply: decode(reply, RevisionReply, True)).map(
            lambda body: Entry(key, value, body["revision"], lease)
        )

    async def delete(self, key: str, expect: int) -> Result[None, StoreFailure]:
        """Delete a key if its revision is ``expect``."""
        path = f"/kv/{quote(key)}?expect={expect}"
        return check_write(await self.client.write("DELETE", path)).map(discard_reply)

    async def scan(self, prefix: str) -> Result[list[Entry], StoreFailure]:
        """Read all entries whose keys start with ``prefix``, sorted by key."""
        result = await self.client.read(f"/kv?prefix={quote(prefix, safe='')}")
        return (
            check_read(result)
            .bind(lambda reply: decode(reply, EntriesReply, False))
            .map(lambda body: [to_entry(entry) for entry in body["entries"]])
        )

    async def watch(
        self, key: str, after: int, wait_ms: float
    ) -> Result[Entry | None, StoreFailure]:
        """Wait up to ``wait_ms`` for a revision above ``after``; None if none came."""
        path = f"/watch/{quote(key)}?after={after}&wait_ms={wait_ms:.0f}"
        return read_entry(await self.client.read(path, wait_ms), NO_CONTENT)

    async def grant_lease(self, ttl_ms: float) -> Result[str, StoreFailure]:
        """Grant a lease that expires after ``ttl_ms`` unless it is renewed."""
        result = await self.client.write("POST", f"/lease?ttl_ms={ttl_ms:.0f}")
        return (
            check_write(result)
            .bind(lambda reply: decode(reply, LeaseReply, True))
            .map(lambda body: body["lease"])
        )

    async def renew_lease(self, lease: str) -> Result[None, StoreFailure]:
        """Renew a lease; ``Conflict`` if it no longer exists."""
        path = f"/lease/{quote(lease, safe='')}/renew"
        return check_write(await self.client.write("POST", path)).map(discard_reply)

    async def revoke_lease(self, lease: str) -> Result[None, StoreFailure]:
        """Revoke a lease and delete its keys."""
        path = f"/lease/{quote(lease, safe='')}"
        return check_write(await self.client.write("DELETE", path)).map(discard_reply)

    def close(self) -> Deferred[list[object]]:
        """Close the idle connections."""
        return self.client.close()


def discard_reply(_reply: HttpReply) -> None:
    """Discard the reply of a call whose success is the only result."""


def to_entry(reply: EntryReply) -> Entry:
    """Convert the JSON form of an entry."""
    return Entry(reply["key"], reply["value"], reply["revision"], reply["lease"])


def decode(
    reply: HttpReply, reply_type: type[Reply], is_write: bool
) -> Result[Reply, StoreFailure]:
    """Decode the body of a reply; a malformed one counts as unavailability.

    ``is_write`` says that the call was a write, which may have taken effect.
    """
    try:
        return Success(msgspec.json.decode(reply.body, type=reply_type))
    except DECODE_ERRORS as error:
        return Failure(StoreUnavailable(f"malformed reply: {error}", is_write))


def read_entry(
    result: Result[HttpReply, StoreUnavailable], absent_status: int
) -> Result[Entry | None, StoreFailure]:
    """Decode the entry in a reply; None if its status is ``absent_status``."""
    match result:
        case Success(HttpReply(status=status)) if status == absent_status:
            return Success(None)
    decoded = check_read(result).bind(lambda reply: decode(reply, EntryReply, False))
    return decoded.map(to_entry)


def check_read(
    result: Result[HttpReply, StoreUnavailable],
) -> Result[HttpReply, StoreFailure]:
    """Return the reply to a read if its status is 200, otherwise a failure."""
    match result:
        case Success(HttpReply(status=status) as reply):
            if status == OK:
                return Success(reply)
            return Failure(StoreUnavailable(f"status {status}", False))
        case Failure(StoreUnavailable() as failure):
            return Failure(failure)
    raise AssertionError(result)


def check_write(
    result: Result[HttpReply, StoreUnavailable],
) -> Result[HttpReply, StoreFailure]:
    """Return the reply to a write if its status is 200 or 204, otherwise a failure.

    Statuses 404 and 409 are conflicts. After any other failure status, the write may
    have taken effect.
    """
    match result:
        case Success(HttpReply(status=status) as reply):
            if status in (OK, NO_CONTENT):
                return Success(reply)
            if status in (CONFLICT, NOT_FOUND):
                return Failure(to_conflict(reply))
            return Failure(StoreUnavailable(f"status {status}", True))
        case Failure(StoreUnavailable() as failure):
            return Failure(failure)
    raise AssertionError(result)


def to_conflict(reply: HttpReply) -> Conflict:
    """Decode the current entry in a conflict reply; None if the key is absent."""
    match decode(reply, EntryReply, False):
        case Success(current):
            return Conflict(to_entry(current))
    return Conflict(None)
