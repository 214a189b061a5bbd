"""Runs one search: performs its actions and feeds it replies and time."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from functools import partial

from sardinehook.entry.dispatcher import Dispatcher
from sardinehook.messages import SubReply
from sardinehook.platform.timers import Timer, Timers
from sardinehook.query.actions import Action, Cancel, Send, Settle
from sardinehook.query.search import Search

__all__ = ["SearchRun"]


class SearchRun:
    """Drives a ``Search`` until it settles, then calls ``on_settle`` once."""

    def __init__(
        self,
        reactor: Timers,
        search: Search,
        dispatcher: Dispatcher,
        on_settle: Callable[[Settle], None],
    ) -> None:
        self.reactor = reactor
        self.search = search
        self.dispatcher = dispatcher
        self.on_settle = on_settle
        self.actions: deque[Action] = deque()
        self.performing = False
        self.timer: Timer | None = None
        self.timer_at = 0.0

    def begin(self) -> None:
        """Send the first sub-queries."""
        self.perform(self.search.begin(self.reactor.seconds()))

    def on_reply(self, reply: SubReply) -> None:
        """Feed a reply to the search."""
        if not self.search.settled:
            self.perform(self.search.on_reply(reply, self.reactor.seconds()))

    def on_timer(self) -> None:
        """Feed the time to the search."""
        self.timer = None
        if not self.search.settled:
            self.perform(self.search.on_timer(self.reactor.seconds()))

    def abandon(self) -> None:
        """Settle now and tell nobody: the caller has left."""
        if not self.search.settled:
            self.perform(self.search.give_up(self.reactor.seconds()))

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
                self.dispatcher.send(sub_query, self.on_reply)
            case Cancel(sub_query_id):
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
