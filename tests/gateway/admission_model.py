"""A model of one group of services on a simulated clock, behind the scheduler."""

from __future__ import annotations

from collections import deque
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import NamedTuple

from sardinehook.gateway.admission.congestion import HELD_UP_RATIO
from sardinehook.gateway.admission.scheduler import Scheduler
from sardinehook.gateway.admission.ticket import (
    Decision,
    LaneKey,
    RefusalReason,
    Refused,
    Started,
    Ticket,
)
from sardinehook.gateway.admission.ticket_maker import REFUSE_RATIO

KEY = LaneKey(("s",), "here")


class Kind(NamedTuple):
    """A kind of request with its service time, objective and priority."""

    service_s: float
    objective_s: float
    priority: int


# Searches of deployment A in docs/hard-load.md.
LARGE = Kind(0.030, 0.286, 1)
SMALL = Kind(0.0101, 0.0927, 0)


class Arrival(NamedTuple):
    """A request, and the gateway that gathers it."""

    at: float
    kind: Kind
    organisation: str = ""
    weight: float = 1.0
    gateway: int = 0


class Outcome(NamedTuple):
    """What became of a request, and when."""

    arrival: Arrival
    at: float
    reason: RefusalReason | None

    @property
    def in_time(self) -> bool:
        """Whether it was answered within its objective."""
        took_s = self.at - self.arrival.at
        return self.reason is None and took_s <= self.arrival.kind.objective_s


def steady(kind: Kind, rate: float, end: float, seed: int, *of: str) -> list[Arrival]:
    """Return arrivals at random times, of organisations in turn."""
    random, at, arrivals = Random(seed), 0.0, []
    while (at := at + random.expovariate(rate)) < end:
        arrivals.append(Arrival(at, kind, random.choice(of) if of else ""))
    return arrivals


def make_ticket(arrival: Arrival, begun: bool = False) -> Ticket:
    """Return the ticket of an arrival, without network times."""
    kind, at = arrival.kind, arrival.at
    return Ticket(
        KEY,
        arrival.organisation,
        arrival.weight,
        kind.priority,
        begun,
        kind.service_s,
        kind.service_s,
        at + REFUSE_RATIO * kind.objective_s,
        at + kind.objective_s,
    )


class Model:
    """Replicas with ``slots`` in all, which serve gateways in order of arrival."""

    def __init__(self, slots: int, gateways: int = 1) -> None:
        self.slots = slots
        self.schedulers = [Scheduler() for _ in range(gateways)]
        self.events: list[tuple[float, int, Arrival | Ticket | None]] = []
        self.numbers = count()
        self.queue: deque[Ticket] = deque()
        self.busy = 0
        self.arrivals: dict[Ticket, Arrival] = {}
        self.outcomes: list[Outcome] = []

    def run(self, arrivals: list[Arrival]) -> list[Outcome]:
        """Play all arrivals to their outcomes."""
        for arrival in arrivals:
            self.push(arrival.at, arrival)
        while self.events:
            now, _, event = heappop(self.events)
            match event:
                case Arrival():
                    ticket = make_ticket(event)
                    self.arrivals[ticket] = event
                    scheduler = self.schedulers[event.gateway]
                    self.apply(scheduler.offer(ticket, now), now)
                case Ticket():
                    self.finish(event, now)
            for scheduler in self.schedulers:
                self.apply(scheduler.advance(now), now)
        return self.outcomes

    def push(self, at: float, event: Arrival | Ticket | None) -> None:
        """Schedule an event; ``None`` only makes the schedulers advance."""
        heappush(self.events, (at, next(self.numbers), event))

    def apply(self, decisions: list[Decision], now: float) -> None:
        """Carry out decisions."""
        for decision in decisions:
            match decision:
                case Started(ticket):
                    self.queue.append(ticket)
                case Refused(ticket, reason):
                    arrival = self.arrivals.pop(ticket)
                    self.outcomes.append(Outcome(arrival, now, reason))
                case _:
                    self.push(decision.ticket.start_by, None)
        self.fill(now)

    def fill(self, now: float) -> None:
        """Run requests in free slots."""
        while self.queue and self.busy < self.slots:
            ticket = self.queue.popleft()
            self.busy += 1
            self.push(now + ticket.cost_s, ticket)

    def finish(self, ticket: Ticket, now: float) -> None:
        """End a request, which reports the queue that it leaves behind."""
        self.busy -= 1
        arrival = self.arrivals.pop(ticket)
        self.outcomes.append(Outcome(arrival, now, None))
        mean_s = sum(one.cost_s for one in self.queue) / max(1, len(self.queue))
        queued_s = len(self.queue) / self.slots * mean_s
        held_up = queued_s > HELD_UP_RATIO * arrival.kind.objective_s
        self.schedulers[arrival.gateway].end(ticket, held_up, now)
        self.fill(now)


def ratio_in_time(outcomes: list[Outcome], kind: Kind | None = None) -> float:
    """Return the share of the requests of a kind that were answered in time."""
    of_kind = [one for one in outcomes if kind in (None, one.arrival.kind)]
    return sum(one.in_time for one in of_kind) / max(1, len(of_kind))
