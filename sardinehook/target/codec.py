"""HTTP codec for targets: encodes requests and decodes reply headers."""

from __future__ import annotations

from collections.abc import Mapping
from functools import lru_cache
from typing import NamedTuple

from sardinehook.decoding import read_count
from sardinehook.messages import ANY_VERSION, SubQuery, TargetState

__all__ = [
    "ReplyHead",
    "TargetReply",
    "encode_cancel",
    "encode_status",
    "encode_sub_query",
    "read_reply_head",
]

MAX_NUMBER = 2**63 - 1  # the messages between entry processes carry no larger one

HEADER_STATES = {
    b"cold": TargetState.COLD,
    b"warm": TargetState.WARM,
    b"draining": TargetState.DRAINING,
}


class ReplyHead(NamedTuple):
    """Typed headers of a target's reply; zero and empty values mean absent."""

    request_id: bytes = b""
    exchange_id: bytes = b""
    index_version: int = 0
    partitioning: int = 0
    state: TargetState = TargetState.UNKNOWN
    in_flight: int = 0
    versions_held: tuple[int, ...] = ()
    not_run: bool = False


class TargetReply(NamedTuple):
    """A complete reply of a target."""

    status: int
    head: ReplyHead
    body: bytes


def encode_sub_query(
    sub_query: SubQuery, host: bytes, exchange_id: bytes, deadline_ms: int
) -> bytes:
    """Return the request for a sub-query with ``deadline_ms`` left.

    ``exchange_id`` is sent as ``Sub-Query-Id``; each retry uses a new one.
    """
    path = "orders" if sub_query.order_key else "search"
    lines = [
        f"POST /services/{sub_query.service}/{path} HTTP/1.1\r\nHost: ".encode(),
        host,
        b"\r\nRequest-Id: ",
        sub_query.request_id.encode(),
        b"\r\nSub-Query-Id: ",
        exchange_id,
        b"\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n"
        % (deadline_ms, len(sub_query.body)),
    ]
    if sub_query.index_version != ANY_VERSION:
        lines.append(b"Index-Version: %d\r\n" % sub_query.index_version)
    if sub_query.partitioning != ANY_VERSION:
        lines.append(b"Partitioning-Version: %d\r\n" % sub_query.partitioning)
    if sub_query.order_key:
        lines.append(f"Idempotency-Key: {sub_query.order_key}\r\n".encode())
    lines.append(b"\r\n")
    lines.append(sub_query.body)
    return b"".join(lines)


def encode_cancel(host: bytes, request_id: bytes, exchange_id: bytes) -> bytes:
    """Return the request that cancels an exchange at the target."""
    return (
        b"POST /cancel HTTP/1.1\r\nHost: %b\r\nRequest-Id: %b\r\n"
        b"Sub-Query-Id: %b\r\nContent-Length: 0\r\n\r\n"
        % (host, request_id, exchange_id)
    )


def encode_status(host: bytes, request_id: bytes, exchange_id: bytes) -> bytes:
    """Return the request for the replica's status."""
    return (
        b"GET /status HTTP/1.1\r\nHost: %b\r\nRequest-Id: %b\r\n"
        b"Sub-Query-Id: %b\r\n\r\n" % (host, request_id, exchange_id)
    )


def read_reply_head(headers: Mapping[bytes, bytes]) -> ReplyHead:
    """Return the typed headers of a reply from headers with lower-case names.

    Raises ``ValueError`` for a header with an invalid value.

    >>> head = read_reply_head({b"target-state": b"cold", b"index-version": b"7"})
    >>> head.state.name, head.index_version
    ('COLD', 7)
    """
    found = headers.get
    state_name = found(b"target-state")
    state = TargetState.UNKNOWN
    if state_name is not None:
        if state_name not in HEADER_STATES:
            raise ValueError("unknown Target-State")
        state = HEADER_STATES[state_name]
    return ReplyHead(
        found(b"request-id", b""),
        found(b"sub-query-id", b""),
        read_number(found(b"index-version", b"0")),
        read_number(found(b"partitioning-version", b"0")),
        state,
        read_number(found(b"target-in-flight", b"0")),
        read_versions(found(b"index-versions-held", b"")),
        found(b"not-run") == b"true",
    )


@lru_cache(maxsize=1024)
def read_versions(text: bytes) -> tuple[int, ...]:
    """Parse a comma-separated list of versions; raises ``ValueError``."""
    return tuple(read_number(part) for part in text.split(b",") if part.strip())


def read_number(text: bytes) -> int:
    """Parse a number; raises ``ValueError`` if it is malformed or too large.

    >>> read_number(b" 7")
    7
    """
    number = read_count(text.strip(), MAX_NUMBER)
    if number is None:
        raise ValueError(f"not a number: {text[:40]!r}")
    return number
