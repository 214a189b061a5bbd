"""Decides at a holder of the usage ledger whether a quota allows a request."""

from __future__ import annotations

from typing import NamedTuple

from sardinehook.gateway.organisations.organisation import Organisation
from sardinehook.gateway.settings import Bounds
from sardinehook.gateway.usage.ledger import FleetLedger
from sardinehook.gateway.usage.table import SLOT_S

__all__ = [
    "QuotaAdmission",
    "Verdict",
    "half_tolerance",
    "quota_limit",
    "quota_subject",
]

URGENT_RATIO = 0.5  # of its limit: a subject's counts are exchanged without delay
HALF = 0.5
MAX_START_RATIO = 0.7  # of the tolerance, in the first window after a start
MIN_RETRY_S = 0.05  # the counts of other gateways are known by then
ROUNDING_TOLERANCE = 1e-9


class Verdict(NamedTuple):
    """Whether a request is within the quota, and else when quota is available again."""

    granted: bool
    retry_after_s: float = 0.0
    detail: str = ""


GRANTED = Verdict(True)


def quota_subject(name: str) -> str:
    """Return the subject of an organisation's quota in the usage ledger."""
    return f"quota/{name}"


def quota_limit(organisation: Organisation, window_s: float) -> float:
    """Return how many requests an organisation may have in a window.

    A quota of less than one request in a window allows one.

    >>> quota_limit(Organisation("desk", None, 4.0, 6.0), 5.0)
    26.0
    """
    return max(1.0, organisation.rate_per_s * window_s + organisation.burst)


def half_tolerance(limit: float, bounds: Bounds) -> float:
    """Return half of what an organisation may exceed its limit by.

    >>> half_tolerance(100.0, Bounds(quota_overage=0.1, quota_slack=20.0))
    15.0
    """
    return HALF * (bounds.quota_overage * limit + bounds.quota_slack)


class QuotaAdmission:
    """Admits requests while the fleet's use stays within the limits.

    Use that is not known yet is covered by the tolerance of the rule: what other
    holders have admitted in the last tenths of a second, and after a start what was
    admitted before it.
    """

    def __init__(self, ledger: FleetLedger, bounds: Bounds) -> None:
        self.ledger = ledger
        self.bounds = bounds

    def decide(self, organisation: Organisation, amount: float, now: float) -> Verdict:
        """Grant an amount and count it, or tell when it would be granted."""
        subject = quota_subject(organisation.name)
        full_limit = quota_limit(organisation, self.bounds.quota_window_s)
        limit = self.limit_after_start(organisation, full_limit, now)
        committed = self.ledger.committed(subject, limit, now)
        if committed > URGENT_RATIO * full_limit:
            self.ledger.mark_urgent(subject, now)
        excess = committed + amount - limit
        if excess <= ROUNDING_TOLERANCE:
            self.ledger.record(subject, amount, now)
            most_unsent = half_tolerance(full_limit, self.bounds)
            self.ledger.note_unsent(subject, amount, most_unsent)
            return GRANTED
        if limit < full_limit:
            retry_s = min(self.bounds.quota_window_s, excess / organisation.rate_per_s)
        else:
            retry_s = self.retry_after_s(subject, excess, now)
        detail = f"{organisation.name}: {committed:.0f} of {limit:.0f} requests used"
        return Verdict(False, max(MIN_RETRY_S, retry_s), detail)

    def limit_after_start(
        self, organisation: Organisation, limit: float, now: float
    ) -> float:
        """Return the limit, lowered while it is not known what ran before a start.

        The whole limit may have been used just before. Half of the tolerance and the
        rate since the start would exceed the rule then (98 requests of 86).
        """
        known_since = self.ledger.known_since(now)
        if known_since is None:
            return limit
        half = half_tolerance(limit, self.bounds)
        earned = organisation.rate_per_s * (now - known_since)
        return min(limit, half + earned, MAX_START_RATIO * half / HALF)

    def retry_after_s(self, subject: str, excess: float, now: float) -> float:
        """Return when enough of the use has left the window."""
        window_s = self.bounds.quota_window_s
        freed = 0.0
        for used_at, count in sorted(self.ledger.table.uses(subject, window_s, now)):
            freed += count
            if freed >= excess - ROUNDING_TOLERANCE:
                return used_at + window_s + SLOT_S - now
        return window_s
