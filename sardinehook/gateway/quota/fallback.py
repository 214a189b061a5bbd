"""Shares of quotas for gateways that reach no holder of the usage ledger.

The share of all gateways together stays within half of the tolerance of the rule.
"""

from __future__ import annotations

from collections.abc import Collection

from sardinehook.gateway.organisations.organisation import Organisation
from sardinehook.gateway.quota.admission import (
    half_tolerance,
    quota_limit,
    quota_subject,
)
from sardinehook.gateway.retry_budget import SlidingWindowCounter
from sardinehook.gateway.settings import Bounds
from sardinehook.gateway.usage.holders import rank_gateways

__all__ = ["FallbackShares", "fallback_share"]

MAX_COUNTERS = 4096


def fallback_share(
    node: str, gateways: Collection[str], subject: str, total: float
) -> int:
    """Return the requests in one window that a gateway may admit on its own.

    ``total`` requests are divided among the ``gateways``. If there are more of these
    than requests, those with the lowest hashes for the subject have one request each.

    >>> names = [f"g-{number}" for number in range(83)]
    >>> shares = [fallback_share(name, names, "quota/a", 13.3) for name in names]
    >>> sum(shares), max(shares)
    (13, 1)
    >>> [fallback_share(name, ["a", "b"], "quota/a", 13.3) for name in ("a", "b")]
    [6, 6]
    """
    count = min(len(gateways), int(total))
    if not count:
        return 0
    ranked = rank_gateways(gateways, subject)
    return int(total / count) if node in ranked[:count] else 0


class FallbackShares:
    """What one gateway has admitted without a holder."""

    def __init__(self, node: str, bounds: Bounds) -> None:
        self.node = node
        self.configure(bounds)

    def configure(self, bounds: Bounds) -> None:
        """Use the bounds of the deployment; all counts restart."""
        self.bounds = bounds
        self.admitted: dict[str, SlidingWindowCounter] = {}

    def take(
        self, organisation: Organisation, gateways: Collection[str], now: float
    ) -> bool:
        """Admit one request if this gateway's share allows it."""
        subject = quota_subject(organisation.name)
        limit = quota_limit(organisation, self.bounds.quota_window_s)
        total = min(limit, half_tolerance(limit, self.bounds))
        share = fallback_share(self.node, gateways, subject, total)
        if not share:
            return False
        admitted = self.admitted.get(subject)
        if admitted is None:
            if len(self.admitted) >= MAX_COUNTERS:
                return False
            admitted = SlidingWindowCounter(self.bounds.quota_window_s)
            self.admitted[subject] = admitted
        if admitted.total(now) >= share:
            return False
        admitted.add(1, now)
        return True

    def sweep(self, now: float) -> None:
        """Remove the counters of organisations without recent requests."""
        for subject, admitted in list(self.admitted.items()):
            if not admitted.total(now):
                del self.admitted[subject]
