"""The form of searches, and of what became of them, between gateways."""

from __future__ import annotations

from typing import NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from sardinehook.gateway.answer import CallerAnswer
from sardinehook.gateway.interfaces import CallerRequest

__all__ = [
    "SEARCH_PATH",
    "HandedOver",
    "Outcome",
    "decode_outcome",
    "decode_search",
    "encode_outcome",
    "encode_search",
]

SEARCH_PATH = b"/search"
HAND_OVER_S = 0.004  # both ways between two gateways, over the narrow link of one


class WireSearch(msgspec.Struct, array_like=True):
    """A search on its way to another gateway."""

    node: str
    version: int
    request_id: bytes
    method: bytes
    target: bytes
    host: str
    headers: list[tuple[bytes, bytes]]
    body: bytes
    patience_s: float | None
    elapsed_s: float
    path_s: float


class Outcome(msgspec.Struct, array_like=True):
    """What became of a search that was handed over."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    outcome: str
    detail: str
    hedges: int
    repeats: int


class HandedOver(NamedTuple):
    """A search that another gateway has handed over."""

    node: str
    version: int
    request: CallerRequest


def encode_search(node: str, version: int, request: CallerRequest, now: float) -> bytes:
    """Encode a search as it stands at ``now``."""
    wire = WireSearch(
        node,
        version,
        request.request_id,
        request.method,
        request.target,
        request.host,
        list(request.headers),
        request.body,
        request.caller_timeout_s,
        now - request.received_at,
        request.network_s + HAND_OVER_S,
    )
    return msgspec.msgpack.encode(wire)


def decode_search(body: bytes, now: float) -> Result[HandedOver, str]:
    """Decode a search that came at ``now``.

    >>> decode_search(b"x", 0.0).failure()
    'malformed search of a peer: Expected `array`, got `int`'
    """
    try:
        wire = msgspec.msgpack.decode(body, type=WireSearch)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Failure(f"malformed search of a peer: {error}")
    request = CallerRequest(
        wire.request_id,
        wire.method,
        wire.target,
        wire.host,
        tuple(wire.headers),
        wire.body,
        wire.patience_s,
        now - wire.elapsed_s,
        wire.path_s,
    )
    return Success(HandedOver(wire.node, wire.version, request))


def encode_outcome(answer: CallerAnswer, hedges: int, repeats: int) -> bytes:
    """Encode what became of a search."""
    wire = Outcome(
        answer.status,
        list(answer.headers),
        answer.body,
        answer.outcome,
        answer.detail,
        hedges,
        repeats,
    )
    return msgspec.msgpack.encode(wire)


def decode_outcome(body: bytes) -> Result[Outcome, str]:
    """Decode what became of a search."""
    try:
        return Success(msgspec.msgpack.decode(body, type=Outcome))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Failure(f"malformed outcome of a peer: {error}")
