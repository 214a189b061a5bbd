"""Deployments and load that several experiments share."""

from __future__ import annotations

from bench.experiment import Options
from bench.load import Stream
from bench.rig import load_example
from sardinehook.environment.document import EnvironmentDocument

__all__ = ["lookup_stream", "services_of", "storm_stream", "szovetseg"]

STORM_RATE_PER_S = 60.0
LOOKUP_RATE_PER_S = 60.0


def szovetseg() -> EnvironmentDocument:
    """Return the Szovetseg's production document."""
    return load_example("szovetseg-production")


def services_of(index: str) -> tuple[str, ...]:
    """Return the services of one of the Szovetseg's indexes."""
    return tuple(load_example("szovetseg-production").indexes[index].services)


def storm_stream(options: Options, to_s: float = 8.0) -> Stream:
    """Searches of the storm night over all fifty services."""
    rate = STORM_RATE_PER_S * options.scale
    return Stream("storm-night", rate, 0.0, to_s, 150.0, limit=20)


def lookup_stream(options: Options, to_s: float = 8.0) -> Stream:
    """Look-ups of a single counter."""
    rate = LOOKUP_RATE_PER_S * options.scale
    services = services_of("memberbook")
    return Stream("counter-lookup", rate, 0.0, to_s, 300.0, services, limit=5)
