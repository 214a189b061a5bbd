"""Keeps the events of a query until it is known whether to write them."""

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
    """Chooses which queries' events are written.

    Untroubled ones are chosen by request id, by all processes alike, so that a
    sampled query's story is whole. Troubled ones are told in full as long as the
    process has not written ``events_per_second`` for them; beyond that each still
    has its last event.

    >>> QuerySampler(one_in=1).is_sampled("r-1")
    True
    """

    def __init__(
        self, one_in: int, events_per_second: float = FAILED_QUERY_EVENTS_PER_S
    ) -> None:
        self.one_in = max(one_in, 1)
        self.events_per_second = events_per_second
        self.left = events_per_second
        self.refilled_at = 0.0

    def is_sampled(self, request: str) -> bool:
        """Tell whether the events of an untroubled request are written."""
        return crc32(request.encode()) % self.one_in == 0

    def try_consume(self, events: int, now: float) -> bool:
        """Tell whether a troubled query may be told in full at ``now`` seconds."""
        refill = max(now - self.refilled_at, 0.0) * self.events_per_second
        self.left = min(self.left + refill, self.events_per_second)
        self.refilled_at = now
        if self.left <= 0.0:
            return False
        self.left -= events
        return True


class PendingEvent(NamedTuple):
    """An event that waits for the end of its query."""

    stamp: int
    event: EventName
    fields: EventFields


class QueryLog:
    """The events of one query, written at its end if sampled or troubled.

    At most ``MAX_EVENTS_PER_QUERY`` are kept; the number of further ones is
    written with the last event.
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
        """Keep an event with the stamp of the present moment."""
        if len(self.events) >= MAX_EVENTS_PER_QUERY:
            self.dropped += 1
            return
        self.events.append(PendingEvent(self.clock.tick(), event, fields))

    def end(
        self, event: EventName, failed: bool, **fields: Unpack[EventFields]
    ) -> bool:
        """Write the query's events if troubled or sampled; tell whether written."""
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
