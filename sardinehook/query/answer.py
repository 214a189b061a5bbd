"""The answer to a search and its JSON form."""

from __future__ import annotations

from typing import NamedTuple, TypedDict

import msgspec

from sardinehook.query.coverage import Coverage
from sardinehook.query.merge import Hit

__all__ = ["SearchAnswer", "coverage_document", "encode_answer"]


class SearchAnswer(NamedTuple):
    """Records by rank, with the coverage of the services they come from.

    ``limited`` tells whether a limit of number or size left records out.
    """

    request_id: str
    records: tuple[Hit, ...]
    coverage: Coverage
    limited: bool


class MissingDocument(TypedDict):
    """JSON form of a missing service."""

    service: str
    reason: str


class SnapshotDocument(TypedDict):
    """JSON form of a snapshot."""

    index_version: int
    partitioning: int


class CoverageDocument(TypedDict):
    """JSON form of a coverage."""

    asked: int
    answered: int
    ratio: float
    missing: list[MissingDocument]
    snapshot: dict[str, SnapshotDocument]


class AnswerDocument(TypedDict):
    """JSON form of an answer."""

    request_id: str
    records: tuple[Hit, ...]
    coverage: CoverageDocument
    limited: bool


def coverage_document(coverage: Coverage) -> CoverageDocument:
    """Return the JSON form of a coverage, its ratio rounded to six digits."""
    return CoverageDocument(
        asked=coverage.asked,
        answered=coverage.answered,
        ratio=round(coverage.ratio, 6),
        missing=[
            MissingDocument(service=missing.service, reason=missing.reason.value)
            for missing in coverage.missing
        ],
        snapshot={
            index: SnapshotDocument(
                index_version=snapshot.index_version,
                partitioning=snapshot.partitioning,
            )
            for index, snapshot in coverage.snapshot.items()
        },
    )


def encode_answer(answer: SearchAnswer) -> bytes:
    """Encode an answer as the JSON body that its caller receives."""
    document = AnswerDocument(
        request_id=answer.request_id,
        records=answer.records,
        coverage=coverage_document(answer.coverage),
        limited=answer.limited,
    )
    return msgspec.json.encode(document)
