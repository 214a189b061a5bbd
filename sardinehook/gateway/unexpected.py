"""Unexpected errors: they are logged, and the caller still gets an answer."""

from __future__ import annotations

from collections.abc import Callable
from functools import wraps
from typing import Concatenate, ParamSpec, Protocol, TypeVar

from sardinehook.errors import ErrorKind, Problem
from sardinehook.gateway.answer import CallerAnswer, error_answer
from sardinehook.observe.errors import log_error

__all__ = ["answers_errors", "call_logged", "unexpected_error_answer"]


class AnsweringWork(Protocol):
    """Work for a caller who waits for an answer."""

    def fail_unexpectedly(self) -> None:
        """Answer after an unexpected error, unless there was an answer already."""
        ...


Work = TypeVar("Work", bound=AnsweringWork)
Parameters = ParamSpec("Parameters")


def answers_errors(
    method: Callable[Concatenate[Work, Parameters], None],
) -> Callable[Concatenate[Work, Parameters], None]:
    """Wrap a callback of work for a caller, who then gets an answer after any error.

    An error that reaches the event loop only closes the connection on which the
    callback was made, which is mostly that of another process.
    """

    @wraps(method)
    def guarded(work: Work, /, *args: Parameters.args, **kw: Parameters.kwargs) -> None:
        try:
            method(work, *args, **kw)
        except Exception as error:
            log_error(error)
            work.fail_unexpectedly()

    return guarded


def call_logged(function: Callable[[], object]) -> None:
    """Call a function; log an unexpected error, so that the caller can go on."""
    try:
        function()
    except Exception as error:
        log_error(error)


def unexpected_error_answer(may_have_run: bool) -> CallerAnswer:
    """Return the answer to a request that an unexpected error has ended.

    >>> unexpected_error_answer(True).status, unexpected_error_answer(False).status
    (500, 503)
    """
    kind = ErrorKind.INTERNAL if may_have_run else ErrorKind.TARGET_UNAVAILABLE
    return error_answer(Problem(kind, "unexpected error in the gateway"))
