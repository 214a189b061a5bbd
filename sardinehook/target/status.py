"""Which index versions a replica holds, by its replies before its status."""

from __future__ import annotations

from msgspec import DecodeError, Struct, ValidationError
from msgspec.json import Decoder

from sardinehook.target.codec import ReplyHead

__all__ = ["ReplicaStatus", "StatusBody", "read_status"]

REPLY_PRECEDENCE_S = 5.0


class StatusBody(Struct, frozen=True):
    """The body of a target's ``GET /status``."""

    state: str = "unknown"
    in_flight: int = 0
    index_versions: tuple[int, ...] = ()
    partitioning: int = 0


status_decoder = Decoder(StatusBody)


def read_status(body: bytes) -> StatusBody | None:
    """Return the status in ``body``, or ``None`` where it is malformed.

    >>> read_status(b'{"index_versions": [41, 42], "partitioning": 1}').partitioning
    1
    >>> read_status(b"nonsense") is None
    True
    """
    try:
        return status_decoder.decode(body)
    except (DecodeError, ValidationError):
        return None


class ReplicaStatus:
    """The newest account of the versions that a replica holds.

    What stands in real replies goes first: the status endpoint is believed only
    while no reply has told anything for some seconds.
    """

    def __init__(self) -> None:
        self.index_versions: tuple[int, ...] = ()
        self.partitioning = 0
        self.replied_at: float | None = None
        self.known = False

    def note_reply(self, head: ReplyHead, now: float) -> None:
        """Take the versions in the headers of a reply."""
        if not head.versions_held:
            return
        self.index_versions = head.versions_held
        self.partitioning = head.partitioning
        self.replied_at = now
        self.known = True

    def note_status(self, status: StatusBody | None, now: float) -> None:
        """Take the status endpoint's account where nothing better is known."""
        if status is None:
            return
        if self.replied_at is not None and now < self.replied_at + REPLY_PRECEDENCE_S:
            return
        self.known = True
        self.index_versions = status.index_versions
        self.partitioning = status.partitioning
