"""Computes the coverage and the outcome of a search from its accepted replies."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from sardinehook.environment.document import Workload
from sardinehook.errors import ErrorKind, Problem
from sardinehook.query.answer import SearchAnswer
from sardinehook.query.coverage import Coverage, MissingReason, MissingService
from sardinehook.query.index_answer import IndexAnswer
from sardinehook.query.merge import merge_indexes
from sardinehook.query.plan import ServiceState

__all__ = ["coverage_of", "merge_answer", "outcome_of"]


def coverage_of(
    states: Sequence[ServiceState], indexes: Mapping[str, IndexAnswer]
) -> Coverage:
    """Return the coverage: services count whose reply is from the leading snapshot."""
    answered = {name: index.answered_services() for name, index in indexes.items()}
    missing: tuple[MissingService, ...] = ()
    if sum(map(len, answered.values())) < len(states):
        missing = tuple(
            MissingService(state.service, reason_of(state, indexes[state.index]))
            for state in states
            if state.service not in answered[state.index]
        )
    snapshot = {
        name: leading
        for name, index in indexes.items()
        if answered[name] and (leading := index.leading_snapshot()) is not None
    }
    return Coverage(len(states), len(states) - len(missing), missing, snapshot)


def reason_of(state: ServiceState, index: IndexAnswer) -> MissingReason:
    """Return why a service is missing: ``WRONG_VERSION`` if it answered at all."""
    if any(
        state.service in services for services in index.services_by_snapshot.values()
    ):
        return MissingReason.WRONG_VERSION
    return state.reason


def outcome_of(
    request_id: str,
    workload: Workload,
    coverage: Coverage,
    indexes: Mapping[str, IndexAnswer],
    limit: int,
    began: bool,
) -> SearchAnswer | Problem:
    """Return the answer, or the problem if the coverage is below the least.

    ``began`` tells whether a target can have begun any part of the query; if not, the
    problem is of a kind that is marked "not run".
    """
    enough = coverage.ratio >= workload.least_coverage
    if enough and (coverage.answered or not coverage.asked):
        return merge_answer(request_id, coverage, indexes, limit)
    detail = (
        f"{coverage.answered} of {coverage.asked} services answered,"
        f" least coverage {workload.least_coverage:g}"
    )
    if began:
        return Problem(ErrorKind.COVERAGE_BELOW_LEAST, detail)
    reasons = {missing.reason for missing in coverage.missing}
    if reasons == {MissingReason.NOT_ASKED}:
        return Problem(ErrorKind.DEADLINE_TOO_SHORT, detail)
    if reasons == {MissingReason.SHED}:
        return Problem(ErrorKind.OVERLOADED, detail)
    return Problem(ErrorKind.TARGET_UNAVAILABLE, detail)


def merge_answer(
    request_id: str,
    coverage: Coverage,
    indexes: Mapping[str, IndexAnswer],
    limit: int,
) -> SearchAnswer:
    """Merge the records of all indexes into the answer."""
    mergers = [index.leading_merger() for index in indexes.values()]
    merged = merge_indexes(
        [merger.merged() for merger in mergers if merger is not None], limit
    )
    return SearchAnswer(request_id, merged.records, coverage, merged.limited)
