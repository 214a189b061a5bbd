"""Datagrams of the failure detector, with gossiped member updates."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple
from zlib import crc32

import msgspec

from sardinehook.decoding import DECODE_ERRORS
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
    """Kind of a datagram."""

    PING = 0
    ACK = 1
    PING_REQUEST = 2


class RosterEpoch(NamedTuple):
    """The epoch of the newest roster of a data centre known to the sender."""

    data_centre: str
    epoch: int


class Datagram(NamedTuple):
    """A probe or its acknowledgement, with updates about members.

    ``fleet`` identifies the environment. ``subject`` names the member that the
    receiver of a ping request has to probe. ``size`` is the number of members known
    to the sender.
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
    """Return the number that identifies the datagrams of an environment."""
    return crc32(environment.encode())


def encode_datagram(datagram: Datagram) -> bytes:
    """Encode a datagram; updates that exceed the size limit are cut from the end."""
    data = encoder.encode(datagram)
    while len(data) > DATAGRAM_LIMIT_BYTES and datagram.updates:
        datagram = datagram._replace(updates=datagram.updates[:-1])
        data = encoder.encode(datagram)
    return data


def decode_datagram(data: bytes, fleet: int) -> Datagram | None:
    """Decode a datagram; None if it is malformed or from another environment."""
    if len(data) > DATAGRAM_LIMIT_BYTES:
        return None
    try:
        datagram = decoder.decode(data)
    except DECODE_ERRORS:
        return None
    return datagram if datagram.fleet == fleet else None
