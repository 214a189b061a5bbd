"""Evaluates the evidence on one rollout: that of the fleet, and this gateway's own."""

from __future__ import annotations

from collections.abc import Sequence

from sardinehook.gateway.configuration import Configuration, Route, services_of
from sardinehook.gateway.replica import Replica
from sardinehook.gateway.rollout.evidence import EvidenceReader, ReplicaKey
from sardinehook.gateway.rollout.orders import RolloutOrder, RolloutState
from sardinehook.gateway.rollout.plan import LATEST_GOOD_RATIO
from sardinehook.gateway.rollout.verdict import Bad, Verdict, VersionTrial
from sardinehook.gateway.usage.interfaces import UsageLedger

__all__ = ["Evaluation", "routes_to"]


class Evaluation:
    """A trial of the new version, with the evidence of one ledger.

    A verdict against the version stands, whatever is counted after it.
    """

    def __init__(
        self, ledger: UsageLedger, order: RolloutOrder, error_rate: float, now: float
    ) -> None:
        self.order = order
        self.trial = VersionTrial(error_rate)
        self.reader = EvidenceReader(ledger, order.service, order.target_version, now)
        self.bad: Bad | None = None
        self.restored = False

    def update(
        self, routes: Sequence[Route], replicas: Sequence[Replica], now: float
    ) -> None:
        """Read what was counted since the last call."""
        keys = [
            ReplicaKey(
                replica.replica_id,
                replica.entry.data_centre,
                replica.entry.version == self.order.target_version,
                far,
            )
            for replica in replicas
            for far in (False, True)
        ]
        samples = self.reader.read([route.name for route in routes], keys, now)
        if samples:
            self.trial.add(samples, now)

    def restore(self, state: RolloutState) -> None:
        """Go on, once, from the evidence that the state had when this process began."""
        if not self.restored:
            self.restored = True
            self.trial.restore(state.answers, state.scores)

    def verdict(self, age_s: float) -> Verdict:
        """Return the verdict at an age of the order."""
        if self.bad is not None:
            return self.bad
        found = self.trial.verdict(age_s >= LATEST_GOOD_RATIO * self.order.duration_s)
        if isinstance(found, Bad):
            self.bad = found
        return found


def routes_to(configuration: Configuration | None, service: str) -> list[Route]:
    """Return the routes that may send requests to a service."""
    if configuration is None:
        return []
    return [
        route
        for routes in configuration.routes.values()
        for route in routes
        if service in services_of(route)
    ]
