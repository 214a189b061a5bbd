"""Forwards unhandled errors from Twisted's log to the event log."""

from __future__ import annotations

from typing import cast

from structlog import get_logger
from structlog.typing import FilteringBoundLogger
from twisted.logger import (
    ILogObserver,
    LogEvent,
    LogLevel,
    formatEvent,
    globalLogBeginner,
)
from twisted.python.failure import Failure

from sardinehook.observe.events import EventName, log_event

__all__ = ["log_unhandled_errors", "observe_error"]

logger: FilteringBoundLogger = get_logger()


def log_unhandled_errors() -> None:
    """Forward Twisted's log errors to the event log; call once per process."""
    globalLogBeginner.beginLoggingTo(
        [cast(ILogObserver, observe_error)],
        discardBuffer=True,
        redirectStandardIO=False,
    )


def observe_error(event: LogEvent) -> None:
    """Log a Twisted log event as one line if its level is error or critical."""
    level = event.get("log_level")
    if level not in (LogLevel.error, LogLevel.critical):
        return
    failure = event.get("log_failure")
    detail = formatEvent(event)
    cause = ""
    if isinstance(failure, Failure):
        cause = f"{type(failure.value).__name__}: {failure.getErrorMessage()}"
        detail = last_frames(failure) or detail
    log_event(logger, EventName.UNHANDLED_ERROR, cause=cause, detail=detail)


def last_frames(failure: Failure, count: int = 3) -> str:
    """Return the last ``count`` frames of a failure, innermost last."""
    frames = failure.frames[-count:]
    return " > ".join(f"{frame[1].rsplit('/', 1)[-1]}:{frame[2]}" for frame in frames)
