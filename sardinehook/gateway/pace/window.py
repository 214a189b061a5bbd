"""Congestion window of a replica after a start or a recovery.

Pure code: all times are passed in.
"""

from __future__ import annotations

from math import exp2
from typing import NamedTuple

__all__ = ["PaceLimits", "Window"]

START_REQUESTS_PER_SLOT = 1.0  # of all gateways together, at the start of a window
FULL_REQUESTS_PER_SLOT = 4.0  # of all gateways together: the window ends there
HARD_RATIO = 4.0  # of the window, where no sibling has room
NEEDED_RATIO = 16.0  # the same below one request: few gateways have one at a time
GROWTH = 1.0  # requests more for each answer in time: doubles in a round trip
FIRST_SPACING_S = 0.05  # more than usual service times, for spreading first requests
LEAST_RATIO = 0.25  # of the start: the smallest window
SHRINK = 0.5  # of the window, for a refusal or a slow answer
SHRINK_INTERVAL_S = 0.05  # one overload shrinks the window once, not for each answer
SLOW_RATIO = 3.0  # of the expected reply time, beyond which an answer is slow
QUEUE_PER_SLOT = 1.0  # a longer stated queue shrinks the window, half of it stops it
IDLE_DOUBLING_S = 2.0  # an unused window doubles in this time
MAX_WINDOW_S = 10.0  # without bad answers for this long it ends


class PaceLimits(NamedTuple):
    """The bounds of a window: this gateway's part of what a replica bears.

    ``start`` is where it begins, ``full`` where it ends. Either may be less than one
    request, since many gateways share a replica.

    >>> PaceLimits.of(slots=2, sharing_gateways=8.0)
    PaceLimits(start=0.25, full=1.0)
    """

    start: float
    full: float

    @classmethod
    def of(cls, slots: int, sharing_gateways: float) -> PaceLimits:
        """Return the bounds for one of ``sharing_gateways`` gateways."""
        part = max(1, slots) / max(1.0, sharing_gateways)
        return cls(START_REQUESTS_PER_SLOT * part, FULL_REQUESTS_PER_SLOT * part)


class Window:
    """How many requests one gateway may have at a replica that has just (re)started.

    A window of at least one bounds the requests in flight. A smaller one allows a
    single request in flight, and spaces requests so that on average the window is
    filled: all gateways together then fill the sum of their windows. It grows with
    answers in time and slowly without any, and shrinks with refusals, slow answers and
    a long stated queue. It has ended when it has reached its full size.

    ``phase``, between zero and one, differs among gateways. Of those whose windows are
    smaller than one, it selects the few that may send at once, and spreads the others.

    >>> window = Window(PaceLimits(0.5, 4.0), 10.0)
    >>> window.has_room(0, 10.0)
    True
    >>> window.record_sent(10.0, 0.1)
    >>> window.has_room(0, 10.1), window.has_room(0, 10.21)
    (False, True)
    """

    __slots__ = (
        "bad_at",
        "began_at",
        "changed_at",
        "limits",
        "needed_at",
        "next_at",
        "size",
    )

    def __init__(
        self,
        limits: PaceLimits,
        now: float,
        size: float | None = None,
        phase: float = 0.0,
    ) -> None:
        self.limits = limits
        self.size = limits.start if size is None else max(size, limits.start)
        self.began_at = now
        self.changed_at = now
        self.bad_at = now
        delay_s = phase * FIRST_SPACING_S / self.size
        self.next_at = now if phase < self.size else now + delay_s
        is_early = phase < NEEDED_RATIO * self.size
        self.needed_at = now if is_early else now + delay_s / NEEDED_RATIO

    def current_size(self, now: float) -> float:
        """Return the size at ``now``; it doubles slowly while nothing is known."""
        idle_s = min(now - self.changed_at, MAX_WINDOW_S)
        return min(self.size * exp2(idle_s / IDLE_DOUBLING_S), self.limits.full)

    def has_room(self, in_flight: int, now: float) -> bool:
        """Return whether one more request fits into the window."""
        size = self.current_size(now)
        if size >= 1.0:
            return in_flight + 1 <= size
        return not in_flight and now >= self.next_at

    def has_room_if_needed(self, in_flight: int, now: float) -> bool:
        """Return whether a request may be sent for want of a sibling with room."""
        size = HARD_RATIO * self.current_size(now)
        if size >= 1.0:
            return in_flight + 1 <= size
        return not in_flight and now >= self.needed_at

    def record_sent(self, now: float, service_s: float) -> None:
        """Space the next request if the window is smaller than one request."""
        size = self.size = self.current_size(now)
        self.changed_at = now
        if size < 1.0:
            self.next_at = now + service_s / size
            self.needed_at = now + service_s / size / NEEDED_RATIO

    def observe_answer(
        self, ratio: float, waiting: int, slots: int, now: float
    ) -> None:
        """Grow by an answer in time, or shrink by a slow one or a stated queue.

        ``ratio`` is that of the reply time to the expected one; ``waiting`` is the
        queue that the answer states.
        """
        queue = waiting / max(1, slots)
        if ratio > SLOW_RATIO or queue > QUEUE_PER_SLOT:
            self.shrink(now)
        elif queue <= QUEUE_PER_SLOT / 2.0:
            self.size = self.current_size(now) + GROWTH
            self.changed_at = now

    def shrink(self, now: float) -> None:
        """Shrink by a refusal or a failure."""
        size = self.current_size(now)
        self.changed_at = now
        if now < self.bad_at + SHRINK_INTERVAL_S and self.bad_at > self.began_at:
            self.size = size
            return
        self.bad_at = now
        self.size = max(LEAST_RATIO * self.limits.start, SHRINK * size)

    def has_ended(self, now: float) -> bool:
        """Return whether the replica has shown that it needs no window any more."""
        grown = self.current_size(now) >= self.limits.full
        return grown or now > max(self.bad_at, self.began_at) + MAX_WINDOW_S

    def update(self, limits: PaceLimits) -> None:
        """Apply another share of this gateway, keeping the window's part of it."""
        if limits != self.limits:
            self.size *= limits.start / self.limits.start
            self.limits = limits
