"""Runs one search: performs its actions and feeds it replies and time."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Iterable
from functools import partial
from typing import NamedTuple

from sardinehook.entry.dispatcher import Dispatcher
from sardinehook.messages import SubQuery, SubReply
from sardinehook.observe.events import EventName
from sardinehook.observe.metrics import Attempt
from sardinehook.observe.sampling import QueryLog
from sardinehook.query.actions import Action, Cancel, Send, Settle
from sardinehook.query.search import Search
from sardinehook.transport.reactor import Timer, Timers

__all__ = ["SearchRun"]

SENT_EVENTS = {
    Attempt.FIRST: EventName.SUB_QUERY_SENT,
    Attempt.HEDGE: EventName.SUB_QUERY_HEDGED,
    Attempt.RETRY: EventName.SUB_QUERY_RETRIED,
}


class OpenSubQuery(NamedTuple):
    """A sub-query that has no end yet."""

    service: str
    replica: str


class SearchRun:
    """Drives a ``Search`` until it settles, then calls ``on_settle`` once.

    ``attempts`` counts the sub-queries sent, by why they were sent.
    """

    def __init__(
        self,
        reactor: Timers,
        search: Search,
        dispatcher: Dispatcher,
        log: QueryLog,
        on_settle: Callable[[Settle], None],
    ) -> None:
        self.reactor = reactor
        self.search = search
        self.dispatcher = dispatcher
        self.log = log
        self.on_settle = on_settle
        self.attempts: Counter[Attempt] = Counter()
        self.open: dict[int, OpenSubQuery] = {}
        self.asked: set[str] = set()
        self.actions: deque[Action] = deque()
        self.performing = False
        self.timer: Timer | None = None
        self.timer_at = 0.0

    def begin(self) -> None:
        """Send the first sub-queries."""
        self.perform(self.search.begin(self.reactor.seconds()))

    def on_reply(self, reply: SubReply) -> None:
        """Feed a reply to the search."""
        self.note_end(reply)
        if not self.search.settled:
            self.perform(self.search.on_reply(reply, self.reactor.seconds()))

    def on_timer(self) -> None:
        """Feed the time to the search."""
        self.timer = None
        if not self.search.settled:
            self.perform(self.search.on_timer(self.reactor.seconds()))

    def give_up(self) -> None:
        """Settle now: the caller has left."""
        if not self.search.settled:
            self.perform(self.search.cancel(self.reactor.seconds()))

    def perform(self, actions: Iterable[Action]) -> None:
        """Perform actions in order, also those that arise on the way."""
        self.actions.extend(actions)
        if self.performing:
            return
        self.performing = True
        try:
            while self.actions:
                self.perform_one(self.actions.popleft())
        finally:
            self.performing = False
        self.arm_timer()

    def perform_one(self, action: Action) -> None:
        """Perform one action."""
        match action:
            case Send(sub_query):
                self.note_sent(sub_query)
                self.dispatcher.send(sub_query, self.on_reply)
            case Cancel(sub_query_id):
                self.note_cancel(sub_query_id)
                self.dispatcher.cancel(sub_query_id)
            case Settle():
                self.reactor.callLater(0, partial(self.on_settle, action))

    def arm_timer(self) -> None:
        """Set the timer for the next moment at which the search wants the time."""
        due = None if self.search.settled else self.search.next_timer()
        if self.timer is not None:
            if due == self.timer_at:
                return
            self.timer.cancel()
            self.timer = None
        if due is not None:
            delay = max(0.0, due - self.reactor.seconds())
            self.timer = self.reactor.callLater(delay, self.on_timer)
            self.timer_at = due

    def classify(self, service: str) -> Attempt:
        """Tell why a sub-query is sent from what was sent before."""
        if service not in self.asked:
            return Attempt.FIRST
        waiting = any(one.service == service for one in self.open.values())
        return Attempt.HEDGE if waiting else Attempt.RETRY

    def note_sent(self, sub_query: SubQuery) -> None:
        """Count and log a sub-query that is sent."""
        service, replica = sub_query.service, sub_query.replica
        attempt = self.classify(service)
        self.attempts[attempt] += 1
        self.asked.add(service)
        self.open[sub_query.sub_query_id] = OpenSubQuery(service, replica)
        self.log.record(
            SENT_EVENTS[attempt],
            sub_query=sub_query.sub_query_id,
            service=service,
            target=replica,
        )

    def note_end(self, reply: SubReply) -> None:
        """Log the end of a sub-query."""
        ended = self.open.pop(reply.sub_query_id, None)
        if ended is not None:
            self.log.record(
                EventName.SUB_QUERY_ENDED,
                sub_query=reply.sub_query_id,
                target=ended.replica,
                outcome=reply.outcome.name.lower(),
                queued_ms=reply.queued_ms,
                service_ms=reply.service_ms,
                detail=reply.detail,
            )

    def note_cancel(self, sub_query_id: int) -> None:
        """Log that a sub-query is cancelled."""
        ended = self.open.pop(sub_query_id, None)
        if ended is not None:
            self.log.record(
                EventName.SUB_QUERY_CANCELLED,
                sub_query=sub_query_id,
                target=ended.replica,
            )
