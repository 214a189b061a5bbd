"""Datagrams by which entry processes probe each other and spread news."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple
from zlib import crc32

import msgspec

from sardinehook.fleet.member import Member

__all__ = [
    "DATAGRAM_LIMIT_BYTES",
    "Datagram",
    "DatagramKind",
    "RosterEpoch",
    "decode_datagram",
    "encode_datagram",
    "fleet_number",
]

DATAGRAM_LIMIT_BYTES = 1200


class DatagramKind(IntEnum):
    """What a datagram asks or answers."""

    PING = 0
    ACK = 1
    PING_REQUEST = 2


class RosterEpoch(NamedTuple):
    """The newest roster that the sender knows of a data centre."""

    data_centre: str
    epoch: int


class Datagram(NamedTuple):
    """A probe or its answer, with news about members.

    ``fleet`` tells environments apart. ``subject`` names the member to be probed by a
    ping request. ``size`` is the number of members that the sender knows.
    """

    fleet: int
    kind: DatagramKind
    sequence: int
    subject: str
    sender: Member
    size: int
    epochs: tuple[RosterEpoch, ...]
    updates: tuple[Member, ...]


encoder = msgspec.msgpack.Encoder()
decoder = msgspec.msgpack.Decoder(Datagram)


def fleet_number(environment: str) -> int:
    """Return the number that tells an environment's datagrams from others'."""
    return crc32(environment.encode())


def encode_datagram(datagram: Datagram) -> bytes:
    """Encode a datagram, leaving out the last updates that do not fit."""
    data = encoder.encode(datagram)
    while len(data) > DATAGRAM_LIMIT_BYTES and datagram.updates:
        datagram = datagram._replace(updates=datagram.updates[:-1])
        data = encoder.encode(datagram)
    return data


def decode_datagram(data: bytes, fleet: int) -> Datagram | None:
    """Decode a datagram; None when it is malformed or another environment's."""
    if len(data) > DATAGRAM_LIMIT_BYTES:
        return None
    try:
        datagram = decoder.decode(data)
    except msgspec.MsgspecError:
        return None
    return datagram if datagram.fleet == fleet else None
