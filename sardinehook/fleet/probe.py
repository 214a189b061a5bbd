"""What membership keeps of the probes that are under way."""

from __future__ import annotations

from typing import NamedTuple

from sardinehook.fleet.datagram import Datagram

__all__ = ["OutgoingDatagram", "Probe", "Relay"]


class OutgoingDatagram(NamedTuple):
    """A datagram to be sent to a link address (``IP:port``)."""

    address: str
    datagram: Datagram


class Probe(NamedTuple):
    """A member being probed."""

    name: str
    sequence: int
    sent_at: float
    indirect: bool


class Relay(NamedTuple):
    """A ping sent for another member, which is told when the answer comes."""

    address: str
    sequence: int
    sent_at: float
