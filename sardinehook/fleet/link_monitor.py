"""Rules that tell when a link has gone silent."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

__all__ = ["LinkMonitor", "NextStep", "Step"]

PROBE_AFTER_S = 0.020
MIN_PROBE_TIMEOUT_S = 0.040
PROBE_TIMEOUT_ROUND_TRIPS = 4.0
IDLE_PROBE_AFTER_S = 10.0
REPLY_WAIT_LIMIT_S = 2.0


class Step(Enum):
    """What to do about a link now."""

    REST = "rest"
    WAIT = "wait"
    PROBE = "probe"
    DOUBT = "doubt"


class NextStep(NamedTuple):
    """A step and the seconds until the watch has to be asked again."""

    step: Step
    check_after_s: float


REST = NextStep(Step.REST, 0.0)


class LinkMonitor:
    """What one side knows of a link's life. All times are monotonic seconds.

    A link is probed when a reply is awaited and nothing at all was heard for
    ``PROBE_AFTER_S``; it is in doubt when the probe too goes without any answer. Two
    checks are needed, so a pause of this process alone never casts doubt on a link:
    what arrived meanwhile is read between them.

    >>> monitor = LinkMonitor(0.0)
    >>> monitor.record_sent(1.0, requests=1)
    >>> monitor.check(1.03).step, monitor.check(1.08).step
    (<Step.PROBE: 'probe'>, <Step.DOUBT: 'doubt'>)
    >>> monitor.record_received(1.09)
    >>> monitor.suspected
    False
    """

    def __init__(self, now: float) -> None:
        self.last_received_at = now
        self.first_sent_at = now
        self.first_request_at = now
        self.last_request_at = now
        self.pending_replies = 0
        self.frame_unanswered = False
        self.probed_at: float | None = None
        self.suspected = False
        self.round_trip_s = 0.0

    @property
    def probe_timeout_s(self) -> float:
        """Seconds that a probe may go without an answer."""
        return max(MIN_PROBE_TIMEOUT_S, PROBE_TIMEOUT_ROUND_TRIPS * self.round_trip_s)

    def record_sent(self, now: float, requests: int) -> None:
        """Note that a frame with so many requests was sent; probes don't count."""
        if not self.frame_unanswered:
            self.frame_unanswered = True
            self.first_sent_at = now
        if requests:
            if not self.pending_replies:
                self.first_request_at = now
            self.pending_replies += requests
            self.last_request_at = now

    def record_replies(self, replies: int) -> None:
        """Note that so many replies arrived."""
        self.pending_replies = max(0, self.pending_replies - replies)

    def record_received(self, now: float) -> None:
        """Note that something arrived."""
        self.last_received_at = now
        self.frame_unanswered = False
        self.probed_at = None
        self.suspected = False

    @property
    def due_at(self) -> float | None:
        """When to probe the link if nothing is heard; None when nothing is awaited."""
        if self.pending_replies:
            return max(self.last_received_at, self.first_request_at) + PROBE_AFTER_S
        if self.frame_unanswered:
            return self.first_sent_at + IDLE_PROBE_AFTER_S
        return None

    def check(self, now: float) -> NextStep:
        """Decide what to do at ``now``; a probe counts as sent."""
        if self.probed_at is not None:
            return self.check_probe(now, self.probed_at)
        if now - self.last_request_at > REPLY_WAIT_LIMIT_S:
            self.pending_replies = 0
        due = self.due_at
        if due is None:
            return REST
        if now < due:
            return NextStep(Step.WAIT, due - now)
        self.probed_at = now
        return NextStep(Step.PROBE, self.probe_timeout_s)

    def check_probe(self, now: float, probed_at: float) -> NextStep:
        """Decide what to do while a probe is without an answer."""
        due = probed_at + self.probe_timeout_s
        if now < due:
            return NextStep(Step.WAIT, due - now)
        self.suspected = True
        return NextStep(Step.DOUBT, self.probe_timeout_s)
