"""Passes observations of replicas on among the gateways of a data centre."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import structlog
from returns.result import Failure, Success
from twisted.internet.protocol import DatagramProtocol

from sardinehook.gateway.directory import Directory
from sardinehook.gateway.fleet import GatewayFleet
from sardinehook.gateway.observations import (
    Observation,
    apply_observation,
    decode_observations,
    encode_observations,
)
from sardinehook.gateway.reactor import GatewayReactor
from sardinehook.observe.events import EventName, log_event

__all__ = ["ObservationNews"]

logger = structlog.get_logger(__name__)

MOST_HELD = 400  # observations between two sendings; what is beyond is dropped
MALFORMED_LOGGED = 3  # datagrams from something broken, in a log line each


class ObservationNews(DatagramProtocol):
    """Tells the other gateways of this data centre what this one observes.

    A gateway of a large fleet asks each replica too seldom to tell by itself which
    ones are slow just now. Datagrams may be lost: the next ones tell more.
    ``count`` is told how many observations were sent and taken.
    """

    def __init__(
        self,
        reactor: GatewayReactor,
        directory: Directory,
        fleet: GatewayFleet,
        count: Callable[[str, int], None],
    ) -> None:
        self.reactor = reactor
        self.directory = directory
        self.fleet = fleet
        self.count = count
        self.held: list[Observation] = []
        self.malformed = 0

    def note(self, observation: Observation) -> None:
        """Keep an observation of this gateway's for the next sending."""
        if len(self.held) < MOST_HELD:
            self.held.append(observation)

    def send(self) -> None:
        """Send what is held to the other gateways of this data centre."""
        held, self.held = self.held, []
        # The interface of zope that mypy reads here states ``write`` without ``self``.
        port: Any = self.transport
        if not held or port is None:
            return
        here = self.fleet.record.data_centre
        addresses = [
            record.news_address
            for node, record in self.fleet.present().items()
            if node != self.fleet.node
            and record.data_centre == here
            and record.news_address
        ]
        for datagram in encode_observations(self.fleet.node, held):
            for address in addresses:
                host, _, number = address.rpartition(":")
                port.write(datagram, (host, int(number)))
        self.count("sent", len(held) * len(addresses))

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:
        """Take what another gateway has observed."""
        match decode_observations(datagram):
            case Success((node, observations)) if node in self.fleet.records:
                now = self.reactor.seconds()
                for observation in observations:
                    apply_observation(self.directory, observation, now)
                self.count("taken", len(observations))
            case Success((node, observations)):
                self.count("unknown_sender", len(observations))
            case Failure(detail):
                self.count("malformed", 1)
                self.malformed += 1
                if self.malformed <= MALFORMED_LOGGED:
                    log_event(
                        logger,
                        EventName.MEMBER_STATE,
                        peer=addr[0],
                        state="datagram dropped",
                        detail=str(detail),
                    )
