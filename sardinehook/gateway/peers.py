"""Client for the store state that other gateways hold."""

from __future__ import annotations

from collections.abc import Callable, Collection
from random import Random
from typing import Protocol

from returns.result import Failure, Result, Success

from sardinehook.gateway.http_call import HttpCall
from sardinehook.gateway.pool import ConnectionPool
from sardinehook.gateway.reactor import GatewayReactor
from sardinehook.gateway.relay import changes_query
from sardinehook.gateway.watch_cache import StateUpdate, decode_update
from sardinehook.transport.connection import Reply

__all__ = ["PeerCalls", "PeerClient"]

CALL_TIMEOUT_S = 0.4  # peers answer within milliseconds unless cut off
MAX_PEERS_TRIED = 2  # in one round, so that the store is retried soon
MAX_POOLS = 8  # peers with open connections: readers, and a few asked recently
OK = 200


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
    """

    def __init__(
        self,
        reactor: GatewayReactor,
        random: Random,
        count_call: Callable[[str], None],
    ) -> None:
        self.reactor = reactor
        self.random = random
        self.count_call = count_call
        self.pools: dict[str, ConnectionPool] = {}

    async def fetch_from_any(
        self, addresses: Collection[str], after: int | None
    ) -> Result[StateUpdate, str]:
        """Call peers in random order; return the first update received."""
        candidates = sorted(set(addresses))
        self.random.shuffle(candidates)
        detail = "no peer gateway is known"
        for address in candidates[:MAX_PEERS_TRIED]:
            match await self.fetch(address, after, 0.0):
                case Success(update):
                    return Success(update)
                case Failure(problem):
                    detail = f"{address}: {problem}"
        return Failure(detail)

    async def fetch(
        self, address: str, after: int | None, wait_s: float
    ) -> Result[StateUpdate, str]:
        """Request the changes after a revision, which may wait up to ``wait_s``."""
        request = b"GET %b HTTP/1.1\r\nHost: %b\r\n\r\n" % (
            changes_query(after, wait_s),
            address.encode(),
        )
        timeout_s = wait_s + CALL_TIMEOUT_S
        pool = self.pool_of(address)
        result = await HttpCall(self.reactor, pool, request, timeout_s).done
        match result:
            case Success(Reply(status, _, body)):
                self.count_call(str(status))
                return (
                    decode_update(body) if status == OK else Failure(f"status {status}")
                )
            case Failure(problem):
                self.count_call("no_answer")
                return Failure(problem.detail)
        raise AssertionError("a result is a success or a failure")

    def pool_of(self, address: str) -> ConnectionPool:
        """Return the pool of a peer, evicting the least recently used one if needed."""
        pool = self.pools.pop(address, None)
        if pool is None:
            pool = ConnectionPool(self.reactor, address, 1, ignore)
        self.pools[address] = pool
        if len(self.pools) > MAX_POOLS:
            oldest = next(iter(self.pools))
            self.pools.pop(oldest).close()
        return pool


def ignore() -> None:
    """Ignore that a connection was opened: calls report their own outcome."""
