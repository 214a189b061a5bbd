"""Error kinds and the HTTP response of each."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

__all__ = [
    "ERROR_RESPONSES",
    "ErrorKind",
    "ErrorResponse",
    "Problem",
    "SardinehookError",
]


class ErrorKind(StrEnum):
    """The kinds of errors; every failed request or operation has one of them."""

    BAD_REQUEST = "bad_request"
    UNKNOWN_KEY = "unknown_key"
    NOT_FOUND = "not_found"
    PAYLOAD_TOO_LARGE = "payload_too_large"
    NO_DOCUMENT = "no_document"
    QUOTA_EXCEEDED = "quota_exceeded"
    QUOTA_UNKNOWN = "quota_unknown"
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


class ErrorResponse(NamedTuple):
    """The response to a caller for one kind of error.

    ``status`` is the HTTP status code. ``not_run`` guarantees that no target can have
    begun any part of the request. ``retry_after_ms`` is the recommended wait before
    the request is sent again; zero means that a retry is not recommended.
    """

    status: int
    not_run: bool
    retry_after_ms: int


ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.BAD_REQUEST: ErrorResponse(400, True, 0),
    ErrorKind.UNKNOWN_KEY: ErrorResponse(401, True, 0),
    ErrorKind.NOT_FOUND: ErrorResponse(404, True, 0),
    ErrorKind.PAYLOAD_TOO_LARGE: ErrorResponse(413, True, 0),
    ErrorKind.NO_DOCUMENT: ErrorResponse(503, True, 1000),
    ErrorKind.QUOTA_EXCEEDED: ErrorResponse(429, True, 1000),
    ErrorKind.QUOTA_UNKNOWN: ErrorResponse(503, True, 500),
    ErrorKind.OVERLOADED: ErrorResponse(503, True, 500),
    ErrorKind.DEADLINE_TOO_SHORT: ErrorResponse(503, True, 0),
    ErrorKind.DATA_CENTRE_OUT: ErrorResponse(503, True, 100),
    ErrorKind.STOPPING: ErrorResponse(503, True, 100),
    ErrorKind.STORE_UNAVAILABLE: ErrorResponse(503, True, 1000),
    ErrorKind.TARGET_UNAVAILABLE: ErrorResponse(503, True, 500),
    ErrorKind.COVERAGE_BELOW_LEAST: ErrorResponse(504, False, 500),
    ErrorKind.DEADLINE_EXCEEDED: ErrorResponse(504, False, 0),
    ErrorKind.ORDER_IN_PROGRESS: ErrorResponse(409, False, 500),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(502, False, 0),
    ErrorKind.INVALID_SETTINGS: ErrorResponse(400, True, 0),
    ErrorKind.INVALID_DOCUMENT: ErrorResponse(400, True, 0),
    ErrorKind.CONFLICT: ErrorResponse(409, True, 0),
    ErrorKind.INTERNAL: ErrorResponse(500, False, 0),
}


class Problem(NamedTuple):
    """An error kind with a detail of one line for operators and callers.

    >>> Problem(ErrorKind.OVERLOADED, "the queue is full").response.status
    503
    """

    kind: ErrorKind
    detail: str

    @property
    def response(self) -> ErrorResponse:
        """The response to callers for this kind."""
        return ERROR_RESPONSES[self.kind]


class SardinehookError(Exception):
    """Carries a ``Problem`` where an error can only be raised, not returned."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(f"{problem.kind}: {problem.detail}")
        self.problem = problem
