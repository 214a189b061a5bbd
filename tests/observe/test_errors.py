"""Log lines of unexpected errors."""

from __future__ import annotations

import logging

from structlog.testing import capture_logs

from sardinehook.observe.errors import EventLogHandler, log_error


class TestLogError:
    def test_the_line_names_the_error_and_where_it_was_raised(self) -> None:
        try:
            int("no number")
        except ValueError as error:
            with capture_logs() as lines:
                log_error(error)
        (line,) = lines
        assert line["cause"].startswith("ValueError: ")
        assert line["detail"].startswith("test_errors.py:")

    def test_a_detail_without_an_error_is_logged(self) -> None:
        with capture_logs() as lines:
            log_error(None, "socket.accept() out of system resource")
        assert lines[0]["detail"] == "socket.accept() out of system resource"


class TestLibraryWarnings:
    def test_what_a_library_logs_is_one_event(self) -> None:
        library = logging.getLogger("a.library")
        handler = EventLogHandler(logging.WARNING)
        library.addHandler(handler)
        with capture_logs() as lines:
            library.warning("no room for %d more", 3)
            library.info("fine")
        library.removeHandler(handler)
        assert [line["detail"] for line in lines] == ["a.library: no room for 3 more"]
