"""The closed list of error kinds and the table from kind to answer."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

__all__ = ["ANSWERS", "Answer", "ErrorKind", "Problem", "SardinehookError"]


class ErrorKind(StrEnum):
    """Every way in which a request or an operation can fail."""

    BAD_REQUEST = "bad_request"
    NOT_FOUND = "not_found"
    PAYLOAD_TOO_LARGE = "payload_too_large"
    NO_DOCUMENT = "no_document"
    OVERLOADED = "overloaded"
    DEADLINE_TOO_SHORT = "deadline_too_short"
    DATA_CENTRE_OUT = "data_centre_out"
    STOPPING = "stopping"
    STORE_UNAVAILABLE = "store_unavailable"
    TARGET_UNAVAILABLE = "target_unavailable"
    COVERAGE_BELOW_LEAST = "coverage_below_least"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    ORDER_IN_PROGRESS = "order_in_progress"
    OUTCOME_UNKNOWN = "outcome_unknown"
    INVALID_SETTINGS = "invalid_settings"
    INVALID_DOCUMENT = "invalid_document"
    CONFLICT = "conflict"
    INTERNAL = "internal"


class Answer(NamedTuple):
    """What a caller is told about a kind of error.

    ``status`` is the HTTP status code. ``not_run`` promises that no target can
    have begun any part of the request. ``retry_after_ms`` is the wait that is
    advised before the request is sent again; zero means that no retry is advised.
    """

    status: int
    not_run: bool
    retry_after_ms: int


ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.BAD_REQUEST: Answer(400, True, 0),
    ErrorKind.NOT_FOUND: Answer(404, True, 0),
    ErrorKind.PAYLOAD_TOO_LARGE: Answer(413, True, 0),
    ErrorKind.NO_DOCUMENT: Answer(503, True, 1000),
    ErrorKind.OVERLOADED: Answer(503, True, 500),
    ErrorKind.DEADLINE_TOO_SHORT: Answer(503, True, 0),
    ErrorKind.DATA_CENTRE_OUT: Answer(503, True, 100),
    ErrorKind.STOPPING: Answer(503, True, 100),
    ErrorKind.STORE_UNAVAILABLE: Answer(503, True, 1000),
    ErrorKind.TARGET_UNAVAILABLE: Answer(503, True, 500),
    ErrorKind.COVERAGE_BELOW_LEAST: Answer(504, False, 500),
    ErrorKind.DEADLINE_EXCEEDED: Answer(504, False, 0),
    ErrorKind.ORDER_IN_PROGRESS: Answer(409, False, 500),
    ErrorKind.OUTCOME_UNKNOWN: Answer(502, False, 0),
    ErrorKind.INVALID_SETTINGS: Answer(400, True, 0),
    ErrorKind.INVALID_DOCUMENT: Answer(400, True, 0),
    ErrorKind.CONFLICT: Answer(409, True, 0),
    ErrorKind.INTERNAL: Answer(500, False, 0),
}


class Problem(NamedTuple):
    """An error kind with one line of detail for a person.

    >>> Problem(ErrorKind.OVERLOADED, "the queue is full").answer.status
    503
    """

    kind: ErrorKind
    detail: str

    @property
    def answer(self) -> Answer:
        """The answer that the table gives for this kind."""
        return ANSWERS[self.kind]


class SardinehookError(Exception):
    """Carries a ``Problem`` where an exception is the only way out."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(f"{problem.kind}: {problem.detail}")
        self.problem = problem
