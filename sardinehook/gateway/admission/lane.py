"""State of one group of services: classes of urgency, limits and what is in flight."""

from __future__ import annotations

from collections.abc import Iterator

from sardinehook.gateway.admission.fair_queue import FairQueue
from sardinehook.gateway.admission.limit import (
    DECREASE_INTERVAL_S,
    MIN_LIMIT,
    AdaptiveLimit,
)
from sardinehook.gateway.admission.ticket import Ticket

__all__ = ["Lane", "UrgencyClass"]

LEAST_URGENT_SHARE = 0.125  # of the more urgent starts, guaranteed to each class
HELD_START_SHARE = 0.25  # of recent starts: twice the guaranteed share, for noise
START_WEIGHT = 1 / 32  # of one start in the average of the share of starts
HOLD_WEIGHT = 0.1  # of one request in the average of times in flight


class UrgencyClass:
    """The requests of one priority."""

    def __init__(self) -> None:
        self.queue = FairQueue()
        self.limit = AdaptiveLimit()
        self.in_flight = 0
        self.credit = 0.0
        self.start_share = 0.0


class Lane:
    """Requests for one group of services from one data centre.

    Each class has a limit for the requests in flight of its own and of more urgent
    priorities, so that the less urgent notice congestion first (note 0010). While more
    urgent requests start, a class gains credit, and with a credit of one start it may
    exceed its limit by that start.
    """

    def __init__(self) -> None:
        self.classes: dict[int, UrgencyClass] = {}
        self.in_flight: set[Ticket] = set()
        self.hold_s = 0.0
        self.contended_at = 0.0

    def class_of(self, priority: int) -> UrgencyClass:
        """Return the class of a priority, creating it if needed."""
        found = self.classes.get(priority)
        if found is None:
            found = self.classes[priority] = UrgencyClass()
            self.classes = dict(sorted(self.classes.items()))
        return found

    @property
    def waiting(self) -> int:
        """The number of requests that wait."""
        return sum(len(one.queue) for one in self.classes.values())

    @property
    def is_limited(self) -> bool:
        """Whether any class has a limit."""
        return any(one.limit.value != float("inf") for one in self.classes.values())

    def tickets(self) -> Iterator[Ticket]:
        """Iterate over the requests that wait."""
        for one in self.classes.values():
            yield from one.queue

    def room(self, priority: int) -> float:
        """Return how many requests of a priority may start within the limits."""
        limit, in_flight = float("inf"), 0
        for number, one in self.classes.items():
            if number <= priority:
                limit = min(limit, one.limit.value)
                in_flight += one.in_flight
        return limit - in_flight

    def limit_of(self, priority: int) -> float:
        """Return the limit that applies to a priority."""
        limits = [
            one.limit.value
            for number, one in self.classes.items()
            if number <= priority
        ]
        return min(limits, default=float("inf"))

    def next_class(self) -> int | None:
        """Return the priority whose request is started next, ``None`` if none may."""
        waiting = [number for number, one in self.classes.items() if one.queue]
        for priority in waiting:
            if self.classes[priority].credit >= 1.0:
                return priority
        for priority in waiting:
            if self.room(priority) >= 1.0 or not self.in_flight:
                return priority
        return None

    def may_start(self, ticket: Ticket) -> bool:
        """Return whether a new request may start before all that wait."""
        own = self.class_of(ticket.priority)
        if own.queue:
            return False
        if own.credit >= 1.0 or not (self.in_flight or self.waiting):
            return True
        if any(one.queue for n, one in self.classes.items() if n < ticket.priority):
            return False
        return self.room(ticket.priority) >= 1.0

    def start(self, ticket: Ticket, now: float) -> None:
        """Count a request as in flight, and give credit to less urgent ones."""
        ticket.started_at = now
        own = self.class_of(ticket.priority)
        if self.room(ticket.priority) < 1.0:
            own.credit = max(0.0, own.credit - 1.0)
        own.in_flight += 1
        self.in_flight.add(ticket)
        for priority, one in self.classes.items():
            is_own = float(priority == ticket.priority)
            one.start_share += START_WEIGHT * (is_own - one.start_share)
            if priority > ticket.priority:
                one.credit = min(1.0, one.credit + LEAST_URGENT_SHARE)

    def end(self, ticket: Ticket, now: float) -> None:
        """Count the end of a request in flight."""
        self.forget(ticket)
        held_s = now - ticket.started_at
        weight = HOLD_WEIGHT if self.hold_s else 1.0
        self.hold_s += weight * (held_s - self.hold_s)

    def forget(self, ticket: Ticket) -> None:
        """No longer count a request as in flight."""
        if ticket in self.in_flight:
            self.in_flight.remove(ticket)
            self.class_of(ticket.priority).in_flight -= 1

    def forget_overdue(self, now: float) -> None:
        """No longer count requests that have missed their objective.

        A replica that hangs would otherwise hold up all others until the deadline.
        """
        for ticket in [one for one in self.in_flight if now > one.answer_by]:
            self.forget(ticket)

    def observe(self, priority: int, held_up: bool, now: float) -> None:
        """Adapt the limits to whether a request of a priority was held up by queues.

        The limit of the least urgent class that has work is lowered first, and that of
        a more urgent class only once this no longer frees anything.
        """
        if held_up:
            self.contended_at = now
            self.lower_limits(priority, now)
            return
        for number, one in self.classes.items():
            if number >= priority:
                one.limit.increase(self.in_flight_up_to(number))

    def lower_limits(self, priority: int, now: float) -> None:
        """Lower the limits from the least urgent class on.

        A more urgent class is affected only while the less urgent are held to about
        their guaranteed share. A lowered limit shows effect only after the requests in
        flight have ended, so limits are lowered at intervals.
        """
        latest = max(one.limit.decreased_at for one in self.classes.values())
        if now < latest + DECREASE_INTERVAL_S:
            return
        for number, one in reversed(list(self.classes.items())):
            in_flight = self.in_flight_up_to(number)
            bound = min(one.limit.value, in_flight)
            if number < priority:
                return
            if bound > max(MIN_LIMIT, in_flight - one.in_flight):
                one.limit.decrease(in_flight, now)
            if one.start_share > HELD_START_SHARE:
                return

    def in_flight_up_to(self, priority: int) -> int:
        """Return the requests in flight that are at least as urgent."""
        return sum(
            one.in_flight for number, one in self.classes.items() if number <= priority
        )

    def expected_wait_s(self, ticket: Ticket) -> float:
        """Return how long a new request would wait, by the rate at which others end."""
        ahead = 0.5  # the next request in flight ends after half of the interval
        for priority, one in self.classes.items():
            if priority < ticket.priority:
                ahead += len(one.queue)
            elif priority == ticket.priority:
                ahead += one.queue.ahead_of(ticket)
        slots = min(self.limit_of(ticket.priority), max(1, len(self.in_flight)))
        return self.hold_s * ahead / slots

    def lift_limits(self) -> None:
        """Remove all limits."""
        for one in self.classes.values():
            one.limit = AdaptiveLimit()
            one.credit = 0.0
