"""All experiments by name."""

from __future__ import annotations

from bench.experiment import Experiment
from bench.experiments.orders import ORDERS
from bench.experiments.path import PATH

__all__ = ["EXPERIMENTS"]

EXPERIMENTS: dict[str, Experiment] = {one.name: one for one in (PATH, ORDERS)}
