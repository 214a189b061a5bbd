"""A bound on the bytes of replies that all searches of a process hold."""

from __future__ import annotations

__all__ = ["MemoryMeter"]


class MemoryMeter:
    """Counts bytes held against a bound for the whole process.

    >>> meter = MemoryMeter(100)
    >>> meter.reserve(80), meter.reserve(30)
    (True, False)
    >>> meter.release(80)
    >>> meter.held_bytes
    0
    """

    def __init__(self, most_bytes: int) -> None:
        self.most_bytes = most_bytes
        self.held_bytes = 0

    def reserve(self, size: int) -> bool:
        """Reserve ``size`` bytes, or none if that would pass the bound."""
        if self.held_bytes + size > self.most_bytes:
            return False
        self.held_bytes += size
        return True

    def release(self, size: int) -> None:
        """Give back ``size`` bytes that were reserved."""
        self.held_bytes -= size
