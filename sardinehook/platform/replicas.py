"""Codec of the platform's requests to replicas and of their replies."""

from __future__ import annotations

import re
from collections.abc import Mapping
from functools import lru_cache

from sardinehook.decoding import read_count
from sardinehook.gateway.interfaces import CallerRequest, Load, ReplicaReply
from sardinehook.gateway.notices import NO_NOTICES, StatedNotices
from sardinehook.platform.discovery import MAX_COLD_MS, MAX_SLOTS
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
USUAL_WORK = 100.0  # the work figure of a machine on which work takes the usual time
# Replicas close idle connections; this timeout is for those that announce none.
DEFAULT_KEEP_ALIVE_S = 4.0
MAX_KEEP_ALIVE_S = 3600
MAX_LOGGED_BYTES = 40  # of a malformed value
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
        if request.organisation:
            lines.append(b"X-Tenant-Id: %b\r\n" % request.organisation.encode())
        lines.extend(b"%b: %b\r\n" % header for header in request.headers)
        if request.body or request.method not in (b"GET", b"HEAD", b"DELETE"):
            lines.append(b"Content-Length: %d\r\n" % len(request.body))
        lines.append(b"\r\n")
        lines.append(request.body)
        return b"".join(lines)

    def read_reply(self, reply: Reply, request_id: bytes) -> ReplicaReply:
        """Decode a replica's reply, checking that it answers ``request_id``."""
        headers = dict(reversed(reply.headers))
        load = read_load(headers.get(LOAD, b""))
        cold_left_s = read_cold(headers.get(COLD_LEFT_MS))
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
            load,
            cold_left_s,
            read_keep_alive(headers.get(b"keep-alive", b"")),
            read_notices(
                reply.status, headers, {LOAD: load, COLD_LEFT_MS: cold_left_s}
            ),
        )


@lru_cache(maxsize=1024)
def read_load(value: bytes) -> Load | None:
    """Decode a reported load (running, waiting, slots, work); None if malformed.

    Replicas may leave out the last figure, the time that work takes in percent of the
    usual time. Numbers beyond the slots that any replica can have are malformed too.

    >>> read_load(b"3,0,8")
    Load(running=3, waiting=0, slots=8, work_ratio=None)
    >>> read_load(b"1,0,2,250").work_ratio
    2.5
    >>> read_load(b"busy"), read_load(b"9" * 400 + b",0,8")
    (None, None)
    """
    numbers = [read_count(part.strip(), MAX_SLOTS) for part in value.split(b",")]
    match numbers:
        case [int(running), int(waiting), int(slots)]:
            return Load(running, waiting, slots)
        case [int(running), int(waiting), int(slots), int(work)] if work:
            return Load(running, waiting, slots, work / USUAL_WORK)
    return None


def read_cold(value: bytes | None) -> float | None:
    """Return the remaining cold time in seconds; None if absent or malformed.

    >>> read_cold(b"1500"), read_cold(b"9" * 400), read_cold(None)
    (1.5, None, None)
    """
    cold_ms = None if value is None else read_count(value, MAX_COLD_MS)
    return None if cold_ms is None else cold_ms / MS_PER_S


def read_notices(
    status: int, headers: Mapping[bytes, bytes], known: Mapping[bytes, object]
) -> StatedNotices:
    """Decode what a replica says of itself; malformed values count as absent.

    ``known`` has the values of further headers, ``None`` for one that is absent or
    malformed.

    >>> read_notices(503, {b"retry-after": b"1.5"}, {}).pause_s
    1.5
    >>> date = {b"retry-after": b"Sat, 05 Dec 2026 04:12:41 GMT"}
    >>> read_notices(503, date, {}).malformed
    'retry-after=Sat, 05 Dec 2026 04:12:41 GMT'
    >>> read_notices(200, {LOAD: b"busy"}, {LOAD: None}).malformed
    'x-server-load=busy'
    """
    malformed = describe_malformed(headers, known)
    if headers.keys().isdisjoint(NOTICES):
        return NO_NOTICES._replace(malformed=malformed) if malformed else NO_NOTICES
    leaving = headers.get(LEAVING, b"").strip() == b"1"
    values = {LIMIT: headers.get(LIMIT)}
    if status == UNAVAILABLE:
        values[RETRY_AFTER] = headers.get(RETRY_AFTER)
    read = {name: read_decimal(value or b"") for name, value in values.items()}
    malformed = describe_malformed(headers, {**known, **read})
    return StatedNotices(leaving, read[LIMIT], read.get(RETRY_AFTER), malformed)


def describe_malformed(
    headers: Mapping[bytes, bytes], known: Mapping[bytes, object]
) -> str:
    """Return the headers, of those in ``known``, whose values could not be read."""
    return ", ".join(
        f"{name.decode()}={headers[name][:MAX_LOGGED_BYTES].decode('latin-1')}"
        for name, value in known.items()
        if value is None and name in headers
    )


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

    >>> read_keep_alive(b"timeout=5, max=100"), read_keep_alive(b"timeout=99999999")
    (5.0, 4.0)
    """
    match = KEEP_ALIVE_TIMEOUT.search(value)
    timeout_s = read_count(match.group(1), MAX_KEEP_ALIVE_S) if match else None
    return DEFAULT_KEEP_ALIVE_S if timeout_s is None else float(timeout_s)
