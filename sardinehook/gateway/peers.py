"""What a gateway knows of the store, told to gateways that start while it is away."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

import msgspec
from returns.result import Failure, Result, Success

from sardinehook.gateway.connection import Reply
from sardinehook.gateway.http_call import HttpCall
from sardinehook.gateway.pool import ConnectionPool
from sardinehook.gateway.reactor import GatewayReactor
from sardinehook.gateway.store import Changes, Item

__all__ = ["STATE_PATH", "PeerClient", "decode_state", "encode_state"]

STATE_PATH = b"/state"
CALL_TIMEOUT_S = 0.4  # peers answer in milliseconds; one that is cut off is passed over
PEERS_ASKED = 2  # at a time, so that the store is tried again soon
OK = 200


class KnownItem(msgspec.Struct, array_like=True):
    """A key as a gateway has seen it last."""

    key: str
    value: bytes
    revision: int


class KnownState(msgspec.Struct, array_like=True):
    """All keys as of a revision of the store."""

    revision: int
    items: list[KnownItem]


def encode_state(revision: int, items: Iterable[Item]) -> bytes:
    """Encode what a gateway knows."""
    known = [
        KnownItem(i.key, i.value, i.revision) for i in items if i.value is not None
    ]
    return msgspec.msgpack.encode(KnownState(revision, known))


def decode_state(body: bytes) -> Result[Changes, str]:
    """Decode what a gateway told.

    >>> decode_state(encode_state(7, [Item("a", b"1", 5)])).unwrap().revision
    7
    >>> decode_state(b"x").failure()
    'malformed state of a peer: Expected `array`, got `int`'
    """
    try:
        state = msgspec.msgpack.decode(body, type=KnownState)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Failure(f"malformed state of a peer: {error}")
    items = tuple(Item(known.key, known.value, known.revision) for known in state.items)
    return Success(Changes(items, state.revision))


class PeerClient:
    """Asks other gateways what they know."""

    def __init__(self, reactor: GatewayReactor, random: Random) -> None:
        self.reactor = reactor
        self.random = random

    async def fetch(self, addresses: Iterable[str]) -> Result[Changes, str]:
        """Return the state of the first of some random peers that tells one."""
        candidates = sorted(set(addresses))
        self.random.shuffle(candidates)
        detail = "no peer is known"
        for address in candidates[:PEERS_ASKED]:
            match await self.fetch_from(address):
                case Success(changes):
                    return Success(changes)
                case Failure(problem):
                    detail = f"{address}: {problem}"
        return Failure(detail)

    async def fetch_from(self, address: str) -> Result[Changes, str]:
        """Ask one peer."""
        pool = ConnectionPool(self.reactor, address, 1, ignore)
        request = b"GET %b HTTP/1.1\r\nHost: %b\r\n\r\n" % (
            STATE_PATH,
            address.encode(),
        )
        result = await HttpCall(self.reactor, pool, request, CALL_TIMEOUT_S).done
        pool.close()
        match result:
            case Success(Reply(status, _, body)) if status == OK:
                return decode_state(body)
            case Success(Reply(status)):
                return Failure(f"status {status}")
            case Failure(problem):
                return Failure(problem.detail)
        raise AssertionError("a result is a success or a failure")


def ignore() -> None:
    """Take no note of a connection: the call tells how it ended."""
