"""The index version and partitioning that a whole answer comes from."""

from __future__ import annotations

from typing import NamedTuple

from sardinehook.messages import ANY_VERSION

__all__ = ["ANY_SNAPSHOT", "Snapshot"]


class Snapshot(NamedTuple):
    """One version of an index under one partitioning of its records.

    Snapshots are ordered by age: the greater one is the newer.

    >>> Snapshot(41, 2) < Snapshot(42, 1)
    True
    """

    index_version: int
    partitioning: int


ANY_SNAPSHOT = Snapshot(ANY_VERSION, ANY_VERSION)
