"""An experiment as data: a deployment, load, faults at times, and bounds."""

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
    """How an experiment is run. ``scale`` multiplies load and duration alike."""

    seed: int = 1
    scale: float = 1.0


class Step(NamedTuple):
    """Something done to a running rig ``at_s`` seconds after the load began."""

    at_s: float
    label: str
    act: Callable[[Rig], None]


class Trial(NamedTuple):
    """One deployment under load: the product's policy or a baseline.

    What happens before ``measure_from_s`` is warm-up and is left out of figures, not
    out of the checks of rules.
    """

    name: str
    deployment: Deployment
    streams: Sequence[Stream]
    steps: Sequence[Step] = ()
    measure_from_s: float = 2.0
    duration_s: float = 8.0
    load_processes: int = 2


class Comparison(NamedTuple):
    """How a value has to stand to its limit."""

    symbol: str
    holds: Callable[[float, float], bool]


AT_MOST = Comparison("<=", lambda value, limit: value <= limit)
AT_LEAST = Comparison(">=", lambda value, limit: value >= limit)


class Bound(NamedTuple):
    """A measured value, its limit from a stated target, and where that is stated."""

    name: str
    value: float
    comparison: Comparison
    limit: float
    source: str

    @property
    def passed(self) -> bool:
        """Whether the value is within the limit."""
        return self.comparison.holds(self.value, self.limit)


def no_figures(results: Mapping[str, RunResult]) -> Mapping[str, float]:
    """Print no figures besides the bounds."""
    return {}


@dataclass(frozen=True)
class Experiment:
    """A named experiment.

    ``trials`` builds the runs, the product's own policy first; ``evaluate`` derives the
    figures to print and the bounds of the verdict from their results.
    """

    name: str
    summary: str
    trials: Callable[[Options], Sequence[Trial]]
    evaluate: Callable[[Mapping[str, RunResult]], Sequence[Bound]]
    figures: Callable[[Mapping[str, RunResult]], Mapping[str, float]] = no_figures
