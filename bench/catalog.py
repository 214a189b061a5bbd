"""Registry of all experiments and measurements by name."""

from __future__ import annotations

from bench.experiment import Experiment
from bench.experiments.costs import (
    CONTROL,
    FANOUT_GROWTH,
    MEMBERSHIP_COST,
    SUBQUERY_COST,
)
from bench.experiments.fleet import CONFIG, MEMBERSHIP, PARTITION, ROLLING
from bench.experiments.orders import ORDERS
from bench.experiments.overload import OVERLOAD
from bench.experiments.path import PATH
from bench.experiments.simulations import RATE_LIMITS, STORE_OUTAGES
from bench.experiments.slow import SILENT, STRAGGLER
from bench.experiments.targets import COLD_START, DATA_CENTRE_OUT, DRAIN, SNAPSHOT
from bench.measurement import Measurement

__all__ = ["EXPERIMENTS"]

EXPERIMENTS: dict[str, Experiment | Measurement] = {
    experiment.name: experiment
    for experiment in (
        PATH,
        STRAGGLER,
        SILENT,
        COLD_START,
        DRAIN,
        DATA_CENTRE_OUT,
        SNAPSHOT,
        ORDERS,
        OVERLOAD,
        CONFIG,
        PARTITION,
        ROLLING,
        MEMBERSHIP,
        CONTROL,
        SUBQUERY_COST,
        FANOUT_GROWTH,
        MEMBERSHIP_COST,
        STORE_OUTAGES,
        RATE_LIMITS,
    )
}
