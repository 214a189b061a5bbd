"""What may still be running at a replica, as far as its owner can know."""

from __future__ import annotations

__all__ = ["Occupancy"]


class Occupancy:
    """Exchanges that may occupy the target, by exchange id.

    An exchange counts until its reply, until a cancellation that the target has
    confirmed, until ``expires_at``, when its deadline has passed at the target, or until
    the target's process has ended. The end of its connection or of the caller's
    interest does not end it.

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
        """Count an exchange from now on."""
        self.expires_at[exchange_id] = expires_at

    def end(self, exchange_id: bytes) -> None:
        """Stop counting an exchange that is known to have ended."""
        self.expires_at.pop(exchange_id, None)

    def clear(self) -> None:
        """Stop counting everything, since the target's process has ended."""
        self.expires_at.clear()

    def expire(self, now: float) -> list[bytes]:
        """Stop counting what has passed its deadline and return its ids."""
        expired = [
            one for one, expires_at in self.expires_at.items() if expires_at <= now
        ]
        for exchange_id in expired:
            del self.expires_at[exchange_id]
        return expired
