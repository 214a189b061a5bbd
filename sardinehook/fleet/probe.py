"""Records of datagrams to send and of probes in flight."""

from __future__ import annotations

from typing import NamedTuple

from sardinehook.fleet.datagram import Datagram

__all__ = ["OutgoingDatagram", "Probe", "Relay"]


class OutgoingDatagram(NamedTuple):
    """A datagram to send to a link address (``IP:port``)."""

    address: str
    datagram: Datagram


class Probe(NamedTuple):
    """A probe in flight; ``indirect`` is set once ping requests were sent."""

    name: str
    sequence: int
    sent_at: float
    indirect: bool


class Relay(NamedTuple):
    """A ping sent on behalf of a member that is to receive the acknowledgement."""

    address: str
    sequence: int
    sent_at: float
