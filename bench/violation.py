"""What a check of a history found."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from bench.history import HistoryEvent

__all__ = ["History", "Violation"]

History = Sequence[HistoryEvent]


class Violation(NamedTuple):
    """A promise that was broken at a time, by or towards ``subject``."""

    rule: str
    at: float
    subject: str
    detail: str
