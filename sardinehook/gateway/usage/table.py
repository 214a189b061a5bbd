"""Counts of use by origin and subject, in slots of 100 ms.

An origin is a gateway since its start. It states the counts of its slots by its own
clock; a later statement replaces an earlier one. Statements that are lost, repeated,
reordered or passed on by others therefore don't change the totals.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from hashlib import blake2b
from math import ceil
from typing import NamedTuple

from sardinehook.gateway.usage.interfaces import Marks

__all__ = [
    "MIN_RETENTION_S",
    "RESEND_S",
    "SLOT_S",
    "Source",
    "Statement",
    "UsageTable",
    "shorten",
]

SLOT_MS = 100
SLOT_S = 0.1
MS_PER_S = 1000.0
MIN_RETENTION_S = 30.0  # levels of buckets depend on counts that come late after a cut
RESEND_S = 1.5  # a changed slot is stated again; longer gaps need a full set
MAX_SOURCES = 1024
MAX_SUBJECTS = 4096  # of one origin
MAX_SUBJECT_BYTES = 160  # longer subjects are replaced by their digests
DIGEST_BYTES = 16
DIGEST_PREFIX = "#"
TOLERANCE_S = 1e-6  # for slots at the border of a window

IsIncluded = Callable[["Source"], bool]


class Statement(NamedTuple):
    """What an origin counted for one subject, in some of its slots.

    The slots are those of the origin's clock. ``as_of_ms`` is the time by this clock
    when the origin stated the counts, and ``age_ms`` how long ago that was.
    """

    origin: str
    incarnation: int
    as_of_ms: int
    age_ms: int
    subject: str
    slots: tuple[tuple[int, float], ...]


class Series:
    """The counts of one subject by one origin."""

    __slots__ = ("as_of_ms", "changed_at", "counts")

    def __init__(self) -> None:
        self.as_of_ms = 0
        self.counts: dict[int, float] = {}
        self.changed_at: dict[int, float] = {}


class Source:
    """One origin: a gateway since its start.

    ``zero_s`` is the local time at which the origin's clock showed zero, and ``via``
    the gateway that last passed on statements of the origin.
    """

    __slots__ = (
        "heard_at",
        "incarnation",
        "newest_ms",
        "node",
        "series",
        "via",
        "zero_s",
    )

    def __init__(self, node: str, incarnation: int) -> None:
        self.node = node
        self.incarnation = incarnation
        self.newest_ms = -1
        self.zero_s = 0.0
        self.via = node
        self.heard_at = float("-inf")
        self.series: dict[str, Series] = {}

    def slots_since(self, subject: str, since: float) -> Iterator[tuple[float, float]]:
        """Yield the local start and the count of the slots that start later."""
        series = self.series.get(subject)
        if series is None:
            return
        for slot, count in series.counts.items():
            starts_at = self.zero_s + slot * SLOT_S
            if starts_at >= since - TOLERANCE_S:
                yield starts_at, count


class UsageTable:
    """The counts of all origins that are known at one gateway.

    >>> table = UsageTable("g-1", 1)
    >>> table.record("quota/a", 2.0, 10.0)
    >>> table.record("quota/a", -1.0, 10.0)
    >>> table.total("quota/a", 5.0, 14.0), table.total("quota/a", 5.0, 16.0)
    (1.0, 0.0)
    """

    def __init__(self, node: str, incarnation: int) -> None:
        self.retention_s = MIN_RETENTION_S
        self.own = Source(node, incarnation)
        self.sources: dict[tuple[str, int], Source] = {(node, incarnation): self.own}

    def record(self, subject: str, amount: float, now: float) -> None:
        """Count own use at ``now``; a negative amount takes back the latest use."""
        subject = shorten(subject)
        series = find_series(self.own, subject)
        slot = slot_at(now)
        if amount >= 0.0:
            series.counts[slot] = series.counts.get(slot, 0.0) + amount
            series.changed_at[slot] = now
            return
        for earlier in sorted(series.counts, reverse=True):
            if earlier <= slot and amount < 0.0:
                taken = min(series.counts[earlier], -amount)
                series.counts[earlier] -= taken
                series.changed_at[earlier] = now
                amount += taken

    def give_back(
        self, subject: str, amount: float, used_at: float, now: float
    ) -> None:
        """Take back use that was recorded at ``used_at``."""
        subject = shorten(subject)
        self.record(subject, -amount, used_at)
        series = find_series(self.own, subject)
        slot = slot_at(used_at)
        if slot in series.changed_at:
            series.changed_at[slot] = now

    def merge(self, statement: Statement, via: str, now: float) -> None:
        """Apply a statement that ``via`` has sent; a repeated one changes nothing."""
        key = (statement.origin, statement.incarnation)
        source = self.sources.get(key)
        if source is self.own:
            return
        if source is None:
            if len(self.sources) >= MAX_SOURCES:
                return
            source = self.sources[key] = Source(*key)
        zero_s = now - (statement.as_of_ms + statement.age_ms) / MS_PER_S
        if statement.as_of_ms > source.newest_ms:
            source.newest_ms = statement.as_of_ms
            source.zero_s = zero_s
            source.via = via
            source.heard_at = now
        elif statement.as_of_ms == source.newest_ms:
            source.zero_s = min(source.zero_s, zero_s)
        series = find_series(source, statement.subject)
        is_newer = statement.as_of_ms >= series.as_of_ms
        series.as_of_ms = max(series.as_of_ms, statement.as_of_ms)
        oldest = now - self.retention_s
        for slot, count in statement.slots:
            is_recent = source.zero_s + slot * SLOT_S >= oldest
            known = series.counts.get(slot)
            if is_recent and (known is None or (is_newer and known != count)):
                series.counts[slot] = count
                series.changed_at[slot] = now

    def total(
        self,
        subject: str,
        window_s: float,
        now: float,
        includes: IsIncluded | None = None,
    ) -> float:
        """Return the use in the last ``window_s``, without the slot it cuts."""
        uses = self.uses(subject, window_s, now, includes)
        return sum((count for _, count in uses), 0.0)

    def uses(
        self,
        subject: str,
        window_s: float,
        now: float,
        includes: IsIncluded | None = None,
    ) -> list[tuple[float, float]]:
        """Return the local starts and the counts of the slots in a window."""
        subject = shorten(subject)
        return [
            use
            for source in self.sources.values()
            if subject in source.series and (includes is None or includes(source))
            for use in source.slots_since(subject, now - window_s)
        ]

    def take(
        self, prefix: str, marks: Marks, since: float, until: float
    ) -> dict[str, float]:
        """Return the use in the slots that start between two times, each slot once.

        ``marks`` has the first slot of each origin that was not returned. The local
        start of a slot moves by milliseconds with the delays of datagrams, so that by
        times alone some slots were returned twice and others never. A slot is complete
        once its origin has stated counts of a later time.
        """
        for key in marks.keys() - self.sources.keys():
            del marks[key]
        taken: dict[str, float] = {}
        for key, source in self.sources.items():
            end = first_slot(until - source.zero_s)
            if source is not self.own:
                end = min(end, source.newest_ms // SLOT_MS)
            first = max(marks.get(key, 0), first_slot(since - source.zero_s))
            if end <= first:
                continue
            marks[key] = end
            for subject, series in source.series.items():
                if not subject.startswith((prefix, DIGEST_PREFIX)):
                    continue
                for slot, count in series.counts.items():
                    if first <= slot < end:
                        taken[subject] = taken.get(subject, 0.0) + count
        return taken

    def subjects(self) -> set[str]:
        """Return all subjects with counts."""
        return {name for source in self.sources.values() for name in source.series}

    def statements(
        self,
        source: Source,
        now: float,
        changed_within_s: float,
        changed_before_s: float = 0.0,
    ) -> Iterator[Statement]:
        """Yield what is to be stated about one origin.

        These are the slots that have changed lately, or all of them if
        ``changed_within_s`` is infinite, and ``changed_before_s`` ago at the latest.
        """
        is_own = source is self.own
        now_ms = int(now * MS_PER_S)
        since, until = now - changed_within_s, now - changed_before_s
        for subject, series in source.series.items():
            slots = tuple(
                (slot, series.counts[slot])
                for slot, changed_at in series.changed_at.items()
                if since <= changed_at <= until
            )
            if not slots:
                continue
            as_of_ms = now_ms if is_own else series.as_of_ms
            age_s = 0.0 if is_own else now - source.zero_s - as_of_ms / MS_PER_S
            yield Statement(
                source.node,
                source.incarnation,
                as_of_ms,
                max(0, int(age_s * MS_PER_S)),
                subject,
                slots,
            )

    def sweep(self, now: float) -> None:
        """Remove counts that are older than the retention time, and empty origins."""
        for key, source in list(self.sources.items()):
            oldest = (now - self.retention_s - source.zero_s) / SLOT_S
            for subject, series in list(source.series.items()):
                for slot in [slot for slot in series.counts if slot < oldest]:
                    del series.counts[slot]
                    del series.changed_at[slot]
                if not series.counts:
                    del source.series[subject]
            silent_s = now - source.heard_at
            if not source.series and silent_s > self.retention_s:
                if source is not self.own:
                    del self.sources[key]


def find_series(source: Source, subject: str) -> Series:
    """Return the series of a subject; a new one may replace the oldest series."""
    series = source.series.get(subject)
    if series is None:
        if len(source.series) >= MAX_SUBJECTS:
            oldest = min(
                source.series,
                key=lambda name: max(
                    source.series[name].changed_at.values(), default=0.0
                ),
            )
            del source.series[oldest]
        series = source.series[subject] = Series()
    return series


def slot_at(now: float) -> int:
    """Return the number of the slot that contains a time.

    >>> slot_at(12.345), slot_at(12.4)
    (123, 124)
    """
    return int(now * MS_PER_S + TOLERANCE_S) // SLOT_MS


def first_slot(seconds: float) -> int:
    """Return the first slot that starts at a time of its origin's clock, or later.

    >>> first_slot(12.3), first_slot(12.301)
    (123, 124)
    """
    return ceil((seconds - TOLERANCE_S) / SLOT_S)


def shorten(subject: str) -> str:
    """Return a subject that fits into a datagram beside its counts.

    >>> shorten("quota/a"), len(shorten("quota/" + 500 * "a"))
    ('quota/a', 33)
    """
    encoded = subject.encode("utf-8", "surrogatepass")
    if len(encoded) <= MAX_SUBJECT_BYTES:
        return subject
    return DIGEST_PREFIX + blake2b(encoded, digest_size=DIGEST_BYTES).hexdigest()
