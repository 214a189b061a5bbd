"""Rules that tell when a link has gone silent."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

__all__ = ["NextStep", "SilenceWatch", "Step"]

PROBE_AFTER_S = 0.020
SILENT_AFTER_S = 0.040
SILENT_AFTER_ROUND_TRIPS = 4.0
IDLE_PROBE_AFTER_S = 10.0
REPLY_EXPECTED_FOR_S = 2.0


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


class SilenceWatch:
    """What one side knows of a link's life. All times are monotonic seconds.

    A link is probed when a reply is awaited and nothing at all was heard for
    ``PROBE_AFTER_S``; it is in doubt when the probe too goes without any answer. Two
    checks are needed, so a pause of this process alone never casts doubt on a link:
    what arrived meanwhile is read between them.

    >>> watch = SilenceWatch(0.0)
    >>> watch.sent(1.0, requests=1)
    >>> watch.check(1.03).step, watch.check(1.08).step
    (<Step.PROBE: 'probe'>, <Step.DOUBT: 'doubt'>)
    >>> watch.heard(1.09)
    >>> watch.in_doubt
    False
    """

    def __init__(self, now: float) -> None:
        self.heard_at = now
        self.sent_at = now
        self.asked_at = now
        self.requested_at = now
        self.awaited = 0
        self.unanswered = False
        self.probed_at: float | None = None
        self.in_doubt = False
        self.round_trip_s = 0.0

    @property
    def silent_after_s(self) -> float:
        """Seconds that a probe may go without an answer."""
        return max(SILENT_AFTER_S, SILENT_AFTER_ROUND_TRIPS * self.round_trip_s)

    def sent(self, now: float, requests: int) -> None:
        """Note that a frame with so many requests was sent; probes don't count."""
        if not self.unanswered:
            self.unanswered = True
            self.sent_at = now
        if requests:
            if not self.awaited:
                self.asked_at = now
            self.awaited += requests
            self.requested_at = now

    def replied(self, replies: int) -> None:
        """Note that so many replies arrived."""
        self.awaited = max(0, self.awaited - replies)

    def heard(self, now: float) -> None:
        """Note that something arrived."""
        self.heard_at = now
        self.unanswered = False
        self.probed_at = None
        self.in_doubt = False

    @property
    def due_at(self) -> float | None:
        """When to probe the link if nothing is heard; None when nothing is awaited."""
        if self.awaited:
            return max(self.heard_at, self.asked_at) + PROBE_AFTER_S
        if self.unanswered:
            return self.sent_at + IDLE_PROBE_AFTER_S
        return None

    def check(self, now: float) -> NextStep:
        """Decide what to do at ``now``; a probe counts as sent."""
        if self.probed_at is not None:
            return self.check_probe(now, self.probed_at)
        if now - self.requested_at > REPLY_EXPECTED_FOR_S:
            self.awaited = 0
        due = self.due_at
        if due is None:
            return REST
        if now < due:
            return NextStep(Step.WAIT, due - now)
        self.probed_at = now
        return NextStep(Step.PROBE, self.silent_after_s)

    def check_probe(self, now: float, probed_at: float) -> NextStep:
        """Decide what to do while a probe is without an answer."""
        due = probed_at + self.silent_after_s
        if now < due:
            return NextStep(Step.WAIT, due - now)
        self.in_doubt = True
        return NextStep(Step.DOUBT, self.silent_after_s)
