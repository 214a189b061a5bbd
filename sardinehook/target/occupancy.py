"""Exchanges that may still be running at a target."""

from __future__ import annotations

__all__ = ["Occupancy"]


class Occupancy:
    """Exchanges that may occupy a slot of the target, by exchange id.

    An exchange counts until its reply, a cancellation confirmed by the target, the
    end of the target's process or ``expires_at``, when its deadline has passed at
    the target. It still counts after its connection was lost or its sub-query was
    cancelled by the sender.

    >>> occupancy = Occupancy()
    >>> occupancy.begin(b"a-1", expires_at=2.0)
    >>> len(occupancy), occupancy.expire(now=2.5), len(occupancy)
    (1, [b'a-1'], 0)
    """

    def __init__(self) -> None:
        self.expires_at: dict[bytes, float] = {}

    def __len__(self) -> int:
        return len(self.expires_at)

    def begin(self, exchange_id: bytes, expires_at: float) -> None:
        """Start counting an exchange."""
        self.expires_at[exchange_id] = expires_at

    def end(self, exchange_id: bytes) -> None:
        """Stop counting an exchange that has ended at the target."""
        self.expires_at.pop(exchange_id, None)

    def clear(self) -> None:
        """Stop counting all exchanges, after the end of the target's process."""
        self.expires_at.clear()

    def expire(self, now: float) -> list[bytes]:
        """Stop counting expired exchanges and return their ids."""
        expired = [
            one for one, expires_at in self.expires_at.items() if expires_at <= now
        ]
        for exchange_id in expired:
            del self.expires_at[exchange_id]
        return expired
