"""Simulated fleets on a fake clock, drawn from many seeds."""

from __future__ import annotations

from bench.experiment import AT_MOST, Bound, Options
from bench.limit_simulation import run_limit
from bench.measurement import Measurement, MeasurementResult
from bench.store_simulation import run_outages

__all__ = ["RATE_LIMITS", "STORE_OUTAGES"]

SEEDS = 100
FLEET = {"a": 3, "b": 4, "c": 2}
OUTAGE_SOURCE = "users' pages: in force 3 s after the ack, from 4 s after an outage"
LIMIT_SOURCE = "users' pages: 1.5 times the limit and 5 requests in 4 s"


def measure_outages(options: Options) -> MeasurementResult:
    """Count the gateways that are behind after outages with restarts."""
    seeds = range(options.seed, options.seed + int(SEEDS * options.scale))
    behind = {seed: run_outages(FLEET, seed) for seed in seeds}
    failed = [seed for seed, names in behind.items() if names]
    figures = {
        "seeds": float(len(seeds)),
        "first_failed": float(min(failed, default=0)),
    }
    bound = Bound("failed_seeds", len(failed), AT_MOST, 0.0, OUTAGE_SOURCE)
    return MeasurementResult(figures, [bound])


def measure_limits(options: Options) -> MeasurementResult:
    """Compare the requests of drawn fleets with what a replica tolerates."""
    seeds = range(options.seed, options.seed + int(SEEDS * options.scale))
    peaks = {seed: run_limit(seed) for seed in seeds}
    worst = max(peaks, key=peaks.__getitem__)
    figures = {"seeds": float(len(seeds)), "worst_seed": float(worst)}
    bound = Bound("peak_to_tolerated", peaks[worst], AT_MOST, 1.0, LIMIT_SOURCE)
    return MeasurementResult(figures, [bound])


STORE_OUTAGES = Measurement(
    "store-outages", "changes after silences of the store", measure_outages
)
RATE_LIMITS = Measurement(
    "rate-limits", "requests of a fleet to a replica with a limit", measure_limits
)
