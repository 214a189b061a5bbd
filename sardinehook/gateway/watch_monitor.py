"""Detects a pending watch that no longer returns, by the state of other gateways."""

from __future__ import annotations

from random import Random

import structlog
from returns.result import Failure, Result, Success

from sardinehook.gateway.fleet import GatewayFleet
from sardinehook.gateway.peers import PeerCalls
from sardinehook.gateway.reactor import GatewayReactor
from sardinehook.gateway.readers import ReaderSelector
from sardinehook.gateway.store import GatewayStore
from sardinehook.gateway.store_state import StoreState
from sardinehook.gateway.watch_cache import StateUpdate
from sardinehook.observe.events import EventName, log_event
from sardinehook.transport.tasks import sleep

__all__ = ["WatchMonitor"]

logger = structlog.get_logger(__name__)


class WatchMonitor:
    """Compares a pending watch with other gateways, to detect a dead connection.

    A connection that the network has lost shows no error at either end. The follower
    calls ``begin`` and ``end`` around each watch.
    """

    def __init__(
        self,
        reactor: GatewayReactor,
        store: GatewayStore,
        peers: PeerCalls,
        state: StoreState,
        fleet: GatewayFleet,
        reader_selector: ReaderSelector,
        random: Random,
    ) -> None:
        self.reactor = reactor
        self.store = store
        self.peers = peers
        self.state = state
        self.fleet = fleet
        self.reader_selector = reader_selector
        self.random = random
        self.interval_s = 0.0
        self.watching = False
        self.watch_sent_at = 0.0
        self.watch_number = 0
        self.overtaken_watch = 0
        self.peer_turn = 0
        self.last_comparison = ""

    @property
    def pending_s(self) -> float:
        """How long the pending watch has waited for the store, 0 without one."""
        return self.reactor.seconds() - self.watch_sent_at if self.watching else 0.0

    def begin(self) -> None:
        """Record that a watch is sent."""
        self.watching = True
        self.watch_number += 1
        self.watch_sent_at = self.reactor.seconds()

    def end(self) -> None:
        """Record that the watch has ended."""
        self.watching = False

    async def check(self) -> None:
        """Compare the pending watch with another gateway, once after the interval.

        Changes that another gateway has and the watch has not returned are applied. If
        the same watch is still pending one interval later, its connection is dropped.
        """
        await sleep(self.reactor, self.interval_s)
        if not self.watching:
            self.overtaken_watch = 0
        elif self.overtaken_watch == self.watch_number:
            self.drop_watch()
        else:
            await self.compare(self.next_peer())

    async def compare(self, address: str) -> None:
        """Apply the changes that the gateway at ``address`` has and this one lacks.

        What it has was acknowledged by the store, whether or not it has contact now.
        """
        known = self.state.cache.revision
        if known is None or not address:
            return
        watch_number = self.watch_number
        called_at = self.reactor.seconds()
        result = await self.peers.fetch(address, known, 0.0)
        self.log_comparison(address, result)
        is_pending = self.watching and self.watch_number == watch_number
        match result:
            case Success(update) if is_pending and self.state.apply_update(update):
                self.overtaken_watch = watch_number
        if isinstance(result, Success):
            self.state.confirm_through(result.unwrap(), called_at)

    def next_peer(self) -> str:
        """Return the address of a gateway to compare with, empty if none is known.

        Readers of this data centre take turns with gateways of the whole fleet, since
        an outage may affect all watches of one data centre.
        """
        self.peer_turn += 1
        reader = self.reader_selector.next_other_reader() if self.peer_turn % 2 else ""
        return reader or self.random_peer()

    def log_comparison(self, address: str, result: Result[StateUpdate, str]) -> None:
        """Log how the state of another gateway compares, when that changes."""
        revision, detail = 0, ""
        match result:
            case Success(update):
                revision = update.changes.revision
                state = "newer" if update.changes.items else "equal"
                detail = "" if update.current else "has no contact with the store"
                if update.changes.era < self.state.cache.era:
                    state = "earlier era"
            case Failure(problem):
                state, detail = "unknown", str(problem)
        if state != self.last_comparison:
            self.last_comparison = state
            log_event(
                logger,
                EventName.WATCH_COMPARED,
                peer=address,
                state=state,
                detail=detail,
                revision=revision,
                took_ms=self.pending_s * 1000.0,
            )

    def random_peer(self) -> str:
        """Return the address of a random other gateway, empty if none is known."""
        peers = self.fleet.peers()
        return self.random.choice(peers) if peers else ""

    def drop_watch(self) -> None:
        """Drop the connection of a watch that missed changes of the store."""
        self.overtaken_watch = 0
        log_event(
            logger,
            EventName.STORE_DOWN,
            detail="watch returned nothing, another gateway has newer changes",
            revision=self.state.cache.revision or 0,
            took_ms=self.pending_s * 1000.0,
        )
        self.store.drop_connections()
