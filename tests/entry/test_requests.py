"""Tests of the parsing and validation of callers' requests."""

from __future__ import annotations

import re
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.pipeline import is_successful

from sardinehook.entry.requests import (
    parse_deadline_ms,
    parse_request_id,
    resolve_request,
)
from sardinehook.environment.document import EnvironmentDocument
from sardinehook.environment.loading import load_document
from sardinehook.errors import ERROR_RESPONSES, ErrorKind

ROOT = Path(__file__).resolve().parent.parent.parent


@pytest.fixture(scope="module")
def document() -> EnvironmentDocument:
    path = ROOT / "examples" / "szovetseg-production.yaml"
    return load_document(path.read_text(), str(path)).unwrap()


class TestResolving:
    def test_unknown_workload_is_not_found(self, document: EnvironmentDocument) -> None:
        refused = resolve_request(document, "nonesuch", "r", None, b"{}")
        assert refused.failure().kind is ErrorKind.NOT_FOUND

    def test_scope_one_requires_a_service(self, document: EnvironmentDocument) -> None:
        refused = resolve_request(document, "counter-lookup", "r", None, b"{}")
        assert refused.failure().kind is ErrorKind.BAD_REQUEST

    def test_single_service_is_the_default(self, document: EnvironmentDocument) -> None:
        request = resolve_request(document, "maintenance", "r", None, b"{}").unwrap()
        assert request.service

    def test_oversized_body_is_refused(self, document: EnvironmentDocument) -> None:
        body = b'{"query": "' + b"x" * document.limits.request_bytes + b'"}'
        refused = resolve_request(document, "audit", "r", None, body)
        assert refused.failure().kind is ErrorKind.PAYLOAD_TOO_LARGE

    def test_limit_is_capped_at_the_workload_limit(
        self, document: EnvironmentDocument
    ) -> None:
        body = b'{"limit": 1000000000}'
        request = resolve_request(document, "storm-night", "r", None, body).unwrap()
        assert request.limit == document.workloads["storm-night"].result_limit

    @given(body=st.binary(max_size=200), deadline=st.none() | st.text(max_size=20))
    def test_any_input_is_taken_or_refused_as_not_run(
        self, document: EnvironmentDocument, body: bytes, deadline: str | None
    ) -> None:
        result = resolve_request(document, "audit", "r", deadline, body)
        if not is_successful(result):
            assert ERROR_RESPONSES[result.failure().kind].not_run


class TestHeaders:
    @pytest.mark.parametrize("header", ["", "nan", "inf", "-1", "0", "soon"])
    def test_invalid_deadline_is_refused(self, header: str) -> None:
        assert not is_successful(parse_deadline_ms(header, 150.0))

    def test_request_id_with_line_break_is_refused(self) -> None:
        assert not is_successful(parse_request_id("a\r\nNot-Run: true"))

    def test_missing_request_id_is_generated(self) -> None:
        assert parse_request_id(None).unwrap() != parse_request_id(None).unwrap()


class TestInterfacesPage:
    def test_error_table_matches_the_code(self) -> None:
        page = (ROOT / "docs" / "INTERFACES.md").read_text()
        found: dict[str, tuple[int, bool]] = {}
        for row in re.findall(
            r"^\| (`[a-z_`, ]+) \| (\d+) \| (yes|no) \|$", page, re.M
        ):
            for kind in re.findall(r"`([a-z_]+)`", row[0]):
                found[kind] = (int(row[1]), row[2] == "yes")
        internal = {ErrorKind.INVALID_SETTINGS, ErrorKind.INVALID_DOCUMENT}
        expected = {
            kind.value: (answer.status, answer.not_run)
            for kind, answer in ERROR_RESPONSES.items()
            if kind not in internal
        }
        assert found == expected
