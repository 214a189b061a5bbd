"""Datagrams by which gateways that search for others show that they are there."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import structlog
from twisted.internet.protocol import DatagramProtocol

from sardinehook.gateway.fleet import GatewayFleet
from sardinehook.observe.events import EventName, log_event

__all__ = ["SignsOfLife"]

logger = structlog.get_logger(__name__)

MOST_NAME_BYTES = 200  # of a gateway, as of any key in the store
MALFORMED_LOGGED = 3  # datagrams from something broken, in a log line each


class SignsOfLife(DatagramProtocol):
    """Sends this gateway's name to the others of its data centre, and takes theirs.

    A connection to a process that was paused or cut off looks well for seconds; a
    datagram that does not come says so within a second. ``on_heard`` is told the name
    of each registered gateway from which one came.
    """

    def __init__(self, fleet: GatewayFleet, on_heard: Callable[[str], None]) -> None:
        self.fleet = fleet
        self.on_heard = on_heard
        self.gives_signs = False
        self.malformed = 0

    def send(self) -> None:
        """Send a datagram to each gateway that may hand searches over."""
        # The interface of zope that mypy reads here states ``write`` without ``self``.
        port: Any = self.transport
        if port is None or not self.gives_signs:
            return
        own = self.fleet.record
        name = self.fleet.node.encode()
        for record in self.fleet.present().values():
            narrower = record.link_mbps < own.link_mbps
            if record.data_centre == own.data_centre and narrower and record.signs_at:
                host, _, number = record.signs_at.rpartition(":")
                port.write(name, (host, int(number)))

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:
        """Take a sign of another gateway."""
        name = datagram[:MOST_NAME_BYTES].decode("utf-8", "replace")
        if name in self.fleet.records:
            self.on_heard(name)
            return
        self.malformed += 1
        if self.malformed <= MALFORMED_LOGGED:
            log_event(
                logger,
                EventName.MEMBER_STATE,
                peer=addr[0],
                state="datagram of no registered gateway",
                detail=repr(name),
            )
