"""What the gateway asks of the dialects that callers, replicas and the store speak."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from returns.result import Result

from sardinehook.gateway.configuration import Configuration
from sardinehook.transport.connection import Reply

__all__ = [
    "CallerCodec",
    "CallerRequest",
    "Header",
    "HttpRequest",
    "Load",
    "ReplicaCodec",
    "ReplicaEntry",
    "ReplicaReply",
    "RequestTiming",
    "StoreSchema",
]

Header = tuple[bytes, bytes]


class RequestTiming(NamedTuple):
    """When a request came, and what of its time passes outside of the gateway.

    ``network_s`` covers the ways of the request and of its answer.
    """

    received_at: float
    network_s: float


class HttpRequest(NamedTuple):
    """A whole HTTP request as it was received; header names are as sent.

    The last fields are those of ``RequestTiming``.
    """

    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    body: bytes
    received_at: float
    network_s: float = 0.0


class CallerRequest(NamedTuple):
    """A caller's request.

    ``caller_timeout_s`` is how long the caller waits, ``None`` if it does not say so.
    ``headers`` are those that are passed on to replicas. The last fields are those of
    ``RequestTiming``.
    """

    request_id: bytes
    method: bytes
    target: bytes
    host: str
    headers: tuple[Header, ...]
    body: bytes
    caller_timeout_s: float | None
    received_at: float
    network_s: float = 0.0

    @property
    def path(self) -> str:
        """The path of the target, which names a route.

        >>> CallerRequest(b"r", b"GET", b"//a/1?b", "h", (), b"", None, 0.0).path
        '//a/1'
        """
        return self.target.partition(b"?")[0].decode("latin-1")


class Load(NamedTuple):
    """What a replica tells of its load."""

    running: int
    waiting: int
    slots: int


class ReplicaReply(NamedTuple):
    """A replica's reply, decoded.

    ``signature`` is the replica's mark on an answer of its own. ``not_run`` is set
    where the replica states that it did not run the request, ``misdirected`` where
    the address belongs to another replica. A ``mismatched`` reply answers another
    request. ``keep_alive_s`` is how long the replica keeps the connection when idle,
    ``headers`` are those that a caller may see.
    """

    status: int
    headers: tuple[Header, ...]
    body: bytes
    signature: bytes | None
    not_run: bool
    misdirected: bool
    mismatched: bool
    content_encoded: bool
    load: Load | None
    cold_left_s: float | None
    keep_alive_s: float

    @property
    def is_success(self) -> bool:
        """Whether the replica answered the request with success."""
        signed = self.signature is not None and not self.mismatched
        return 200 <= self.status < 300 and signed and not self.content_encoded


class ReplicaEntry(NamedTuple):
    """What discovery tells of a replica; ``started_ms`` is when its process started."""

    replica_id: str
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool
    cold_left_s: float
    sequence: int
    started_ms: int


class CallerCodec(Protocol):
    """The headers that callers send and get."""

    def read_request(self, request: HttpRequest) -> Result[CallerRequest, str]:
        """Decode a caller's request; the failure says what is wrong with it."""
        ...

    def merged_headers(
        self, signatures: Sequence[bytes], missing: int
    ) -> tuple[Header, ...]:
        """Return the headers of an answer that was merged from shards."""
        ...


class ReplicaCodec(Protocol):
    """The requests to replicas and their replies."""

    def encode_request(
        self, request: CallerRequest, replica_id: str, left_s: float
    ) -> bytes:
        """Return the bytes of a request that only ``replica_id`` may run."""
        ...

    def read_reply(self, reply: Reply, request_id: bytes) -> ReplicaReply:
        """Decode a replica's reply to the request ``request_id``."""
        ...


class StoreSchema(Protocol):
    """The keys and values in the platform's store that are not the gateway's own."""

    configuration_key: str
    evacuation_prefix: str
    replica_prefix: str

    def read_configuration(self, value: bytes) -> Result[Configuration, str]:
        """Decode the operators' configuration."""
        ...

    def read_replica(self, replica_id: str, value: bytes) -> Result[ReplicaEntry, str]:
        """Decode an entry of discovery."""
        ...
