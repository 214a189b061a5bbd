"""Buffers for received bytes, which account for the memory that they hold."""

from __future__ import annotations

__all__ = ["BodyBuffer", "MemoryAccount"]


class MemoryAccount:
    """The memory that all buffers with a common limit hold, in bytes."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0

    @property
    def is_exceeded(self) -> bool:
        """Whether the buffers hold more than the limit."""
        return self.used > self.limit


class BodyBuffer:
    """A body that is received in pieces, and its part of a ``MemoryAccount``.

    Pieces are joined as they arrive. Kept apart, each would take some 50 bytes more
    than its content, so that small ones would exceed any limit on the content.

    >>> account = MemoryAccount(1000)
    >>> body = BodyBuffer(account)
    >>> body.append(b"ab")
    >>> body.append(b"c")
    >>> account.used == body.held >= 3
    True
    >>> body.take(), account.used
    (b'abc', 0)
    """

    __slots__ = ("account", "capacity", "content", "held")

    def __init__(self, account: MemoryAccount) -> None:
        self.account = account
        self.content = bytearray()
        self.capacity = 0
        self.held = 0

    def append(self, piece: bytes) -> None:
        """Append a piece of the body."""
        self.content += piece
        capacity = self.content.__alloc__()
        if capacity != self.capacity:
            self.hold(capacity - self.capacity)
            self.capacity = capacity

    def hold(self, size: int) -> None:
        """Count ``size`` further bytes of memory, until the buffer is cleared."""
        self.held += size
        self.account.used += size

    def clear(self) -> None:
        """Drop the content."""
        self.account.used -= self.held
        self.held = self.capacity = 0
        self.content = bytearray()

    def take(self) -> bytes:
        """Return the content and drop it here."""
        content = bytes(self.content)
        self.clear()
        return content
