"""The share of a replica that one owner may use."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["Allowance"]


class Allowance(NamedTuple):
    """Limits on the slots and connections that one owner uses of a replica.

    ``slots`` limits concurrent sub-queries and ``connections`` open connections.
    Without ``may_serve_cold`` the owner sends sub-queries only while it knows that
    the replica is warm.

    >>> Allowance(slots=2, connections=20, may_serve_cold=True).slots
    2
    """

    slots: int
    connections: int
    may_serve_cold: bool
