"""Bounds that hold in every experiment, decided over the history of the run."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from bench.experiment import AT_MOST, Bound
from bench.results import RunResult

__all__ = ["rule_bounds"]


def rule_bounds(results: Mapping[str, RunResult], *names: str) -> Sequence[Bound]:
    """Return a bound of zero violations for each rule, over the trials named."""
    bounds: list[Bound] = []
    for name in names or tuple(results):
        calls = results[name].calls
        lost = sum(call.status == 0 for call in calls)
        bounds.append(
            Bound(f"{name}.lost_calls", lost, AT_MOST, 0, "graceful: no call cut off")
        )
    return bounds
