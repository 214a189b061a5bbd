"""A fleet of ledgers and gates on a simulated clock, whose datagrams take time."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import NamedTuple

from sardinehook.gateway.fleet import GatewayRecord
from sardinehook.gateway.metrics import GatewayMetrics
from sardinehook.gateway.organisations.organisation import (
    Organisation,
    Organisations,
    index_organisations,
)
from sardinehook.gateway.quota.gate import Admitted, Decision, QuotaGate, Refused
from sardinehook.gateway.settings import Bounds
from sardinehook.gateway.usage.exchange import TICK_S, UsageExchange
from sardinehook.gateway.usage.ledger import FleetLedger

BOUNDS = Bounds()
DATA_CENTRES = ("a", "b", "c")
NEAR_S = 0.00015
FAR_S = 0.0054


class Call:
    """A delayed call."""

    def __init__(
        self, function: Callable[..., object], args: tuple[object, ...]
    ) -> None:
        self.function = function
        self.args = args
        self.is_active = True

    def active(self) -> bool:
        """Return whether the call is pending."""
        return self.is_active

    def cancel(self) -> None:
        """Cancel the call."""
        self.is_active = False


class HeapClock:
    """A simulated clock that stays fast with thousands of calls."""

    def __init__(self) -> None:
        self.now = 1000.0
        self.calls: list[tuple[float, int, Call]] = []
        self.numbers = count()

    def seconds(self) -> float:
        """Return the simulated time."""
        return self.now

    def callLater(
        self, delay_s: float, function: Callable[..., object], *args: object
    ) -> Call:
        """Schedule a call."""
        call = Call(function, args)
        heappush(self.calls, (self.now + delay_s, next(self.numbers), call))
        return call

    def run_until(self, end_at: float) -> None:
        """Make all calls that are due by a time."""
        while self.calls and self.calls[0][0] <= end_at:
            due_at, _, call = heappop(self.calls)
            self.now = max(self.now, due_at)
            if call.is_active:
                call.is_active = False
                call.function(*call.args)
        self.now = end_at


class Decided(NamedTuple):
    """The decision about one request."""

    at: float
    node: str
    organisation: str
    decision: Decision


class SimulatedGateway:
    """The ledger and the gate of one gateway, until it is killed."""

    def __init__(self, fleet: SimulatedFleet, node: str, incarnation: int) -> None:
        self.fleet = fleet
        self.node = node
        self.alive = True
        self.record = fleet.records[node]
        self.ledger = FleetLedger(
            node, self.record.data_centre, incarnation, BOUNDS.quota_window_s
        )
        self.exchange = UsageExchange(
            fleet.clock, self.ledger, fleet.known_records, lambda _kind: None
        )
        self.exchange.transport = self
        self.exchange.is_active = True
        self.gate = QuotaGate(
            fleet.clock, self.exchange, BOUNDS, GatewayMetrics(), Random(incarnation)
        )
        self.gate.configure(fleet.organisations)
        self.update_members()
        first_s = fleet.random.random() * TICK_S
        fleet.clock.callLater(first_s, self.tick)

    def write(self, datagram: bytes, address: tuple[str, int]) -> None:
        """Send a datagram through the simulated network."""
        self.fleet.deliver(self.node, datagram, address)

    def tick(self) -> None:
        """Run the timer of the ledger."""
        if self.alive:
            self.fleet.clock.callLater(TICK_S, self.tick)
            if self.fleet.clock.now >= self.fleet.frozen_until.get(self.node, 0.0):
                self.exchange.tick()

    def update_members(self) -> None:
        """Choose the holders, as the housekeeping of a gateway does."""
        if self.alive:
            registered = {
                name: record
                for name, record in self.fleet.known_records().items()
                if name not in self.fleet.departed
            }
            now = self.fleet.clock.now
            self.ledger.update_members(registered, self.fleet.departed, now)
            self.fleet.clock.callLater(
                self.fleet.members_interval_s, self.update_members
            )


class SimulatedFleet:
    """83 gateways in three data centres, two of which in each have wide links."""

    def __init__(
        self, *organisations: Organisation, gateways: int = 83, loss: float = 0.0
    ) -> None:
        self.clock = HeapClock()
        self.random = Random(7)
        self.loss = loss
        self.members_interval_s = 2.0
        self.organisations: Organisations = index_organisations(
            (one, ()) for one in organisations
        )
        self.records: dict[str, GatewayRecord] = {}
        self.departed: set[str] = set()
        self.unregistered: set[str] = set()
        self.cut_off: set[str] = set()
        self.frozen_until: dict[str, float] = {}
        self.by_address: dict[str, str] = {}
        self.gateways: dict[str, SimulatedGateway] = {}
        self.decided: list[Decided] = []
        for number in range(gateways):
            data_centre = DATA_CENTRES[number % 3]
            address = f"10.0.{number}.1:7381"
            mbps = 100.0 if number < 6 else 12.0 + number % 8
            name = f"g-{number:02}"
            self.records[name] = GatewayRecord(
                f"10.0.{number}.1:1", data_centre, "", mbps, usage_at=address
            )
            self.by_address[address] = name
        for name in self.records:
            self.gateways[name] = SimulatedGateway(self, name, 1)

    def names_in(self, *data_centres: str) -> list[str]:
        """Return the names of the gateways of some data centres."""
        return [
            name
            for name, record in self.records.items()
            if record.data_centre in data_centres
        ]

    def known_records(self) -> dict[str, GatewayRecord]:
        """Return the records of the gateways that have registered."""
        return {
            name: record
            for name, record in self.records.items()
            if name not in self.unregistered
        }

    def lose_power(self, back_within_s: float) -> None:
        """Restart all gateways, which register one after the other."""
        self.unregistered = set(self.records)
        self.members_interval_s = 0.5
        self.restart(*self.records)
        for name in self.records:
            self.clock.callLater(
                self.random.random() * back_within_s, self.unregistered.discard, name
            )

    def deliver(self, sender: str, datagram: bytes, address: tuple[str, int]) -> None:
        """Deliver a datagram after the latency of its path, or lose it."""
        assert len(datagram) <= 1200
        receiver = self.by_address[f"{address[0]}:{address[1]}"]
        here = self.records[sender].data_centre
        there = self.records[receiver].data_centre
        is_cut = here != there and bool({here, there} & self.cut_off)
        if is_cut or self.random.random() < self.loss:
            return
        delay_s = (NEAR_S if here == there else FAR_S) * (
            1.0 + 0.2 * self.random.random()
        )
        self.clock.callLater(delay_s, self.receive, sender, receiver, datagram)

    def receive(self, sender: str, receiver: str, datagram: bytes) -> None:
        """Pass a datagram to its receiver, if that runs."""
        thaws_in_s = self.frozen_until.get(receiver, 0.0) - self.clock.now
        if thaws_in_s > 0.0:
            self.clock.callLater(thaws_in_s, self.receive, sender, receiver, datagram)
            return
        gateway = self.gateways[receiver]
        if gateway.alive:
            host, _, port = self.records[sender].usage_at.rpartition(":")
            gateway.exchange.datagramReceived(datagram, (host, int(port)))

    def kill(self, *names: str) -> None:
        """Kill gateways; their registrations stay for the time of the lease."""
        for name in names:
            self.gateways[name].alive = False

    def restart(self, *names: str) -> None:
        """Kill gateways and start them again at once."""
        self.kill(*names)
        for name in names:
            incarnation = int(self.clock.now * 1000)
            self.gateways[name] = SimulatedGateway(self, name, incarnation)

    def configure(self, *organisations: Organisation) -> None:
        """Put other quotas in force at all gateways."""
        self.organisations = index_organisations((one, ()) for one in organisations)
        for gateway in self.gateways.values():
            gateway.gate.configure(self.organisations)

    def request(self, node: str, name: str) -> None:
        """Ask the gate of a gateway for a request of an organisation."""
        gateway = self.gateways[node]
        if gateway.alive:

            def record(decision: Decision) -> None:
                self.decided.append(Decided(self.clock.now, node, name, decision))

            gateway.gate.admit(self.organisations.by_name[name], record)

    def run(
        self,
        seconds: float,
        rate_per_s: float = 0.0,
        name: str = "desk",
        nodes: list[str] | None = None,
        search_ratio: float = 0.83,
    ) -> None:
        """Run for some time, with random requests to gateways.

        Most requests are searches, which are admitted by the wide gateways of the data
        centre of the gateway that receives them.
        """
        end_at = self.clock.now + seconds
        receivers = nodes or list(self.records)
        while rate_per_s:
            arrives_at = self.clock.now + self.random.expovariate(rate_per_s)
            if arrives_at >= end_at:
                break
            self.clock.run_until(arrives_at)
            node = self.random.choice(receivers)
            if self.random.random() < search_ratio:
                data_centre = self.records[node].data_centre
                wide = [
                    one
                    for one in self.names_in(data_centre)
                    if self.records[one].link_mbps == 100.0 and self.gateways[one].alive
                ]
                node = self.random.choice(wide) if wide else node
            self.request(node, name)
        self.clock.run_until(end_at)

    def admitted(self, name: str = "desk") -> list[float]:
        """Return when the requests of an organisation were admitted."""
        return [
            one.at
            for one in self.decided
            if one.organisation == name and isinstance(one.decision, Admitted)
        ]

    def refused(self, since: float = 0.0) -> list[Refused]:
        """Return the refusals after a time."""
        return [
            one.decision
            for one in self.decided
            if isinstance(one.decision, Refused) and one.at >= since
        ]


def most_in_window(times: list[float], since: float = 0.0) -> int:
    """Return the most requests in any sliding window that starts after a time.

    >>> most_in_window([1.0, 2.0, 6.0, 6.5, 6.9, 7.0])
    4
    """
    ordered = sorted(at for at in times if at >= since)
    first = most = 0
    for last, at in enumerate(ordered):
        while at - ordered[first] >= BOUNDS.quota_window_s:
            first += 1
        most = max(most, last - first + 1)
    return most


def bound(organisation: Organisation) -> float:
    """Return the most requests that the rule allows in a window."""
    limit = organisation.rate_per_s * BOUNDS.quota_window_s + organisation.burst
    return limit * (1.0 + BOUNDS.quota_overage) + BOUNDS.quota_slack
