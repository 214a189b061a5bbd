"""Client for the store state that other gateways hold."""

from __future__ import annotations

from collections.abc import Callable, Collection
from random import Random
from typing import Protocol

from returns.result import Failure, Result, Success

from sardinehook.gateway.http_call import HttpCall
from sardinehook.gateway.pool import ConnectionPool
from sardinehook.gateway.reactor import GatewayReactor
from sardinehook.gateway.relay import (
    CONFIRMED_HEADER,
    changes_query,
    read_confirmation,
)
from sardinehook.gateway.watch_cache import StateUpdate, decode_update
from sardinehook.transport.connection import Reply

__all__ = ["PeerCalls", "PeerClient", "read_update"]

CALL_TIMEOUT_S = 0.4  # peers answer within milliseconds unless cut off
MAX_PEERS_TRIED = 2  # in one round, so that the store is retried soon
MAX_POOLS = 8  # peers with open connections: readers, and a few asked recently
OK = 200
OTHER_BASE = "other_base"  # counted if a difference is from a value not held here

Restore = Callable[[StateUpdate], Result[StateUpdate, str]]


class PeerCalls(Protocol):
    """Calls to other gateways, as the follower makes them."""

    async def fetch_from_any(
        self, addresses: Collection[str], after: int | None
    ) -> Result[StateUpdate, str]:
        """Call some of the peers; return the first update received."""
        ...

    async def fetch(
        self, address: str, after: int | None, wait_s: float
    ) -> Result[StateUpdate, str]:
        """Request the changes after a revision, which may wait up to ``wait_s``."""
        ...


class PeerClient:
    """Calls other gateways over persistent connections.

    ``count_call`` receives the status of each call, ``no_answer`` if it failed.
    ``restore`` replaces differences in an update by values; without it, none are asked
    for. ``held_era`` returns the store's era of the state that this gateway holds.
    """

    def __init__(
        self,
        reactor: GatewayReactor,
        random: Random,
        count_call: Callable[[str], None],
        restore: Restore | None = None,
        held_era: Callable[[], int] | None = None,
    ) -> None:
        self.reactor = reactor
        self.random = random
        self.count_call = count_call
        self.restore = restore
        self.held_era = held_era
        self.pools: dict[str, ConnectionPool] = {}

    async def fetch_from_any(
        self, addresses: Collection[str], after: int | None
    ) -> Result[StateUpdate, str]:
        """Call peers in random order; return the first update received."""
        era = self.era_of(after)
        candidates = sorted(set(addresses))
        self.random.shuffle(candidates)
        detail = "no peer gateway is known"
        for address in candidates[:MAX_PEERS_TRIED]:
            match await self.fetch_in_era(address, after, 0.0, era):
                case Success(update):
                    return Success(update)
                case Failure(problem):
                    detail = f"{address}: {problem}"
        return Failure(detail)

    async def fetch(
        self, address: str, after: int | None, wait_s: float
    ) -> Result[StateUpdate, str]:
        """Request the changes after a revision, which may wait up to ``wait_s``."""
        return await self.fetch_in_era(address, after, wait_s, self.era_of(after))

    def era_of(self, after: int | None) -> int | None:
        """Return the era of a revision that is held now, ``None`` if unknown."""
        return None if after is None or self.held_era is None else self.held_era()

    async def fetch_in_era(
        self, address: str, after: int | None, wait_s: float, era: int | None
    ) -> Result[StateUpdate, str]:
        """Request the changes after a revision of an era.

        The era in force may change during the call. If differences are from another
        value than the one here, the values themselves are requested.
        """
        restore = self.restore
        if restore is None or after is None:
            query = changes_query(after, wait_s, era=era)
            return await self.call(address, query, wait_s)
        query = changes_query(after, wait_s, True, era)
        result = await self.call(address, query, wait_s)
        match result.bind(restore):
            case Failure() if isinstance(result, Success):
                self.count_call(OTHER_BASE)
                query = changes_query(after, 0.0, era=era)
                return await self.call(address, query, 0.0)
            case restored:
                return restored

    async def call(
        self, address: str, query: bytes, wait_s: float
    ) -> Result[StateUpdate, str]:
        """Call a gateway once, which may hold the call for ``wait_s``."""
        request = b"GET %b HTTP/1.1\r\nHost: %b\r\n\r\n" % (
            query,
            address.encode(),
        )
        timeout_s = wait_s + CALL_TIMEOUT_S
        pool = self.pool_of(address)
        result = await HttpCall(self.reactor, pool, request, timeout_s).done
        match result:
            case Success(reply):
                self.count_call(str(reply.status))
                return read_update(reply)
            case Failure(problem):
                self.count_call("no_answer")
                return Failure(problem.detail)
        raise AssertionError("a result is a success or a failure")

    def pool_of(self, address: str) -> ConnectionPool:
        """Return the pool of a peer, evicting the least recently used one if needed."""
        pool = self.pools.pop(address, None)
        if pool is None:
            pool = ConnectionPool(self.reactor, address, 1, ignore, "gateway")
        self.pools[address] = pool
        if len(self.pools) > MAX_POOLS:
            oldest = next(iter(self.pools))
            self.pools.pop(oldest).close()
        return pool


def read_update(reply: Reply) -> Result[StateUpdate, str]:
    """Decode an update, with the time of its confirmation."""
    if reply.status != OK:
        return Failure(f"status {reply.status}")
    confirmed_s = read_confirmation(reply.header(CONFIRMED_HEADER.lower()))
    return decode_update(reply.body).map(
        lambda update: update._replace(confirmed_s=confirmed_s)
    )


def ignore() -> None:
    """Ignore that a connection was opened: calls report their own outcome."""
