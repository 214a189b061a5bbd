"""The actions that a search returns for its caller to perform."""

from __future__ import annotations

from dataclasses import dataclass

from sardinehook.errors import Problem
from sardinehook.messages import SubQuery
from sardinehook.query.answer import SearchAnswer
from sardinehook.query.coverage import Coverage

__all__ = ["Action", "Cancel", "Send", "Settle"]


@dataclass(frozen=True, slots=True)
class Send:
    """Send a sub-query to the owner of its replica."""

    sub_query: SubQuery


@dataclass(frozen=True, slots=True)
class Cancel:
    """Ask the owner to cancel a sub-query, whose reply is no longer needed."""

    sub_query_id: int


@dataclass(frozen=True, slots=True)
class Settle:
    """Answer the caller; returned once, as the last action of a search."""

    outcome: SearchAnswer | Problem
    coverage: Coverage


Action = Send | Cancel | Settle
