"""Index versions that a replica holds, from its replies and status endpoint."""

from __future__ import annotations

from msgspec import Struct
from msgspec.json import Decoder

from sardinehook.decoding import DECODE_ERRORS
from sardinehook.target.codec import ReplyHead

__all__ = ["ReplicaStatus", "StatusBody", "read_status"]

REPLY_PRECEDENCE_S = 5.0  # status polls are ignored for so long after a reply


class StatusBody(Struct, frozen=True):
    """The body of a target's ``GET /status``."""

    state: str = "unknown"
    in_flight: int = 0
    index_versions: tuple[int, ...] = ()
    partitioning: int = 0


status_decoder = Decoder(StatusBody)


def read_status(body: bytes) -> StatusBody | None:
    """Return the status in ``body``, or ``None`` if it is malformed.

    >>> read_status(b'{"index_versions": [41, 42], "partitioning": 1}').partitioning
    1
    >>> read_status(b"nonsense") is None
    True
    """
    try:
        return status_decoder.decode(body)
    except DECODE_ERRORS:
        return None


class ReplicaStatus:
    """The versions that a replica holds, as last reported.

    Replies to sub-queries take precedence over the status endpoint, which is used
    only after ``REPLY_PRECEDENCE_S`` without a reply that lists versions. ``known``
    is set once either has reported.
    """

    def __init__(self) -> None:
        self.index_versions: tuple[int, ...] = ()
        self.partitioning = 0
        self.replied_at: float | None = None
        self.known = False

    def record_reply(self, head: ReplyHead, now: float) -> None:
        """Record the versions in the headers of a reply, if any."""
        if not head.versions_held:
            return
        self.index_versions = head.versions_held
        self.partitioning = head.partitioning
        self.replied_at = now
        self.known = True

    def record_status(self, status: StatusBody | None, now: float) -> None:
        """Record a status unless it is malformed or a recent reply takes precedence."""
        if status is None:
            return
        if self.replied_at is not None and now < self.replied_at + REPLY_PRECEDENCE_S:
            return
        self.known = True
        self.index_versions = status.index_versions
        self.partitioning = status.partitioning
