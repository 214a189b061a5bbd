"""Faults of the stand-in platform, set by ``POST /control``."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum
from typing import NamedTuple, TypedDict

__all__ = ["Control", "Counts", "Faults", "Outage", "RateCap", "VmRecord", "VmTable"]


class Outage(StrEnum):
    """What the platform does with every call."""

    NONE = "none"
    REFUSE = "refuse"  # answers 503 at once
    CUT = "cut"  # drops the connection
    HANG = "hang"  # never answers


class VmRecord(TypedDict):
    """A VM in the platform's list."""

    name: str
    data_centre: str
    address: str
    incarnation: int
    state: str


class Control(TypedDict, total=False):
    """The body of ``POST /control``; what is absent stays as it is."""

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
    """The faults at present; a rate of zero is no cap.

    ``lose_replies`` is how many further writes to keys that start with
    ``lose_replies_prefix`` take effect without a reply.
    """

    outage: Outage = Outage.NONE
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    reads_per_s: float = 0.0
    writes_per_s: float = 0.0
    lose_replies: int = 0
    lose_replies_prefix: str = ""
    stale: bool = False


class RateCap:
    """A token bucket that holds the tokens of one second."""

    def __init__(self) -> None:
        self.tokens = 0.0
        self.filled_at = float("-inf")

    def take(self, now: float, rate_per_s: float) -> bool:
        """Take a token; false if the rate is exceeded.

        >>> cap = RateCap()
        >>> [cap.take(0.0, 2), cap.take(0.0, 2), cap.take(0.0, 2), cap.take(0.5, 2)]
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
    """Calls and bytes so far, by kind of call and by first part of the key."""

    def __init__(self) -> None:
        self.calls: Counter[str] = Counter()
        self.prefixes: Counter[str] = Counter()
        self.refused = 0
        self.lost_replies = 0
        self.bytes_in = 0
        self.bytes_out = 0

    def plain(self) -> dict[str, int | dict[str, int]]:
        """The counts as JSON data."""
        return {
            "calls": dict(self.calls),
            "prefixes": dict(self.prefixes),
            "refused": self.refused,
            "lost_replies": self.lost_replies,
            "bytes_in": self.bytes_in,
            "bytes_out": self.bytes_out,
        }


class VmTable:
    """The list of VMs, of which readers see the state of ``lag_s`` ago."""

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
        """Set the whole list."""
        self.states.append((now, {vm["name"]: vm for vm in vms}))

    def seen(self, now: float) -> tuple[float, list[VmRecord]]:
        """The moment of the list that readers see, and the list."""
        as_of = now - self.lag_s
        while len(self.states) > 1 and self.states[1][0] <= as_of:
            self.states.pop(0)
        return as_of, list(self.states[0][1].values())
