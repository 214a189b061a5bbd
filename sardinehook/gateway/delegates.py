"""Selection and failure detection of the gateways that run searches for this one."""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import Protocol

import structlog

from sardinehook.gateway.fleet import GatewayFleet
from sardinehook.gateway.pool import ConnectionPool
from sardinehook.gateway.reactor import GatewayReactor
from sardinehook.gateway.routing.delegate_load import DelegateLoad, DelegateReport
from sardinehook.gateway.shares import higher_bandwidth_gateways
from sardinehook.observe.events import EventName, log_event

__all__ = ["DELEGATION_FULL", "Delegate", "Delegates"]

logger = structlog.get_logger(__name__)

HEARTBEAT_TIMEOUT_S = 0.7  # three missed heartbeats and one that is late
ASK_AFTER_S = 0.3  # one missed heartbeat: the answer comes before the timeout
AVOID_AFTER_FAILURE_S = 2.0  # covers a restart
DELEGATION_FULL = "delegation limit reached"  # reason of a refusal, as sent
MAX_CONNECTIONS = 32  # to one delegate: its concurrent searches from here
ANSWER_MARGIN_S = 0.05  # a working delegate answers before the deadline


class DelegatedWork(Protocol):
    """A search that runs at a delegate; ``deadline_at`` is its deadline."""

    deadline_at: float

    def fail(self, reason: str) -> None:
        """Answer the caller that the outcome of the search is unknown."""


class Inquiry(Protocol):
    """Work that waits until a delegate is heard."""

    def heard(self) -> None:
        """Check whether a delegate can be chosen now."""


class Delegate:
    """State about a gateway that runs searches for this one."""

    def __init__(
        self, name: str, pool: ConnectionPool, last_heartbeat_at: float
    ) -> None:
        self.name = name
        self.pool = pool
        self.last_heartbeat_at = last_heartbeat_at
        self.was_heard = False
        self.avoided_until = 0.0
        self.cut_off = False
        self.searches: dict[DelegatedWork, None] = {}
        self.load = DelegateLoad()

    def record_heartbeat(self, now: float, cut_off: bool) -> None:
        """Record a heartbeat, and whether the sender says that it is cut off."""
        self.was_heard = True
        self.last_heartbeat_at = now
        self.cut_off = cut_off

    def record_connected(self, now: float) -> None:
        """Take the first connection for a heartbeat, unless one has arrived.

        Later ones show nothing: the kernel also accepts them for a paused process.
        """
        if not self.was_heard:
            self.record_heartbeat(now, False)

    def is_usable(self, now: float) -> bool:
        """Return whether heartbeats arrive and no failure was seen lately."""
        return (
            now >= self.avoided_until
            and now - self.last_heartbeat_at <= HEARTBEAT_TIMEOUT_S
        )


class Delegates:
    """The gateways to which this one delegates its searches.

    These are the gateways of the data centre with a far higher bandwidth, if there are
    any. Delegates send heartbeats several times a second. A delegate whose heartbeats
    time out gets no more searches, and its pending searches fail.
    """

    def __init__(self, reactor: GatewayReactor, fleet: GatewayFleet) -> None:
        self.reactor = reactor
        self.fleet = fleet
        self.known: dict[str, Delegate] = {}
        self.removed: list[Delegate] = []
        self.turn = 0
        self.began_at = reactor.seconds()
        self.inquiries: dict[Inquiry, None] = {}
        self.ask: Callable[[list[str]], None] = lambda names: None

    def update(self) -> None:
        """Select delegates among the registered gateways.

        Removed ones are kept while they have pending searches.
        """
        records = self.fleet.registered_records()
        candidates = higher_bandwidth_gateways(
            self.fleet.node, self.fleet.record, records
        )
        for name in self.known.keys() - set(candidates):
            removed = self.known.pop(name)
            removed.pool.close()
            self.removed = [one for one in [*self.removed, removed] if one.searches]
        for name in candidates:
            if name not in self.known:
                self.add(name, records[name].peer_address)

    def add(self, name: str, address: str) -> None:
        """Add a delegate, which is usable after a connection or a heartbeat."""

        def record_connected() -> None:
            delegate.record_connected(self.reactor.seconds())

        pool = ConnectionPool(
            self.reactor, address, MAX_CONNECTIONS, record_connected, "gateway"
        )
        last_heartbeat_at = self.reactor.seconds() - 2 * HEARTBEAT_TIMEOUT_S
        delegate = self.known[name] = Delegate(name, pool, last_heartbeat_at)
        pool.probe()

    def record_heartbeat(self, node: str, cut_off: bool) -> None:
        """Record a heartbeat, and whether the sender says that it is cut off."""
        delegate = self.known.get(node)
        if delegate is not None:
            delegate.record_heartbeat(self.reactor.seconds(), cut_off)
            for inquiry in list(self.inquiries):
                inquiry.heard()

    def record_report(self, node: str, report: DelegateReport) -> None:
        """Record the load that a delegate states."""
        delegate = self.known.get(node)
        if delegate is not None:
            now = self.reactor.seconds()
            delegate.load.observe_report(report, now, len(delegate.searches))

    def ask_all(self) -> None:
        """Ask all delegates for a heartbeat."""
        self.ask(list(self.known))

    def unheard(self) -> list[str]:
        """Return the names of the delegates without a recent heartbeat."""
        before = self.reactor.seconds() - ASK_AFTER_S
        return [
            delegate.name
            for delegate in self.known.values()
            if delegate.last_heartbeat_at < before
        ]

    def usable(self) -> list[Delegate]:
        """Return the delegates that may get searches now."""
        now = self.reactor.seconds()
        return [one for one in self.known.values() if one.is_usable(now)]

    def cut_off(self) -> list[str]:
        """Return the names of the usable delegates if all of them are cut off."""
        usable = self.usable()
        if not all(delegate.cut_off for delegate in usable):
            return []
        return sorted(delegate.name for delegate in usable)

    def choose(self) -> Delegate | None:
        """Return the delegate with the fewest searches, ``None`` if none is usable."""
        usable = self.usable()
        if not usable:
            return None
        self.turn += 1
        first = self.turn % len(usable)
        ordered = usable[first:] + usable[:first]
        return min(ordered, key=lambda delegate: len(delegate.searches))

    def choose_by_load(
        self, shards: int, tried: Collection[Delegate], heard_since: float
    ) -> Delegate | None:
        """Return the delegate at which a search of some shards costs least.

        Delegates without room, those in ``tried`` and those not heard since
        ``heard_since`` are not eligible, nor are those cut off from most replicas.
        """
        now = self.reactor.seconds()
        eligible = [
            one
            for one in self.usable()
            if one not in tried
            and not one.cut_off
            and one.last_heartbeat_at >= heard_since
            and one.load.has_room(len(one.searches), shards, now)
        ]
        if not eligible:
            return None
        self.turn += 1
        first = self.turn % len(eligible)
        ordered = eligible[first:] + eligible[:first]
        return min(
            ordered, key=lambda one: one.load.cost(len(one.searches), shards, now)
        )

    def sweep(self) -> None:
        """Fail searches that are late or whose delegate's heartbeats have timed out."""
        now = self.reactor.seconds()
        for delegate in [*self.known.values(), *self.removed]:
            silent_s = now - delegate.last_heartbeat_at
            if delegate.searches and silent_s > HEARTBEAT_TIMEOUT_S:
                self.avoid(delegate, "heartbeats timed out")
                for search in list(delegate.searches):
                    search.fail("heartbeats timed out")
            for search in list(delegate.searches):
                if now > search.deadline_at + ANSWER_MARGIN_S:
                    search.fail("no answer before the deadline")

    def avoid(
        self, delegate: Delegate, reason: str, duration_s: float = AVOID_AFTER_FAILURE_S
    ) -> None:
        """Delegate nothing to ``delegate`` for a while; a new failure is logged."""
        now = self.reactor.seconds()
        if now >= delegate.avoided_until:
            log_event(
                logger,
                EventName.MEMBER_STATE,
                member=delegate.name,
                state="searches not delegated",
                detail=reason,
                took_ms=(now - delegate.last_heartbeat_at) * 1000.0,
            )
        delegate.avoided_until = now + duration_s
