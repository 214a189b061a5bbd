"""Bounds that hold in every experiment, decided over the history of the run."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from bench.experiment import AT_MOST, Bound
from bench.results import RunResult
from bench.run_history import find_violations

__all__ = ["history_bound", "rule_bounds"]


def rule_bounds(results: Mapping[str, RunResult], *names: str) -> Sequence[Bound]:
    """Return a bound of zero violations for each rule, over the trials named."""
    bounds: list[Bound] = []
    for name in names or tuple(results):
        calls = results[name].calls
        lost = sum(call.status == 0 for call in calls)
        bounds.append(
            Bound(f"{name}.lost_calls", lost, AT_MOST, 0, "graceful: no call cut off")
        )
        bounds.append(history_bound(results[name]))
    return bounds


def history_bound(run: RunResult) -> Bound:
    """Return the bound of no violation in a run's history; it names the first one."""
    violations = find_violations(run, run.document) if run.document else []
    source = "the brief's promises, checked over the run's history"
    if violations:
        first = violations[0]
        source = f"first: {first.rule} {first.subject}: {first.detail}"
    return Bound(f"{run.name}.violations", len(violations), AT_MOST, 0, source)
