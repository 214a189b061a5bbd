"""Measurements without a trial: costs in processor time, memory and messages."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from bench.experiment import Bound, Options

__all__ = ["Measurement", "MeasurementResult"]


class MeasurementResult(NamedTuple):
    """Figures by name and the bounds of the verdict."""

    figures: Mapping[str, float]
    bounds: Sequence[Bound]


@dataclass(frozen=True)
class Measurement:
    """A named measurement that ``measure`` carries out without a rig."""

    name: str
    summary: str
    measure: Callable[[Options], MeasurementResult]
