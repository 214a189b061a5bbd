"""Changes to an environment's document, and their outcomes."""

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
    """A document to replace revision ``edited_from``; zero if it is to be the first."""

    document: EnvironmentDocument
    edited_from: int
    change_id: str
    author: str
    note: str


@dataclass(frozen=True)
class Accepted:
    """The store holds the change as ``revision``; all nodes will put it in force."""

    revision: Revision


@dataclass(frozen=True)
class Unchanged:
    """The current revision has the same document; nothing was written."""

    revision: Revision


@dataclass(frozen=True)
class Lost:
    """Another change was written first; nothing of this one was written.

    ``differences`` lists what the winner's document changes in this change's document.
    """

    winner: Revision | None
    differences: tuple[Difference, ...]


@dataclass(frozen=True)
class Refused:
    """The change failed with ``problem``; nothing was written."""

    problem: Problem


@dataclass(frozen=True)
class Undecided:
    """The reply to the write was lost and the outcome could not be read back in time.

    The write may still take effect. It is not retried.
    """

    change_id: str
    detail: str


Outcome = Accepted | Unchanged | Lost | Refused | Undecided


def next_revision(head: Revision | None, change: Change) -> Revision | Outcome:
    """Return the revision to write, or the outcome if there is none to write."""
    number = head.number if head else 0
    if head is not None and head.document == change.document:
        return Unchanged(head)
    if number != change.edited_from:
        return lost_to(head, change)
    return make_revision(
        number + 1, change.change_id, change.author, change.note, change.document
    )


def lost_to(head: Revision | None, change: Change) -> Lost:
    """Return the outcome of a change that lost to the revision ``head``."""
    if head is None:
        return Lost(None, ())
    return Lost(head, tuple(differences(change.document, head.document)))


def problem_of(outcome: Outcome) -> Problem | None:
    """Return why a change was not accepted; ``None`` if it was or was not needed."""
    match outcome:
        case Accepted() | Unchanged():
            return None
        case Lost(winner=None):
            return Problem(ErrorKind.CONFLICT, "the environment has no revision")
        case Lost(winner=Revision() as winner):
            return Problem(ErrorKind.CONFLICT, conflict_detail(winner))
        case Refused(problem):
            return problem
        case Undecided(change_id, detail):
            line = (
                f"no reply to the write, and change {change_id} is not visible yet"
                f" ({detail}); it may still be accepted: check the history before"
                " putting it again"
            )
            return Problem(ErrorKind.OUTCOME_UNKNOWN, line)
    raise AssertionError(outcome)


def conflict_detail(winner: Revision) -> str:
    """Return the error message for a change that lost to ``winner``."""
    note = f' "{winner.note}"' if winner.note else ""
    return (
        f"revision {winner.number} by {winner.author}{note} is in force;"
        f" nothing of this change was written; edit from {winner.number}"
    )
