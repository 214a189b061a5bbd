"""Codec of the platform's headers in callers' requests and in answers to them."""

from __future__ import annotations

from collections.abc import Collection, Sequence
from urllib.parse import urlsplit

from returns.result import Failure, Result, Success

from sardinehook.gateway.interfaces import CallerRequest, Header, HttpRequest
from sardinehook.gateway.organisations.credential import Credential

__all__ = ["PlatformCallers"]

REQUEST_ID = b"x-request-id"
# A duration from the time of sending, not a point in time.
DEADLINE_MS = b"x-deadline-ms"
EXPECT_REPLICA = b"x-expect-instance"
# The key of the caller's organisation; never passed on.
CREDENTIAL = b"x-credential"
# The name of the organisation, which only the gateway states.
ORGANISATION = b"x-tenant-id"
UNDERSCORE, HYPHEN = b"_", b"-"
# The signatures of the shard answers in a merged answer, separated by commas.
SIGNATURES = b"X-Part-Stamps"
# The number of shards missing from a merged answer.
MISSING_SHARDS = b"X-Missing-Parts"
MS_PER_S = 1000.0
MAX_DEADLINE_MS = 86_400_000.0
# Hop-by-hop headers, and headers that the gateway sets itself.
NOT_FORWARDED = frozenset(
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
        CREDENTIAL,
        ORGANISATION,
    }
)
# Some servers take underscores in names for hyphens.
NEVER_FORWARDED = frozenset({CREDENTIAL, ORGANISATION, EXPECT_REPLICA})


class PlatformCallers:
    """Decodes callers' requests and encodes the platform's headers in answers."""

    def read_request(self, request: HttpRequest) -> Result[CallerRequest, str]:
        """Decode a caller's request; a failure says which requirement it violates."""
        hosts, ids, deadlines, credentials = [], [], [], []
        dropped = set(NOT_FORWARDED)
        for name, value in request.headers:
            lower_name = name.lower()
            if lower_name == b"host":
                hosts.append(value)
            elif lower_name == REQUEST_ID:
                ids.append(value)
            elif lower_name == DEADLINE_MS:
                deadlines.append(value)
            elif lower_name == CREDENTIAL:
                credentials.append(value)
            elif lower_name == b"connection":
                dropped.update(token.strip().lower() for token in value.split(b","))
        if len(hosts) != 1 or not hosts[0]:
            return Failure("exactly one non-empty Host header is required")
        if len(ids) != 1 or not ids[0]:
            return Failure("exactly one non-empty X-Request-Id header is required")
        if not request.target.startswith(b"/"):
            return Failure("request target must start with /")
        forwarded = tuple(
            (name, value)
            for name, value in request.headers
            if is_forwarded(name.lower(), dropped)
        )
        return Success(
            CallerRequest(
                ids[0],
                request.method,
                request.target,
                read_host(hosts[0]),
                forwarded,
                request.body,
                read_timeout(deadlines),
                request.received_at,
                request.network_s,
                read_credential(credentials),
            )
        )

    def merged_headers(
        self, signatures: Sequence[bytes], missing: int
    ) -> tuple[Header, ...]:
        """Return the platform's headers of an answer merged from shards."""
        return (
            (SIGNATURES, b", ".join(signatures)),
            (MISSING_SHARDS, b"%d" % missing),
        )


def is_forwarded(lower_name: bytes, dropped: Collection[bytes]) -> bool:
    """Return whether a header is passed on to replicas.

    >>> is_forwarded(b"x-other", ()), is_forwarded(b"x_tenant-id", ())
    (True, False)
    """
    hyphenated = lower_name.replace(UNDERSCORE, HYPHEN)
    return lower_name not in dropped and hyphenated not in NEVER_FORWARDED


def read_credential(values: Sequence[bytes]) -> Credential | None:
    """Return the caller's key; None if there is none, empty if there are several.

    >>> read_credential([]), read_credential([b" k "])
    (None, Credential(hidden))
    >>> read_credential([b" k "]) == b"k", read_credential([b"k", b"l"]) == b""
    (True, True)
    """
    if not values:
        return None
    keys = {value.strip() for value in values}
    return Credential(keys.pop() if len(keys) == 1 else b"")


def read_host(value: bytes) -> str:
    """Return the host name in a Host header without the port; empty if malformed.

    >>> read_host(b"Desk.example:8080")
    'desk.example'
    """
    try:
        return urlsplit(f"//{value.decode('latin-1')}").hostname or ""
    except ValueError:
        return ""


def read_timeout(values: Sequence[bytes]) -> float | None:
    """Return the shortest valid timeout in seconds; None if there is no valid one.

    >>> read_timeout([b"1200"]), read_timeout([b"soon"]), read_timeout([])
    (1.2, None, None)
    """
    timeouts_ms = [
        int(value) for value in values if value.isdigit() and len(value) < 12
    ]
    return min(min(timeouts_ms), MAX_DEADLINE_MS) / MS_PER_S if timeouts_ms else None
