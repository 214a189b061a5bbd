"""The limit on the memory that the replies of a process's searches may use."""

from __future__ import annotations

__all__ = ["MemoryBudget"]


class MemoryBudget:
    """Accounts for the bytes that are reserved, up to a limit for the whole process.

    >>> memory = MemoryBudget(100)
    >>> memory.reserve(80), memory.reserve(30)
    (True, False)
    >>> memory.release(80)
    >>> memory.reserved_bytes
    0
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.reserved_bytes = 0

    def reserve(self, size: int) -> bool:
        """Reserve ``size`` bytes; return false, reserving none, beyond the limit."""
        if self.reserved_bytes + size > self.max_bytes:
            return False
        self.reserved_bytes += size
        return True

    def release(self, size: int) -> None:
        """Release ``size`` bytes that were reserved before."""
        self.reserved_bytes -= size
