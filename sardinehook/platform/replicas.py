"""Codec of the platform's requests to replicas and of their replies."""

from __future__ import annotations

import re
from collections.abc import Mapping
from functools import lru_cache

from sardinehook.gateway.interfaces import CallerRequest, Load, ReplicaReply
from sardinehook.gateway.notices import NO_NOTICES, StatedNotices
from sardinehook.transport.connection import Reply

__all__ = ["PlatformReplicas"]

REQUEST_ID = b"x-request-id"
# The signature on answers that the replica itself produced; some failures carry
# it too.
SIGNATURE = b"x-server-stamp"
# Present, with any value, if the replica did not run the request.
NOT_RUN = b"x-not-executed"
LOAD = b"x-server-load"
COLD_LEFT_MS = b"x-cold-ms"
# The requests per second that the replica takes from all its clients together.
LIMIT = b"server-limit"
# "1" from a replica that is shutting down.
LEAVING = b"server-leaving"
# Seconds for which a replica that answers 503 wants nothing from this client.
RETRY_AFTER = b"retry-after"
UNAVAILABLE = 503
NOTICES = frozenset({LIMIT, LEAVING, RETRY_AFTER})
MISDIRECTED = 421
MS_PER_S = 1000.0
# Replicas close idle connections; this timeout is for those that announce none.
DEFAULT_KEEP_ALIVE_S = 4.0
DECIMAL = re.compile(rb"\d{1,9}(\.\d{1,9})?")
KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout\s*=\s*(\d+)", re.IGNORECASE)
CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"content-length",
        b"upgrade",
    }
)


class PlatformReplicas:
    """Encodes requests to replicas and decodes their replies."""

    def encode_request(
        self, request: CallerRequest, replica_id: str, remaining_s: float
    ) -> bytes:
        """Encode a request with a header that lets only ``replica_id`` run it."""
        lines = [
            b"%b %b HTTP/1.1\r\nHost: %b\r\nX-Request-Id: %b\r\n"
            b"X-Deadline-Ms: %d\r\nX-Expect-Instance: %b\r\n"
            % (
                request.method,
                request.target,
                request.host.encode("latin-1"),
                request.request_id,
                max(1, int(remaining_s * MS_PER_S)),
                replica_id.encode("latin-1"),
            )
        ]
        lines.extend(b"%b: %b\r\n" % header for header in request.headers)
        if request.body or request.method not in (b"GET", b"HEAD", b"DELETE"):
            lines.append(b"Content-Length: %d\r\n" % len(request.body))
        lines.append(b"\r\n")
        lines.append(request.body)
        return b"".join(lines)

    def read_reply(self, reply: Reply, request_id: bytes) -> ReplicaReply:
        """Decode a replica's reply, checking that it answers ``request_id``."""
        headers = dict(reversed(reply.headers))
        echoed = headers.get(REQUEST_ID)
        misdirected = reply.status == MISDIRECTED
        return ReplicaReply(
            reply.status,
            tuple(h for h in reply.headers if h[0] not in CONNECTION_HEADERS),
            reply.body,
            headers.get(SIGNATURE) or None,
            NOT_RUN in headers or misdirected,
            misdirected,
            echoed is not None and echoed != request_id,
            headers.get(b"content-encoding", b"identity").lower() != b"identity",
            read_load(headers.get(LOAD, b"")),
            read_cold(headers.get(COLD_LEFT_MS)),
            read_keep_alive(headers.get(b"keep-alive", b"")),
            read_notices(reply.status, headers),
        )


@lru_cache(maxsize=1024)
def read_load(value: bytes) -> Load | None:
    """Decode a reported load (running, waiting, slots); None if malformed.

    >>> read_load(b"3,0,8")
    Load(running=3, waiting=0, slots=8)
    >>> read_load(b"busy") is None
    True
    """
    parts = [part.strip() for part in value.split(b",")]
    if len(parts) != 3 or not all(part.isdigit() for part in parts):
        return None
    return Load(*(int(part) for part in parts))


def read_cold(value: bytes | None) -> float | None:
    """Return the remaining cold time in seconds; None if absent or malformed."""
    if value is None or not value.isdigit():
        return None
    return int(value) / MS_PER_S


def read_notices(status: int, headers: Mapping[bytes, bytes]) -> StatedNotices:
    """Decode what a replica says of itself; malformed values count as absent.

    >>> read_notices(503, {b"retry-after": b"1.5"}).pause_s
    1.5
    >>> read_notices(503, {b"retry-after": b"Sat, 05 Dec 2026 04:12:41 GMT"}).malformed
    'retry-after=Sat, 05 Dec 2026 04:12:41 GMT'
    """
    if headers.keys().isdisjoint(NOTICES):
        return NO_NOTICES
    leaving = headers.get(LEAVING, b"").strip() == b"1"
    values = {LIMIT: headers.get(LIMIT)}
    if status == UNAVAILABLE:
        values[RETRY_AFTER] = headers.get(RETRY_AFTER)
    read = {name: read_decimal(value or b"") for name, value in values.items()}
    malformed = ", ".join(
        f"{name.decode()}={value.decode('latin-1')}"
        for name, value in values.items()
        if value is not None and read[name] is None
    )
    return StatedNotices(leaving, read[LIMIT], read.get(RETRY_AFTER), malformed)


@lru_cache(maxsize=1024)
def read_decimal(value: bytes) -> float | None:
    """Return a decimal number; None if absent or malformed.

    >>> read_decimal(b"13.8"), read_decimal(b"-1"), read_decimal(b"1e9")
    (13.8, None, None)
    """
    return float(value) if DECIMAL.fullmatch(value) else None


@lru_cache(maxsize=256)
def read_keep_alive(value: bytes) -> float:
    """Return the idle timeout of a connection in seconds, or the default.

    >>> read_keep_alive(b"timeout=5, max=100")
    5.0
    """
    match = KEEP_ALIVE_TIMEOUT.search(value)
    return float(match.group(1)) if match else DEFAULT_KEEP_ALIVE_S
