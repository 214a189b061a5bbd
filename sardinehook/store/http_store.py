"""The key-value service over HTTP, in the dialect of the platform."""

from __future__ import annotations

from typing import TypedDict, TypeVar
from urllib.parse import quote

import msgspec
from returns.result import Failure, Result, Success
from twisted.internet.defer import Deferred

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
    """An entry as JSON; ``value`` travels as base64."""

    key: str
    value: bytes
    revision: int
    lease: str


class EntriesReply(TypedDict):
    """The entries of a scan."""

    entries: list[EntryReply]


class RevisionReply(TypedDict):
    """The revision that a put was given."""

    revision: int


class LeaseReply(TypedDict):
    """The lease that was granted."""

    lease: str


class HttpStore:
    """Adapter of ``Store`` to the platform's HTTP.

    ``address`` is ``IP:port``; ``timeout_ms`` bounds each call, to which a watch
    adds its own wait.
    """

    def __init__(self, reactor: Timers, address: str, timeout_ms: float) -> None:
        self.client = HttpClient(reactor, address, timeout_ms)

    async def get(self, key: str) -> Result[Entry | None, StoreFailure]:
        """Read a key; None if it does not exist."""
        return read_entry(await self.client.read(f"/kv/{quote(key)}"), NOT_FOUND)

    async def put(
        self, key: str, value: bytes, expect: int, lease: str = ""
    ) -> Result[Entry, StoreFailure]:
        """Write a key that is at revision ``expect``, ``CREATE`` if it is new."""
        path = f"/kv/{quote(key)}?expect={expect}"
        if lease:
            path += f"&lease={quote(lease, safe='')}"
        done = checked_write(await self.client.write("PUT", path, value))
        return done.bind(lambda reply: decode(reply, RevisionReply, True)).map(
            lambda told: Entry(key, value, told["revision"], lease)
        )

    async def delete(self, key: str, expect: int) -> Result[None, StoreFailure]:
        """Delete a key that is at revision ``expect``."""
        path = f"/kv/{quote(key)}?expect={expect}"
        return checked_write(await self.client.write("DELETE", path)).map(nothing)

    async def scan(self, prefix: str) -> Result[list[Entry], StoreFailure]:
        """Read all keys that start with ``prefix``, in the order of their keys."""
        sent = await self.client.read(f"/kv?prefix={quote(prefix, safe='')}")
        return (
            checked_read(sent)
            .bind(lambda reply: decode(reply, EntriesReply, False))
            .map(lambda told: [to_entry(entry) for entry in told["entries"]])
        )

    async def watch(
        self, key: str, after: int, wait_ms: float
    ) -> Result[Entry | None, StoreFailure]:
        """Wait until the key's revision exceeds ``after``; None if it did not."""
        path = f"/watch/{quote(key)}?after={after}&wait_ms={wait_ms:.0f}"
        return read_entry(await self.client.read(path, wait_ms), NO_CONTENT)

    async def grant_lease(self, ttl_ms: float) -> Result[str, StoreFailure]:
        """Grant a lease that lasts ``ttl_ms`` unless it is renewed."""
        sent = await self.client.write("POST", f"/lease?ttl_ms={ttl_ms:.0f}")
        return (
            checked_write(sent)
            .bind(lambda reply: decode(reply, LeaseReply, True))
            .map(lambda told: told["lease"])
        )

    async def renew_lease(self, lease: str) -> Result[None, StoreFailure]:
        """Renew a lease; ``Conflict`` if it does not exist any more."""
        path = f"/lease/{quote(lease, safe='')}/renew"
        return checked_write(await self.client.write("POST", path)).map(nothing)

    async def revoke_lease(self, lease: str) -> Result[None, StoreFailure]:
        """Revoke a lease and delete its keys."""
        path = f"/lease/{quote(lease, safe='')}"
        return checked_write(await self.client.write("DELETE", path)).map(nothing)

    def close(self) -> Deferred[list[object]]:
        """Close the connections that are idle."""
        return self.client.close()


def nothing(_reply: HttpReply) -> None:
    """Drop a reply of which only the success matters."""


def to_entry(reply: EntryReply) -> Entry:
    """Convert an entry from its JSON form."""
    return Entry(reply["key"], reply["value"], reply["revision"], reply["lease"])


def decode(
    reply: HttpReply, form: type[Reply], wrote: bool
) -> Result[Reply, StoreFailure]:
    """Decode the body of a reply, which may come from something broken."""
    try:
        return Success(msgspec.json.decode(reply.body, type=form))
    except msgspec.MsgspecError as error:
        return Failure(StoreUnavailable(f"malformed reply: {error}", wrote))


def read_entry(
    sent: Result[HttpReply, StoreUnavailable], absent_status: int
) -> Result[Entry | None, StoreFailure]:
    """Take the entry from a reply, None if its status is ``absent_status``."""
    match sent:
        case Success(HttpReply(status=status)) if status == absent_status:
            return Success(None)
    decoded = checked_read(sent).bind(lambda reply: decode(reply, EntryReply, False))
    return decoded.map(to_entry)


def checked_read(
    sent: Result[HttpReply, StoreUnavailable],
) -> Result[HttpReply, StoreFailure]:
    """Let a reply pass whose status is success."""
    match sent:
        case Success(HttpReply(status=status) as reply):
            if status == OK:
                return Success(reply)
            return Failure(StoreUnavailable(f"status {status}", False))
        case Failure(StoreUnavailable() as failure):
            return Failure(failure)
    raise AssertionError(sent)


def checked_write(
    sent: Result[HttpReply, StoreUnavailable],
) -> Result[HttpReply, StoreFailure]:
    """Let a reply pass whose status is success, and tell a conflict apart."""
    match sent:
        case Success(HttpReply(status=status) as reply):
            if status in (OK, NO_CONTENT):
                return Success(reply)
            if status in (CONFLICT, NOT_FOUND):
                return Failure(to_conflict(reply))
            return Failure(StoreUnavailable(f"status {status}", True))
        case Failure(StoreUnavailable() as failure):
            return Failure(failure)
    raise AssertionError(sent)


def to_conflict(reply: HttpReply) -> Conflict:
    """Take the current entry from a refusal; None if the key does not exist."""
    match decode(reply, EntryReply, False):
        case Success(current):
            return Conflict(to_entry(current))
    return Conflict(None)
