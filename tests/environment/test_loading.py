"""Tests of loading untrusted YAML."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from sardinehook.environment.document import DataCentreState, Wait
from sardinehook.environment.loading import load_document
from sardinehook.errors import ErrorKind
from tests.environment.documents import TEXT, document


def details(text: str) -> list[str]:
    """The messages that a text is rejected with."""
    problems = load_document(text, "f.yaml").failure()
    assert all(problem.kind is ErrorKind.INVALID_DOCUMENT for problem in problems)
    return [problem.detail for problem in problems]


class TestValidDocument:
    def test_values_are_converted_to_types(self) -> None:
        loaded = document()
        assert loaded.data_centres["szolnok-b"].state is DataCentreState.OUT
        assert loaded.workloads["storm-night"].wait is Wait.ENOUGH
        assert loaded.workloads["storm-night"].deadline_ms == 150.0


class TestRejections:
    @pytest.mark.parametrize(
        ("old", "new", "line"),
        [
            ("slots: 2", "slotz: 2", "f.yaml:7: indexes.logfinder.slotz: unknown key"),
            ("slots: 2", 'slots: "2"', "f.yaml:7: indexes.logfinder.slots: "),
            ("slots: 2", "slots: 2.0", "f.yaml:7: indexes.logfinder.slots: "),
            ("slots: 2", "slots: yes", "f.yaml:7: indexes.logfinder.slots: "),
            ("slots: 2", "slots: 2\n    slots: 3", "f.yaml:8: indexes.logfinder.slots"),
            ("state: out", "state: off", "f.yaml:4: data_centres.szolnok-b.state: "),
            ("{region: alfold}", "[alfold]", "f.yaml:3: data_centres.kecskemet-a: "),
            (
                "  kecskemet-a:",
                "  1:",
                "f.yaml:3: data_centres: a key must be a string",
            ),
            ("deadline_ms: 150", "deadline_ms: .inf", "f.yaml:18: workloads.storm-"),
            ("deadline_ms: 150", "deadline_ms: .nan", "f.yaml:18: workloads.storm-"),
            ("[logfinder]", "[*x]", "f.yaml:16: "),
            ("slots: 2", "slots: &x 2", "f.yaml:7: anchors and aliases"),
            ("slots: 2", "slots: !!python/name:os.system 2", "f.yaml:7: indexes.log"),
            (
                "environment: trial",
                "environment: trial\n---",
                "f.yaml:2: more than",
            ),
            ("environment: trial", "{", "f.yaml:"),
        ],
    )
    def test_malformed_value_is_reported_on_one_line(
        self, old: str, new: str, line: str
    ) -> None:
        found = details(TEXT.replace(old, new))
        assert found[0].startswith(line)
        assert "\n" not in found[0]

    @pytest.mark.parametrize(
        ("old", "new", "expected"),
        [
            ("[logfinder]", "[memberbook]", "unknown index memberbook"),
            ("data_centre: szolnok-b", "data_centre: b", "unknown data centre b"),
            (
                "name: logfinder-01-b",
                "name: logfinder-01-a",
                "duplicate name logfinder-01-a",
            ),
            ("127.0.0.1:23001", "127.0.0.1:23000", "duplicate address 127.0.0.1:23000"),
            ("127.0.0.1:23001", "127.0.0.1:99999", "is not IP:port"),
            (
                "enough_coverage: 0.9",
                "enough_coverage: 0.4",
                "than least_coverage",
            ),
            ("scope: all", "scope: all\n    idempotent: false", "requires scope one"),
            ("wait: enough", "wait: full", "applies to wait enough only"),
            (
                "slots: 2",
                "slots: 2\n    cold_start_slots: 3",
                "3 is more than slots (2)",
            ),
            ("scope: all", "scope: all\n    settle_ms: 150", "not less than deadline"),
        ],
    )
    def test_consistency_rules_are_checked(
        self, old: str, new: str, expected: str
    ) -> None:
        found = details(TEXT.replace(old, new))
        assert len(found) == 1
        assert found[0].endswith(expected) or expected in found[0]

    def test_size_and_depth_are_bounded(self) -> None:
        assert "larger than" in details("a: " + "x" * 5_000_000)[0]
        assert "nested deeper" in details("[" * 30)[0]
        assert "nesting" in details("[" * 100_000)[0]
        assert details("") == ["f.yaml:1: the file is empty"]


class TestFuzz:
    @given(st.text(alphabet="ab0:-[]{}\"'!&*%|>#?,.\n\t \x00é", max_size=60))
    def test_any_text_is_loaded_or_refused(self, text: str) -> None:
        assert all(line.startswith("f.yaml:") for line in details(text))

    @given(st.integers(0, len(TEXT) - 1), st.text(max_size=3), st.integers(0, 5))
    def test_damaged_document(self, place: int, inserted: str, dropped: int) -> None:
        text = TEXT[:place] + inserted + TEXT[place + dropped :]
        match load_document(text, "f.yaml"):
            case Success(loaded):
                assert loaded.indexes
            case Failure(problems):
                assert problems
                assert all(problem.detail.startswith("f.yaml:") for problem in problems)
