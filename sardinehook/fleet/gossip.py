"""UDP transport of the membership protocol."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import DatagramProtocol
from twisted.internet.task import LoopingCall

from sardinehook.fleet.connection import split_address
from sardinehook.fleet.datagram import decode_datagram, encode_datagram
from sardinehook.fleet.member import Member
from sardinehook.fleet.membership import Membership
from sardinehook.fleet.probe import OutgoingDatagram

__all__ = ["Gossip"]

TICK_S = 0.1


class Gossip(DatagramProtocol):
    """Sends and receives the datagrams of a ``Membership`` and drives its timers.

    ``on_tick`` is called after each tick with the members that changed. Datagrams
    that are malformed or from another environment are counted and dropped.
    """

    def __init__(
        self,
        reactor: Any,  # noqa: ANN401
        membership: Membership,
        on_tick: Callable[[list[Member]], None],
    ) -> None:
        self.reactor = reactor
        self.membership = membership
        self.on_tick = on_tick
        self.port: Any = None
        self.dropped = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self.tick_loop = LoopingCall(self.tick)
        self.tick_loop.clock = reactor

    def start(self, address: str) -> None:
        """Listen for datagrams at ``IP:port`` and start probing."""
        host, port = split_address(address)
        self.port = self.reactor.listenUDP(port, self, interface=host)
        self.tick_loop.start(TICK_S)

    async def stop(self) -> None:
        """Stop probing and close the port."""
        if self.tick_loop.running:
            self.tick_loop.stop()
        if self.port is not None:
            port, self.port = self.port, None
            await port.stopListening()

    def tick(self) -> None:
        """Send the datagrams that are due and report changed members."""
        self.send(self.membership.tick(self.reactor.seconds()))
        self.on_tick(self.membership.table.drain_changes())

    def send(self, sends: list[OutgoingDatagram]) -> None:
        """Send datagrams; one that the socket refuses is counted as dropped."""
        for address, datagram in sends:
            data = encode_datagram(datagram)
            self.sent_bytes += len(data)
            if self.port is None:
                continue
            try:
                self.port.write(data, split_address(address))
            except OSError:
                self.dropped += 1

    def datagramReceived(self, data: bytes, addr: tuple[str, int]) -> None:
        """Apply a received datagram and send the replies.

        Replies go to the address that the sender advertises, not to ``addr``.
        """
        self.received_bytes += len(data)
        datagram = decode_datagram(data, self.membership.fleet)
        if datagram is None:
            self.dropped += 1
            return
        address = datagram.sender.link_address
        now = self.reactor.seconds()
        self.send(self.membership.receive(datagram, address, now))
