"""Interfaces of the gateway to callers, replicas and the store, and their data.

The protocols are implemented in ``sardinehook.platform``.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from returns.result import Result

from sardinehook.gateway.configuration import Configuration
from sardinehook.gateway.notices import NO_NOTICES, StatedNotices
from sardinehook.gateway.organisations.credential import Credential
from sardinehook.gateway.rollout.orders import RolloutOrder, RolloutStatus
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
    """When a request arrived, and how long it spends outside of the gateway.

    ``network_s`` is the network time of the request and of its answer together.
    """

    received_at: float
    network_s: float


class HttpRequest(NamedTuple):
    """A complete HTTP request; header names are as sent.

    The last fields are those of ``RequestTiming``.
    """

    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    body: bytes
    received_at: float
    network_s: float = 0.0

    def __repr__(self) -> str:
        # The headers may hold a key.
        path = self.target.partition(b"?")[0]
        return f"HttpRequest({self.method!r}, {path!r}, {len(self.headers)} headers)"


class CallerRequest(NamedTuple):
    """A caller's request.

    ``caller_timeout_s`` is how long the caller waits, ``None`` if it states no time.
    ``headers`` are those that are passed on to replicas. The fields after the timeout
    are those of ``RequestTiming``. ``credential`` is the caller's key, which is never
    passed on; ``organisation`` is the name of its holder, empty until that is known.
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
    credential: Credential | None = None
    organisation: str = ""

    @property
    def path(self) -> str:
        """The request target without its query, which selects a route.

        >>> CallerRequest(b"r", b"GET", b"//a/1?b", "h", (), b"", None, 0.0).path
        '//a/1'
        """
        return self.target.partition(b"?")[0].decode("latin-1")


class Load(NamedTuple):
    """The load that a replica reports.

    ``work_ratio`` is how long work takes on its machine at this moment, 1 as usual;
    ``None`` if the replica does not state it.
    """

    running: int
    waiting: int
    slots: int
    work_ratio: float | None = None


class ReplicaReply(NamedTuple):
    """A decoded reply of a replica.

    ``signature`` is what the replica adds to an answer of its own. ``not_run`` is set
    if the replica states that it did not run the request, ``misdirected`` if the
    address belongs to another replica, ``mismatched`` if the reply carries the id of
    another request, ``content_encoded`` if its body is compressed or otherwise
    encoded. ``keep_alive_s`` is how long the replica keeps an idle connection open.
    ``headers`` are those that are passed on to the caller.
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
    notices: StatedNotices = NO_NOTICES

    @property
    def is_success(self) -> bool:
        """Whether this is a usable, signed success of the replica."""
        signed = self.signature is not None and not self.mismatched
        return 200 <= self.status < 300 and signed and not self.content_encoded


class ReplicaEntry(NamedTuple):
    """A replica as registered in discovery.

    ``started_ms`` is when its process started; ``sequence`` counts
    the writes of its entry since then. ``version`` is that of its software.
    """

    replica_id: str
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool
    cold_left_s: float
    sequence: int
    started_ms: int
    version: str = ""


class CallerCodec(Protocol):
    """Decodes callers' requests and encodes the headers of answers."""

    def read_request(self, request: HttpRequest) -> Result[CallerRequest, str]:
        """Decode a caller's request; a failure describes the error."""
        ...

    def merged_headers(
        self, signatures: Sequence[bytes], missing: int
    ) -> tuple[Header, ...]:
        """Return the headers of an answer merged from shards.

        ``missing`` is the number of shards without an answer.
        """
        ...


class ReplicaCodec(Protocol):
    """Encodes requests to replicas and decodes their replies."""

    def encode_request(
        self, request: CallerRequest, replica_id: str, remaining_s: float
    ) -> bytes:
        """Encode a request that only the replica ``replica_id`` may run.

        ``remaining_s`` is the time left until the deadline.
        """
        ...

    def read_reply(self, reply: Reply, request_id: bytes) -> ReplicaReply:
        """Decode a replica's reply to the request ``request_id``.

        A reply with another request id is marked as mismatched.
        """
        ...


class StoreSchema(Protocol):
    """Keys and values in the store that operators and replicas write."""

    configuration_key: str
    evacuation_prefix: str
    replica_prefix: str
    rollout_prefix: str
    rollout_status_prefix: str

    def read_configuration(self, value: bytes) -> Result[Configuration, str]:
        """Decode the configuration; a failure describes the error."""
        ...

    def read_replica(self, replica_id: str, value: bytes) -> Result[ReplicaEntry, str]:
        """Decode a discovery entry; a failure describes the error."""
        ...

    def read_rollout(self, service: str, value: bytes) -> Result[RolloutOrder, str]:
        """Decode an order to roll out a version; a failure describes the error."""
        ...

    def read_rollout_status(self, value: bytes) -> Result[RolloutStatus, str]:
        """Decode the status of a rollout; a failure describes the error."""
        ...

    def encode_rollout_status(self, status: RolloutStatus) -> bytes:
        """Encode the status of a rollout."""
        ...
