"""A measurement that needs no trial: slopes of processor time, memory and messages."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from bench.experiment import Bound, Options

__all__ = ["Measurement", "MeasurementResult"]


class MeasurementResult(NamedTuple):
    """Figures by name, and the bounds that they are judged by."""

    figures: Mapping[str, float]
    bounds: Sequence[Bound]


@dataclass(frozen=True)
class Measurement:
    """A named measurement."""

    name: str
    summary: str
    measure: Callable[[Options], MeasurementResult]
