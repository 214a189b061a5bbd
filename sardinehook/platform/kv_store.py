"""Client of the platform's key-value store."""

from __future__ import annotations

from base64 import b64decode, b64encode
from collections.abc import Callable
from typing import TypeVar
from urllib.parse import quote

import msgspec
from returns.result import Failure, Result, Success

from sardinehook.gateway.http_call import HttpCall
from sardinehook.gateway.pool import ConnectionPool
from sardinehook.gateway.reactor import GatewayReactor
from sardinehook.gateway.store import (
    Changes,
    HistoryGone,
    Item,
    LeaseGone,
    StoreProblem,
)
from sardinehook.store.port import StoreUnavailable
from sardinehook.transport.connection import Lost, Reply

__all__ = ["PlatformStore"]

CALL_TIMEOUT_S = 1.0  # the store answers in milliseconds when it is well
MOST_CONNECTIONS = 4  # one for the watch, and a few for the other calls
MOST_PAGES = 100  # bounds a listing that never ends
MS_PER_S = 1000.0

Body = TypeVar("Body")


class WireItem(msgspec.Struct, rename="pascal"):
    """An item, or an event of a watch."""

    key: str
    value: str = ""
    # The store's revision at the key's last change.
    revision: int = 0
    # Set in the event of a deletion.
    deleted: bool = False


class WireRange(msgspec.Struct):
    """One page of a listing."""

    items: list[WireItem]
    # The store's revision when the page was read.
    as_of: int = msgspec.field(name="AsOf")
    has_more: bool = msgspec.field(name="HasMore", default=False)


class WireEvents(msgspec.Struct):
    """The answer to a watch."""

    events: list[WireItem]
    # The revision from which to watch on.
    as_of: int = msgspec.field(name="AsOf")


class WireLease(msgspec.Struct, rename="pascal"):
    """A lease that was granted."""

    lease: int


class WireRevision(msgspec.Struct, rename="pascal"):
    """The revision of a write."""

    revision: int


class PlatformStore:
    """The calls of the platform's store that the gateway needs."""

    def __init__(
        self,
        reactor: GatewayReactor,
        address: str,
        count_call: Callable[[str, str], None],
    ) -> None:
        self.reactor = reactor
        self.address = address
        self.count_call = count_call
        self.pool = ConnectionPool(reactor, address, MOST_CONNECTIONS, ignore)

    async def call(
        self, operation: str, method: str, path: str, body: object, timeout_s: float
    ) -> Result[Reply, StoreProblem]:
        """Make one call; a status other than success is a failure."""
        content = b"" if body is None else msgspec.json.encode(body)
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {self.address}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(content)}\r\n\r\n"
        )
        request = head.encode() + content
        match await HttpCall(self.reactor, self.pool, request, timeout_s).done:
            case Success(reply):
                checked = check_status(reply)
                self.count_call(operation, str(reply.status))
                return checked
            case Failure(problem):
                self.count_call(operation, "no_answer")
                return Failure(problem)
        raise AssertionError("a result is a success or a failure")

    async def read_all(self, prefix: str) -> Result[Changes, StoreProblem]:
        """Read all keys that begin with ``prefix``, as of the first page."""
        items: list[Item] = []
        revision = 0
        after = ""
        for _ in range(MOST_PAGES):
            path = f"/kv-range?Prefix={quote(prefix, safe='')}"
            if after:
                path += f"&after={quote(after, safe='')}"
            told = await self.call("range", "GET", path, None, CALL_TIMEOUT_S)
            match told.bind(lambda reply: decode(reply, WireRange)):
                case Success(page):
                    items.extend(read_item(item) for item in page.items)
                    revision = revision or page.as_of
                    if not page.has_more or not page.items:
                        return Success(Changes(tuple(items), revision))
                    after = page.items[-1].key
                case Failure(problem):
                    return Failure(problem)
        return Failure(StoreUnavailable("the listing does not end", False))

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> Result[Changes, StoreProblem]:
        """Wait for changes after a revision; none come if ``wait_s`` passes first."""
        path = (
            f"/kv-watch?Prefix={quote(prefix, safe='')}&after={after}"
            f"&WaitMs={int(wait_s * MS_PER_S)}"
        )
        told = await self.call("watch", "GET", path, None, wait_s + CALL_TIMEOUT_S)
        return told.bind(lambda reply: decode(reply, WireEvents)).map(
            lambda page: Changes(
                tuple(read_item(item) for item in page.events), page.as_of
            )
        )

    async def put(
        self, key: str, value: bytes, lease: int
    ) -> Result[int, StoreProblem]:
        """Write a key that lasts as long as ``lease``; returns its revision."""
        text = b64encode(value).decode()
        body = {
            "ExpectedRev": [],
            "Puts": [{"Key": key, "Value": text, "Lease": lease}],
            "Deletes": [],
        }
        told = await self.call("put", "POST", "/kv-txn", body, CALL_TIMEOUT_S)
        return told.bind(lambda reply: decode(reply, WireRevision)).map(
            lambda written: written.revision
        )

    async def grant_lease(self, ttl_s: float) -> Result[int, StoreProblem]:
        """Return a new lease."""
        body = {"TtlMs": int(ttl_s * MS_PER_S)}
        told = await self.call("lease", "POST", "/kv-lease", body, CALL_TIMEOUT_S)
        return told.bind(lambda reply: decode(reply, WireLease)).map(
            lambda granted: granted.lease
        )

    async def renew_lease(self, lease: int) -> Result[None, StoreProblem]:
        """Renew a lease."""
        path = f"/kv-keep/{lease}"
        told = await self.call("renew", "POST", path, {}, CALL_TIMEOUT_S)
        return told.map(drop_reply)

    async def end_lease(self, lease: int) -> Result[None, StoreProblem]:
        """End a lease, which deletes its keys."""
        path = f"/kv-lease-end/{lease}"
        told = await self.call("end_lease", "DELETE", path, None, CALL_TIMEOUT_S)
        return told.map(drop_reply)

    def drop_connections(self) -> None:
        """Close all connections; calls that wait fail."""
        for connection in list(self.pool.connections):
            finish = connection.finish
            connection.abort()
            if finish is not None:
                finish(Lost("the connection was given up"))


def drop_reply(_reply: Reply) -> None:
    """Drop a reply of which only the success matters."""


def ignore() -> None:
    """Take no note of a connection: the calls tell whether the store answers."""


def check_status(reply: Reply) -> Result[Reply, StoreProblem]:
    """Tell success from the failures that the store states."""
    match reply.status:
        case 200:
            return Success(reply)
        case 404:
            return Failure(LeaseGone())
        case 410:
            return Failure(HistoryGone())
    return Failure(StoreUnavailable(f"status {reply.status}", False))


def decode(reply: Reply, form: type[Body]) -> Result[Body, StoreProblem]:
    """Decode the body of a reply, which may come from something broken."""
    try:
        return Success(msgspec.json.decode(reply.body, type=form))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Failure(StoreUnavailable(f"malformed reply: {error}", True))


def read_item(wire: WireItem) -> Item:
    """Convert an item; a value that is not base64 is passed on as no text at all."""
    if wire.deleted:
        return Item(wire.key, None, wire.revision)
    try:
        value = b64decode(wire.value, validate=True)
    except ValueError:
        value = b""
    return Item(wire.key, value, wire.revision)
