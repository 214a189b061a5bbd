"""Passive health record of a replica, from its replies and timeouts."""

from __future__ import annotations

from sardinehook.environment.document import Index
from sardinehook.messages import Outcome
from sardinehook.target.availability import Availability
from sardinehook.target.codec import TargetReply
from sardinehook.target.concurrency_limit import ConcurrencyLimit
from sardinehook.target.outcome import Result
from sardinehook.target.service_time import ServiceTime
from sardinehook.target.status import ReplicaStatus, read_status

__all__ = ["ReplicaHealth"]


class ReplicaHealth:
    """Concurrency limit, availability, service time and versions of one replica."""

    def __init__(self, index: Index) -> None:
        self.ramp = ConcurrencyLimit(index.cold_start_slots, index.slots)
        self.availability = Availability(self.ramp)
        self.service_time = ServiceTime()
        self.status = ReplicaStatus()

    def record_reply(
        self,
        reply: TargetReply,
        result: Result,
        took_ms: float,
        at_limit: bool,
        now: float,
    ) -> None:
        """Record a complete reply.

        ``at_limit`` is as in ``ConcurrencyLimit.record_success``.
        """
        self.status.record_reply(reply.head, now)
        self.availability.record_reply_state(reply.head.state, now)
        match result.outcome:
            case Outcome.ANSWERED:
                slow = self.service_time.is_slow(took_ms)
                self.service_time.observe(took_ms)
                self.ramp.record_success(reply.head.state, at_limit, slow)
            case Outcome.SHED:
                self.ramp.record_shed()
            case Outcome.FAILED if reply.status == 503:
                self.ramp.record_shed()
            case _:
                pass

    def record_status(self, reply: TargetReply, now: float) -> None:
        """Record a reply of the status endpoint, which may be outdated or wrong."""
        body = read_status(reply.body) if reply.status == 200 else None
        self.status.record_status(body, now)
        self.availability.record_reply_state(reply.head.state, now)
        if body is not None:
            self.availability.record_status(body.state == "draining", now)

    def record_cancelled_wait(self, waited_ms: float) -> None:
        """Record the wait for a cancelled exchange if it was longer than the mean."""
        if waited_ms <= self.service_time.mean_ms:
            return
        if self.service_time.is_slow(waited_ms):
            self.ramp.record_slow_reply()
        self.service_time.observe(waited_ms)

    def record_timeout(self, waited_ms: float) -> None:
        """Record a deadline that passed without a reply."""
        self.ramp.record_timeout()
        self.service_time.observe(waited_ms)

    def wait_ms(self, ahead: int) -> float:
        """Estimate the time in queue and service behind ``ahead`` sub-queries."""
        turns = ahead // max(1, self.ramp.bound)
        return turns * self.service_time.mean_ms + self.service_time.likely_ms
