"""The guarantees that a soak checks, and their violations."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["Guarantees", "Violation"]


class Guarantees(NamedTuple):
    """Limits of the guarantees, equal to the settings of the gateways."""

    stability_s: float = 4.0
    drain_s: float = 3.0
    evacuation_s: float = 5.0
    configuration_s: float = 3.0
    rollback_margin_s: float = 0.25
    grace_s: float = 6.0
    budget_ratio: float = 0.2
    budget_slack: float = 58.0
    budget_window_s: float = 10.0
    cold_requests_per_s: float = 8.0
    max_attempts: int = 2
    min_coverage: float = 0.5
    max_records: int = 8
    timeout_s: float = 1.2
    recovered_share: float = 0.9
    canary_share: float = 0.1
    canary_slack: float = 50.0
    rollback_s: float = 5.0


class Violation(NamedTuple):
    """A guarantee that was violated, with the request and a description."""

    guarantee: str
    request: str
    detail: str
