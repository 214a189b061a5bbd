"""Weighted fair queue of requests of equal urgency."""

from __future__ import annotations

from collections.abc import Iterator
from heapq import heapify, heappop, heappush
from itertools import count

from sardinehook.gateway.admission.ticket import Ticket

__all__ = ["FairQueue"]

BURST = 4  # requests; small organisations seldom send more within one wait
MAX_TAGS = 4096  # organisations whose past use is remembered

Entry = tuple[bool, float, int, Ticket]


class FairQueue:
    """Serves organisations in proportion to their weights while all of them wait.

    This is start-time fair queueing (P. Goyal, H. Vin, H. Cheng, 1996): the next
    request is that of the organisation with the least start tag, and its service
    raises that tag by cost over weight. Among the requests of one organisation, and
    among organisations with equal tags, work already begun is first, then the
    request whose answer is useful for the shortest time.
    """

    def __init__(self) -> None:
        self.virtual_time = 0.0
        self.tags: dict[str, float] = {}
        self.queues: dict[str, list[Entry]] = {}
        self.numbers = count()
        self.size = 0

    def __len__(self) -> int:
        return self.size

    def __iter__(self) -> Iterator[Ticket]:
        for queue in self.queues.values():
            for entry in queue:
                yield entry[3]

    def push(self, ticket: Ticket) -> None:
        """Add a request."""
        name = ticket.organisation
        queue = self.queues.get(name)
        if queue is None:
            queue = self.queues[name] = []
            self.tags[name] = self.start_tag(ticket)
        heappush(
            queue,
            (not ticket.begun, ticket.answer_by, next(self.numbers), ticket),
        )
        self.size += 1

    def start_tag(self, ticket: Ticket) -> float:
        """Return the start tag of a request if its organisation does not wait yet.

        The tag of an organisation that used less than its share lags behind the
        virtual time by up to ``BURST`` requests.
        """
        lag = BURST * ticket.cost_s / ticket.weight
        known = self.tags.get(ticket.organisation, -lag)
        return max(self.virtual_time - lag, known)

    def charge(self, ticket: Ticket) -> None:
        """Charge the organisation of a request that starts."""
        start = self.start_tag(ticket)
        self.virtual_time = max(self.virtual_time, start)
        self.tags[ticket.organisation] = start + ticket.cost_s / ticket.weight
        if len(self.tags) > MAX_TAGS:
            self.forget_past_use()

    def forget_past_use(self) -> None:
        """Drop the tags that no longer matter, or all of those that don't wait."""
        waiting = self.queues.keys()
        tags = {
            name: tag
            for name, tag in self.tags.items()
            if tag > self.virtual_time or name in waiting
        }
        if len(tags) > MAX_TAGS:
            tags = {name: tag for name, tag in tags.items() if name in waiting}
        self.tags = tags

    def pop(self) -> Ticket:
        """Remove and charge the request that is served next."""
        name = min(self.queues, key=lambda one: (self.tags[one], self.queues[one][0]))
        ticket = heappop(self.queues[name])[3]
        self.charge(ticket)
        self.removed(name)
        return ticket

    def remove(self, ticket: Ticket) -> bool:
        """Remove a request without charging for it; return whether it waited."""
        queue = self.queues.get(ticket.organisation, [])
        kept = [entry for entry in queue if entry[3] is not ticket]
        if len(kept) == len(queue):
            return False
        heapify(kept)
        self.queues[ticket.organisation] = kept
        self.removed(ticket.organisation)
        return True

    def removed(self, organisation: str) -> None:
        """Count a request that was removed."""
        self.size -= 1
        if not self.queues[organisation]:
            del self.queues[organisation]

    def ahead_of(self, ticket: Ticket) -> int:
        """Return about how many waiting requests are served before a new one."""
        own = self.queues.get(ticket.organisation, [])
        step = ticket.cost_s / ticket.weight
        mine = self.start_tag(ticket) + len(own) * step
        ahead = len(own)
        for name, queue in self.queues.items():
            head = queue[0][3]
            lead = mine - self.tags[name]
            if name != ticket.organisation and lead >= 0.0:
                each = head.cost_s / head.weight
                ahead += min(len(queue), int(lead / each) + 1 if each else len(queue))
        return ahead

    def last_of_longest(self) -> Ticket:
        """Return the request served last of the organisation with the most waiting."""
        longest = max(self.queues.values(), key=len)
        return max(longest)[3]
