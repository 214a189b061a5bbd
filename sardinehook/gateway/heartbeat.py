"""Heartbeats that delegates send to the gateways whose searches they run."""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated, Any

import msgspec
import structlog
from msgspec import Meta

from sardinehook.decoding import DECODE_ERRORS
from sardinehook.gateway.fleet import GatewayFleet
from sardinehook.gateway.routing.delegate_load import DelegateReport
from sardinehook.observe.events import EventName, log_event

__all__ = ["HeartbeatProtocol"]

logger = structlog.get_logger(__name__)

MALFORMED_LOGGED = 3  # bounds the log lines about faulty senders


Figure = Annotated[int, Meta(ge=0, le=1_000_000)]


class Heartbeat(msgspec.Struct, array_like=True, frozen=True):
    """A heartbeat: its sender, and whether that can't reach most replicas.

    With ``asks``, the sender wants a heartbeat in return. ``in_flight`` and
    ``capacity`` are its load as a delegate (see ``DelegateReport``); the capacity is
    zero if it states none, as older gateways do.
    """

    node: str
    cut_off: bool
    asks: bool = False
    in_flight: Figure = 0
    capacity: Figure = 0


encode_heartbeat = msgspec.msgpack.Encoder().encode
decode_heartbeat = msgspec.msgpack.Decoder(Heartbeat).decode


class HeartbeatProtocol:
    """Sends heartbeats to other gateways of the data centre, and receives theirs.

    A connection to a paused or cut-off process shows no error for seconds, whereas
    missing heartbeats are detected within a second. ``is_cut_off`` returns whether this
    gateway can't reach most of the replicas that it searches. ``on_heartbeat`` receives
    the name of each registered sender, and whether that one is cut off; ``on_report``
    gets its load before that. ``own_report`` returns the load of this gateway.

    A delegate sends heartbeats to the gateways that it knows. One that has just started
    asks for them: its delegates may learn of it late, in a partition only after it.
    """

    def __init__(
        self,
        fleet: GatewayFleet,
        is_cut_off: Callable[[], bool],
        on_heartbeat: Callable[[str, bool], None],
    ) -> None:
        self.transport: Any = None
        self.fleet = fleet
        self.is_cut_off = is_cut_off
        self.on_heartbeat = on_heartbeat
        self.sends_heartbeats = False
        self.was_cut_off = False
        self.reported_cut_off = False
        self.unheard: Callable[[], list[str]] = list
        self.own_report: Callable[[], DelegateReport] = lambda: DelegateReport(0, 0)
        self.on_report: Callable[[str, DelegateReport], object] = lambda *_: None
        self.malformed = 0

    def send(self) -> None:
        """Send a heartbeat to each gateway that may delegate searches to this one."""
        port = self.transport
        if port is None:
            return
        self.ask_unheard()
        if not self.sends_heartbeats:
            return
        own = self.fleet.record
        # After a pause all replicas seem unreachable until pending input is read:
        # report the state only if two checks in a row agree that it is cut off.
        before, self.was_cut_off = self.was_cut_off, self.is_cut_off()
        self.reported_cut_off = before and self.was_cut_off
        heartbeat = self.own_heartbeat()
        for record in self.fleet.registered_records().values():
            lower_bandwidth = record.link_mbps < own.link_mbps
            if (
                record.data_centre == own.data_centre
                and lower_bandwidth
                and record.signs_at
            ):
                port.write(heartbeat, socket_address(record.signs_at))

    def ask_unheard(self) -> None:
        """Ask the delegates that have not been heard lately for a heartbeat."""
        self.ask(self.unheard())

    def ask(self, names: list[str]) -> None:
        """Ask some delegates for a heartbeat; each answers at once."""
        if self.transport is None:
            return
        records = self.fleet.registered_records()
        question = encode_heartbeat(Heartbeat(self.fleet.node, False, True))
        for name in names:
            record = records.get(name)
            if record is not None and record.signs_at:
                self.transport.write(question, socket_address(record.signs_at))

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:
        """Report a heartbeat of a registered gateway; log any other datagram."""
        try:
            heartbeat = decode_heartbeat(datagram)
        except DECODE_ERRORS as error:
            self.log_malformed(addr[0], str(error))
            return
        if heartbeat.asks:
            self.answer(addr)
        elif heartbeat.node in self.fleet.records:
            if heartbeat.capacity:
                report = DelegateReport(heartbeat.in_flight, heartbeat.capacity)
                self.on_report(heartbeat.node, report)
            self.on_heartbeat(heartbeat.node, heartbeat.cut_off)
        else:
            self.log_malformed(addr[0], f"{heartbeat.node!r} is not registered")

    def answer(self, address: tuple[str, int]) -> None:
        """Send a heartbeat to a gateway that asks, if this one is a delegate.

        One that has just started doesn't know yet whether it is cut off.
        """
        if self.sends_heartbeats:
            self.transport.write(self.own_heartbeat(), address)

    def own_heartbeat(self) -> bytes:
        """Return the heartbeat that this gateway sends now."""
        report = self.own_report()
        return encode_heartbeat(
            Heartbeat(
                self.fleet.node,
                self.reported_cut_off,
                False,
                report.in_flight,
                report.capacity,
            )
        )

    def log_malformed(self, address: str, detail: str) -> None:
        """Log the first datagrams that are no heartbeats of a registered gateway."""
        self.malformed += 1
        if self.malformed <= MALFORMED_LOGGED:
            log_event(
                logger,
                EventName.MEMBER_STATE,
                peer=address,
                state="invalid heartbeat",
                detail=detail,
            )


def socket_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an address.

    >>> socket_address("10.0.0.9:7395")
    ('10.0.0.9', 7395)
    """
    host, _, port = address.rpartition(":")
    return host, int(port)
