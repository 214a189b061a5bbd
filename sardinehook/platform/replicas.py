"""The requests to replicas of this platform, and what their replies say."""

from __future__ import annotations

import re
from functools import lru_cache

from sardinehook.gateway.interfaces import CallerRequest, Load, ReplicaReply
from sardinehook.transport.connection import Reply

__all__ = ["PlatformReplicas"]

REQUEST_ID = b"x-request-id"
# The signature on an answer of a replica's own; some failures have it too.
SIGNATURE = b"x-server-stamp"
# Present, with any value, where the replica states that it did not run the request.
NOT_RUN = b"x-not-executed"
LOAD = b"x-server-load"
COLD_LEFT_MS = b"x-cold-ms"
MISDIRECTED = 421
MS_PER_S = 1000.0
# Replicas close idle connections after a time that not all of them state.
UNSTATED_KEEP_ALIVE_S = 4.0
TIMEOUT = re.compile(rb"timeout\s*=\s*(\d+)", re.IGNORECASE)
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
        """Return the bytes of a request that only ``replica_id`` may run."""
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
        """Decode a replica's reply to the request ``request_id``."""
        found = dict(reversed(reply.headers))
        echoed = found.get(REQUEST_ID)
        misdirected = reply.status == MISDIRECTED
        return ReplicaReply(
            reply.status,
            tuple(h for h in reply.headers if h[0] not in CONNECTION_HEADERS),
            reply.body,
            found.get(SIGNATURE) or None,
            NOT_RUN in found or misdirected,
            misdirected,
            echoed is not None and echoed != request_id,
            found.get(b"content-encoding", b"identity").lower() != b"identity",
            read_load(found.get(LOAD, b"")),
            read_cold(found.get(COLD_LEFT_MS)),
            read_keep_alive(found.get(b"keep-alive", b"")),
        )


@lru_cache(maxsize=1024)
def read_load(value: bytes) -> Load | None:
    """Return the load that a replica states: running, waiting, slots.

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
    """Return for how many seconds the replica stays cold, if it says so."""
    if value is None or not value.isdigit():
        return None
    return int(value) / MS_PER_S


@lru_cache(maxsize=256)
def read_keep_alive(value: bytes) -> float:
    """Return for how many seconds an idle connection is kept.

    >>> read_keep_alive(b"timeout=5, max=100")
    5.0
    """
    found = TIMEOUT.search(value)
    return float(found.group(1)) if found else UNSTATED_KEEP_ALIVE_S
