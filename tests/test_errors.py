"""Tests of the error kinds and their answers."""

from __future__ import annotations

from sardinehook.errors import ERROR_RESPONSES, ErrorKind


class TestAnswers:
    def test_every_kind_has_an_answer(self) -> None:
        assert set(ERROR_RESPONSES) == set(ErrorKind)

    def test_an_outcome_in_doubt_is_never_marked_not_run(self) -> None:
        doubtful = {
            ErrorKind.OUTCOME_UNKNOWN,
            ErrorKind.DEADLINE_EXCEEDED,
            ErrorKind.COVERAGE_BELOW_LEAST,
            ErrorKind.ORDER_IN_PROGRESS,
            ErrorKind.INTERNAL,
        }
        assert not any(ERROR_RESPONSES[kind].not_run for kind in doubtful)
