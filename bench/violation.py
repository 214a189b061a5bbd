"""Violations that the checks of a history report."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from bench.history import HistoryEvent

__all__ = ["History", "Violation"]

History = Sequence[HistoryEvent]


class Violation(NamedTuple):
    """A violation of a rule at a time; ``subject`` is a request, order or target."""

    rule: str
    at: float
    subject: str
    detail: str
