"""The usage ledger: idempotent counts, datagrams, and the choice of holders."""

from __future__ import annotations

import socket
from functools import partial
from random import Random

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from sardinehook.gateway.fleet import GatewayRecord, check_record
from sardinehook.gateway.metrics import GatewayMetrics
from sardinehook.gateway.organisations.organisation import Organisation
from sardinehook.gateway.quota.gate import Admitted, Decision, QuotaGate
from sardinehook.gateway.usage.exchange import UsageExchange
from sardinehook.gateway.usage.holders import choose_holders
from sardinehook.gateway.usage.ledger import FleetLedger
from sardinehook.gateway.usage.messages import (
    MAX_DATAGRAM_BYTES,
    Counts,
    Header,
    decode_message,
    encode_counts,
    read_statements,
)
from sardinehook.gateway.usage.table import UsageTable
from sardinehook.transport.event_loop import EventLoop
from tests.gateway.quota.fleet import BOUNDS, SimulatedFleet

EVENTS = st.lists(
    st.tuples(st.sampled_from("ab"), st.integers(1, 5), st.booleans(), st.booleans()),
    max_size=40,
)


class TestIdempotence:
    """Guards against counts that are added twice, or lost with a datagram."""

    @given(EVENTS, st.randoms(use_true_random=False))
    def test_lost_repeated_and_reordered_statements(
        self, events: list[tuple[str, int, bool, bool]], random: Random
    ) -> None:
        sender, receiver = UsageTable("s", 1), UsageTable("r", 1)
        now = 100.0
        late = []
        for subject, amount, is_taken_back, is_lost in events:
            now += 0.02
            sender.record(subject, amount, now)
            if is_taken_back:
                sender.record(subject, -1.0, now)
            stated = list(sender.statements(sender.own, now, 1.5))
            late += [] if is_lost else stated
        stated = list(sender.statements(sender.own, now, 1.5))
        statements = [*late, *late, *stated]
        random.shuffle(statements)
        for statement in statements:
            receiver.merge(statement, "s", now)
        for subject in "ab":
            total = sender.total(subject, 5.0, now)
            assert receiver.total(subject, 6.0, now) == total

    def test_restart_of_the_sender_keeps_its_earlier_counts(self) -> None:
        receiver = UsageTable("r", 1)
        for incarnation, clock in ((1, 500.0), (2, 3.0)):
            sender = UsageTable("s", incarnation)
            sender.record("a", 2.0, clock)
            for statement in sender.statements(sender.own, clock, 1.5):
                receiver.merge(statement, "s", 100.0)
        assert receiver.total("a", 5.0, 101.0) == 4.0

    def test_passed_on_counts_are_not_added_to_those_heard_directly(self) -> None:
        origin, relay, receiver = (UsageTable(name, 1) for name in "xyz")
        origin.record("a", 3.0, 50.0)
        for statement in origin.statements(origin.own, 50.0, 1.5):
            relay.merge(statement, "x", 80.0)
            receiver.merge(statement, "x", 20.0)
        (source,) = (one for one in relay.sources.values() if one is not relay.own)
        for statement in relay.statements(source, 80.5, 1.5):
            receiver.merge(statement, "y", 20.5)
        assert receiver.total("a", 5.0, 24.0) == 3.0
        assert receiver.total("a", 5.0, 26.0) == 0.0

    def test_expired_counts_are_removed(self) -> None:
        table = UsageTable("s", 1)
        for step in range(3000):
            table.record(f"subject-{step}", 1.0, 100.0 + step * 0.1)
            table.sweep(100.0 + step * 0.1)
        assert len(table.own.series) <= 302  # 30 s, a subject each 0.1 s


class TestDatagrams:
    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_are_refused(self, datagram: bytes) -> None:
        decode_message(datagram)

    @given(st.integers(1, 150), st.integers(1, 100))
    def test_many_counts_are_split_and_complete(
        self, subjects: int, slots: int
    ) -> None:
        sender, receiver = UsageTable("s", 1), UsageTable("r", 1)
        for number in range(subjects):
            for slot in range(slots):
                sender.record(f"rollout/desk/{number}", 1.5, 100.0 + slot / 10)
        header = Header("s", 1, True, False, 1, True)
        statements = sender.statements(sender.own, 110.0, float("inf"))
        datagrams = encode_counts(header, statements)
        assert max(map(len, datagrams)) <= MAX_DATAGRAM_BYTES
        for datagram in datagrams:
            counts = decode_message(datagram).unwrap()
            assert isinstance(counts, Counts) and counts.parts == len(datagrams)
            for statement in read_statements(counts, 10.0):
                receiver.merge(statement, "s", 110.0)
        assert receiver.total("rollout/desk/0", 11.0, 110.0) == 1.5 * slots

    def test_repeated_grants_and_returns_count_once(self) -> None:
        fleet = SimulatedFleet(Organisation("desk", None, 8.0, 20.0))
        fleet.run(6.0)
        gateway = fleet.gateways["g-06"]

        def write_often(datagram: bytes, address: tuple[str, int]) -> None:
            for _ in range(3):
                fleet.deliver("g-06", datagram, address)

        gateway.write = write_often  # type: ignore[method-assign]
        fleet.request("g-06", "desk")
        fleet.run(0.5)
        holder = fleet.gateways["g-00"].ledger
        assert holder.total("quota/desk", 5.0, fleet.clock.now) == 1.0
        (decided,) = fleet.decided
        assert isinstance(decided.decision, Admitted)
        decided.decision.receipt.give_back()
        fleet.run(0.5)
        assert holder.total("quota/desk", 5.0, fleet.clock.now) == 0.0

    def test_counts_of_unregistered_gateways_are_ignored(self) -> None:
        fleet = SimulatedFleet()
        exchange = fleet.gateways["g-00"].exchange
        table = UsageTable("stranger", 1)
        table.record("quota/desk", 9.0, 1.0)
        (datagram,) = encode_counts(
            Header("stranger", 1, True, False), table.statements(table.own, 1.0, 1.5)
        )
        exchange.datagramReceived(datagram, ("10.9.9.9", 1))
        assert exchange.malformed == 1
        assert exchange.ledger.total("quota/desk", 5.0, 1000.0) == 0.0


class TestHolders:
    def test_record_of_an_older_gateway_is_decoded(self) -> None:
        value = b'{"peer_address":"10.0.0.1:1","data_centre":"a"}'
        record = msgspec.json.decode(value, type=GatewayRecord)
        check_record("g-1", record)
        assert choose_holders({"g-1": record}) == {}

    def test_fleet_of_equal_links_has_two_holders_in_each_data_centre(self) -> None:
        records = {
            f"g-{number}": GatewayRecord("", "ab"[number % 2], "", 20.0, usage_at="x:1")
            for number in range(40)
        }
        chosen = choose_holders(records)
        assert [len(names) for names in chosen.values()] == [2, 2]
        gone = chosen["a"][0]
        del records[gone]
        assert chosen["a"][1] in choose_holders(records)["a"]


def free_ports(count: int) -> list[int]:
    """Return UDP ports that are free at the moment."""
    probes = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for probe in probes:
        probe.bind(("127.0.0.1", 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


class TestLoopback:
    """Guards against a protocol that works in the simulated network only."""

    def test_a_gateway_asks_a_holder_over_udp(self) -> None:
        ports = free_ports(2)
        wide, narrow = (
            GatewayRecord("127.0.0.1:1", "a", "", mbps, usage_at=f"127.0.0.1:{port}")
            for mbps, port in zip((100.0, 20.0), ports, strict=True)
        )
        records = {"wide": wide, "narrow": narrow}
        loop = EventLoop(lambda detail, error: None)
        gates = []
        for (name, _), port in zip(records.items(), ports, strict=True):
            ledger = FleetLedger(name, "a", 1, BOUNDS.quota_window_s)
            ledger.update_members(records, (), loop.seconds())
            exchange = UsageExchange(loop, ledger, lambda: records, lambda _kind: None)
            exchange.is_active = True
            gates.append(QuotaGate(loop, exchange, BOUNDS, GatewayMetrics(), Random(1)))
            loop.callWhenRunning(partial(loop.listenUDP, port, exchange, "127.0.0.1"))
        decisions: list[Decision] = []

        def decide(decision: Decision) -> None:
            decisions.append(decision)
            loop.stop()

        desk = Organisation("desk", None, 8.0, 20.0)
        loop.callLater(0.1, lambda: gates[1].admit(desk, decide))
        loop.callLater(5.0, loop.stop)
        loop.run()
        assert [type(decision) for decision in decisions] == [Admitted]
        assert gates[0].ledger.total("quota/desk", 5.0, loop.seconds()) == 1.0
        assert gates[1].ledger.total("quota/desk", 5.0, loop.seconds()) == 0.0
