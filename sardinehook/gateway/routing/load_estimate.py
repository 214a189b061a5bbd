"""Estimates the reply time of a replica from its reported load and its speed.

Pure code: all times are passed in.
"""

from __future__ import annotations

from math import exp

from sardinehook.gateway.interfaces import Load

__all__ = ["ReplicaSpeed", "requests_of_others", "service_times"]

WORK_MEMORY_S = 0.6  # the work ratio is drawn anew about this often
WAITING_MEMORY_S = 0.15  # a queue drains within a few service times
RUNNING_DECAY_POWER = 3  # running requests end three times as fast as queues drain
MAX_REPORT_AGE_S = 1.0  # an older report of running and waiting has no worth
MAX_LOAD_RATIO = 8.0  # of the slots; bounds how long one bad report keeps requests away
MIN_WORK_RATIO = 0.2  # bounds on what one report may claim
MAX_WORK_RATIO = 20.0
MEAN_GAIN = 0.05  # of one report in the long-run mean of the work ratio
MIN_SPEED_GAIN = 0.05  # of one reply in the base slowdown, after the first replies
PRIOR_REPLIES = 2  # the usual speed counts as much as this many replies
MAX_STEP_RATIO = 1.5  # a reply beyond this multiple of the base counts as this multiple
MIN_BASE_SLOWDOWN = 0.5
MAX_BASE_SLOWDOWN = 2.0  # what is slower for a time is learned as a fault, not as base


class ReplicaSpeed:
    """How long work takes at a replica, in parts that change at different rates.

    ``base_slowdown`` is that of its machine, learned from replies. The work ratio is
    the momentary one that the replica states; the estimate regresses to the long-run
    mean of the stated ratios, since the ratio is drawn anew now and then. A reply time
    is divided by the ratio that the reply states before it is learned, so that the same
    delay is not counted in both.

    >>> speed = ReplicaSpeed()
    >>> speed.observe_work(2.5, 10.0)
    >>> round(speed.work_ratio(10.0), 2), round(speed.work_ratio(12.0), 2)
    (2.5, 1.13)
    >>> speed.normalise(2.5, 10.0)
    1.0
    """

    __slots__ = ("base_slowdown", "mean_ratio", "replies", "stated_at", "stated_ratio")

    def __init__(self) -> None:
        self.base_slowdown = 1.0
        self.replies = 0
        self.mean_ratio = 1.0
        self.stated_ratio: float | None = None
        self.stated_at = 0.0

    def observe_work(self, ratio: float, now: float) -> None:
        """Record the work ratio that a reply states."""
        ratio = min(max(ratio, MIN_WORK_RATIO), MAX_WORK_RATIO)
        self.mean_ratio += MEAN_GAIN * (ratio - self.mean_ratio)
        self.stated_ratio = ratio
        self.stated_at = now

    def work_ratio(self, now: float) -> float:
        """Return the expected work ratio at ``now``."""
        if self.stated_ratio is None:
            return 1.0
        worth = exp((self.stated_at - now) / WORK_MEMORY_S)
        return self.mean_ratio + worth * (self.stated_ratio - self.mean_ratio)

    def normalise(self, ratio: float, now: float) -> float:
        """Divide a reply-time ratio by the momentary work and the base slowdown."""
        return ratio / (self.work_ratio(now) * self.base_slowdown)

    def observe_reply(self, ratio: float, now: float) -> float:
        """Learn the base slowdown from a reply; return what the base doesn't explain.

        ``ratio`` is that of the reply time to the usual one, queueing aside. Large
        ratios are bounded, since they are pauses rather than the speed of a machine.

        >>> speed = ReplicaSpeed()
        >>> for _ in range(100):
        ...     unexplained = speed.observe_reply(1.3, 10.0)
        >>> round(speed.base_slowdown, 2), round(unexplained, 2)
        (1.3, 1.0)
        """
        unexplained = self.normalise(ratio, now)
        step = min(max(unexplained, 1.0 / MAX_STEP_RATIO), MAX_STEP_RATIO)
        gain = max(MIN_SPEED_GAIN, 1.0 / (1 + PRIOR_REPLIES + self.replies))
        base = self.base_slowdown * (1.0 + gain * (step - 1.0))
        self.base_slowdown = min(max(base, MIN_BASE_SLOWDOWN), MAX_BASE_SLOWDOWN)
        self.replies += 1
        return unexplained


def requests_of_others(load: Load, own_at_report: int, age_s: float) -> float:
    """Return the estimated requests of other gateways at a replica.

    Requests that were running at the report end sooner than a queue drains. Of the
    reported requests, ``own_at_report`` were sent from here.

    >>> requests_of_others(Load(2, 4, 2), 1, 0.0)
    5.0
    >>> requests_of_others(Load(2, 4, 2), 1, 0.15) < 2.0
    True
    """
    if age_s > MAX_REPORT_AGE_S:
        return 0.0
    fade = exp(-age_s / WAITING_MEMORY_S)
    running = load.running - own_at_report
    waiting = load.waiting
    if running < 0:
        waiting += running
        running = 0
    if waiting <= 0:
        return running * fade**RUNNING_DECAY_POWER
    waiting = min(waiting, int(MAX_LOAD_RATIO * max(1, load.slots)))
    return running * fade**RUNNING_DECAY_POWER + waiting * fade


def service_times(requests: float, slots: int) -> float:
    """Return how many service times one more request takes, queueing included.

    >>> service_times(1.0, 2), service_times(3.0, 2)
    (1.0, 2.0)
    """
    ahead = requests + 1.0 - slots
    return 1.0 + ahead / slots if ahead > 0.0 else 1.0
