"""Declarative experiments: deployments, load, timed faults, bounds of results."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from bench.load import Stream
from bench.rig import Deployment

if TYPE_CHECKING:
    from bench.results import RunResult
    from bench.rig import Rig

__all__ = ["Bound", "Comparison", "Experiment", "Options", "Step", "Trial"]


class Options(NamedTuple):
    """Options of an experiment run; ``scale`` multiplies load and duration."""

    seed: int = 1
    scale: float = 1.0


class Step(NamedTuple):
    """An action on a running rig, ``at_s`` seconds after the load began."""

    at_s: float
    label: str
    act: Callable[[Rig], None]


class Trial(NamedTuple):
    """One deployment under load, with sardinehook's own policy or a baseline.

    Calls before ``measure_from_s`` are warm-up: figures leave them out, checks of
    rules include them.
    """

    name: str
    deployment: Deployment
    streams: Sequence[Stream]
    steps: Sequence[Step] = ()
    measure_from_s: float = 2.0
    duration_s: float = 8.0
    load_processes: int = 2


class Comparison(NamedTuple):
    """A comparison of a value with its limit."""

    symbol: str
    holds: Callable[[float, float], bool]


AT_MOST = Comparison("<=", lambda value, limit: value <= limit)
AT_LEAST = Comparison(">=", lambda value, limit: value >= limit)


class Bound(NamedTuple):
    """A measured value with its limit and the source of the limit."""

    name: str
    value: float
    comparison: Comparison
    limit: float
    source: str

    @property
    def passed(self) -> bool:
        """Whether the value satisfies the comparison."""
        return self.comparison.holds(self.value, self.limit)


def no_figures(results: Mapping[str, RunResult]) -> Mapping[str, float]:
    """Return no figures besides the bounds."""
    return {}


@dataclass(frozen=True)
class Experiment:
    """A named experiment.

    ``trials`` returns the trials, sardinehook's own policy first. ``evaluate`` derives
    the bounds of the verdict from their results, ``figures`` further values to print.
    """

    name: str
    summary: str
    trials: Callable[[Options], Sequence[Trial]]
    evaluate: Callable[[Mapping[str, RunResult]], Sequence[Bound]]
    figures: Callable[[Mapping[str, RunResult]], Mapping[str, float]] = no_figures
