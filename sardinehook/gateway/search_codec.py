"""Encodes delegated searches and their answers between gateways."""

from __future__ import annotations

from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta
from returns.result import Failure, Result, Success

from sardinehook.decoding import DECODE_ERRORS, Count, Measure, Number
from sardinehook.gateway.answer import CallerAnswer
from sardinehook.gateway.interfaces import CallerRequest

__all__ = [
    "SEARCH_PATH",
    "DelegatedRequest",
    "WireAnswer",
    "decode_answer",
    "decode_search",
    "encode_answer",
    "encode_search",
]

SEARCH_PATH = b"/search"
DELEGATION_ROUND_TRIP_S = 0.004  # between two gateways, one with a narrow link


class WireSearch(msgspec.Struct, array_like=True):
    """A delegated search as sent; times are relative to the sending."""

    node: str
    version: Number
    request_id: bytes
    method: bytes
    target: bytes
    host: str
    headers: list[tuple[bytes, bytes]]
    body: bytes
    patience_s: Measure | None
    elapsed_s: Measure
    path_s: Measure
    organisation: str = ""


class WireAnswer(msgspec.Struct, array_like=True):
    """The answer to a delegated search as sent, with its log fields."""

    status: Annotated[int, Meta(ge=200, le=599)]
    headers: list[tuple[bytes, bytes]]
    body: bytes
    outcome: str
    detail: str
    hedges: Count
    repeats: Count


class DelegatedRequest(NamedTuple):
    """A search that another gateway has delegated to this one."""

    node: str
    version: int
    request: CallerRequest


def encode_search(node: str, version: int, request: CallerRequest, now: float) -> bytes:
    """Encode a search that is sent at ``now``."""
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
        request.network_s + DELEGATION_ROUND_TRIP_S,
        request.organisation,
    )
    return msgspec.msgpack.encode(wire)


def decode_search(body: bytes, now: float) -> Result[DelegatedRequest, str]:
    """Decode a search that was received at ``now``.

    >>> decode_search(b"x", 0.0).failure()
    'malformed delegated search: Expected `array`, got `int`'
    """
    try:
        wire = msgspec.msgpack.decode(body, type=WireSearch)
    except DECODE_ERRORS as error:
        return Failure(f"malformed delegated search: {error}")
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
        None,
        wire.organisation,
    )
    return Success(DelegatedRequest(wire.node, wire.version, request))


def encode_answer(answer: CallerAnswer, hedges: int, repeats: int) -> bytes:
    """Encode the answer to a delegated search."""
    wire = WireAnswer(
        answer.status,
        list(answer.headers),
        answer.body,
        answer.outcome,
        answer.detail,
        hedges,
        repeats,
    )
    return msgspec.msgpack.encode(wire)


def decode_answer(body: bytes) -> Result[WireAnswer, str]:
    """Decode the answer to a delegated search; the failure says what is wrong."""
    try:
        return Success(msgspec.msgpack.decode(body, type=WireAnswer))
    except DECODE_ERRORS as error:
        return Failure(f"malformed answer to a delegated search: {error}")
