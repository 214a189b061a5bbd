"""Keeps keys confirmed by readers of other data centres, where revocation is strict."""

from __future__ import annotations

from random import Random

from returns.result import Success

from sardinehook.gateway.fleet import GatewayFleet
from sardinehook.gateway.peers import PeerCalls
from sardinehook.gateway.reactor import GatewayReactor
from sardinehook.gateway.readers import rank_readers
from sardinehook.gateway.settings import Bounds
from sardinehook.gateway.store_state import StoreState
from sardinehook.transport.tasks import sleep

__all__ = ["ConfirmationKeeper"]

CHECK_INTERVAL_S = 0.5
CALL_RATIO = 0.7  # of the bound; a fleet with the store in reach stays below
MAX_CALLS = 2  # in one check, of 0.4 s at most each


class ConfirmationKeeper:
    """Calls readers of the whole fleet when the store has long confirmed nothing.

    The store may be out of reach for all readers of this data centre only. Nothing is
    called where revocation is not strict.
    """

    def __init__(
        self,
        reactor: GatewayReactor,
        peers: PeerCalls,
        state: StoreState,
        fleet: GatewayFleet,
        random: Random,
    ) -> None:
        self.reactor = reactor
        self.peers = peers
        self.state = state
        self.fleet = fleet
        self.random = random
        self.bounds = Bounds()

    @property
    def is_due(self) -> bool:
        """Whether the confirmation is old enough to call other gateways."""
        age_s = self.state.confirmation.age_s(self.reactor.seconds())
        is_old = age_s > CALL_RATIO * self.bounds.revocation_s
        return self.bounds.revocation_strict and is_old and self.state.loaded

    async def check(self) -> None:
        """Call a few readers, once after the interval, until one confirms the state."""
        await sleep(self.reactor, CHECK_INTERVAL_S)
        if not self.is_due:
            return
        addresses = self.reader_addresses()
        for address in self.random.sample(addresses, min(MAX_CALLS, len(addresses))):
            if self.is_due:
                await self.call(address)

    async def call(self, address: str) -> None:
        """Apply what a gateway has, and what it says of its contact with the store."""
        called_at = self.reactor.seconds()
        match await self.peers.fetch(address, self.state.cache.revision, 0.0):
            case Success(update):
                self.state.apply_update(update)
                self.state.confirm_through(update, called_at)

    def reader_addresses(self) -> list[str]:
        """Return the addresses of the readers of all data centres, without this one."""
        records = self.fleet.registered_records()
        data_centres = {record.data_centre for record in records.values()}
        return [
            records[name].peer_address
            for data_centre in sorted(data_centres)
            for name in rank_readers(records, data_centre)
            if name != self.fleet.node
        ]
