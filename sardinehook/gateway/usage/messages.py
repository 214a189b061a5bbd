"""Datagrams between gateways about shares of the fleet, in MessagePack."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta
from returns.result import Failure, Result, Success

from sardinehook.decoding import DECODE_ERRORS, Measure, Number
from sardinehook.gateway.usage.table import SLOT_S, Statement

__all__ = [
    "MAX_ASKED_NAME",
    "MAX_DATAGRAM_BYTES",
    "Ask",
    "Counts",
    "GiveBack",
    "Grant",
    "Header",
    "Message",
    "decode_message",
    "encode_counts",
    "encode_message",
    "read_statements",
]

MAX_DATAGRAM_BYTES = 1200  # passes any path unfragmented
MAX_SLOTS = 32  # of one statement
MAX_PARTS = 64  # of one full set; the receiver's socket buffer has room for them
ARRAY_HEADER_BYTES = 2  # more than of an empty array
MAX_STATEMENT_AGE_MS = 3_600_000
SLOT_MS = 100
Name = Annotated[str, Meta(min_length=1, max_length=200)]
MAX_ASKED_NAME = 250  # characters, four bytes each at most
AskedName = Annotated[str, Meta(min_length=1, max_length=MAX_ASKED_NAME)]
Figure = Annotated[int, Meta(ge=0, le=1_000_000)]
Age = Annotated[int, Meta(ge=0, le=MAX_STATEMENT_AGE_MS)]


class Ask(msgspec.Struct, array_like=True, frozen=True, tag="ask"):
    """Asks a holder for an amount of an organisation's quota.

    The limit is ``rate_per_s`` times the window of the rule, and ``burst``.
    """

    node: Name
    incarnation: Number
    id: Number
    subject: AskedName
    amount: Measure
    rate_per_s: Measure
    burst: Measure


class Grant(msgspec.Struct, array_like=True, frozen=True, tag="grant"):
    """Answers an ``Ask``; ``retry_after_s`` is the wait if it is not granted."""

    id: Number
    granted: bool
    retry_after_s: Measure


class GiveBack(msgspec.Struct, array_like=True, frozen=True, tag="back"):
    """Gives back what an ``Ask`` was granted."""

    node: Name
    incarnation: Number
    id: Number


class WireStatement(msgspec.Struct, array_like=True, frozen=True):
    """A statement; ``ages`` alternate with counts and are in slots before its time."""

    origin: Name
    incarnation: Number
    as_of_ms: Number
    age_ms: Age
    subject: Name
    ages: tuple[Measure, ...]


class Counts(msgspec.Struct, array_like=True, frozen=True, tag="counts"):
    """Counts that a gateway states.

    ``informed`` is set if the sender knows what ran in the last window. With ``asks``,
    it wants all that the receiver knows. ``part`` is the place of the datagram among
    ``parts`` that contain all that the sender knows; ``parts`` is zero if they contain
    the latest changes only.
    """

    node: Name
    incarnation: Number
    informed: bool
    asks: bool
    set_id: Number
    part: Figure
    parts: Figure
    statements: list[WireStatement]


Message = Ask | Grant | GiveBack | Counts


class Header(NamedTuple):
    """What all ``Counts`` of one sender to one receiver have in common."""

    node: str
    incarnation: int
    informed: bool
    asks: bool
    set_id: int = 0
    is_full_set: bool = False


encode_message = msgspec.msgpack.Encoder().encode
decoder = msgspec.msgpack.Decoder(Message)


def decode_message(datagram: bytes) -> Result[Message, str]:
    """Decode a datagram; a failure describes the error.

    >>> decode_message(b"x").failure()
    'Expected `array`, got `int`'
    """
    try:
        return Success(decoder.decode(datagram))
    except DECODE_ERRORS as error:
        return Failure(str(error))


def encode_counts(header: Header, statements: Iterable[Statement]) -> list[bytes]:
    """Encode statements into as many datagrams as needed, at least one."""
    room = MAX_DATAGRAM_BYTES - len(encode_part(header, MAX_PARTS, MAX_PARTS, []))
    room -= ARRAY_HEADER_BYTES
    batches: list[list[msgspec.Raw]] = [[]]
    used = 0
    for statement in statements:
        for encoded in encode_statement(statement):
            if used + len(encoded) > room and batches[-1]:
                batches.append([])
                used = 0
            batches[-1].append(msgspec.Raw(encoded))
            used += len(encoded)
    if header.is_full_set:
        del batches[MAX_PARTS:]
    parts = len(batches) if header.is_full_set else 0
    return [
        encode_part(header, part, parts, batch) for part, batch in enumerate(batches)
    ]


def encode_part(
    header: Header, part: int, parts: int, statements: Sequence[msgspec.Raw]
) -> bytes:
    """Encode one datagram of counts."""
    fields = (
        "counts",
        header.node,
        header.incarnation,
        header.informed,
        header.asks,
        header.set_id,
        part,
        parts,
        statements,
    )
    return encode_message(fields)


def encode_statement(statement: Statement) -> Iterator[bytes]:
    """Encode a statement in pieces of ``MAX_SLOTS`` slots."""
    base = statement.as_of_ms // SLOT_MS
    for first in range(0, len(statement.slots), MAX_SLOTS):
        ages: list[float] = []
        for slot, count in statement.slots[first : first + MAX_SLOTS]:
            ages += (base - slot, int(count) if count == int(count) else count)
        yield encode_message((*statement[:5], ages))


def read_statements(counts: Counts, retention_s: float) -> Iterator[Statement]:
    """Yield the statements of a datagram, without slots that can't be right."""
    max_age = retention_s / SLOT_S + 1
    for wire in counts.statements:
        base = wire.as_of_ms // SLOT_MS
        pairs = zip(wire.ages[::2], wire.ages[1::2], strict=False)
        slots = tuple(
            (base - int(age), count) for age, count in pairs if age <= max_age
        )
        yield Statement(
            wire.origin,
            wire.incarnation,
            wire.as_of_ms,
            wire.age_ms,
            wire.subject,
            slots,
        )
