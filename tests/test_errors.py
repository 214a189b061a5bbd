"""Tests of the error kinds and their responses."""

from __future__ import annotations

from sardinehook.errors import ERROR_RESPONSES, ErrorKind


class TestErrorResponses:
    def test_every_kind_has_a_response(self) -> None:
        assert set(ERROR_RESPONSES) == set(ErrorKind)

    def test_kinds_of_unknown_outcome_are_never_marked_not_run(self) -> None:
        unknown = {
            ErrorKind.OUTCOME_UNKNOWN,
            ErrorKind.DEADLINE_EXCEEDED,
            ErrorKind.COVERAGE_BELOW_LEAST,
            ErrorKind.ORDER_IN_PROGRESS,
            ErrorKind.INTERNAL,
        }
        assert not any(ERROR_RESPONSES[kind].not_run for kind in unknown)
