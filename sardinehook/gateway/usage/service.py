"""Runs the usage ledger of a gateway while a part of the service needs it."""

from __future__ import annotations

import structlog

from sardinehook.gateway.fleet import GatewayFleet, GatewayRecord
from sardinehook.gateway.metrics import GatewayMetrics
from sardinehook.gateway.reactor import GatewayReactor
from sardinehook.gateway.usage.exchange import TICK_S, UsageExchange
from sardinehook.gateway.usage.ledger import FleetLedger
from sardinehook.observe.events import EventName, log_event, log_names
from sardinehook.transport.tasks import RepeatingCall

__all__ = ["UsageService"]

logger = structlog.get_logger(__name__)


class UsageService:
    """The usage ledger with its port and its timer.

    Neither is opened before some part needs the ledger. The port stays open after that,
    but nothing is sent or processed while no part needs it.
    """

    def __init__(
        self,
        reactor: GatewayReactor,
        fleet: GatewayFleet,
        metrics: GatewayMetrics,
        address: str,
        incarnation: int,
        window_s: float,
    ) -> None:
        self.reactor = reactor
        self.fleet = fleet
        self.metrics = metrics
        self.address = address
        self.ledger = FleetLedger(
            fleet.node, fleet.record.data_centre, incarnation, window_s
        )
        self.exchange = UsageExchange(
            reactor, self.ledger, self.known_gateways, self.count_datagram
        )
        self.loop = RepeatingCall(reactor, TICK_S, self.exchange.tick)
        self.needed_by: set[str] = set()
        self.is_open = False
        self.has_failed = False

    def known_gateways(self) -> dict[str, GatewayRecord]:
        """Return the records of the fleet, with those that left a short time ago."""
        return self.fleet.records

    def count_datagram(self, kind: str) -> None:
        """Count a datagram by its kind."""
        self.metrics.usage_datagrams.labels(kind).inc()

    def require(self, part: str, is_needed: bool) -> None:
        """Start the ledger when the first part needs it, stop it after the last."""
        was_active = bool(self.needed_by)
        if is_needed:
            self.needed_by.add(part)
        else:
            self.needed_by.discard(part)
        if bool(self.needed_by) == was_active:
            return
        self.exchange.is_active = not was_active
        if was_active:
            self.loop.stop()
            return
        self.open()
        self.update_members()
        self.loop.start()

    def open(self) -> None:
        """Bind the port; without it, no holder can be asked."""
        if self.is_open or not self.address:
            return
        host, _, port = self.address.rpartition(":")
        try:
            self.reactor.listenUDP(int(port), self.exchange, interface=host)
        except OSError as error:
            if not self.has_failed:
                detail = str(error)
                log_event(
                    logger, EventName.USAGE_HOLDER, state="port closed", detail=detail
                )
            self.has_failed = True
        else:
            self.is_open = self.exchange.is_bound = True

    def update_members(self) -> None:
        """Choose the holders among the registered gateways.

        One that has not registered yet is none: in a fleet that starts, each gateway
        would be a holder of its own.
        """
        if not self.needed_by:
            return
        self.open()
        now = self.reactor.seconds()
        registered = self.fleet.registered_records()
        if self.ledger.update_members(registered, self.fleet.left_at, now):
            names = [name for names in self.ledger.holders.values() for name in names]
            log_names(logger, EventName.USAGE_HOLDER, "holders", names)
        self.metrics.usage_holders.set(sum(map(len, self.ledger.holders.values())))
        in_contact = len(self.ledger.contacts.in_contact())
        self.metrics.usage_silent_holders.set(
            len(self.ledger.contacts.by_name) - in_contact
        )

    def stop(self) -> None:
        """Send and process nothing more."""
        self.loop.stop()
        self.exchange.is_active = False
