"""Rollouts whose evidence passes through the ledgers of real gateways."""

from __future__ import annotations

from random import Random

from sardinehook.gateway.fleet import GatewayRecord
from sardinehook.gateway.rollout.evidence import (
    EvidenceReader,
    ReplicaKey,
    subject_of,
)
from sardinehook.gateway.usage.exchange import TICK_S, UsageExchange
from sardinehook.gateway.usage.interfaces import UsageLedger
from sardinehook.gateway.usage.ledger import FleetLedger
from tests.gateway.quota.fleet import HeapClock, SimulatedFleet
from tests.gateway.rollout.fleet import DATA_CENTRES, Fleet
from tests.gateway.rollout.simulation import Answer

KEY = ReplicaKey("i-1", "a", True, False)
SUBJECT = subject_of("desk", "2", "r", KEY, "requests")


class ShiftedClock:
    """The clock of a machine that started at another time."""

    def __init__(self, clock: HeapClock, offset_s: float) -> None:
        self.clock = clock
        self.offset_s = offset_s
        self.callLater = clock.callLater

    def seconds(self) -> float:
        """Return the time of this machine."""
        return self.clock.now + self.offset_s


class TestEvidenceOfTheFleet:
    """Guards against answers that a holder counts twice, or not at all."""

    def test_each_answer_is_read_once_whatever_the_clocks_and_delays(self) -> None:
        fleet = SimulatedFleet(gateways=12, loss=0.1)
        rng = Random(5)
        clocks = {}
        for name, gateway in fleet.gateways.items():
            clocks[name] = ShiftedClock(fleet.clock, rng.random())
            gateway.exchange.reactor = clocks[name]
        fleet.run(2.0)
        holder = fleet.gateways["g-00"]
        clock = clocks["g-00"]
        reader = EvidenceReader(holder.ledger, "desk", "2", clock.seconds())
        fleet.run(0.2)  # slots that had begun before are not read
        recorded = read = 0
        for step in range(3000):
            fleet.run(0.02)
            if step < 2800:
                name = rng.choice(list(fleet.gateways))
                now = clocks[name].seconds()
                fleet.gateways[name].ledger.record(SUBJECT, 1.0, now)
                recorded += 1
            if step % 100 == 50:
                # The holder handles nothing for a moment, as on a busy machine.
                fleet.frozen_until["g-00"] = fleet.clock.now + 0.3
            if step % 13 == 0:
                found = reader.read(["r"], [KEY], clock.seconds())
                read += sum(one[KEY].requests for one in found.values())
        assert read == recorded


class LedgerFleet(Fleet):
    """Gateways with real ledgers, two of which in each data centre are holders."""

    def make_ledger(self, name: str, holder: bool) -> UsageLedger:
        """Return the ledger of a gateway, with its datagrams and its timer."""
        number = int(name[2:])
        centre = DATA_CENTRES[number % 3]
        if number == 0:
            self.records: dict[str, GatewayRecord] = {}
            self.exchanges: dict[str, UsageExchange] = {}
        record = GatewayRecord("", centre, "", 12.0, usage_at=f"10.0.0.{number}:1")
        self.records[name] = record
        ledger = FleetLedger(name, centre, 1 + int(self.now * 1000), 5.0)
        exchange = UsageExchange(
            self.reactor, ledger, lambda: self.records, lambda _kind: None
        )
        exchange.transport = Network(self, name)
        exchange.is_active = True
        self.exchanges[name] = exchange
        self.reactor.callLater(TICK_S, self.tick, name, exchange)
        return ledger

    def tick(self, name: str, exchange: UsageExchange) -> None:
        """Run the timer of a ledger until its gateway is killed."""
        if self.exchanges[name] is exchange and not self.gateways[name].killed:
            exchange.ledger.update_members(self.records, (), self.now)
            exchange.tick()
            self.reactor.callLater(TICK_S, self.tick, name, exchange)

    def receive(self, sender: str, number: int, datagram: bytes) -> None:
        """Pass a datagram to its receiver, if that runs."""
        name = f"g-{number}"
        if not self.gateways[name].killed:
            self.exchanges[name].datagramReceived(datagram, (sender, 1))


class Network:
    """Sends the datagrams of one gateway."""

    def __init__(self, fleet: LedgerFleet, name: str) -> None:
        self.fleet = fleet
        self.name = name

    def write(self, datagram: bytes, address: tuple[str, int]) -> None:
        """Send a datagram, which takes some milliseconds."""
        delay_s = self.fleet.random.uniform(0.0002, 0.0065)
        number = int(address[0].rpartition(".")[2])
        self.fleet.reactor.callLater(
            delay_s, self.fleet.receive, self.name, number, datagram
        )


class TestRolloutWithLedgers:
    """Guards against evidence that does not reach the leader by datagrams."""

    def test_good_version_is_completed_with_nothing_at_the_old_one(self) -> None:
        fleet = LedgerFleet(gateways=9, rate_per_s=30.0)
        fleet.run(2.0)
        fleet.order()
        fleet.run(60.0, lambda: fleet.status() in ("completed", "rolled_back"))
        assert fleet.status() == "completed"
        assert fleet.in_flight["1"] == 0

    def test_bad_version_is_rolled_back_while_holders_die(self) -> None:
        fleet = LedgerFleet(gateways=9, rate_per_s=30.0)
        fleet.behaviour = lambda new, path, at: Answer(0.4 if new else 0.005)
        fleet.run(2.0)
        fleet.order()
        fleet.run(1.0)
        fleet.gateways["g-0"].kill()
        fleet.restart("g-1")
        fleet.run(50.0, lambda: fleet.status() == "rolled_back")
        assert fleet.status() == "rolled_back"
        assert not fleet.late_requests()
