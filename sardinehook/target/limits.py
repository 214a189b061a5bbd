"""Limits common to all replicas of one owner."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["OwnerLimits"]


class OwnerLimits(NamedTuple):
    """Memory and time limits of a ``TargetOwner``.

    ``occupancy_margin_s`` is how long after its deadline an unfinished exchange still
    counts as running at the target. In each ``poll_interval_s`` one replica's status
    is polled.
    """

    reply_bytes: int = 1_048_576
    header_bytes: int = 16_384
    queue_length: int = 64
    connect_timeout_s: float = 1.0
    sweep_interval_s: float = 0.01
    occupancy_margin_s: float = 0.05
    poll_interval_s: float = 0.25
