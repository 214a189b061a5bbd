"""The headers that callers of this platform send and get."""

from __future__ import annotations

from collections.abc import Sequence
from urllib.parse import urlsplit

from returns.result import Failure, Result, Success

from sardinehook.gateway.interfaces import CallerRequest, Header, HttpRequest

__all__ = ["PlatformCallers"]

REQUEST_ID = b"x-request-id"
# How long the caller waits from sending the request, not a moment.
DEADLINE_MS = b"x-deadline-ms"
EXPECT_REPLICA = b"x-expect-instance"
# The signatures of the shards' answers in a merged one, separated by commas.
SIGNATURES = b"X-Part-Stamps"
# The number of shards that are left out.
MISSING_SHARDS = b"X-Missing-Parts"
MS_PER_S = 1000.0
MOST_DEADLINE_MS = 86_400_000.0
# Headers of one connection, and those that the gateway sets itself.
NOT_PASSED_ON = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"content-length",
        b"upgrade",
        b"expect",
        b"host",
        REQUEST_ID,
        DEADLINE_MS,
        EXPECT_REPLICA,
    }
)


class PlatformCallers:
    """Decodes callers' requests and encodes what is particular in their answers."""

    def read_request(self, request: HttpRequest) -> Result[CallerRequest, str]:
        """Decode a caller's request; the failure says what is wrong with it."""
        hosts, ids, deadlines = [], [], []
        dropped = set(NOT_PASSED_ON)
        for name, value in request.headers:
            lower = name.lower()
            if lower == b"host":
                hosts.append(value)
            elif lower == REQUEST_ID:
                ids.append(value)
            elif lower == DEADLINE_MS:
                deadlines.append(value)
            elif lower == b"connection":
                dropped.update(token.strip().lower() for token in value.split(b","))
        if len(hosts) != 1 or not hosts[0]:
            return Failure("exactly one Host header is needed")
        if len(ids) != 1 or not ids[0]:
            return Failure("exactly one request id is needed")
        if not request.target.startswith(b"/"):
            return Failure("the request target is not a path")
        passed_on = tuple(
            (name, value)
            for name, value in request.headers
            if name.lower() not in dropped
        )
        return Success(
            CallerRequest(
                ids[0],
                request.method,
                request.target,
                read_host(hosts[0]),
                passed_on,
                request.body,
                read_patience(deadlines),
                request.received_at,
                request.network_s,
            )
        )

    def merged_headers(
        self, signatures: Sequence[bytes], missing: int
    ) -> tuple[Header, ...]:
        """Return the headers of an answer that was merged from shards."""
        return (
            (SIGNATURES, b", ".join(signatures)),
            (MISSING_SHARDS, b"%d" % missing),
        )


def read_host(value: bytes) -> str:
    """Return the name in a Host header, without the port.

    >>> read_host(b"Desk.example:8080")
    'desk.example'
    """
    try:
        return urlsplit(f"//{value.decode('latin-1')}").hostname or ""
    except ValueError:
        return ""


def read_patience(values: Sequence[bytes]) -> float | None:
    """Return the shortest time in seconds that was stated; None if none is readable.

    >>> read_patience([b"1200"]), read_patience([b"soon"]), read_patience([])
    (1.2, None, None)
    """
    stated = [int(value) for value in values if value.isdigit() and len(value) < 12]
    return min(min(stated), MOST_DEADLINE_MS) / MS_PER_S if stated else None
