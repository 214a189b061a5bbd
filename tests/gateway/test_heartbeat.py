"""Signs of life of gateways that search for others."""

from __future__ import annotations

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.testing import MemoryReactorClock

from sardinehook.gateway.fleet import GatewayFleet, GatewayRecord
from sardinehook.gateway.heartbeat import (
    Heartbeat,
    HeartbeatProtocol,
    decode_heartbeat,
    encode_heartbeat,
)
from tests.gateway.test_follower import ScriptedStore


class Port:
    """Keeps the datagrams that are sent."""

    def __init__(self) -> None:
        self.sent: list[tuple[bytes, tuple[str, int]]] = []

    def write(self, datagram: bytes, address: tuple[str, int]) -> None:
        """Keep a datagram."""
        self.sent.append((datagram, address))


class HeartbeatRig:
    """A gateway with a wide link among others."""

    def __init__(self) -> None:
        own = GatewayRecord("10.0.0.1:1", "here", "10.0.0.1:9", 200.0)
        self.fleet = GatewayFleet(
            MemoryReactorClock(), ScriptedStore(), "wide", own, lambda _names: None
        )
        self.heard: list[tuple[str, bool]] = []
        self.cut_off = False
        self.heartbeats = HeartbeatProtocol(
            self.fleet,
            lambda: self.cut_off,
            lambda *heartbeat: self.heard.append(heartbeat),
        )
        self.port = Port()
        self.heartbeats.transport = self.port  # type: ignore[assignment]
        self.knows("narrow", GatewayRecord("10.0.0.2:1", "here", "10.0.0.2:9", 20.0))
        self.knows("equal", GatewayRecord("10.0.0.3:1", "here", "10.0.0.3:9", 200.0))
        self.knows("far", GatewayRecord("10.0.0.4:1", "there", "10.0.0.4:9", 20.0))

    def knows(self, node: str, record: GatewayRecord) -> None:
        """Register another gateway."""
        self.fleet.apply_record(node, msgspec.json.encode(record))


class TestSending:
    def test_those_with_narrower_links_nearby_get_them(self) -> None:
        rig = HeartbeatRig()
        rig.heartbeats.sends_heartbeats = True
        rig.heartbeats.send()
        (datagram, address), *others = rig.port.sent
        assert others == []
        assert decode_heartbeat(datagram) == Heartbeat("wide", False)
        assert address == ("10.0.0.2", 9)

    def test_one_that_is_cut_off_says_so_when_it_lasts(self) -> None:
        """Answers the pattern: a VM is paused, and all seems silent for a moment."""
        rig = HeartbeatRig()
        rig.heartbeats.sends_heartbeats = True
        for cut_off in (True, False, True, True):
            rig.cut_off = cut_off
            rig.heartbeats.send()
        told = [decode_heartbeat(datagram).cut_off for datagram, _ in rig.port.sent]
        assert told == [False, False, False, True]

    def test_one_that_searches_for_nobody_sends_none(self) -> None:
        rig = HeartbeatRig()
        rig.heartbeats.send()
        assert rig.port.sent == []


class TestTaking:
    def test_a_registered_gateway_is_heard(self) -> None:
        rig = HeartbeatRig()
        rig.heartbeats.datagramReceived(
            encode_heartbeat(Heartbeat("equal", True)), ("10.0.0.3", 9)
        )
        assert rig.heard == [("equal", True)]

    def test_one_that_is_not_registered_is_not(self) -> None:
        rig = HeartbeatRig()
        rig.heartbeats.datagramReceived(
            encode_heartbeat(Heartbeat("other", True)), ("10.0.0.3", 9)
        )
        assert rig.heard == []

    @given(st.binary(max_size=300))
    def test_other_bytes_are_dropped(self, datagram: bytes) -> None:
        rig = HeartbeatRig()
        rig.heartbeats.datagramReceived(datagram, ("10.0.0.9", 9))
        assert rig.heard == []
