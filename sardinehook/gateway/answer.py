"""Answers to callers."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from sardinehook.errors import ErrorKind, Problem
from sardinehook.gateway.interfaces import Header

__all__ = ["CallerAnswer", "error_answer"]


class CallerAnswer(NamedTuple):
    """A complete HTTP answer to a caller, with its log fields.

    ``outcome`` is ``answered`` or the kind of the error.
    """

    status: int
    headers: tuple[Header, ...]
    body: bytes
    outcome: str
    detail: str = ""


def error_answer(problem: Problem, retry_after_s: float | None = None) -> CallerAnswer:
    """Return the answer for an error, with the status of its kind.

    ``retry_after_s`` overrides the Retry-After delay of the kind.

    >>> error_answer(Problem(ErrorKind.OVERLOADED, "busy"), 0.25).headers[1]
    (b'Retry-After', b'0.25')
    """
    answer = problem.response
    if retry_after_s is None and answer.retry_after_ms:
        retry_after_s = answer.retry_after_ms / 1000.0
    headers: list[Header] = [(b"Content-Type", b"application/json")]
    if retry_after_s is not None:
        headers.append((b"Retry-After", f"{retry_after_s:.3g}".encode()))
    body = {"error": {"kind": problem.kind.value, "detail": problem.detail}}
    return CallerAnswer(
        answer.status,
        tuple(headers),
        msgspec.json.encode(body),
        problem.kind.value,
        problem.detail,
    )


def bad_request_answer(detail: str) -> CallerAnswer:
    """Return the answer to a malformed request."""
    return error_answer(Problem(ErrorKind.BAD_REQUEST, detail))
