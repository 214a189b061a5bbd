"""Logs unexpected errors with the place where they were raised."""

from __future__ import annotations

import logging

import structlog

from sardinehook.observe.events import EventName, log_event

__all__ = ["error_frames", "log_error", "log_library_warnings"]

logger = structlog.get_logger(__name__)

FRAMES = 3  # innermost frames in a log line


class EventLogHandler(logging.Handler):
    """Writes what libraries log to the event log, which is bounded."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record."""
        error = record.exc_info[1] if record.exc_info else None
        log_error(error, f"{record.name}: {record.getMessage()}")


def log_library_warnings() -> None:
    """Forward warnings and errors that libraries log; call once per process."""
    logging.getLogger().addHandler(EventLogHandler(logging.WARNING))


def log_error(error: BaseException | None, detail: str = "") -> None:
    """Log an error that no code expected, as one line."""
    cause = f"{type(error).__name__}: {error}" if error is not None else ""
    detail = error_frames(error) or detail
    log_event(logger, EventName.UNHANDLED_ERROR, cause=cause, detail=detail)


def error_frames(error: BaseException | None) -> str:
    """Return the innermost frames of an error's traceback, innermost last."""
    frames = []
    entry = error.__traceback__ if error is not None else None
    while entry is not None:
        name = entry.tb_frame.f_code.co_filename.rsplit("/", 1)[-1]
        frames.append(f"{name}:{entry.tb_lineno}")
        entry = entry.tb_next
    return " > ".join(frames[-FRAMES:])
