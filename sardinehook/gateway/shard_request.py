"""One shard's part in a search."""

from __future__ import annotations

from sardinehook.gateway.dispatch import Exchange
from sardinehook.gateway.replica import Replica

__all__ = ["ShardRequest"]


class ShardRequest:
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
        "name",
        "open_exchanges",
        "reason",
        "records",
        "refusals",
        "signature",
        "tried",
    )

    def __init__(self, name: str) -> None:
        self.name = name
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
    def answered(self) -> bool:
        """Whether the shard has answered."""
        return self.records is not None

    @property
    def failed(self) -> bool:
        """Whether nothing more is awaited from the shard."""
        return self.records is None and self.asked and not self.open_exchanges
