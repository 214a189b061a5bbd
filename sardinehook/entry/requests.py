"""Parsing and validation of callers' requests, and the error format."""

from __future__ import annotations

import re
import uuid
from typing import NamedTuple, TypedDict

import msgspec
from returns.result import Failure, Result, Success

from sardinehook.decoding import DECODE_ERRORS
from sardinehook.environment.document import EnvironmentDocument, Scope, Workload
from sardinehook.errors import ErrorKind, Problem

__all__ = [
    "CallerRequest",
    "ErrorAnswer",
    "ErrorDetail",
    "SearchBody",
    "encode_error",
    "parse_deadline_ms",
    "parse_request_id",
    "resolve_request",
]

REQUEST_ID_PATTERN = re.compile(r"^[A-Za-z0-9._:-]{1,64}$")
MIN_DEADLINE_MS = 1.0


class SearchBody(TypedDict, total=False):
    """The fields of a request body that are read here; all are passed on."""

    service: str
    limit: int


class CallerRequest(NamedTuple):
    """A caller's request, validated against the document in force.

    ``service`` is the service to query if the workload has scope one.
    """

    request_id: str
    workload_name: str
    workload: Workload
    service: str
    deadline_ms: float
    limit: int
    body: bytes


class ErrorDetail(TypedDict):
    """The ``error`` member of an error body."""

    kind: str
    detail: str
    not_run: bool


class ErrorAnswer(TypedDict):
    """The body of every error response."""

    request_id: str
    error: ErrorDetail


def encode_error(request_id: str, problem: Problem) -> bytes:
    """Encode the error body for a problem.

    >>> encode_error("r1", Problem(ErrorKind.STOPPING, "bye"))[:20]
    b'{"request_id":"r1","'
    """
    detail = ErrorDetail(
        kind=problem.kind.value,
        detail=problem.detail,
        not_run=problem.response.not_run,
    )
    return msgspec.json.encode(ErrorAnswer(request_id=request_id, error=detail))


def parse_request_id(header: str | None) -> Result[str, Problem]:
    """Return the caller's request id; generate one if the header is absent."""
    if header is None:
        return Success(uuid.uuid4().hex)
    if not REQUEST_ID_PATTERN.match(header):
        detail = "Request-Id must be 1 to 64 letters, digits or ._:-"
        return Failure(Problem(ErrorKind.BAD_REQUEST, detail))
    return Success(header)


def parse_deadline_ms(header: str | None, longest_ms: float) -> Result[float, Problem]:
    """Return the deadline in ms, capped at the workload's ``longest_ms``.

    >>> parse_deadline_ms("900", 150.0).unwrap()
    150.0
    """
    if header is None:
        return Success(longest_ms)
    try:
        deadline_ms = float(header)
    except ValueError:
        deadline_ms = float("nan")
    if not MIN_DEADLINE_MS <= deadline_ms < float("inf"):
        detail = f"Deadline-Ms must be a number of at least {MIN_DEADLINE_MS:g}"
        return Failure(Problem(ErrorKind.BAD_REQUEST, detail))
    return Success(min(deadline_ms, longest_ms))


def resolve_request(
    document: EnvironmentDocument,
    workload_name: str,
    request_id: str,
    deadline_header: str | None,
    body: bytes,
) -> Result[CallerRequest, Problem]:
    """Validate a caller's request against the document in force."""
    workload = document.workloads.get(workload_name)
    if workload is None:
        detail = f"the document has no workload {workload_name!r}"
        return Failure(Problem(ErrorKind.NOT_FOUND, detail))
    if len(body) > document.limits.request_bytes:
        detail = (
            f"the body has {len(body)} bytes, limit {document.limits.request_bytes}"
        )
        return Failure(Problem(ErrorKind.PAYLOAD_TOO_LARGE, detail))
    try:
        fields = msgspec.json.decode(body, type=SearchBody)
    except DECODE_ERRORS as error:
        return Failure(Problem(ErrorKind.BAD_REQUEST, f"the body is invalid: {error}"))
    limit = fields.get("limit", workload.result_limit)
    if limit < 1:
        return Failure(
            Problem(ErrorKind.BAD_REQUEST, f"limit must be at least 1, got {limit}")
        )
    service = fields.get("service") or only_service(document, workload)
    if workload.scope is Scope.ONE and not service:
        detail = "the body must name one service of the workload's indexes"
        return Failure(Problem(ErrorKind.BAD_REQUEST, detail))
    return parse_deadline_ms(deadline_header, workload.deadline_ms).map(
        lambda deadline_ms: CallerRequest(
            request_id=request_id,
            workload_name=workload_name,
            workload=workload,
            service=service,
            deadline_ms=deadline_ms,
            limit=min(limit, workload.result_limit),
            body=body,
        )
    )


def only_service(document: EnvironmentDocument, workload: Workload) -> str:
    """Return the service if the workload has only one, else an empty string."""
    names = [
        name for index in workload.indexes for name in document.indexes[index].services
    ]
    return names[0] if len(names) == 1 else ""
