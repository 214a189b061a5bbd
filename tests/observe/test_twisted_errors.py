"""Tests of the logging of unhandled errors."""

from __future__ import annotations

from io import StringIO

import structlog
from twisted.logger import LogLevel
from twisted.python.failure import Failure

from sardinehook.observe.clock import HybridClock
from sardinehook.observe.events import configure_logging
from sardinehook.observe.twisted_errors import observe_error


def logged_lines(level: object, failure: Failure | None) -> list[str]:
    stream = StringIO()
    configure_logging(stream, "p", "d", HybridClock(lambda: 1.0))
    event = {"log_level": level, "log_format": "Unhandled\nError"}
    if failure is not None:
        event["log_failure"] = failure
    observe_error(event)
    structlog.reset_defaults()
    return stream.getvalue().splitlines()


class TestObserveError:
    def test_failure_is_one_line_with_its_location(self) -> None:
        try:
            raise ValueError("two\nlines")
        except ValueError:
            (line,) = logged_lines(LogLevel.critical, Failure())
        assert "event=unhandled_error" in line
        assert "ValueError: two" in line
        assert "test_twisted_errors.py:" in line

    def test_only_errors_are_logged(self) -> None:
        assert logged_lines(LogLevel.info, None) == []
        assert len(logged_lines(LogLevel.error, None)) == 1
