"""Reads and writes the revisions of environments in the platform's key-value store."""

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
READ_BACK_TIMEOUT_S = 10.0
MAX_VALUE_BYTES = 1_000_000


class Head(NamedTuple):
    """The current revision, and the revision of its key in the store."""

    revision: Revision
    store_revision: int


class RevisionRegistry:
    """Reads and changes the revisions of environments.

    A change is *accepted* when a compare-and-swap of the head key to its revision
    succeeds. The revision that it replaces is archived under its own key before that,
    so the history has no gaps and no change is partially applied.
    """

    def __init__(self, reactor: Timers, store: Store) -> None:
        self.reactor = reactor
        self.store = store

    async def head(self, environment: str) -> Result[Head | None, Problem]:
        """Read the current revision; ``None`` if the environment has none."""
        match await self.store.get(head_key(environment)):
            case Success(None):
                return Success(None)
            case Success(Entry() as entry):
                return decode_head(entry).map(optional)
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
        """Read an archived revision; a ``NOT_FOUND`` problem if there is none."""
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
        """Read up to ``limit`` revisions, newest first."""
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
        """Try once to replace the current revision with a change.

        A write whose reply is lost is not retried but read back.
        """
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
        if len(encoded) > MAX_VALUE_BYTES:
            detail = f"the revision has {len(encoded)} bytes, limit {MAX_VALUE_BYTES}"
            return Refused(Problem(ErrorKind.INVALID_DOCUMENT, detail))
        archive_problem = await self.archive(head)
        if archive_problem is not None:
            return Refused(archive_problem)
        expect = head.store_revision if head else CREATE
        result = await self.store.put(head_key(environment), encoded, expect)
        return await self.resolve_write(result, planned, change)

    async def archive(self, head: Head | None) -> Problem | None:
        """Copy the current revision to its own key; idempotent.

        Returns ``None`` on success.
        """
        if head is None:
            return None
        revision = head.revision
        key = revision_key(revision.document.environment, revision.number)
        match await self.store.put(key, encode_revision(revision), CREATE):
            case Failure(Conflict(current=Entry(value=value))):
                return (
                    None if is_same_change(value, revision) else history_conflict(key)
                )
            case Failure(failure):
                return store_problem(failure)
        return None

    async def resolve_write(
        self, result: Result[Entry, StoreFailure], planned: Revision, change: Change
    ) -> Outcome:
        """Return the outcome of a write; reads it back if the reply was lost."""
        match result:
            case Success():
                return Accepted(planned)
            case Failure(Conflict(current=None)):
                return lost_to(None, change)
            case Failure(Conflict(current=Entry() as entry)):
                return (
                    decode_head(entry)
                    .map(lambda head: self.outcome_of(head.revision, planned, change))
                    .value_or(Refused(history_conflict(entry.key)))
                )
            case Failure(StoreUnavailable(may_have_taken_effect=False) as failure):
                return Refused(store_problem(failure))
        return await self.read_back(planned, change)

    async def read_back(self, planned: Revision, change: Change) -> Outcome:
        """Poll the store for a change whose reply was lost, until a timeout."""
        deadline = self.reactor.seconds() + READ_BACK_TIMEOUT_S
        environment = planned.document.environment
        detail = "the store does not answer"
        while self.reactor.seconds() < deadline:
            match await self.head(environment):
                case Success(Head(revision=stored)) if stored.number == planned.number:
                    return self.outcome_of(stored, planned, change)
                case Success(Head(revision=stored)) if stored.number > planned.number:
                    return await self.check_history(stored, planned, change)
                case Success(head):
                    number = head.revision.number if head else 0
                    detail = f"the store holds revision {number}"
            await deferLater(cast(IReactorTime, self.reactor), READ_BACK_INTERVAL_S)
        return Undecided(change.change_id, detail)

    async def check_history(
        self, stored: Revision, planned: Revision, change: Change
    ) -> Outcome:
        """Check whether the change was accepted before a later revision replaced it."""
        environment = planned.document.environment
        match await self.revision(environment, planned.number):
            case Success(past) if past.change_id == planned.change_id:
                return Accepted(planned)
            case Success():
                return lost_to(stored, change)
        return Undecided(
            change.change_id, f"revision {planned.number} could not be read"
        )

    def outcome_of(
        self, stored: Revision, planned: Revision, change: Change
    ) -> Outcome:
        """Return whether the revision in the store is this change, as an outcome."""
        if stored.change_id == planned.change_id:
            return Accepted(planned)
        return lost_to(stored, change)


def decode_head(entry: Entry) -> Result[Head, Problem]:
    """Decode the entry of the head key."""
    return decode_revision(entry.value).map(
        lambda revision: Head(revision, entry.revision)
    )


def optional(head: Head) -> Head | None:
    """Return the head, typed as optional for ``Result.map``."""
    return head


def is_same_change(value: bytes, revision: Revision) -> bool:
    """Return whether an encoded revision has the change id of the given one."""
    stored = decode_revision(value).value_or(None)
    return stored is not None and stored.change_id == revision.change_id


def history_conflict(key: str) -> Problem:
    """Return the problem of a key that does not hold the expected revision."""
    detail = f"{key} does not hold the expected revision; nothing was written"
    return Problem(ErrorKind.CONFLICT, detail)


def store_problem(failure: StoreFailure) -> Problem:
    """Return the problem of a store call that failed before anything was changed."""
    match failure:
        case StoreUnavailable(detail=detail):
            line = f"{detail}; nothing was changed"
            return Problem(ErrorKind.STORE_UNAVAILABLE, line)
        case Conflict():
            return Problem(ErrorKind.CONFLICT, "another change was written first")
