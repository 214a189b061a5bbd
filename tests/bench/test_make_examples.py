"""Tests of the example documents in ``examples/``."""

from __future__ import annotations

from pathlib import Path

import pytest

from bench.make_examples import EXAMPLES, make_document
from sardinehook.environment.loading import load_document
from sardinehook.environment.writing import document_text

DIRECTORY = Path(__file__).parents[2] / "examples"


class TestExamples:
    @pytest.mark.parametrize("name", sorted(EXAMPLES))
    def test_file_matches_generated_document_and_loads(self, name: str) -> None:
        text = (DIRECTORY / f"{name}.yaml").read_text()
        made = make_document(EXAMPLES[name])
        assert text == document_text(made)
        assert load_document(text, name).unwrap() == made

    @pytest.mark.parametrize("name", sorted(EXAMPLES))
    def test_replicas_of_a_service_are_in_different_data_centres(
        self, name: str
    ) -> None:
        made = make_document(EXAMPLES[name])
        for index in made.indexes.values():
            for replicas in index.services.values():
                centres = {replica.data_centre for replica in replicas}
                assert len(centres) == min(3, len(replicas))
