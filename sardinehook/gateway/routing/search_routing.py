"""Chooses who gathers a search: a delegate that answers now, or this gateway."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from sardinehook.gateway.answer import CallerAnswer
from sardinehook.gateway.configuration import Route
from sardinehook.gateway.delegated_search import DelegatedSearch
from sardinehook.gateway.delegates import Delegate, Delegates
from sardinehook.gateway.interfaces import CallerRequest
from sardinehook.gateway.policy import RequestPolicy
from sardinehook.gateway.unexpected import answers_errors
from sardinehook.transport.reactor import Timer

__all__ = ["DelegateInquiry", "PendingSearch", "SearchRouting"]

# A delegate heard within a heartbeat interval (0.2 s) and some lag is not asked: a
# round trip before each search would cost it more of its objective than it saves.
FRESH_S = 0.25
ANSWER_WAIT_S = 0.015  # round trip of a datagram and some lag of a small delegate
OTHERS_WAIT_S = 0.002  # after the first answer, for those of the others
STARTING_S = 1.5  # machines that lost power together start within this time
STARTING_WAIT_RATIO = 0.2  # of the objective: later, a refused search still counts
MAX_DELEGATES_TRIED = 2


class PendingSearch(NamedTuple):
    """A search that some gateway has to gather."""

    request: CallerRequest
    route: Route
    shard_count: int
    version: int


class DelegateInquiry:
    """Asks the delegates for their load, and passes the best one on.

    ``decide`` is called once: with a delegate, or with ``None`` if none can take the
    search. A delegate whose last heartbeat is not late is chosen at once. If all are
    late, all are asked; one that is frozen, restarting or without power does not
    answer, and the search goes to one that does. Nothing has been sent for the search
    until then.
    """

    def __init__(
        self,
        policy: RequestPolicy,
        delegates: Delegates,
        search: PendingSearch,
        tried: tuple[Delegate, ...],
        decide: Callable[[Delegate | None], None],
    ) -> None:
        self.reactor = policy.reactor
        self.delegates = delegates
        self.search = search
        self.request = search.request
        self.route = search.route
        self.passed_over = tried
        self.decide = decide
        self.settled = False
        self.hedges = 0
        self.repeats = 0
        self.delegate: Delegate | None = None
        self.timer: Timer | None = None
        self.asked_at = 0.0

    @answers_errors
    def start(self) -> None:
        """Choose a delegate at once, or ask and wait."""
        now = self.reactor.seconds()
        fresh = self.choose(heard_since=now - FRESH_S)
        wait_s = self.wait_s(now)
        if fresh is not None or not wait_s:
            self.settle(fresh)
            return
        self.asked_at = now
        self.delegates.inquiries[self] = None
        self.timer = self.reactor.callLater(wait_s, self.give_up)
        self.delegates.ask_all()

    def wait_s(self, now: float) -> float:
        """Return how long to wait for answers, zero if none are expected."""
        usable = self.delegates.usable()
        if any(one not in self.passed_over and not one.cut_off for one in usable):
            return ANSWER_WAIT_S
        if usable:
            return 0.0
        if self.delegates.known and now < self.delegates.began_at + STARTING_S:
            return STARTING_WAIT_RATIO * self.route.objective_s
        return 0.0

    def choose(self, heard_since: float) -> Delegate | None:
        """Return the best delegate that was heard since a time and has room."""
        return self.delegates.choose_by_load(
            self.search.shard_count, self.passed_over, heard_since
        )

    @answers_errors
    def heard(self) -> None:
        """Decide when all have answered, or soon after the first one with room."""
        if self.settled:
            return
        best = self.choose(self.asked_at)
        asked = [one for one in self.delegates.usable() if one not in self.passed_over]
        if asked and all(one.last_heartbeat_at >= self.asked_at for one in asked):
            self.settle(best)
        elif best is not None:
            if self.timer is not None and self.timer.active():
                self.timer.cancel()
            self.timer = self.reactor.callLater(OTHERS_WAIT_S, self.give_up)

    @answers_errors
    def give_up(self) -> None:
        """Decide by what is known: those who answered first, else by heartbeats."""
        if not self.settled:
            answered = self.choose(self.asked_at)
            self.settle(answered or self.choose(float("-inf")))

    def settle(self, delegate: Delegate | None) -> None:
        """Pass the decision on, once."""
        if not self.settled:
            self.detach()
            self.decide(delegate)

    def detach(self) -> None:
        """Stop waiting."""
        self.settled = True
        self.delegates.inquiries.pop(self, None)
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    def fail_unexpectedly(self) -> None:
        """Gather here after an unexpected error: nothing has been sent."""
        self.settle(None)

    def cancel(self) -> None:
        """Stop after the caller disconnected."""
        if not self.settled:
            self.detach()


class SearchRouting:
    """Hands a search to a delegate, to another one if that refuses, or keeps it.

    ``begin`` starts a work in the place of the present one.
    """

    def __init__(
        self,
        policy: RequestPolicy,
        delegates: Delegates,
        search: PendingSearch,
        begin: Callable[[DelegateInquiry | DelegatedSearch], None],
        finish: Callable[[CallerAnswer], None],
        start_local_search: Callable[[], None],
    ) -> None:
        self.policy = policy
        self.delegates = delegates
        self.search = search
        self.begin = begin
        self.finish = finish
        self.start_local_search = start_local_search
        self.tried: tuple[Delegate, ...] = ()

    def start(self) -> None:
        """Look for a delegate among those that were not tried."""
        if len(self.tried) >= MAX_DELEGATES_TRIED:
            self.start_local_search()
            return
        self.begin(
            DelegateInquiry(
                self.policy, self.delegates, self.search, self.tried, self.decided
            )
        )

    def decided(self, delegate: Delegate | None) -> None:
        """Hand the search to a delegate, or gather here without one."""
        if delegate is None:
            self.start_local_search()
            return
        self.tried = (*self.tried, delegate)
        self.begin(
            DelegatedSearch(
                self.policy,
                self.delegates,
                delegate,
                self.search.request,
                self.search.route,
                self.search.version,
                self.finish,
                self.start,
            )
        )
