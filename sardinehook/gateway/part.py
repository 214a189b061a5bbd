"""One shard's part in a search."""

from __future__ import annotations

from sardinehook.gateway.dispatch import Exchange
from sardinehook.gateway.replica import Replica

__all__ = ["Part"]


class Part:
    """One shard of a search: who was asked and what came back.

    ``attempts`` counts the sends that may have run, ``refusals`` those that surely did
    not. ``arrived`` is set once a request has reached a replica; what is sent after
    that is a repeat. ``records`` is ``None`` until the shard has answered.
    """

    __slots__ = (
        "arrived",
        "asked",
        "attempts",
        "hedge_at",
        "open_exchanges",
        "reason",
        "records",
        "refusals",
        "shard",
        "signature",
        "tried",
    )

    def __init__(self, shard: str) -> None:
        self.shard = shard
        self.attempts = 0
        self.refusals = 0
        self.tried: list[Replica] = []
        self.open_exchanges: list[Exchange] = []
        self.hedge_at = 0.0
        self.records: list[bytes] | None = None
        self.signature = b""
        self.reason = "no reply in time"
        self.asked = False
        self.arrived = False

    @property
    def is_in(self) -> bool:
        """Whether the shard has answered."""
        return self.records is not None

    @property
    def is_lost(self) -> bool:
        """Whether nothing more is awaited from the shard."""
        return self.records is None and self.asked and not self.open_exchanges
