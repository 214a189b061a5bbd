"""Decides which requests start, wait or are refused; pure, without I/O."""

from __future__ import annotations

from sardinehook.gateway.admission.lane import Lane
from sardinehook.gateway.admission.ticket import (
    Decision,
    LaneKey,
    RefusalReason,
    Refused,
    Started,
    Ticket,
    Waiting,
)

__all__ = ["Scheduler"]

MAX_WAITING = 256  # requests of one gateway,
MAX_WAITING_BYTES = 8 * 1024 * 1024  # of their bodies together
CERTAIN_RATIO = 2.0  # estimates of waits this much too long are taken for certain
LIFT_AFTER_S = 2.0  # without congestion or waiting; covers the pauses of replicas


class Scheduler:
    """Admits requests to groups of services, each with limits of its own.

    The caller passes every event together with the time: a request that is offered,
    ends or is withdrawn. ``advance`` returns the decisions that have become due.
    """

    def __init__(self) -> None:
        self.lanes: dict[LaneKey, Lane] = {}
        self.waiting = 0
        self.waiting_bytes = 0

    def offer(self, ticket: Ticket, now: float) -> list[Decision]:
        """Decide about a new request; an earlier one may be refused in its place."""
        ticket.offered_at = now
        lane = self.lanes.get(ticket.key)
        if lane is None:
            lane = self.lanes[ticket.key] = Lane()
        own = lane.class_of(ticket.priority)
        self.lift_idle_limits(lane, now)
        lane.forget_overdue(now)
        if lane.may_start(ticket):
            own.queue.charge(ticket)
            lane.start(ticket, now)
            return [Started(ticket, 0.0)]
        lane.contended_at = now
        if now > ticket.start_by:
            return [Refused(ticket, ticket.start_reason)]
        if now + lane.expected_wait_s(ticket) / CERTAIN_RATIO > ticket.start_by:
            return [Refused(ticket, ticket.start_reason)]
        decisions = self.make_room(lane, ticket)
        if not any(refused.ticket is ticket for refused in decisions):
            own.queue.push(ticket)
            self.count_waiting(ticket, 1)
            decisions.append(Waiting(ticket))
        return decisions

    def make_room(self, lane: Lane, ticket: Ticket) -> list[Decision]:
        """Refuse one request if too many wait: the new one, or one that is worse."""
        has_memory = self.waiting_bytes + ticket.size_bytes <= MAX_WAITING_BYTES
        if self.waiting < MAX_WAITING and has_memory:
            return []
        for priority, one in reversed(list(lane.classes.items())):
            if not one.queue or priority < ticket.priority:
                continue
            worst = one.queue.last_of_longest()
            is_fairer = priority > ticket.priority or len(
                one.queue.queues[worst.organisation]
            ) > 1 + len(one.queue.queues.get(ticket.organisation, ()))
            left_bytes = self.waiting_bytes - worst.size_bytes + ticket.size_bytes
            if is_fairer and left_bytes <= MAX_WAITING_BYTES:
                self.withdraw(worst)
                return [Refused(worst, RefusalReason.FULL)]
        return [Refused(ticket, RefusalReason.FULL)]

    def count_waiting(self, ticket: Ticket, change: int) -> None:
        """Count a request that begins or ends to wait."""
        self.waiting += change
        self.waiting_bytes += change * ticket.size_bytes

    def end(self, ticket: Ticket, held_up: bool | None, now: float) -> None:
        """Record the end of a request that was started.

        ``held_up`` is whether queues at the services held it up too long, ``None`` if
        that is not known.
        """
        lane = self.lanes.get(ticket.key)
        if lane is None or not ticket.started_at:
            return
        if held_up is not None:
            lane.observe(ticket.priority, held_up, now)
        lane.end(ticket, now)

    def withdraw(self, ticket: Ticket) -> bool:
        """Remove a request that waits; return whether it did."""
        lane = self.lanes.get(ticket.key)
        if lane is None or not lane.class_of(ticket.priority).queue.remove(ticket):
            return False
        self.count_waiting(ticket, -1)
        return True

    def advance(self, now: float) -> list[Decision]:
        """Return what is due: requests that start, and those that waited too long."""
        decisions: list[Decision] = []
        for key, lane in list(self.lanes.items()):
            decisions.extend(self.expire(lane, now))
            lane.forget_overdue(now)
            while (priority := lane.next_class()) is not None:
                ticket = lane.classes[priority].queue.pop()
                self.count_waiting(ticket, -1)
                lane.start(ticket, now)
                decisions.append(Started(ticket, now - ticket.offered_at))
            if lane.waiting:
                lane.contended_at = now
            self.lift_idle_limits(lane, now)
            if not lane.in_flight and not lane.waiting and not lane.is_limited:
                del self.lanes[key]
        return decisions

    def expire(self, lane: Lane, now: float) -> list[Decision]:
        """Remove the requests that are too late to start."""
        late = [ticket for ticket in lane.tickets() if now >= ticket.start_by]
        for ticket in late:
            self.withdraw(ticket)
        return [Refused(ticket, ticket.start_reason) for ticket in late]

    def refuse_all(self) -> list[Decision]:
        """Remove all requests that wait, since the gateway stops."""
        tickets = [one for lane in self.lanes.values() for one in lane.tickets()]
        for ticket in tickets:
            self.withdraw(ticket)
        return [Refused(ticket, RefusalReason.STOPPING) for ticket in tickets]

    def lift_idle_limits(self, lane: Lane, now: float) -> None:
        """Remove the limits of a lane where nothing was held up or waited lately."""
        if lane.is_limited and now > lane.contended_at + LIFT_AFTER_S:
            lane.lift_limits()

    def next_due(self) -> float | None:
        """Return when the first request that waits is too late, ``None`` if none."""
        starts = [
            ticket.start_by for lane in self.lanes.values() for ticket in lane.tickets()
        ]
        return min(starts, default=None)
