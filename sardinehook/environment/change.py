"""A change of an environment's document, and how it ended."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from sardinehook.environment.difference import Difference, differences
from sardinehook.environment.document import EnvironmentDocument
from sardinehook.environment.revision import Revision, make_revision
from sardinehook.errors import ErrorKind, Problem

__all__ = [
    "Accepted",
    "Change",
    "Lost",
    "Outcome",
    "Refused",
    "Unchanged",
    "Undecided",
    "lost_to",
    "next_revision",
    "problem_of",
]


class Change(NamedTuple):
    """A document that shall replace revision ``edited_from``, zero for none."""

    document: EnvironmentDocument
    edited_from: int
    change_id: str
    author: str
    note: str


@dataclass(frozen=True)
class Accepted:
    """The change is in the service as ``revision`` and comes in force everywhere."""

    revision: Revision


@dataclass(frozen=True)
class Unchanged:
    """The document in the service is equal already; nothing was written."""

    revision: Revision


@dataclass(frozen=True)
class Lost:
    """Another change came first; nothing of this one was written.

    ``differences`` lead from this change's document to the winner's.
    """

    winner: Revision | None
    differences: tuple[Difference, ...]


@dataclass(frozen=True)
class Refused:
    """Nothing was written."""

    problem: Problem


@dataclass(frozen=True)
class Undecided:
    """The reply to the write was lost and reading back did not settle it yet.

    The write may still take effect. It is not written again.
    """

    change_id: str
    detail: str


Outcome = Accepted | Unchanged | Lost | Refused | Undecided


def next_revision(head: Revision | None, change: Change) -> Revision | Outcome:
    """Decide whether a change may replace the head, and make the revision."""
    number = head.number if head else 0
    if head is not None and head.document == change.document:
        return Unchanged(head)
    if number != change.edited_from:
        return lost_to(head, change)
    return make_revision(
        number + 1, change.change_id, change.author, change.note, change.document
    )


def lost_to(head: Revision | None, change: Change) -> Lost:
    """Tell who won, and what differs."""
    if head is None:
        return Lost(None, ())
    return Lost(head, tuple(differences(change.document, head.document)))


def problem_of(outcome: Outcome) -> Problem | None:
    """One line about a change that was not accepted, None if it was."""
    match outcome:
        case Accepted() | Unchanged():
            return None
        case Lost(winner=None):
            return Problem(ErrorKind.CONFLICT, "the environment has no revision")
        case Lost(winner=Revision() as winner):
            return Problem(ErrorKind.CONFLICT, lost_line(winner))
        case Refused(problem):
            return problem
        case Undecided(change_id, detail):
            line = (
                f"the reply was lost and change {change_id} is not seen yet ({detail});"
                " it may still be accepted: look at the history before you put again"
            )
            return Problem(ErrorKind.OUTCOME_UNKNOWN, line)
    raise AssertionError(outcome)


def lost_line(winner: Revision) -> str:
    """Say who won."""
    note = f' "{winner.note}"' if winner.note else ""
    return (
        f"revision {winner.number} by {winner.author}{note} is in force;"
        f" nothing of this change was written; edit from {winner.number}"
    )
