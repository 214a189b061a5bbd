"""Decides at a holder of the usage ledger whether a quota allows a request."""

from __future__ import annotations

from typing import NamedTuple

from sardinehook.gateway.organisations.organisation import Organisation
from sardinehook.gateway.quota.bucket import Bucket, BucketLevels, FleetLevel
from sardinehook.gateway.settings import Bounds
from sardinehook.gateway.usage.ledger import START_S, FleetLedger
from sardinehook.gateway.usage.table import SLOT_S

__all__ = [
    "QuotaAdmission",
    "Verdict",
    "half_tolerance",
    "quota_bucket",
    "quota_limit",
    "quota_subject",
]

URGENT_RATIO = 0.5  # of a bucket's depth: counts are exchanged without delay below it
HALF = 0.5
START_RATIO = 0.4  # of the tolerance, at a start; 0.5 breaks the rule after a surge
MAX_START_RATIO = 0.7  # of the tolerance, until nothing from before a start counts
MIN_DEPTH = 1.0  # a bucket with less would never admit a request
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


def quota_bucket(organisation: Organisation, bounds: Bounds) -> Bucket:
    """Return the bucket of an organisation: its rate, and bursts within the tolerance.

    Bursts use half of the tolerance, since callers with less than the rate on average
    have chance bursts beyond ``burst``. The other half is for counts that are not known
    yet. A bucket contains one request at least.

    >>> quota_bucket(Organisation("desk", None, 2.0, 2.0), Bounds())
    Bucket(rate_per_s=2.0, depth=12.0)
    """
    earned = organisation.rate_per_s * bounds.quota_window_s
    half = half_tolerance(quota_limit(organisation, bounds.quota_window_s), bounds)
    depth = organisation.burst + min(half, earned)
    return Bucket(organisation.rate_per_s, max(MIN_DEPTH, depth))


class QuotaAdmission:
    """Admits requests within the limit of a window, and bursts from a token bucket.

    What ``quota_limit`` allows in a window is always granted. An organisation with less
    than its rate on average gets a burst beyond that from its bucket, which all of its
    requests empty.

    Use that is not known yet is covered by the tolerance of the rule: what other
    holders have admitted in the last tenths of a second, and after a start what was
    admitted before it.
    """

    def __init__(self, ledger: FleetLedger, bounds: Bounds) -> None:
        self.ledger = ledger
        self.bounds = bounds
        self.levels = BucketLevels(ledger)

    def decide(self, organisation: Organisation, amount: float, now: float) -> Verdict:
        """Grant an amount and count it, or tell when it would be granted."""
        subject = quota_subject(organisation.name)
        bucket = quota_bucket(organisation, self.bounds)
        limit = quota_limit(organisation, self.bounds.quota_window_s)
        half = half_tolerance(limit, self.bounds)
        allowance = START_RATIO * half / HALF
        found = self.levels.find(subject, bucket, allowance, now)
        if found.level < URGENT_RATIO * bucket.depth:
            self.ledger.mark_urgent(subject, now)
        missing = amount / found.share - found.level
        most = self.limit_after_start(bucket, limit, now)
        excess = self.window_excess(found, amount, most, now)
        # After a start, the window is not known: the bucket alone decides.
        over_limit = self.window_excess(found, amount, min(limit, most), now)
        is_known = self.ledger.known_since(now) is None
        lacking = min(missing, over_limit) if is_known else missing
        if max(lacking, excess) <= ROUNDING_TOLERANCE:
            self.ledger.record(subject, amount, now)
            self.ledger.note_unsent(subject, amount, half)
            return GRANTED
        retry_s = min(
            missing / bucket.rate_per_s, self.window_retry_s(found, over_limit, now)
        )
        if excess > ROUNDING_TOLERANCE:
            retry_s = max(retry_s, self.window_retry_s(found, excess, now))
        detail = f"{organisation.name}: {found.level:.1f} of {bucket.depth:.0f} left"
        return Verdict(False, max(MIN_RETRY_S, retry_s), detail)

    def window_excess(
        self, found: FleetLevel, amount: float, most: float, now: float
    ) -> float:
        """Return by how much an amount exceeds the most that the window may contain."""
        since = now - self.bounds.quota_window_s
        used = sum(count for at, count in found.uses if at >= since)
        return used + amount / found.share - most

    def limit_after_start(self, bucket: Bucket, limit: float, now: float) -> float:
        """Return the most in a window, infinite where the bucket keeps the rule alone.

        While it is not known what ran before a start, the whole limit may have been
        used just before. The allowance at a start and the rate since, which the bucket
        allows, would exceed the rule then. A bucket of one request exceeds the rule in
        a deployment without tolerance.
        """
        half = half_tolerance(limit, self.bounds)
        if self.ledger.known_since(now) is None:
            return limit + half if bucket.depth <= MIN_DEPTH else float("inf")
        return min(limit, MAX_START_RATIO * half / HALF)

    def window_retry_s(self, found: FleetLevel, excess: float, now: float) -> float:
        """Return when the start is over, or enough of the use has left the window."""
        window_s = self.bounds.quota_window_s
        known_since = self.ledger.known_since(now)
        if known_since is not None:
            return known_since + window_s - START_S - now
        freed = 0.0
        for used_at, count in found.uses:
            if used_at >= now - window_s:
                freed += count
                if freed >= excess - ROUNDING_TOLERANCE:
                    return used_at + window_s + SLOT_S - now
        return window_s
