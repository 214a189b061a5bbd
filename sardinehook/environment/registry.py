"""The revisions of environments in the platform's service, as operators change them."""

from __future__ import annotations

from typing import NamedTuple, cast

from returns.result import Failure, Result, Success
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from sardinehook.environment.change import (
    Accepted,
    Change,
    Outcome,
    Refused,
    Undecided,
    lost_to,
    next_revision,
)
from sardinehook.environment.revision import (
    Revision,
    decode_revision,
    encode_revision,
    head_key,
    revision_key,
)
from sardinehook.errors import ErrorKind, Problem
from sardinehook.store.port import (
    CREATE,
    Conflict,
    Entry,
    Store,
    StoreFailure,
    StoreUnavailable,
)
from sardinehook.transport.reactor import Timers

__all__ = ["Head", "RevisionRegistry", "store_problem"]

READ_BACK_INTERVAL_S = 0.25
READ_BACK_S = 10.0
VALUE_BYTES = 1_000_000


class Head(NamedTuple):
    """The current revision and its key's revision in the service."""

    revision: Revision
    store_revision: int


class RevisionRegistry:
    """Reads and changes the revisions of environments.

    A change is *accepted* at the moment at which the service swaps the head key to
    its revision. The revision that it replaces is kept under its own key before that,
    so the history has no gaps and nothing is ever half applied.
    """

    def __init__(self, reactor: Timers, store: Store) -> None:
        self.reactor = reactor
        self.store = store

    async def head(self, environment: str) -> Result[Head | None, Problem]:
        """Read the current revision; None if the environment has none."""
        match await self.store.get(head_key(environment)):
            case Success(None):
                return Success(None)
            case Success(Entry() as entry):
                return head_from(entry).map(optional)
            case Failure(failure):
                return Failure(store_problem(failure))
        raise AssertionError

    async def revision(
        self, environment: str, number: int
    ) -> Result[Revision, Problem]:
        """Read one revision, current or past."""
        match await self.head(environment):
            case Success(Head(revision=current)) if current.number == number:
                return Success(current)
            case Failure(problem):
                return Failure(problem)
        return await self.past_revision(environment, number)

    async def past_revision(
        self, environment: str, number: int
    ) -> Result[Revision, Problem]:
        """Read a revision that was replaced."""
        match await self.store.get(revision_key(environment, number)):
            case Success(Entry(value=value)):
                return decode_revision(value)
            case Failure(failure):
                return Failure(store_problem(failure))
        detail = f"{environment} has no revision {number}"
        return Failure(Problem(ErrorKind.NOT_FOUND, detail))

    async def history(
        self, environment: str, limit: int
    ) -> Result[list[Revision], Problem]:
        """Read the newest revisions, newest first."""
        match await self.head(environment):
            case Success(Head(revision=current)):
                found = [current]
            case Success(None):
                return Success([])
            case Failure(problem):
                return Failure(problem)
        oldest = max(1, found[0].number - limit + 1)
        for number in range(found[0].number - 1, oldest - 1, -1):
            match await self.past_revision(environment, number):
                case Success(past):
                    found.append(past)
                case Failure(problem):
                    return Failure(problem)
        return Success(found)

    async def commit(self, change: Change) -> Outcome:
        """Try to replace the head by a change, once."""
        environment = change.document.environment
        match await self.head(environment):
            case Success(head):
                pass
            case Failure(problem):
                return Refused(problem)
        planned = next_revision(head.revision if head else None, change)
        if not isinstance(planned, Revision):
            return planned
        encoded = encode_revision(planned)
        if len(encoded) > VALUE_BYTES:
            detail = f"the document takes {len(encoded)} bytes, at most {VALUE_BYTES}"
            return Refused(Problem(ErrorKind.INVALID_DOCUMENT, detail))
        kept = await self.keep(head)
        if kept is not None:
            return Refused(kept)
        expect = head.store_revision if head else CREATE
        written = await self.store.put(head_key(environment), encoded, expect)
        return await self.settle(written, planned, change)

    async def keep(self, head: Head | None) -> Problem | None:
        """Keep the current revision under its own key; repeating it is harmless."""
        if head is None:
            return None
        revision = head.revision
        key = revision_key(revision.document.environment, revision.number)
        match await self.store.put(key, encode_revision(revision), CREATE):
            case Failure(Conflict(current=Entry(value=value))):
                return None if is_change(value, revision) else broken_history(key)
            case Failure(failure):
                return store_problem(failure)
        return None

    async def settle(
        self, written: Result[Entry, StoreFailure], planned: Revision, change: Change
    ) -> Outcome:
        """Tell how a write ended, by reading back if its reply was lost."""
        match written:
            case Success():
                return Accepted(planned)
            case Failure(Conflict(current=None)):
                return lost_to(None, change)
            case Failure(Conflict(current=Entry() as entry)):
                return (
                    head_from(entry)
                    .map(lambda head: self.compare(head.revision, planned, change))
                    .value_or(Refused(broken_history(entry.key)))
                )
            case Failure(StoreUnavailable(may_have_taken_effect=False) as failure):
                return Refused(store_problem(failure))
        return await self.read_back(planned, change)

    async def read_back(self, planned: Revision, change: Change) -> Outcome:
        """Look for a change whose reply was lost."""
        until = self.reactor.seconds() + READ_BACK_S
        environment = planned.document.environment
        detail = "the service does not answer"
        while self.reactor.seconds() < until:
            match await self.head(environment):
                case Success(Head(revision=seen)) if seen.number == planned.number:
                    return self.compare(seen, planned, change)
                case Success(Head(revision=seen)) if seen.number > planned.number:
                    return await self.look_behind(seen, planned, change)
                case Success(head):
                    number = head.revision.number if head else 0
                    detail = f"the service holds revision {number}"
            await deferLater(cast(IReactorTime, self.reactor), READ_BACK_INTERVAL_S)
        return Undecided(change.change_id, detail)

    async def look_behind(
        self, seen: Revision, planned: Revision, change: Change
    ) -> Outcome:
        """Tell whether a later revision replaced this change or beat it."""
        environment = planned.document.environment
        match await self.revision(environment, planned.number):
            case Success(past) if past.change_id == planned.change_id:
                return Accepted(planned)
            case Success():
                return lost_to(seen, change)
        return Undecided(change.change_id, "the history does not answer")

    def compare(self, seen: Revision, planned: Revision, change: Change) -> Outcome:
        """Tell whether the revision that is in the service is this change."""
        if seen.change_id == planned.change_id:
            return Accepted(planned)
        return lost_to(seen, change)


def head_from(entry: Entry) -> Result[Head, Problem]:
    """Decode the entry of a head key."""
    return decode_revision(entry.value).map(
        lambda revision: Head(revision, entry.revision)
    )


def optional(head: Head) -> Head | None:
    """A head where there might be none."""
    return head


def is_change(value: bytes, revision: Revision) -> bool:
    """Whether a stored revision is the given one."""
    kept = decode_revision(value).value_or(None)
    return kept is not None and kept.change_id == revision.change_id


def broken_history(key: str) -> Problem:
    """The problem of a key that holds something else than it must."""
    detail = f"{key} holds something else; nothing was written"
    return Problem(ErrorKind.CONFLICT, detail)


def store_problem(failure: StoreFailure) -> Problem:
    """The problem of a service that did not answer, before anything was changed."""
    match failure:
        case StoreUnavailable(detail=detail):
            line = f"{detail}; nothing was changed"
            return Problem(ErrorKind.STORE_UNAVAILABLE, line)
        case Conflict():
            return Problem(ErrorKind.CONFLICT, "another change came first")
