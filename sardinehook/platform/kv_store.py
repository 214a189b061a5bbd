"""Client for the platform's key-value store."""

from __future__ import annotations

import re
from base64 import b64decode, b64encode
from collections.abc import Callable, Sequence
from typing import TypeVar
from urllib.parse import quote

import msgspec
from returns.result import Failure, Result, Success

from sardinehook.decoding import DECODE_ERRORS, Number
from sardinehook.gateway.http_call import HttpCall
from sardinehook.gateway.pool import ConnectionPool
from sardinehook.gateway.reactor import GatewayReactor
from sardinehook.gateway.store import (
    Changes,
    Conflict,
    HistoryGone,
    Item,
    LeaseGone,
    StoreProblem,
    Write,
)
from sardinehook.platform.configuration import CONFIGURATION_KEY
from sardinehook.platform.key_digests import replace_keys
from sardinehook.store.port import StoreUnavailable
from sardinehook.transport.connection import Lost, Reply

__all__ = ["PlatformStore"]

CALL_TIMEOUT_S = 1.0  # a healthy store answers within milliseconds
MAX_CONNECTIONS = 4  # one for the watch, the rest for other calls
MAX_PAGES = 100  # bounds a listing that always reports more pages
MAX_LISTING_BYTES = 32 * 1024 * 1024  # bounds the memory that a listing takes
ITEM_OVERHEAD_BYTES = 256  # memory for an item besides its key and value
MS_PER_S = 1000.0
ERA_HEADER = b"store-era"
ERA = re.compile(rb"\d{1,18}")
OK = 200

Body = TypeVar("Body")


class WireItem(msgspec.Struct, rename="pascal"):
    """An item of a listing, or an event of a watch."""

    key: str
    value: str = ""
    # The store's revision at the last change of the key.
    revision: Number = 0
    # True in the event of a deletion.
    deleted: bool = False


class WireRange(msgspec.Struct):
    """One page of a listing."""

    items: list[WireItem]
    # The store's revision at the time of the read.
    as_of: Number = msgspec.field(name="AsOf")
    has_more: bool = msgspec.field(name="HasMore", default=False)


class WireEvents(msgspec.Struct):
    """The reply to a watch."""

    events: list[WireItem]
    # The revision from which to continue the watch.
    as_of: Number = msgspec.field(name="AsOf")


class WireLease(msgspec.Struct, rename="pascal"):
    """The reply to the grant of a lease."""

    lease: Number


class WireRevision(msgspec.Struct, rename="pascal"):
    """The reply to a write."""

    revision: Number


class WireCurrent(msgspec.Struct):
    """The reply to a conditional write that was refused."""

    items: list[WireItem] = []


class PlatformStore:
    """Implements the gateway's store port over the platform's HTTP API."""

    def __init__(
        self,
        reactor: GatewayReactor,
        address: str,
        count_call: Callable[[str, str], None],
    ) -> None:
        self.reactor = reactor
        self.address = address
        self.count_call = count_call
        self.on_era: Callable[[int], object] = ignore_era
        self.pool = ConnectionPool(
            reactor, address, MAX_CONNECTIONS, ignore_connection, "store"
        )

    async def call(
        self, operation: str, method: str, path: str, body: object, timeout_s: float
    ) -> Result[Reply, StoreProblem]:
        """Send one request and count it; any status but 200 is a failure."""
        result = await self.exchange(operation, method, path, body, timeout_s)
        return result.bind(check_status)

    async def exchange(
        self, operation: str, method: str, path: str, body: object, timeout_s: float
    ) -> Result[Reply, StoreProblem]:
        """Send one request, and count its reply by the status.

        ``on_era`` is called with the era of the answer before it is returned.
        """
        content = b"" if body is None else msgspec.json.encode(body)
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {self.address}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(content)}\r\n\r\n"
        )
        request = head.encode() + content
        match await HttpCall(self.reactor, self.pool, request, timeout_s).done:
            case Success(reply):
                self.count_call(operation, str(reply.status))
                self.report_era(reply)
                return Success(reply)
            case Failure(problem):
                self.count_call(operation, "no_answer")
                return Failure(problem)
        raise AssertionError("a result is a success or a failure")

    def report_era(self, reply: Reply) -> None:
        """Report the era of an answer.

        An error without one may be that of a server in between.
        """
        value = reply.header(ERA_HEADER)
        if value is not None and not ERA.fullmatch(value):
            self.count_call("era", "malformed")
        era = read_era(reply)
        if era or reply.status == OK:
            self.on_era(era)

    async def read_all(self, prefix: str) -> Result[Changes, StoreProblem]:
        """Read all items under ``prefix``, with the revision of the first page."""
        items: list[Item] = []
        held = 0
        revision = era = 0
        after = ""
        for _ in range(MAX_PAGES):
            path = f"/kv-range?Prefix={quote(prefix, safe='')}"
            if after:
                path += f"&after={quote(after, safe='')}"
            result = await self.call("range", "GET", path, None, CALL_TIMEOUT_S)
            match result.bind(lambda reply: decode(reply, WireRange)):
                case Success(page):
                    page_era = result.map(read_era).value_or(0)
                    if era and page_era and era != page_era:
                        return Failure(HistoryGone())
                    era = era or page_era
                    items.extend(read_item(item) for item in page.items)
                    held += sum(size_of(item) for item in page.items)
                    if held > MAX_LISTING_BYTES:
                        detail = f"listing holds more than {MAX_LISTING_BYTES} bytes"
                        return Failure(StoreUnavailable(detail, False))
                    revision = revision or page.as_of
                    if not page.has_more or not page.items:
                        return Success(Changes(tuple(items), revision, era))
                    after = page.items[-1].key
                case Failure(problem):
                    return Failure(problem)
        return Failure(
            StoreUnavailable(f"listing has more than {MAX_PAGES} pages", False)
        )

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> Result[Changes, StoreProblem]:
        """Wait up to ``wait_s`` for changes after a revision; may return none."""
        path = (
            f"/kv-watch?Prefix={quote(prefix, safe='')}&after={after}"
            f"&WaitMs={int(wait_s * MS_PER_S)}"
        )
        result = await self.call("watch", "GET", path, None, wait_s + CALL_TIMEOUT_S)
        era = result.map(read_era).value_or(0)
        return result.bind(lambda reply: decode(reply, WireEvents)).map(
            lambda page: Changes(
                tuple(read_item(item) for item in page.events), page.as_of, era
            )
        )

    async def put(
        self, key: str, value: bytes, lease: int
    ) -> Result[int, StoreProblem]:
        """Write a key bound to ``lease``; return its revision."""
        text = b64encode(value).decode()
        body = {
            "ExpectedRev": [],
            "Puts": [{"Key": key, "Value": text, "Lease": lease}],
            "Deletes": [],
        }
        result = await self.call("put", "POST", "/kv-txn", body, CALL_TIMEOUT_S)
        return result.bind(lambda reply: decode(reply, WireRevision)).map(
            lambda written: written.revision
        )

    async def write_if(
        self, writes: Sequence[Write]
    ) -> Result[int, StoreProblem | Conflict]:
        """Write keys without a lease if all are at their expected revisions."""
        body = {
            "ExpectedRev": [
                {"Key": one.key, "Revision": one.expected_revision} for one in writes
            ],
            "Puts": [
                {"Key": one.key, "Value": b64encode(one.value).decode(), "Lease": 0}
                for one in writes
            ],
            "Deletes": [],
        }
        result = await self.exchange(
            "write_if", "POST", "/kv-txn", body, CALL_TIMEOUT_S
        )
        match result:
            case Success(reply):
                return read_conditional_write(reply)
            case Failure(problem):
                return Failure(problem)
        return Failure(StoreUnavailable("no result", True))

    async def grant_lease(self, ttl_s: float) -> Result[int, StoreProblem]:
        """Grant a lease that expires after ``ttl_s`` unless renewed."""
        body = {"TtlMs": int(ttl_s * MS_PER_S)}
        result = await self.call("lease", "POST", "/kv-lease", body, CALL_TIMEOUT_S)
        return result.bind(lambda reply: decode(reply, WireLease)).map(
            lambda granted: granted.lease
        )

    async def renew_lease(self, lease: int) -> Result[None, StoreProblem]:
        """Renew a lease; ``LeaseGone`` if it no longer exists."""
        path = f"/kv-keep/{lease}"
        result = await self.call("renew", "POST", path, {}, CALL_TIMEOUT_S)
        return result.map(discard_reply)

    async def end_lease(self, lease: int) -> Result[None, StoreProblem]:
        """Revoke a lease, which deletes its keys."""
        path = f"/kv-lease-end/{lease}"
        result = await self.call("end_lease", "DELETE", path, None, CALL_TIMEOUT_S)
        return result.map(discard_reply)

    def drop_connections(self) -> None:
        """Close all connections; pending calls fail."""
        for connection in list(self.pool.connections):
            finish = connection.finish
            connection.abort()
            if finish is not None:
                finish(Lost("connection closed by the gateway"))


def discard_reply(_reply: Reply) -> None:
    """Discard the reply of a call whose success is the only result."""


def ignore_connection() -> None:
    """Ignore new connections: the calls' results show whether the store answers."""


def ignore_era(_era: int) -> None:
    """Ignore the era of an answer, until the gateway follows the store."""


def read_era(reply: Reply) -> int:
    """Return the era that an answer states, 0 if it states none or a malformed one.

    >>> read_era(Reply(200, ((b"store-era", b"3"),), b""))
    3
    >>> read_era(Reply(200, ((b"store-era", b"-3"),), b""))
    0
    """
    value = reply.header(ERA_HEADER)
    return int(value) if value is not None and ERA.fullmatch(value) else 0


def check_status(reply: Reply) -> Result[Reply, StoreProblem]:
    """Map 404 and 410 to their failures, and any other status but 200 to a third."""
    match reply.status:
        case 200:
            return Success(reply)
        case 404:
            return Failure(LeaseGone())
        case 410:
            return Failure(HistoryGone())
    return Failure(StoreUnavailable(f"status {reply.status}", False))


def read_conditional_write(reply: Reply) -> Result[int, StoreProblem | Conflict]:
    """Decode the reply to a conditional write; 412 is a conflict.

    >>> read_conditional_write(Reply(200, (), b'{"Revision":8}')).unwrap()
    8
    >>> read_conditional_write(Reply(412, (), b'{"items":[]}')).failure()
    Conflict(items=())
    """
    written = check_status(reply).bind(lambda one: decode(one, WireRevision))
    refused = decode(reply, WireCurrent)
    match reply.status, written, refused:
        case 412, _, Success(current):
            return Failure(Conflict(tuple(map(read_item, current.items))))
        case 200, Success(body), _:
            return Success(body.revision)
        case _, Failure(problem), _:
            return Failure(problem)
    return Failure(StoreUnavailable(f"status {reply.status}", True))


def decode(reply: Reply, reply_type: type[Body]) -> Result[Body, StoreProblem]:
    """Decode the body of a reply; a malformed one counts as unavailability."""
    try:
        return Success(msgspec.json.decode(reply.body, type=reply_type))
    except DECODE_ERRORS as error:
        return Failure(StoreUnavailable(f"malformed reply: {error}", True))


def size_of(wire: WireItem) -> int:
    """Return about how many bytes of memory an item takes."""
    return ITEM_OVERHEAD_BYTES + len(wire.key) + len(wire.value)


def read_item(wire: WireItem) -> Item:
    """Convert an item; a value that is not valid base64 becomes empty.

    Keys of callers are replaced by digests here, before anything keeps the value.
    """
    if wire.deleted:
        return Item(wire.key, None, wire.revision)
    try:
        value = b64decode(wire.value, validate=True)
    except ValueError:
        value = b""
    if wire.key == CONFIGURATION_KEY:
        value = replace_keys(value)
    return Item(wire.key, value, wire.revision)
