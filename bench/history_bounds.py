"""Bounds that apply to every experiment, derived from the history of a run."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from bench.experiment import AT_MOST, Bound
from bench.results import RunResult
from bench.run_history import find_violations

__all__ = ["history_bound", "rule_bounds"]


def rule_bounds(results: Mapping[str, RunResult], *names: str) -> Sequence[Bound]:
    """Return bounds of zero lost calls and zero violations for the named trials.

    Without names, all trials are covered.
    """
    bounds: list[Bound] = []
    for name in names or tuple(results):
        calls = results[name].calls
        lost = sum(call.status == 0 for call in calls)
        bounds.append(
            Bound(
                f"{name}.lost_calls",
                lost,
                AT_MOST,
                0,
                "graceful stop: no call cut off",
            )
        )
        bounds.append(history_bound(results[name]))
    return bounds


def history_bound(run: RunResult) -> Bound:
    """Return a bound of zero violations; its source describes the first one found."""
    violations = find_violations(run, run.document) if run.document else []
    source = "guarantees, checked over the history of the run"
    if violations:
        first = violations[0]
        source = f"first: {first.rule} {first.subject}: {first.detail}"
    return Bound(f"{run.name}.violations", len(violations), AT_MOST, 0, source)
