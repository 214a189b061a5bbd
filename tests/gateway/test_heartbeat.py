"""Heartbeats of gateways that run searches for others."""

from __future__ import annotations

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from sardinehook.gateway.fleet import GatewayFleet, GatewayRecord
from sardinehook.gateway.heartbeat import (
    Heartbeat,
    HeartbeatProtocol,
    decode_heartbeat,
    encode_heartbeat,
)
from sardinehook.gateway.process import HEARTBEAT_INTERVAL_S
from tests.gateway.fake_transport import RecordingReactor
from tests.gateway.test_first_second import StartRig
from tests.gateway.test_follower import ScriptedStore


class RecordingPort:
    """Records the datagrams that are sent."""

    def __init__(self) -> None:
        self.sent: list[tuple[bytes, tuple[str, int]]] = []

    def write(self, datagram: bytes, address: tuple[str, int]) -> None:
        """Record a datagram."""
        self.sent.append((datagram, address))


class HeartbeatRig:
    """A gateway with a high bandwidth among others."""

    def __init__(self) -> None:
        own = GatewayRecord("10.0.0.1:1", "here", "10.0.0.1:9", 200.0)
        self.fleet = GatewayFleet(
            RecordingReactor(), ScriptedStore(), "wide", own, lambda _names: None
        )
        self.received: list[tuple[str, bool]] = []
        self.cut_off = False
        self.heartbeats = HeartbeatProtocol(
            self.fleet,
            lambda: self.cut_off,
            lambda *heartbeat: self.received.append(heartbeat),
        )
        self.port = RecordingPort()
        self.heartbeats.transport = self.port
        self.register("narrow", GatewayRecord("10.0.0.2:1", "here", "10.0.0.2:9", 20.0))
        self.register("equal", GatewayRecord("10.0.0.3:1", "here", "10.0.0.3:9", 200.0))
        self.register("far", GatewayRecord("10.0.0.4:1", "there", "10.0.0.4:9", 20.0))

    def register(self, node: str, record: GatewayRecord) -> None:
        """Register another gateway."""
        self.fleet.apply_record(node, msgspec.json.encode(record))


class TestSending:
    def test_heartbeats_go_to_gateways_with_lower_bandwidth_nearby(self) -> None:
        rig = HeartbeatRig()
        rig.heartbeats.sends_heartbeats = True
        rig.heartbeats.send()
        (datagram, address), *others = rig.port.sent
        assert others == []
        assert decode_heartbeat(datagram) == Heartbeat("wide", False)
        assert address == ("10.0.0.2", 9)

    def test_lasting_cut_off_is_reported(self) -> None:
        """After a pause of the VM, all replicas seem unreachable for a moment."""
        rig = HeartbeatRig()
        rig.heartbeats.sends_heartbeats = True
        for cut_off in (True, False, True, True):
            rig.cut_off = cut_off
            rig.heartbeats.send()
        reported = [decode_heartbeat(datagram).cut_off for datagram, _ in rig.port.sent]
        assert reported == [False, False, False, True]

    def test_gateway_that_is_no_delegate_sends_none(self) -> None:
        rig = HeartbeatRig()
        rig.heartbeats.send()
        assert rig.port.sent == []


class TestReceiving:
    def test_heartbeat_of_a_registered_gateway_is_reported(self) -> None:
        rig = HeartbeatRig()
        rig.heartbeats.datagramReceived(
            encode_heartbeat(Heartbeat("equal", True)), ("10.0.0.3", 9)
        )
        assert rig.received == [("equal", True)]

    def test_heartbeat_of_an_unregistered_gateway_is_ignored(self) -> None:
        rig = HeartbeatRig()
        rig.heartbeats.datagramReceived(
            encode_heartbeat(Heartbeat("other", True)), ("10.0.0.3", 9)
        )
        assert rig.received == []

    @given(st.binary(max_size=300))
    def test_malformed_datagram_is_ignored(self, datagram: bytes) -> None:
        rig = HeartbeatRig()
        rig.heartbeats.datagramReceived(datagram, ("10.0.0.9", 9))
        assert rig.received == []


class TestRestartBeforeAPartition:
    """A gateway that registers just before its data centre is cut off.

    The pattern: its delegates never learn of it, and send it no heartbeats. It has no
    requests either, and would stay ready: with a single ready gateway the load balancer
    leads all callers of the data centre to gateways that can't serve them.
    """

    def narrow_rig(self) -> HeartbeatRig:
        """Return a gateway that has not heard its delegate."""
        rig = HeartbeatRig()
        rig.fleet.node = "new"
        rig.heartbeats.unheard = lambda: ["equal"]
        return rig

    def test_it_asks_for_the_state_of_its_delegates(self) -> None:
        rig = self.narrow_rig()
        rig.heartbeats.send()
        ((datagram, address),) = rig.port.sent
        assert decode_heartbeat(datagram) == Heartbeat("new", False, True)
        assert address == ("10.0.0.3", 9)

    def test_a_delegate_answers_whoever_asks(self) -> None:
        rig = HeartbeatRig()
        rig.heartbeats.sends_heartbeats = True
        rig.cut_off = True
        for _ in range(2):
            rig.heartbeats.send()
        rig.port.sent.clear()
        question = encode_heartbeat(Heartbeat("new", False, True))
        rig.heartbeats.datagramReceived(question, ("10.0.0.8", 9))
        ((datagram, address),) = rig.port.sent
        assert decode_heartbeat(datagram) == Heartbeat("wide", True)
        assert address == ("10.0.0.8", 9)

    def test_a_delegate_that_knows_no_others_yet_does_not_answer(self) -> None:
        """It would keep gateways ready that are cut off like itself."""
        rig = HeartbeatRig()
        question = encode_heartbeat(Heartbeat("new", False, True))
        rig.heartbeats.datagramReceived(question, ("10.0.0.8", 9))
        assert rig.port.sent == []

    def test_a_question_is_no_heartbeat(self) -> None:
        rig = HeartbeatRig()
        question = encode_heartbeat(Heartbeat("equal", False, True))
        rig.heartbeats.datagramReceived(question, ("10.0.0.3", 9))
        assert rig.received == []

    def test_it_turns_not_ready_with_its_delegates(self) -> None:
        rig = StartRig()
        delegates = rig.start_beside_wide_gateway()
        rig.accept_connection()
        assert delegates.unheard() == []
        rig.reactor.advance(HEARTBEAT_INTERVAL_S)
        rig.process.heartbeats.on_heartbeat("wide", True)
        assert rig.process.unready_reason() == "cut off as wide"
        rig.reactor.advance(2 * HEARTBEAT_INTERVAL_S)
        assert delegates.unheard() == ["wide"]
