"""The token buckets of organisations, computed from the counts of the whole fleet.

The level of a bucket is exchanged with nobody. Each holder replays the slots of all
origins, so late and corrected counts change it as if they had been known in time.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from sardinehook.gateway.usage.ledger import FleetLedger, WeighedUses
from sardinehook.gateway.usage.table import MIN_RETENTION_S, shorten

__all__ = ["REPLAY_S", "Bucket", "BucketLevels", "FleetLevel"]

REPLAY_S = MIN_RETENTION_S  # counts change for that time; then they are swept
MAX_SUBJECTS = 4096  # as in the ledger

Use = tuple[float, float]  # when, and how much


class Bucket(NamedTuple):
    """How fast a bucket fills, and how much it contains at most."""

    rate_per_s: float
    depth: float


class Change(NamedTuple):
    """The bucket in force from a time on."""

    at: float
    bucket: Bucket


class FleetLevel(NamedTuple):
    """The level of a bucket, and the uses that it was computed from.

    All are in units of the whole fleet; a part ``share`` of the level may be used here.
    """

    level: float
    uses: list[Use]
    share: float


class SettledLevel:
    """The level at a time before which counts don't change any more.

    ``started_at`` is the start of the ledger that the level was computed from, ``None``
    if the use before it is known. ``changes`` begin with the bucket in force at ``at``.
    """

    __slots__ = ("at", "changes", "level", "started_at")

    def __init__(
        self, at: float, level: float, bucket: Bucket, started_at: float | None
    ) -> None:
        self.at = at
        self.level = level
        self.changes = [Change(at, bucket)]
        self.started_at = started_at

    def use_bucket(self, bucket: Bucket, now: float) -> None:
        """Put another bucket in force, without effect on what was used before."""
        if self.changes[-1].bucket != bucket:
            self.changes.append(Change(now, bucket))

    def replay(self, uses: Iterable[Use], until: float) -> float:
        """Return the level at a time, after uses that are sorted by time.

        >>> settled = SettledLevel(0.0, 5.0, Bucket(1.0, 5.0), None)
        >>> settled.replay([(1.0, 4.0), (2.0, 1.0)], 3.0)
        2.0
        """
        level, at, (rate, depth) = self.level, *self.changes[0]
        changes = self.changes[1:]
        for used_at, count in uses:
            while changes and changes[0].at <= used_at:
                level, at, (rate, depth) = apply_change(
                    level, Change(at, Bucket(rate, depth)), changes.pop(0)
                )
            level = min(depth, level + rate * (used_at - at)) - count
            at = used_at
        while changes and changes[0].at <= until:
            level, at, (rate, depth) = apply_change(
                level, Change(at, Bucket(rate, depth)), changes.pop(0)
            )
        return min(depth, level + rate * max(0.0, until - at))

    def settle(self, uses: Iterable[Use], at: float) -> None:
        """Move on to a later time, with a debt of the depth at most.

        Uses that no holder admitted must not refuse requests for minutes.
        """
        level = self.replay([use for use in uses if use[0] < at], at)
        self.at = at
        while len(self.changes) > 1 and self.changes[1].at <= at:
            del self.changes[0]
        bucket = self.changes[0].bucket
        self.changes[0] = Change(at, bucket)
        self.level = max(level, -bucket.depth)


class BucketLevels:
    """The levels of the buckets of all organisations, at one holder.

    A bucket is full when it is first used. After a start it contains an allowance
    only, unless another holder has told what ran before.
    """

    def __init__(self, ledger: FleetLedger) -> None:
        self.ledger = ledger
        self.settled: dict[str, SettledLevel] = {}
        ledger.on_sweep = self.sweep

    def find(
        self, subject: str, bucket: Bucket, allowance: float, now: float
    ) -> FleetLevel:
        """Return the level of a subject's bucket."""
        key = shorten(subject)
        settled = self.settled.get(key)
        started_at = self.ledger.started_at()
        if settled is None or settled.started_at != started_at:
            settled = begin(bucket, allowance, started_at, now)
            if len(self.settled) >= MAX_SUBJECTS:
                del self.settled[next(iter(self.settled))]
            self.settled[key] = settled
        settled.use_bucket(bucket, now)
        weighed = self.weigh(subject, settled, now)
        return FleetLevel(settled.replay(weighed.uses, now), *weighed)

    def weigh(self, subject: str, settled: SettledLevel, now: float) -> WeighedUses:
        """Return the uses since a level was settled."""
        return self.ledger.weigh_uses(subject, now - settled.at, now)

    def sweep(self, now: float) -> None:
        """Settle the levels before the ledger removes the counts they depend on."""
        if not self.ledger.is_holder():
            self.settled.clear()
            return
        for subject, settled in list(self.settled.items()):
            if settled.at >= now - REPLAY_S:
                continue
            uses = self.weigh(subject, settled, now).uses
            settled.settle(uses, now - REPLAY_S)
            depth = settled.changes[-1].bucket.depth
            if not uses and settled.level >= depth:
                del self.settled[subject]


def apply_change(
    level: float, last: Change, change: Change
) -> tuple[float, float, Bucket]:
    """Return the level at a change, its time and the bucket in force then.

    What is added to the depth fills by the rate. If it were there at once, gateways
    with different configurations that ask in turn would fill an empty bucket.
    """
    rate, depth = last.bucket
    level = min(depth, level + rate * (change.at - last.at))
    return min(level, change.bucket.depth), change.at, change.bucket


def begin(
    bucket: Bucket, allowance: float, started_at: float | None, now: float
) -> SettledLevel:
    """Return the first level of a bucket."""
    at = now - REPLAY_S
    if started_at is None or started_at <= at:
        return SettledLevel(at, bucket.depth, bucket, started_at)
    level = min(allowance, bucket.depth)
    return SettledLevel(started_at, level, bucket, started_at)
