"""Asks other gateways what they know of the store."""

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

__all__ = ["PeerClient", "Peers"]

CALL_TIMEOUT_S = 0.4  # peers answer in milliseconds; one that is cut off is passed over
PEERS_ASKED = 2  # at a time, so that the store is tried again soon
MOST_POOLS = 8  # connections to peers that are kept: readers, and a few once asked
OK = 200


class Peers(Protocol):
    """The other gateways as a follower asks them."""

    async def ask_any(
        self, addresses: Collection[str], after: int | None
    ) -> Result[StateUpdate, str]:
        """Ask some peers; return what the first one that answers tells."""
        ...

    async def ask(
        self, address: str, after: int | None, wait_s: float
    ) -> Result[StateUpdate, str]:
        """Ask one peer for the changes after a revision; it may wait for some."""
        ...


class PeerClient:
    """Calls other gateways over connections that are kept.

    ``count_call`` is told the outcome of each call.
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

    async def ask_any(
        self, addresses: Collection[str], after: int | None
    ) -> Result[StateUpdate, str]:
        """Ask some random peers; return what the first one that answers tells."""
        candidates = sorted(set(addresses))
        self.random.shuffle(candidates)
        detail = "no peer is known"
        for address in candidates[:PEERS_ASKED]:
            match await self.ask(address, after, 0.0):
                case Success(update):
                    return Success(update)
                case Failure(problem):
                    detail = f"{address}: {problem}"
        return Failure(detail)

    async def ask(
        self, address: str, after: int | None, wait_s: float
    ) -> Result[StateUpdate, str]:
        """Ask one peer for the changes after a revision; it may wait for some."""
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
                return decode_update(body) if status == OK else Failure(f"{status}")
            case Failure(problem):
                self.count_call("no_answer")
                return Failure(problem.detail)
        raise AssertionError("a result is a success or a failure")

    def pool_of(self, address: str) -> ConnectionPool:
        """Return the connection to a peer; the one used first may be closed for it."""
        pool = self.pools.pop(address, None)
        if pool is None:
            pool = ConnectionPool(self.reactor, address, 1, ignore)
        self.pools[address] = pool
        if len(self.pools) > MOST_POOLS:
            oldest = next(iter(self.pools))
            self.pools.pop(oldest).close()
        return pool


def ignore() -> None:
    """Take no note of a connection: the call tells how it ended."""
