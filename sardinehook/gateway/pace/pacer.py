"""Keeps the congestion windows of the replicas that have started or recovered."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple
from zlib import crc32

import structlog

from sardinehook.gateway.pace.window import PaceLimits, Window
from sardinehook.gateway.replica import Replica
from sardinehook.observe.events import EventName, log_event

__all__ = ["PACE_VARIABLE", "Pacer"]

logger = structlog.get_logger(__name__)

PACE_VARIABLE = "SARDINEHOOK_PACE"  # "off" turns the windows off, for comparison
LISTING_S = 1.0  # replicas that run at a gateway's start are known by then
KEPT_S = 30.0  # how long a window outlasts the entry of its replica
MAX_KEPT = 4096  # bounds the memory for entries that are gone
FAILING_RATIO = 0.5  # of failed exchanges: the replica has to recover
HASH_RANGE = 2.0**32  # of crc32


class KeptWindow(NamedTuple):
    """The size of a window as a part of its full one, and when it was kept."""

    ratio: float
    kept_at: float


class Pacer:
    """Begins, restores and ends the windows of replicas.

    A window begins small when a replica is cold, is another process than before, has
    refused connections, or fails. A window that had not ended continues where the entry
    of its replica returns after a short absence. A replica that this gateway only
    learns of, for example after its own start, has none: it is warm, and the shares of
    narrow gateways would be far below one request. ``share_divisor`` gives this
    gateway's share for a service. Without ``enabled`` there are no windows.
    """

    def __init__(
        self, share_divisor: Callable[[str], float], node: str, enabled: bool
    ) -> None:
        self.share_divisor = share_divisor
        self.node = node
        self.enabled = enabled
        self.kept: dict[tuple[str, int], KeptWindow] = {}
        self.paced: dict[Replica, None] = {}
        self.logged_count = 0
        self.first_added_at: float | None = None

    def limits_of(self, replica: Replica) -> PaceLimits:
        """Return the bounds of a replica's window at this gateway."""
        divisor = self.share_divisor(replica.entry.service)
        return PaceLimits.of(replica.entry.slots, divisor)

    def begin(self, replica: Replica, now: float, ratio: float = 0.0) -> None:
        """Begin a window at a part of its full size, unless one has begun."""
        if not self.enabled or replica.window is not None:
            return
        limits = self.limits_of(replica)
        name = f"{self.node} {replica.replica_id}".encode()
        phase = crc32(name) / HASH_RANGE
        replica.window = Window(limits, now, ratio * limits.full, phase)
        self.paced[replica] = None

    def add(self, replica: Replica, replaces: bool, now: float) -> None:
        """Begin the window of a replica that has been registered.

        ``replaces`` is set if it takes the place of an earlier process. What this
        gateway learns of in its first second runs already, unless it says it is cold.
        """
        if self.first_added_at is None:
            self.first_added_at = now
        started_now = now > self.first_added_at + LISTING_S
        is_new_process = replaces or started_now or replica.entry.cold_left_s > 0.0
        kept = self.kept.pop(process_of(replica), None)
        if kept is not None and now <= kept.kept_at + KEPT_S:
            if kept.ratio < 1.0:
                self.begin(replica, now, kept.ratio)
        elif is_new_process:
            self.begin(replica, now)

    def keep(self, replica: Replica, now: float) -> None:
        """Remember the window of a replica that leaves the directory."""
        self.paced.pop(replica, None)
        if not self.enabled or len(self.kept) >= MAX_KEPT:
            return
        window = replica.window
        ratio = window.current_size(now) / window.limits.full if window else 1.0
        self.kept[process_of(replica)] = KeptWindow(ratio, now)

    def observe_answer(self, replica: Replica, ratio: float, now: float) -> None:
        """Grow or shrink a window by an answer; end it at its full size."""
        window, load = replica.window, replica.load
        if window is None:
            return
        waiting = load.waiting if load is not None else 0
        window.observe_answer(ratio, waiting, replica.entry.slots, now)
        if window.has_ended(now) and not replica.is_cold(now):
            self.end(replica)

    def observe_refusal(self, replica: Replica, now: float) -> None:
        """Shrink a window by a refusal."""
        if replica.window is not None:
            replica.window.shrink(now)

    def observe_failure(self, replica: Replica, now: float) -> None:
        """Shrink a window by a failure, or begin one for a replica that often fails."""
        if replica.window is not None:
            replica.window.shrink(now)
        elif (
            replica.pool.is_failing
            or replica.current_failure_ratio(now) >= FAILING_RATIO
        ):
            self.begin(replica, now)

    def restart(self, replica: Replica, now: float) -> None:
        """Begin the window anew, since the replica accepts no connections."""
        replica.window = None
        self.begin(replica, now)

    def end(self, replica: Replica) -> None:
        """End the window of a replica."""
        replica.window = None
        self.paced.pop(replica, None)

    def update_shares(self) -> None:
        """Apply another share of this gateway to all windows."""
        for replica in self.paced:
            if replica.window is not None:
                replica.window.update(self.limits_of(replica))

    def sweep(self, now: float, adapts: bool) -> None:
        """End windows by time, forget kept ones, and log how many there are."""
        for replica in list(self.paced):
            window = replica.window
            if window is None or (window.has_ended(now) and not replica.is_cold(now)):
                self.end(replica)
        for process, kept in list(self.kept.items()):
            if now > kept.kept_at + KEPT_S:
                del self.kept[process]
        self.log_count(adapts, self.paced)

    def log_count(self, adapts: bool, paced: Iterable[Replica]) -> None:
        """Log the number of windows when the first has begun or the last has ended."""
        count = sum(1 for _ in paced)
        if adapts and bool(count) != bool(self.logged_count):
            state = "pace limited" if count else "pace no longer limited"
            log_event(logger, EventName.TARGET_STATE, state=state, count=count)
            self.logged_count = count


def process_of(replica: Replica) -> tuple[str, int]:
    """Return the id and the start time of a replica, which identify its process."""
    return replica.replica_id, replica.entry.started_ms
