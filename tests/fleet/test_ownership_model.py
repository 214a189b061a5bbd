"""Stateful model of ownership and leases with loss, delay and clock drift."""

from __future__ import annotations

from typing import Any, NamedTuple

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from sardinehook.fleet.lease import (
    CLOCK_RATE_MARGIN,
    MIN_LEASE_S,
    WORK_LIMIT_S,
    LeaseGrant,
    LeaseRegistry,
    LeaseRequest,
    NodeLease,
)
from sardinehook.fleet.node_allowance import node_allowance
from sardinehook.fleet.ownership_state import OwnershipState
from sardinehook.fleet.roster import (
    EMPTY_ROSTER,
    Roster,
    RosterMember,
    join,
    release,
)
from sardinehook.target.allowance import Allowance

NAMES = ("e1", "e2", "e3")
CURRENT_REGISTRAR = ""
REPLICAS = ("a", "b", "c")
SLOTS, CONNECTIONS = 3, 25
REGISTRAR_LEASE_S = 8.0
RATE_SPREAD = 0.9 * CLOCK_RATE_MARGIN
EXAMPLES = 400
STEPS = 30

nodes = st.sampled_from(NAMES)
replicas = st.sampled_from(REPLICAS)


class Released(NamedTuple):
    """Reports that a process uses only what it owns as of an epoch."""

    boot: int
    epoch: int


class Packet(NamedTuple):
    """A message that was sent and not yet delivered."""

    source: str
    target: str
    message: Roster | Released | LeaseRequest | LeaseGrant


class Work(NamedTuple):
    """A sub-query that runs at a replica until a point in true time."""

    replica: str
    until: float


class Node:
    """One process, with a clock of its own rate."""

    def __init__(self, name: str, boot: int, rate: float) -> None:
        self.name = name
        self.boot = boot
        self.rate = rate
        self.ownership = OwnershipState(name, boot)
        self.lease = NodeLease()
        self.registry = LeaseRegistry()
        self.store_lease = -1
        self.work_items: list[Work] = []
        self.leaving = False

    def clock(self, now: float) -> float:
        return now * self.rate

    def share(self, replica: str, now: float) -> Allowance:
        time = self.clock(now)
        share = node_allowance(
            self.ownership, self.lease, replica, SLOTS, CONNECTIONS, time
        )
        return Allowance(0, 0, False) if self.leaving else share

    def running(self, replica: str, now: float) -> int:
        return sum(w.replica == replica and w.until > now for w in self.work_items)

    def has_excess_work(self, now: float) -> bool:
        return any(self.running(r, now) > self.share(r, now).slots for r in REPLICAS)


class Fleet(RuleBasedStateMachine):
    """Three processes, the platform's store, and messages delivered in any order."""

    @initialize(rates=st.tuples(*[st.floats(-RATE_SPREAD, RATE_SPREAD)] * 3))
    def begin(self, rates: tuple[float, ...]) -> None:
        self.now = 100.0
        self.boots = 0
        self.store_up = True
        self.roster = EMPTY_ROSTER
        self.registrar = (-1, 0.0)
        self.packets: list[Packet] = []
        self.rates = dict(zip(NAMES, (1 + rate for rate in rates), strict=True))
        self.nodes: dict[str, Node] = {}
        for name in NAMES:
            self.boot(name)
        for name in NAMES:
            self.update_roster(name)
        for name in NAMES:
            self.tell_release(name)
        self.deliver_all()
        self.take_registrar_lease(NAMES[0])
        self.now += MIN_LEASE_S

    def boot(self, name: str) -> None:
        self.boots += 1
        node = self.nodes[name] = Node(name, self.boots, self.rates[name])
        member = RosterMember(name, node.boot, 0, 0.0, 0)
        self.roster = join(self.roster, member)

    def update_roster(self, name: str) -> None:
        self.nodes[name].ownership.set_roster(self.roster)

    @rule(seconds=st.sampled_from([0.05, 0.4, 0.9, 1.7, 2.9, 4.1]))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds

    @rule(up=st.sampled_from([True, True, False]))
    def turn_store(self, up: bool) -> None:
        self.store_up = up

    @rule(name=nodes)
    def read_roster(self, name: str) -> None:
        if not (self.store_up and name in self.nodes):
            return
        self.update_roster(name)

    @rule(name=nodes)
    def tell_roster(self, name: str) -> None:
        if name not in self.nodes:
            return
        self.broadcast(name, self.nodes[name].ownership.roster)

    @rule(name=nodes)
    def tell_release(self, name: str) -> None:
        if name not in self.nodes:
            return
        node = self.nodes[name]
        if not (not node.has_excess_work(self.now)):
            return
        self.broadcast(name, Released(node.boot, node.ownership.roster.epoch))

    @rule(name=nodes)
    def restart(self, name: str) -> None:
        if not (self.store_up):
            return
        self.now += WORK_LIMIT_S if name in self.nodes else 0.0
        self.boot(name)
        self.update_roster(name)

    @rule(name=nodes)
    def leave(self, name: str) -> None:
        if not (self.store_up and name in self.nodes):
            return
        node = self.nodes[name]
        node.leaving = True
        if not (all(node.running(r, self.now) == 0 for r in REPLICAS)):
            return
        self.roster = release(self.roster, name, node.boot)
        del self.nodes[name]

    @rule(name=nodes, by=nodes)
    def die_and_be_evicted(self, name: str, by: str) -> None:
        if not (self.store_up and name in self.nodes):
            return
        self.roster = release(self.roster, name, self.nodes.pop(name).boot)
        self.now += WORK_LIMIT_S
        if by in self.nodes:
            self.update_roster(by)

    @rule(name=nodes)
    def take_registrar_lease(self, name: str) -> None:
        if not (self.store_up and name in self.nodes):
            return
        node = self.nodes[name]
        held, until = self.registrar
        own_until = node.clock(self.now) + REGISTRAR_LEASE_S * (1 - CLOCK_RATE_MARGIN)
        if held == node.boot and until > self.now:
            node.registry.extend(own_until)
        elif until <= self.now:
            node.registry.begin(own_until, node.clock(self.now))
        else:
            return
        self.registrar = (node.boot, self.now + REGISTRAR_LEASE_S)

    @rule(name=nodes)
    def change_registrar(self, name: str) -> None:
        if self.store_up and name in self.nodes:
            self.now = max(self.now, self.registrar[1])
            self.take_registrar_lease(name)
            self.now += MIN_LEASE_S

    @rule(
        name=nodes,
        at=st.sampled_from([CURRENT_REGISTRAR] * 2 + list(NAMES)),
        replied=st.booleans(),
    )
    def renew_lease(self, name: str, at: str, replied: bool) -> None:
        if at == CURRENT_REGISTRAR:
            self.try_renewal(name, replied)
            return
        if name not in self.nodes or at not in self.nodes:
            return
        count = len(self.packets)
        self.ask_lease(name, at)
        if len(self.packets) == count:
            return
        self.receive(self.nodes[at], self.packets.pop())
        if len(self.packets) > count and replied:
            granted = self.packets.pop()
            self.receive(self.nodes[name], granted)

    @rule(silent=st.sets(nodes, min_size=1, max_size=2), lost=st.booleans())
    def renew_all_but(self, silent: set[str], lost: bool) -> None:
        for _ in range(4):
            self.now += MIN_LEASE_S / 3
            for name in sorted(self.nodes):
                held = self.nodes[name].boot == self.registrar[0]
                if held and self.store_up:
                    self.take_registrar_lease(name)
            for name in sorted(set(self.nodes) - silent):
                self.try_renewal(name, replied=True)
        for name in sorted(set(self.nodes) - silent):
            self.try_renewal(name, replied=not lost)

    def try_renewal(self, name: str, replied: bool) -> None:
        for node in list(self.nodes.values()):
            if node.boot == self.registrar[0]:
                self.renew_lease(name, node.name, replied)

    @rule(name=nodes, registrar=nodes)
    def ask_lease(self, name: str, registrar: str) -> None:
        if name not in self.nodes:
            return
        node = self.nodes[name]
        if node.ownership.roster.epoch != node.lease.epoch:
            node.lease.relinquish()
            if not (not node.has_excess_work(self.now)):
                return
        request = node.lease.new_request(
            node.boot, node.ownership.roster.epoch, node.clock(self.now)
        )
        self.packets.append(Packet(name, registrar, request))

    @rule(data=st.data(), again=st.booleans())
    def deliver(self, data: Any, again: bool) -> None:
        if not (self.packets):
            return
        number = data.draw(st.integers(0, len(self.packets) - 1))
        packet = self.packets[number]
        if not again:
            del self.packets[number]
        node = self.nodes.get(packet.target)
        if node is not None:
            self.receive(node, packet)

    @rule()
    def deliver_all(self) -> None:
        packets, self.packets = self.packets, []
        for packet in packets:
            node = self.nodes.get(packet.target)
            if node is not None:
                self.receive(node, packet)

    @rule()
    def lose_all(self) -> None:
        self.packets.clear()

    @rule(name=nodes, replica=replicas)
    def work(self, name: str, replica: str) -> None:
        if name not in self.nodes:
            return
        node = self.nodes[name]
        if node.running(replica, self.now) < node.share(replica, self.now).slots:
            until = self.now + WORK_LIMIT_S * (1 - 2 * CLOCK_RATE_MARGIN)
            node.work_items.append(Work(replica, until))

    def broadcast(self, source: str, message: Roster | Released) -> None:
        for target in NAMES:
            if target != source:
                self.packets.append(Packet(source, target, message))

    def receive(self, node: Node, packet: Packet) -> None:
        match packet.message:
            case Roster() as roster:
                node.ownership.set_roster(roster)
            case Released(boot, epoch):
                node.ownership.note_released(packet.source, boot, epoch)
            case LeaseGrant() as grant:
                node.lease.apply_grant(grant)
            case LeaseRequest() as request:
                roster = node.ownership.roster
                granted = node.registry.request(
                    packet.source,
                    request,
                    roster.names,
                    roster.epoch,
                    node.clock(self.now),
                )
                if granted is not None:
                    self.packets.append(Packet(node.name, packet.source, granted))

    @invariant()
    def no_replica_exceeds_its_capacity(self) -> None:
        for replica in REPLICAS:
            running = [n.running(replica, self.now) for n in self.nodes.values()]
            shares = [n.share(replica, self.now) for n in self.nodes.values()]
            assert sum(running) <= SLOTS, f"{running} at {replica}"
            assert sum(share.slots for share in shares) <= SLOTS
            assert sum(share.connections for share in shares) <= CONNECTIONS
            assert sum(share.may_serve_cold for share in shares) <= 1


def check_model() -> None:
    run_state_machine_as_test(
        Fleet,
        settings=settings(max_examples=EXAMPLES, stateful_step_count=STEPS),
    )


class TestModel:
    def test_no_replica_exceeds_its_capacity(self) -> None:
        check_model()


def started() -> Fleet:
    fleet = Fleet()
    fleet.begin(rates=(0.0, 0.0, 0.0))
    return fleet


def take_over_after_death(name: str) -> None:
    fleet = started()
    for other in NAMES:
        fleet.die_and_be_evicted(name=name, by=other)
        fleet.read_roster(name=other)
    fleet.restart(name=name)
    fleet.no_replica_exceeds_its_capacity()


def lose_the_grant_that_ends_a_deputy() -> None:
    fleet = started()
    fleet.renew_all_but(silent={"e2", "e3"}, lost=False)
    fleet.renew_lease(name="e2", at=CURRENT_REGISTRAR, replied=True)
    fleet.no_replica_exceeds_its_capacity()
    fleet.renew_lease(name="e1", at=CURRENT_REGISTRAR, replied=False)
    fleet.renew_lease(name="e2", at=CURRENT_REGISTRAR, replied=True)
    fleet.no_replica_exceeds_its_capacity()


def request_from_the_previous_registrar() -> None:
    fleet = started()
    fleet.change_registrar(name="e2")
    fleet.renew_lease(name="e3", at="e1", replied=True)
    for name in ("e1", "e2"):
        fleet.renew_lease(name=name, at=CURRENT_REGISTRAR, replied=True)
    fleet.no_replica_exceeds_its_capacity()


class TestModelFindsBrokenRules:
    """Each schedule passes, and exceeds the capacity with one rule disabled."""

    def test_use_before_release(self, monkeypatch: Any) -> None:
        for name in NAMES:
            take_over_after_death(name)
        monkeypatch.setattr(OwnershipState, "usable", OwnershipState.owns)
        with pytest.raises(AssertionError):
            for name in NAMES:
                take_over_after_death(name)

    def test_dropping_leases_with_a_lost_successor(self, monkeypatch: Any) -> None:
        lose_the_grant_that_ends_a_deputy()
        request = LeaseRegistry.request

        def dropping(self: LeaseRegistry, name: str, *rest: Any) -> LeaseGrant | None:
            self.grants = [grant for grant in self.grants if grant.name != name]
            return request(self, name, *rest)

        monkeypatch.setattr(LeaseRegistry, "request", dropping)
        with pytest.raises(AssertionError):
            lose_the_grant_that_ends_a_deputy()

    def test_leases_outlasting_the_registrars(self, monkeypatch: Any) -> None:
        request_from_the_previous_registrar()
        begin = LeaseRegistry.begin

        def extended(self: LeaseRegistry, own_until: float, now: float) -> None:
            begin(self, own_until + 100.0, now)

        monkeypatch.setattr(LeaseRegistry, "begin", extended)
        with pytest.raises(AssertionError):
            request_from_the_previous_registrar()

    def test_granting_despite_conflicting_leases(self, monkeypatch: Any) -> None:
        monkeypatch.setattr(LeaseRegistry, "may_grant", lambda *arguments: True)
        with pytest.raises(AssertionError):
            lose_the_grant_that_ends_a_deputy()
