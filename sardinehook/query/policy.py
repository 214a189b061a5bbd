"""What the searches of one process share."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import count

from sardinehook.environment.document import Limits

__all__ = ["SearchPolicy"]


@dataclass(slots=True)
class SearchPolicy:
    """The parts of the policy that outlive a single search.

    ``sub_query_ids`` must give each id once in the life of the process.
    """

    sub_query_ids: Iterator[int] = field(default_factory=lambda: count(1))
    limits: Limits = Limits()
