"""What one owner may use of a replica."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["Allowance"]


class Allowance(NamedTuple):
    """The part of a replica's slots and connections that one owner holds.

    ``slots`` is a number of sub-queries at a time and ``connections`` a number of
    open connections. Without ``may_serve_cold`` the holder sends work only while it
    knows that the replica is warm.

    >>> Allowance(slots=2, connections=20, may_serve_cold=True).slots
    2
    """

    slots: int
    connections: int
    may_serve_cold: bool
