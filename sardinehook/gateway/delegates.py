"""The gateways to which this one hands its searches."""

from __future__ import annotations

from typing import Protocol

import structlog

from sardinehook.gateway.fleet import GatewayFleet
from sardinehook.gateway.pool import ConnectionPool
from sardinehook.gateway.reactor import GatewayReactor
from sardinehook.gateway.shares import wider_gateways
from sardinehook.observe.events import EventName, log_event

__all__ = ["Delegate", "Delegates"]

logger = structlog.get_logger(__name__)

HEARTBEAT_TIMEOUT_S = 0.7  # three datagrams that did not come, and one that is late
AVOID_AFTER_FAILURE_S = (
    2.0  # nothing is handed over after a failure: a restart is over by then
)
MOST_CONNECTIONS = 32  # to one delegate: searches that one gateway hands over at once
OVERDUE_S = 0.05  # a delegate answers in time, if it has anything to answer with


class SearchAway(Protocol):
    """A search that a delegate does."""

    give_up_at: float

    def lose(self, reason: str) -> None:
        """Answer that the search was lost."""


class Delegate:
    """A gateway that takes searches over, as another one knows it."""

    def __init__(
        self, name: str, pool: ConnectionPool, last_heartbeat_at: float
    ) -> None:
        self.name = name
        self.pool = pool
        self.last_heartbeat_at = last_heartbeat_at
        self.avoided_until = 0.0
        self.cut_off = False
        self.searches: dict[SearchAway, None] = {}

    def is_usable(self, now: float) -> bool:
        """Tell whether searches may be handed to it."""
        return (
            now >= self.avoided_until
            and now - self.last_heartbeat_at <= HEARTBEAT_TIMEOUT_S
        )


class Delegates:
    """The gateways to which this one hands its searches.

    They are those of the data centre with much wider links, if there are any. A
    delegate sends datagrams several times a second; one from which none came for a
    while is not used, and the searches that it has are given up.
    """

    def __init__(self, reactor: GatewayReactor, fleet: GatewayFleet) -> None:
        self.reactor = reactor
        self.fleet = fleet
        self.known: dict[str, Delegate] = {}
        self.gone: list[Delegate] = []
        self.turn = 0

    def update(self) -> None:
        """Take the gateways that are registered."""
        records = self.fleet.registered_records()
        wider = wider_gateways(self.fleet.node, self.fleet.record, records)
        for name in self.known.keys() - set(wider):
            gone = self.known.pop(name)
            gone.pool.close()
            self.gone = [one for one in [*self.gone, gone] if one.searches]
        for name in wider:
            if name not in self.known:
                pool = ConnectionPool(
                    self.reactor, records[name].peer_address, MOST_CONNECTIONS, ignore
                )
                # Heard of only now: usable once its first datagram has come.
                last_heartbeat_at = self.reactor.seconds() - 2 * HEARTBEAT_TIMEOUT_S
                self.known[name] = Delegate(name, pool, last_heartbeat_at)

    def record_heartbeat(self, node: str, cut_off: bool) -> None:
        """Note a sign of a gateway, which says whether that is cut off."""
        delegate = self.known.get(node)
        if delegate is not None:
            delegate.last_heartbeat_at = self.reactor.seconds()
            delegate.cut_off = cut_off

    def usable(self) -> list[Delegate]:
        """List the delegates to which searches may be handed now."""
        now = self.reactor.seconds()
        return [one for one in self.known.values() if one.is_usable(now)]

    def cut_off(self) -> list[str]:
        """Name the usable delegates if each of them is cut off, else none."""
        usable = self.usable()
        if not all(delegate.cut_off for delegate in usable):
            return []
        return sorted(delegate.name for delegate in usable)

    def choose(self) -> Delegate | None:
        """Return the delegate with the fewest searches, ``None`` to search here."""
        usable = self.usable()
        if not usable:
            return None
        self.turn += 1
        first = self.turn % len(usable)
        ordered = usable[first:] + usable[:first]
        return min(ordered, key=lambda delegate: len(delegate.searches))

    def sweep(self) -> None:
        """Give up searches at delegates that have fallen silent, and late ones."""
        now = self.reactor.seconds()
        for delegate in [*self.known.values(), *self.gone]:
            silent_s = now - delegate.last_heartbeat_at
            if delegate.searches and silent_s > HEARTBEAT_TIMEOUT_S:
                self.avoid(delegate, "silent")
                for search in list(delegate.searches):
                    search.lose("the gateway that searches has fallen silent")
            for search in list(delegate.searches):
                if now > search.give_up_at + OVERDUE_S:
                    search.lose("no answer in time")

    def avoid(
        self, delegate: Delegate, reason: str, for_s: float = AVOID_AFTER_FAILURE_S
    ) -> None:
        """Hand nothing to a delegate for a while."""
        now = self.reactor.seconds()
        if now >= delegate.avoided_until:
            log_event(
                logger,
                EventName.MEMBER_STATE,
                member=delegate.name,
                state="searches not handed over",
                detail=reason,
                took_ms=(now - delegate.last_heartbeat_at) * 1000.0,
            )
        delegate.avoided_until = now + for_s


def ignore() -> None:
    """Take no note of a connection: datagrams tell whether a delegate is there."""
