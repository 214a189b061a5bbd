"""Injected faults of the simulated platform, set by ``POST /control``."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum
from typing import NamedTuple, TypedDict

__all__ = [
    "Control",
    "Counts",
    "Faults",
    "Outage",
    "TokenBucket",
    "VmRecord",
    "VmTable",
]


class Outage(StrEnum):
    """How the platform fails every call during an outage."""

    NONE = "none"
    REFUSE = "refuse"  # answers 503 at once
    CUT = "cut"  # drops the connection
    HANG = "hang"  # never answers


class VmRecord(TypedDict):
    """An entry of the platform's VM list."""

    name: str
    data_centre: str
    address: str
    incarnation: int
    state: str


class Control(TypedDict, total=False):
    """The body of ``POST /control``; absent fields keep their value."""

    outage: Outage
    delay_ms: float
    jitter_ms: float
    reads_per_s: float
    writes_per_s: float
    lose_replies: int
    lose_replies_prefix: str
    stale: bool
    vm_lag_ms: float
    vms: list[VmRecord]
    upsert_vms: list[VmRecord]
    remove_vms: list[str]
    reset_counts: bool


class Faults(NamedTuple):
    """The faults in effect; a rate of zero means no limit.

    The next ``lose_replies`` writes to keys that start with
    ``lose_replies_prefix`` take effect, but their replies are dropped. With ``stale``,
    reads are served from a snapshot.
    """

    outage: Outage = Outage.NONE
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    reads_per_s: float = 0.0
    writes_per_s: float = 0.0
    lose_replies: int = 0
    lose_replies_prefix: str = ""
    stale: bool = False


class TokenBucket:
    """Rate limiter whose burst size is the rate of one second."""

    def __init__(self) -> None:
        self.tokens = 0.0
        self.filled_at = float("-inf")

    def take(self, now: float, rate_per_s: float) -> bool:
        """Take a token; returns False if the rate is exceeded.

        >>> bucket = TokenBucket()
        >>> [bucket.take(now, 2) for now in (0.0, 0.0, 0.0, 0.5)]
        [True, True, False, True]
        """
        if rate_per_s <= 0.0:
            return True
        refill = (now - self.filled_at) * rate_per_s
        self.tokens = min(rate_per_s, self.tokens + refill)
        self.filled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class Counts:
    """Counters of calls and bytes, by kind of call and first segment of the key."""

    def __init__(self) -> None:
        self.calls: Counter[str] = Counter()
        self.prefixes: Counter[str] = Counter()
        self.refused = 0
        self.lost_replies = 0
        self.bytes_in = 0
        self.bytes_out = 0

    def as_dict(self) -> dict[str, int | dict[str, int]]:
        """The body of ``GET /counts``."""
        return {
            "calls": dict(self.calls),
            "prefixes": dict(self.prefixes),
            "refused": self.refused,
            "lost_replies": self.lost_replies,
            "bytes_in": self.bytes_in,
            "bytes_out": self.bytes_out,
        }


class VmTable:
    """The VM list; reads return its state of ``lag_s`` seconds ago."""

    def __init__(self) -> None:
        self.lag_s = 0.0
        self.states: list[tuple[float, dict[str, VmRecord]]] = [(0.0, {})]

    def change(self, now: float, upserted: list[VmRecord], removed: list[str]) -> None:
        """Add, replace and remove VMs by name."""
        table = dict(self.states[-1][1])
        for name in removed:
            table.pop(name, None)
        table.update({vm["name"]: vm for vm in upserted})
        self.states.append((now, table))

    def replace(self, now: float, vms: list[VmRecord]) -> None:
        """Replace the whole list."""
        self.states.append((now, {vm["name"]: vm for vm in vms}))

    def seen(self, now: float) -> tuple[float, list[VmRecord]]:
        """Return the time of the state that reads see, and the VMs at that time."""
        as_of = now - self.lag_s
        while len(self.states) > 1 and self.states[1][0] <= as_of:
            self.states.pop(0)
        return as_of, list(self.states[0][1].values())
