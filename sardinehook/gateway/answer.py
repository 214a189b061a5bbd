"""What a caller is answered."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from sardinehook.errors import ErrorKind, Problem
from sardinehook.gateway.ports import Header

__all__ = ["CallerAnswer", "refuse"]


class CallerAnswer(NamedTuple):
    """A whole answer to a caller, and the line that the log keeps of it.

    ``outcome`` is ``answered`` or the kind of the error.
    """

    status: int
    headers: tuple[Header, ...]
    body: bytes
    outcome: str
    detail: str = ""


def refuse(problem: Problem, retry_after_s: float | None = None) -> CallerAnswer:
    """Return the answer for an error; the table of kinds decides the status.

    >>> refuse(Problem(ErrorKind.OVERLOADED, "busy"), 0.25).headers[1]
    (b'Retry-After', b'0.25')
    """
    answer = problem.response
    if retry_after_s is None and answer.retry_after_ms:
        retry_after_s = answer.retry_after_ms / 1000.0
    headers: list[Header] = [(b"Content-Type", b"application/json")]
    if retry_after_s is not None:
        headers.append((b"Retry-After", f"{retry_after_s:.3g}".encode()))
    told = {"error": {"kind": problem.kind.value, "detail": problem.detail}}
    return CallerAnswer(
        answer.status,
        tuple(headers),
        msgspec.json.encode(told),
        problem.kind.value,
        problem.detail,
    )


def invalid(detail: str) -> CallerAnswer:
    """Return the answer to a request that is malformed."""
    return refuse(Problem(ErrorKind.BAD_REQUEST, detail))
