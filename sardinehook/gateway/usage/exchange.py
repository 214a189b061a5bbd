"""Sends counts to the holders of the usage ledger, and receives their datagrams."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

import structlog
from returns.result import Failure, Success

from sardinehook.gateway.fleet import GatewayRecord
from sardinehook.gateway.heartbeat import socket_address
from sardinehook.gateway.reactor import GatewayReactor
from sardinehook.gateway.usage.ledger import FleetLedger
from sardinehook.gateway.usage.messages import (
    Ask,
    Counts,
    GiveBack,
    Grant,
    Message,
    decode_message,
    encode_counts,
    encode_message,
)
from sardinehook.gateway.usage.table import Statement
from sardinehook.observe.events import EventName, log_event

__all__ = ["TICK_S", "UsageExchange"]

logger = structlog.get_logger(__name__)

TICK_S = 0.05  # urgent subjects are told to other holders at each tick,
REPORT_TICKS = 2  # counts of other gateways at each second one,
EXCHANGE_TICKS = 5  # all subjects at each fifth,
FLUSH_DELAY_S = 0.005  # between requests of a burst that are told at once
SWEEP_TICKS = 20  # and expired counts are removed each second
MIN_FULL_SET_INTERVAL_S = 0.1  # to one peer that asks
MALFORMED_LOGGED = 3  # bounds the log lines about faulty senders
Address = tuple[str, int]


class UsageExchange:
    """The datagram protocol of the usage ledger.

    ``records`` returns the gateways that are known, also those that have left a short
    time ago. ``on_ask`` answers an ask, ``on_grant`` and ``on_give_back`` receive the
    other messages about quotas. ``count`` counts datagrams by kind. ``is_bound`` is set
    when the port is bound, ``transport`` a few turns of the event loop later.
    """

    def __init__(
        self,
        reactor: GatewayReactor,
        ledger: FleetLedger,
        records: Callable[[], Mapping[str, GatewayRecord]],
        count: Callable[[str], None],
    ) -> None:
        self.transport: Any = None
        self.reactor = reactor
        self.ledger = ledger
        self.records = records
        self.count = count
        self.on_ask: Callable[[Ask, float], Grant | None] = lambda _ask, _now: None
        self.on_grant: Callable[[Grant, str], None] = lambda _grant, _sender: None
        self.on_give_back: Callable[[GiveBack, float], None] = lambda _back, _now: None
        ledger.on_unsent = self.tell_soon
        self.is_active = False
        self.is_bound = False
        self.is_flush_due = False
        self.ticks = EXCHANGE_TICKS - 1  # the first tick tells all others
        self.full_set_sent_at: dict[str, float] = {}
        self.malformed = 0

    @property
    def has_port(self) -> bool:
        """Whether the port is open, or will be in a few turns."""
        return self.is_bound or self.transport is not None

    def tick(self) -> None:
        """Send what is due, and note which holders have fallen silent."""
        now = self.reactor.seconds()
        self.ticks += 1
        for contact in self.ledger.find_silent(now):
            self.log_contact(contact.name, "silent")
        if self.ledger.is_holder():
            self.tell_holders(now)
        elif self.ticks % REPORT_TICKS == 0:
            self.report(now)
        if self.ticks % SWEEP_TICKS == 0:
            self.ledger.sweep(now)

    def tell_soon(self) -> None:
        """Send counts before the next tick, since others know too few of them."""
        if self.is_active and not self.is_flush_due:
            self.is_flush_due = True
            self.reactor.callLater(FLUSH_DELAY_S, self.flush)

    def flush(self) -> None:
        """Send the counts that other holders don't know."""
        self.is_flush_due = False
        now = self.reactor.seconds()
        unsent = dict(self.ledger.unsent)
        self.ledger.unsent.clear()
        changes = [
            one for one in self.ledger.changes(now, False) if one.subject in unsent
        ]
        for name in self.ledger.contacts.by_name:
            self.send_counts(name, changes, now)

    def tell_holders(self, now: float) -> None:
        """Send counts to the other holders; without any, that this one is alive."""
        is_full_turn = self.ticks % EXCHANGE_TICKS == 0 or self.ledger.lacks_set(now)
        changes = self.ledger.changes(now, not is_full_turn)
        if not is_full_turn and not changes:
            return
        for change in changes:
            self.ledger.unsent.pop(change.subject, None)
        relayed = self.ledger.relayed_changes(now) if is_full_turn else []
        for name, contact in self.ledger.contacts.by_name.items():
            is_near = contact.data_centre == self.ledger.data_centre
            self.send_counts(name, changes if is_near else changes + relayed, now)

    def report(self, now: float) -> None:
        """Send this gateway's counts to the holders of its data centre."""
        changes = self.ledger.changes(now, False)
        if changes:
            for name in self.ledger.holders.get(self.ledger.data_centre, ()):
                self.send_counts(name, changes, now)

    def send_counts(self, peer: str, statements: list[Statement], now: float) -> None:
        """Send counts to one gateway."""
        header = self.ledger.header_for(peer, now)
        for datagram in encode_counts(header, statements):
            self.send(peer, datagram, "counts")

    def send_message(self, peer: str, message: Ask | GiveBack) -> bool:
        """Send a message to a gateway; return whether its address is known."""
        return self.send(peer, encode_message(message), type(message).__name__.lower())

    def send(self, peer: str, datagram: bytes, kind: str) -> bool:
        """Send a datagram to a gateway; return whether its address is known."""
        record = self.records().get(peer)
        if self.transport is None or record is None or not record.usage_at:
            return False
        self.count(kind)
        self.transport.write(datagram, socket_address(record.usage_at))
        return True

    def datagramReceived(self, datagram: bytes, addr: Address) -> None:
        """Apply a message of a known gateway; log any other datagram."""
        if not self.is_active:
            return
        match decode_message(datagram):
            case Success(message):
                sender = self.sender_of(message, addr)
                if sender is None:
                    self.log_malformed(addr[0], "the sender is not registered")
                else:
                    self.apply(message, sender, addr)
            case Failure(detail):
                self.log_malformed(addr[0], str(detail))

    def sender_of(self, message: Message, addr: Address) -> str | None:
        """Return the name of a message's sender, ``None`` if it is not known."""
        known = self.records()
        match message:
            case Counts():
                return message.node if message.node in known else None
            case Grant():
                address = f"{addr[0]}:{addr[1]}"
                senders = (n for n, one in known.items() if one.usage_at == address)
                return next(senders, None)
        # The record of a gateway that has just started may be on its way.
        return message.node

    def apply(self, message: Message, sender: str, addr: Address) -> None:
        """Apply a message of a known gateway."""
        now = self.reactor.seconds()
        match message:
            case Ask():
                grant = self.on_ask(message, now)
                if grant is not None:
                    self.count("grant")
                    self.transport.write(encode_message(grant), addr)
            case Grant():
                self.on_grant(message, sender)
            case GiveBack():
                self.on_give_back(message, now)
            case Counts():
                self.apply_counts(message, now)

    def apply_counts(self, counts: Counts, now: float) -> None:
        """Apply counts, and send all that is known to a holder that asks."""
        contact = self.ledger.contacts.by_name.get(counts.node)
        was_silent = contact is not None and contact.silent_since is not None
        self.ledger.apply(counts, now)
        if contact is not None and was_silent and contact.silent_since is None:
            self.log_contact(contact.name, "in contact")
        if counts.asks and self.ledger.is_holder():
            self.send_full_set(counts.node, now)

    def send_full_set(self, peer: str, now: float) -> None:
        """Send all that is known to a peer, not too often."""
        last = self.full_set_sent_at.get(peer, float("-inf"))
        if now < last + MIN_FULL_SET_INTERVAL_S:
            return
        self.full_set_sent_at[peer] = now
        header = self.ledger.full_set_header(peer, now)
        for datagram in encode_counts(header, self.ledger.everything(now)):
            self.send(peer, datagram, "counts")

    def log_contact(self, name: str, state: str) -> None:
        """Log that a holder has fallen silent or is in contact again."""
        log_event(logger, EventName.USAGE_HOLDER, peer=name, state=state)

    def log_malformed(self, address: str, detail: str) -> None:
        """Log the first datagrams that are no messages of a known gateway."""
        self.count("malformed")
        self.malformed += 1
        if self.malformed <= MALFORMED_LOGGED:
            log_event(
                logger,
                EventName.USAGE_HOLDER,
                peer=address,
                state="invalid datagram",
                detail=detail,
            )
