"""The state of a search at one shard."""

from __future__ import annotations

from sardinehook.gateway.dispatch import Exchange
from sardinehook.gateway.replica import Replica

__all__ = ["ShardRequest"]


class ShardRequest:
    """The requests of a search to one shard's replicas, and the reply.

    ``attempts`` counts the sends that may have run, ``refusals`` those that certainly
    did not. ``was_sent`` is set once a request has been sent to a replica; later ones
    count as retries. ``records`` is ``None`` until the shard has answered.
    """

    __slots__ = (
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
        "was_sent",
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
        self.was_sent = False

    @property
    def answered(self) -> bool:
        """Whether the shard has answered."""
        return self.records is not None

    @property
    def failed(self) -> bool:
        """Whether the shard has no answer and no open exchange."""
        return self.records is None and self.asked and not self.open_exchanges
