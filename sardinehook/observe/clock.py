"""Hybrid logical clock that gives events of many processes a causal order."""

from __future__ import annotations

from collections.abc import Callable

__all__ = ["COUNTER_BITS", "MAX_STAMP", "HybridClock", "stamp_seconds"]

COUNTER_BITS = 16
MAX_STAMP = (1 << 63) - 1
MS_PER_SECOND = 1000


def stamp_seconds(stamp: int) -> float:
    """Return the wall clock part of a stamp in seconds since the epoch.

    >>> stamp_seconds(1500 << COUNTER_BITS)
    1.5
    """
    return (stamp >> COUNTER_BITS) / MS_PER_SECOND


class HybridClock:
    """Issues stamps that increase with each event and each message received.

    A stamp packs wall clock milliseconds and a counter into one integer
    (``milliseconds << 16 | counter``). Sorting by stamp respects causal order even
    if the wall clocks of two processes differ or step back, provided that each
    message carries the sender's stamp and the receiver passes it to ``witness``.
    The algorithm is that of Kulkarni et al., "Logical Physical Clocks" (2014),
    with an overflowing counter carrying over into the milliseconds. ``wall``
    returns seconds since the epoch.

    >>> clock = HybridClock(lambda: 2.0)
    >>> clock.tick() == 2000 << COUNTER_BITS
    True
    >>> clock.tick() - (2000 << COUNTER_BITS)
    1
    """

    def __init__(self, wall: Callable[[], float]) -> None:
        self.wall = wall
        self.last = 0

    def tick(self) -> int:
        """Return the stamp of a local event or of a message to be sent."""
        now = int(self.wall() * MS_PER_SECOND) << COUNTER_BITS
        last = self.last + 1
        self.last = now if now > last else last
        return self.last

    def witness(self, stamp: int) -> int:
        """Return the stamp of the receipt of a message that carries ``stamp``.

        A stamp that is negative, or not below ``MAX_STAMP``, is ignored.
        """
        if 0 <= stamp < MAX_STAMP:
            self.last = max(self.last, stamp)
        return self.tick()
