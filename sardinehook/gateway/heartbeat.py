"""Datagrams by which gateways that search for others show that they are there."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import structlog
from twisted.internet.protocol import DatagramProtocol

from sardinehook.gateway.fleet import GatewayFleet
from sardinehook.observe.events import EventName, log_event

__all__ = ["HeartbeatProtocol"]

logger = structlog.get_logger(__name__)

MALFORMED_LOGGED = 3  # datagrams from something broken, in a log line each


class Heartbeat(msgspec.Struct, array_like=True, frozen=True):
    """What a datagram says: its sender, and whether that can't reach most replicas."""

    node: str
    cut_off: bool


encode_heartbeat = msgspec.msgpack.Encoder().encode
decode_heartbeat = msgspec.msgpack.Decoder(Heartbeat).decode


class HeartbeatProtocol(DatagramProtocol):
    """Sends signs to the other gateways of the data centre, and takes theirs.

    A connection to a process that was paused or cut off looks well for seconds; a
    datagram that does not come says so within a second. ``is_cut_off`` tells whether
    this gateway can't reach most of what it searches. ``on_heartbeat`` is told
    the name of each registered gateway from which a sign came, and whether that one is
    cut off.
    """

    def __init__(
        self,
        fleet: GatewayFleet,
        is_cut_off: Callable[[], bool],
        on_heartbeat: Callable[[str, bool], None],
    ) -> None:
        self.fleet = fleet
        self.is_cut_off = is_cut_off
        self.on_heartbeat = on_heartbeat
        self.sends_heartbeats = False
        self.was_cut_off = False
        self.malformed = 0

    def send(self) -> None:
        """Send a datagram to each gateway that may hand searches over."""
        # The interface of zope that mypy reads here states ``write`` without ``self``.
        port: Any = self.transport
        if port is None or not self.sends_heartbeats:
            return
        own = self.fleet.record
        # After a pause everything seems silent until what has come in is read.
        before, self.was_cut_off = self.was_cut_off, self.is_cut_off()
        heartbeat = encode_heartbeat(
            Heartbeat(self.fleet.node, before and self.was_cut_off)
        )
        for record in self.fleet.registered_records().values():
            narrower = record.link_mbps < own.link_mbps
            if record.data_centre == own.data_centre and narrower and record.signs_at:
                host, _, number = record.signs_at.rpartition(":")
                port.write(heartbeat, (host, int(number)))

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:
        """Take a sign of another gateway."""
        try:
            heartbeat = decode_heartbeat(datagram)
        except msgspec.MsgspecError as error:
            self.note_malformed(addr[0], str(error))
            return
        if heartbeat.node in self.fleet.records:
            self.on_heartbeat(heartbeat.node, heartbeat.cut_off)
        else:
            self.note_malformed(addr[0], f"{heartbeat.node!r} is not registered")

    def note_malformed(self, address: str, detail: str) -> None:
        """Log the first datagrams that are no signs of a registered gateway."""
        self.malformed += 1
        if self.malformed <= MALFORMED_LOGGED:
            log_event(
                logger,
                EventName.MEMBER_STATE,
                peer=address,
                state="datagram of no registered gateway",
                detail=detail,
            )
