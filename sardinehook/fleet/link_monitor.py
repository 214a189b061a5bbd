"""Failure detector of a single link."""

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
    """Action that a link has to take."""

    REST = "rest"
    WAIT = "wait"
    PROBE = "probe"
    DOUBT = "doubt"


class NextStep(NamedTuple):
    """An action and the seconds until the next check."""

    step: Step
    check_after_s: float


REST = NextStep(Step.REST, 0.0)


class LinkMonitor:
    """Decides when to probe and when to suspect a link. Times are monotonic seconds.

    A link is probed if a reply is pending and nothing was received for
    ``PROBE_AFTER_S``. It is suspected if nothing is received within the probe timeout
    either. Suspicion takes two checks, so a pause of this process alone never causes
    it: data that arrived during the pause is read between the checks.

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
        """Return the time allowed for the answer to a probe."""
        return max(MIN_PROBE_TIMEOUT_S, PROBE_TIMEOUT_ROUND_TRIPS * self.round_trip_s)

    def record_sent(self, now: float, requests: int) -> None:
        """Record a sent frame with a number of requests; probes are not recorded."""
        if not self.frame_unanswered:
            self.frame_unanswered = True
            self.first_sent_at = now
        if requests:
            if not self.pending_replies:
                self.first_request_at = now
            self.pending_replies += requests
            self.last_request_at = now

    def record_replies(self, replies: int) -> None:
        """Record the receipt of a number of replies."""
        self.pending_replies = max(0, self.pending_replies - replies)

    def record_received(self, now: float) -> None:
        """Record the receipt of any data, which ends a probe or a suspicion."""
        self.last_received_at = now
        self.frame_unanswered = False
        self.probed_at = None
        self.suspected = False

    @property
    def due_at(self) -> float | None:
        """Return when to probe a silent link; None if no answer is pending.

        Frames without requests are probed only after ``IDLE_PROBE_AFTER_S``.
        """
        if self.pending_replies:
            return max(self.last_received_at, self.first_request_at) + PROBE_AFTER_S
        if self.frame_unanswered:
            return self.first_sent_at + IDLE_PROBE_AFTER_S
        return None

    def check(self, now: float) -> NextStep:
        """Return the action at ``now``; the caller must send a requested probe."""
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
        """Return the action while a probe is unanswered."""
        due = probed_at + self.probe_timeout_s
        if now < due:
            return NextStep(Step.WAIT, due - now)
        self.suspected = True
        return NextStep(Step.DOUBT, self.probe_timeout_s)
