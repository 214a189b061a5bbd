"""Detects a pending watch that no longer returns, by the state of other gateways."""

from __future__ import annotations

from random import Random

import structlog
from returns.result import Failure, Result, Success
from twisted.internet.task import deferLater

from sardinehook.gateway.fleet import GatewayFleet
from sardinehook.gateway.peers import PeerCalls
from sardinehook.gateway.reactor import GatewayReactor
from sardinehook.gateway.readers import ReaderSelector
from sardinehook.gateway.store import GatewayStore
from sardinehook.gateway.store_state import StoreState
from sardinehook.gateway.watch_cache import StateUpdate
from sardinehook.observe.events import EventName, log_event

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
        self.behind_revision: int | None = None
        self.last_comparison = ""

    @property
    def pending_s(self) -> float:
        """How long the pending watch has waited for the store, 0 without one."""
        return self.reactor.seconds() - self.watch_sent_at if self.watching else 0.0

    def begin(self) -> None:
        """Record that a watch is sent."""
        self.watching = True
        self.watch_sent_at = self.reactor.seconds()

    def end(self) -> None:
        """Record that the watch has ended."""
        self.watching = False

    async def check(self) -> None:
        """Compare the pending watch with another gateway, once after the interval."""
        await deferLater(self.reactor, self.interval_s)
        known = self.state.cache.revision
        if not self.watching or known is None:
            self.behind_revision = None
            return
        address = self.reader_selector.next_other_reader() or self.random_peer()
        if not address:
            return
        result = await self.peers.fetch(address, known, 0.0)
        self.log_comparison(address, result)
        match result:
            case Success(update) if update.current and update.changes.items:
                self.handle_newer_state(update, known)
            case _:
                self.behind_revision = None

    def log_comparison(self, address: str, result: Result[StateUpdate, str]) -> None:
        """Log how the state of another gateway compares, when that changes."""
        revision = 0
        match result:
            case Success(update):
                revision = update.changes.revision
                state = "newer" if update.changes.items else "equal"
                if not update.current:
                    state += ", without contact with the store"
            case Failure(detail):
                state = f"unknown: {detail}"
        if state != self.last_comparison:
            self.last_comparison = state
            log_event(
                logger,
                EventName.WATCH_COMPARED,
                peer=address,
                state=state,
                revision=revision,
                took_ms=self.pending_s * 1000.0,
            )

    def random_peer(self) -> str:
        """Return the address of a random other gateway, empty if none is known."""
        peers = self.fleet.peers()
        return self.random.choice(peers) if peers else ""

    def handle_newer_state(self, update: StateUpdate, known: int) -> None:
        """Handle newer changes at another gateway while the own watch is pending.

        The second time in a row they are applied and the store connections dropped.
        """
        if not self.watching or self.state.cache.revision != known:
            return
        if self.behind_revision != known:
            self.behind_revision = known
            return
        log_event(
            logger,
            EventName.STORE_DOWN,
            detail="watch returned nothing, another gateway has newer changes",
            revision=update.changes.revision,
        )
        self.behind_revision = None
        self.state.apply_update(update)
        self.store.drop_connections()
