"""Tail-based sampling of the events of queries."""

from __future__ import annotations

from typing import NamedTuple, Unpack
from zlib import crc32

from structlog.typing import FilteringBoundLogger

from sardinehook.observe.clock import HybridClock
from sardinehook.observe.events import EventFields, EventName, log_event

__all__ = ["QueryLog", "QuerySampler"]

MAX_EVENTS_PER_QUERY = 256
FAILED_QUERY_EVENTS_PER_S = 1000.0


class QuerySampler:
    """Decides which queries' events are written.

    Successful queries are sampled by a hash of the request id, so that all
    processes sample the same queries. Failed queries are written with all their
    events up to a rate of ``events_per_second``; above it, only the last event of
    each is written.

    >>> QuerySampler(one_in=1).is_sampled("r-1")
    True
    """

    def __init__(
        self, one_in: int, events_per_second: float = FAILED_QUERY_EVENTS_PER_S
    ) -> None:
        self.one_in = max(one_in, 1)
        self.events_per_second = events_per_second
        self.tokens = events_per_second
        self.refilled_at = 0.0

    def is_sampled(self, request: str) -> bool:
        """Return whether the events of a successful request are written."""
        return crc32(request.encode()) % self.one_in == 0

    def try_consume(self, events: int, now: float) -> bool:
        """Take tokens for all events of a failed query at ``now`` seconds.

        Returns False if the bucket is empty. The last query may overdraw it.
        """
        refill = max(now - self.refilled_at, 0.0) * self.events_per_second
        self.tokens = min(self.tokens + refill, self.events_per_second)
        self.refilled_at = now
        if self.tokens <= 0.0:
            return False
        self.tokens -= events
        return True


class PendingEvent(NamedTuple):
    """An event that is buffered until its query ends."""

    stamp: int
    event: EventName
    fields: EventFields


class QueryLog:
    """Buffers the events of one query; writes them at its end if sampled or failed.

    Keeps at most ``MAX_EVENTS_PER_QUERY``; the number of dropped events is written
    with the last event.
    """

    def __init__(
        self,
        logger: FilteringBoundLogger,
        clock: HybridClock,
        sampler: QuerySampler,
        request: str,
    ) -> None:
        self.logger = logger
        self.clock = clock
        self.sampler = sampler
        self.request = request
        self.events: list[PendingEvent] = []
        self.dropped = 0

    def record(self, event: EventName, **fields: Unpack[EventFields]) -> None:
        """Buffer an event with the current stamp."""
        if len(self.events) >= MAX_EVENTS_PER_QUERY:
            self.dropped += 1
            return
        self.events.append(PendingEvent(self.clock.tick(), event, fields))

    def end(
        self, event: EventName, failed: bool, **fields: Unpack[EventFields]
    ) -> bool:
        """Write the query's events if failed or sampled; return whether written."""
        sampled = self.sampler.is_sampled(self.request)
        if not (failed or sampled):
            self.events.clear()
            return False
        if sampled or self.sampler.try_consume(len(self.events), self.clock.wall()):
            self._write_pending()
        else:
            self.dropped += len(self.events)
        self.events.clear()
        if self.dropped:
            fields["dropped"] = self.dropped
        fields["request"] = self.request
        log_event(self.logger, event, **fields)
        return True

    def _write_pending(self) -> None:
        for pending in self.events:
            pending.fields["stamp"] = pending.stamp
            pending.fields["request"] = self.request
            log_event(self.logger, pending.event, **pending.fields)
