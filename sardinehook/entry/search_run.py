"""Runs one search: executes its actions and passes it replies and timeouts."""

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


class OutstandingSubQuery(NamedTuple):
    """A sub-query that has been sent and not completed."""

    service: str
    replica: str


class SearchRun:
    """Drives a ``Search`` until it settles, then calls ``on_settle`` once.

    ``attempts`` counts the sub-queries sent, by kind: first, hedge or retry.
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
        self.outstanding: dict[int, OutstandingSubQuery] = {}
        self.queried_services: set[str] = set()
        self.actions: deque[Action] = deque()
        self.performing = False
        self.timer: Timer | None = None
        self.timer_at = 0.0

    def start(self) -> None:
        """Start the search and send its first sub-queries."""
        self.perform(self.search.begin(self.reactor.seconds()))

    def on_reply(self, reply: SubReply) -> None:
        """Pass a reply to the search."""
        self.log_end(reply)
        if not self.search.settled:
            self.perform(self.search.on_reply(reply, self.reactor.seconds()))

    def on_timer(self) -> None:
        """Pass a timer expiry to the search."""
        self.timer = None
        if not self.search.settled:
            self.perform(self.search.on_timer(self.reactor.seconds()))

    def cancel(self) -> None:
        """Cancel the search because the caller disconnected."""
        if not self.search.settled:
            self.perform(self.search.cancel(self.reactor.seconds()))

    def perform(self, actions: Iterable[Action]) -> None:
        """Execute actions in order, including those queued during execution."""
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
        """Execute one action."""
        match action:
            case Send(sub_query):
                self.record_sent(sub_query)
                self.dispatcher.send(sub_query, self.on_reply)
            case Cancel(sub_query_id):
                self.log_cancelled(sub_query_id)
                self.dispatcher.cancel(sub_query_id)
            case Settle():
                self.reactor.callLater(0, partial(self.on_settle, action))

    def arm_timer(self) -> None:
        """Set the timer to the next timer due in the search."""
        due_at = None if self.search.settled else self.search.next_timer()
        if self.timer is not None:
            if due_at == self.timer_at:
                return
            self.timer.cancel()
            self.timer = None
        if due_at is not None:
            delay = max(0.0, due_at - self.reactor.seconds())
            self.timer = self.reactor.callLater(delay, self.on_timer)
            self.timer_at = due_at

    def classify_attempt(self, service: str) -> Attempt:
        """Classify a sub-query as first, hedge or retry from those sent before."""
        if service not in self.queried_services:
            return Attempt.FIRST
        outstanding_for_service = any(
            other.service == service for other in self.outstanding.values()
        )
        return Attempt.HEDGE if outstanding_for_service else Attempt.RETRY

    def record_sent(self, sub_query: SubQuery) -> None:
        """Count and log a sub-query being sent."""
        service, replica = sub_query.service, sub_query.replica
        attempt = self.classify_attempt(service)
        self.attempts[attempt] += 1
        self.queried_services.add(service)
        self.outstanding[sub_query.sub_query_id] = OutstandingSubQuery(service, replica)
        self.log.record(
            SENT_EVENTS[attempt],
            sub_query=sub_query.sub_query_id,
            service=service,
            target=replica,
        )

    def log_end(self, reply: SubReply) -> None:
        """Log the completion of a sub-query."""
        ended = self.outstanding.pop(reply.sub_query_id, None)
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

    def log_cancelled(self, sub_query_id: int) -> None:
        """Log the cancellation of a sub-query."""
        ended = self.outstanding.pop(sub_query_id, None)
        if ended is not None:
            self.log.record(
                EventName.SUB_QUERY_CANCELLED,
                sub_query=sub_query_id,
                target=ended.replica,
            )
