"""Measures what membership costs a node, in a simulation on a virtual clock."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from math import inf
from time import process_time
from typing import NamedTuple

import typer

from sardinehook.fleet.datagram import Datagram, decode_datagram, encode_datagram
from sardinehook.fleet.member import Member, MemberState
from sardinehook.fleet.membership import Membership
from sardinehook.fleet.probe import OutgoingDatagram

__all__ = ["MembershipCost", "MembershipDriver", "main"]

FLEET_ID = 7
TICK_S = 0.1
LOCAL_DELAY_S = 0.0005
REMOTE_DELAY_S = 0.0045
IP_UDP_HEADER_BYTES = 28
SIZES = ((9, 3), (60, 3), (550, 7))
WARM_UP_S = 65.0
MEASURE_S = 40.0
DETECTION_LIMIT_S = 60.0

LossRule = Callable[[str, str], bool]


class MembershipCost(NamedTuple):
    """The cost of membership per node, sent and received, with IP and UDP headers."""

    nodes: int
    data_centres: int
    datagrams_per_s: float
    bytes_per_s: float
    processor_percent: float
    detected_first_s: float
    detected_all_s: float
    false_deaths: int
    bytes_per_s_in_restarts: float


class MembershipDriver:
    """Simulates members that exchange datagrams in memory, one tick at a time."""

    def __init__(self, nodes: int, data_centres: int) -> None:
        self.now = 1000.0
        self.members: dict[str, Membership] = {}
        self.addresses: dict[str, str] = {}
        self.queue: list[tuple[float, int, str, str, bytes]] = []
        self.stopped: set[str] = set()
        self.paused: set[str] = set()
        self.is_lost: LossRule = lambda source, target: False
        self.count = 0
        self.datagrams = 0
        self.bytes = 0
        for number in range(nodes):
            place = f"centre-{number % data_centres}"
            self.start(f"{place}-entry-{number}", place, 1)

    def introduce_all(self) -> None:
        """Make every member know all others as alive, as in a converged fleet."""
        known = [
            member.local_member._replace(state=MemberState.ALIVE)
            for member in self.members.values()
        ]
        for member in self.members.values():
            member.set_local_member(
                member.local_member._replace(state=MemberState.ALIVE)
            )
            for other in known:
                member.apply_update(other, self.now)

    def start(self, name: str, data_centre: str, incarnation: int) -> Membership:
        """Start a member; a restarted one keeps its address."""
        number = int(name.rpartition("-")[2])
        address = f"10.0.{number // 256}.{number % 256}:7401"
        http = f"10.0.{number // 256}.{number % 256}:8401"
        local_member = Member(name, data_centre, address, http, incarnation)
        member = Membership(local_member, FLEET_ID, seed=number * 1000 + incarnation)
        first = next(iter(self.members.values()), member)
        member.seeds = {first.local_member.link_address}
        self.members[name] = member
        self.addresses[address] = name
        self.stopped.discard(name)
        return member

    def send(self, source: str, sends: list[OutgoingDatagram]) -> None:
        """Queue datagrams for delivery, except those that are lost."""
        for address, datagram in sends:
            data = encode_datagram(datagram)
            target = self.addresses.get(address)
            self.datagrams += 1
            self.bytes += len(data) + IP_UDP_HEADER_BYTES
            if target is None or self.is_lost(source, target):
                continue
            local = self.data_centre_of(source) == self.data_centre_of(target)
            self.count += 1
            due = self.now + (LOCAL_DELAY_S if local else REMOTE_DELAY_S)
            heappush(self.queue, (due, self.count, source, target, data))

    def data_centre_of(self, name: str) -> str:
        """Return the data centre of a member."""
        return self.members[name].local_member.data_centre

    def run(self, seconds: float) -> None:
        """Advance the clock, delivering datagrams and ticking the running members."""
        end = self.now + seconds
        while self.now < end:
            tick = self.now + TICK_S
            while self.queue and self.queue[0][0] <= tick:
                self.deliver()
            self.now = tick
            for name, member in list(self.members.items()):
                if name not in self.stopped and name not in self.paused:
                    self.send(name, member.tick(self.now))

    def deliver(self) -> None:
        """Deliver the datagram that is due next; a paused member gets it later."""
        due, _, source, target, data = heappop(self.queue)
        if target in self.stopped:
            return
        if target in self.paused:
            heappush(self.queue, (due + TICK_S, self.count, source, target, data))
            self.count += 1
            return
        self.now = max(self.now, due)
        datagram: Datagram | None = decode_datagram(data, FLEET_ID)
        assert datagram is not None
        member = self.members[target]
        address = self.members[source].local_member.link_address
        self.send(target, member.receive(datagram, address, self.now))

    def view(self, viewer: str, name: str) -> MemberState | None:
        """Return a member's state in the view of another, None if unknown."""
        member = self.members[viewer].table.members.get(name)
        return None if member is None else member.state

    def running(self, data_centre: str) -> list[str]:
        """Return the members of a data centre that are neither stopped nor paused."""
        names = [n for n in self.members if self.data_centre_of(n) == data_centre]
        return [n for n in names if n not in self.stopped | self.paused]


def measure_detection(
    driver: MembershipDriver, stopped_name: str
) -> tuple[float, float]:
    """Stop a member and time its detection.

    Returns the seconds until the first and until all running members of its data
    centre have declared it dead; infinity if not all did within the limit.
    """
    driver.stopped.add(stopped_name)
    started = driver.now
    peers = driver.running(driver.data_centre_of(stopped_name))
    first = 0.0
    while driver.now - started < DETECTION_LIMIT_S:
        driver.run(TICK_S)
        detected = sum(driver.view(p, stopped_name) is MemberState.DEAD for p in peers)
        if detected and not first:
            first = driver.now - started
        if detected == len(peers):
            return round(first, 1), round(driver.now - started, 1)
    return round(first, 1), inf


def measure_restarts(driver: MembershipDriver) -> float:
    """Restart seven members at once and return the bytes per second and node."""
    names = list(driver.members)[:7]
    driver.bytes = 0
    for name in names:
        driver.start(name, driver.data_centre_of(name), 2)
    driver.run(MEASURE_S / 4)
    return 2 * driver.bytes / (MEASURE_S / 4) / len(driver.members)


def measure(nodes: int, data_centres: int) -> MembershipCost:
    """Measure a fleet of one size."""
    driver = MembershipDriver(nodes, data_centres)
    driver.introduce_all()
    driver.run(WARM_UP_S)
    driver.datagrams = driver.bytes = 0
    started = process_time()
    driver.run(MEASURE_S)
    processor_s = process_time() - started
    share = 2 / MEASURE_S / nodes
    datagrams, size = driver.datagrams * share, driver.bytes * share
    false_deaths = sum(len(m.table.dead_since) for m in driver.members.values())
    stopped_name = list(driver.members)[-1]
    detected_first_s, detected_all_s = measure_detection(driver, stopped_name)
    restart_bytes_per_s = measure_restarts(driver)
    return MembershipCost(
        nodes,
        data_centres,
        round(datagrams, 2),
        round(size),
        round(100 * processor_s / MEASURE_S / nodes, 2),
        detected_first_s,
        detected_all_s,
        false_deaths,
        round(restart_bytes_per_s),
    )


def main() -> None:
    """Print a table of the cost for several fleet sizes."""
    print(" | ".join(MembershipCost._fields))
    for nodes, data_centres in SIZES:
        print(" | ".join(str(value) for value in measure(nodes, data_centres)))


if __name__ == "__main__":
    typer.run(main)
