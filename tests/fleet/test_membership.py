"""Tests of membership under loss, pauses, restarts and partitions (fake clock)."""

from __future__ import annotations

from bench.membership_cost import MembershipDriver, measure_detection
from sardinehook.fleet.datagram import (
    DATAGRAM_LIMIT_BYTES,
    DatagramKind,
    decode_datagram,
    encode_datagram,
)
from sardinehook.fleet.member import Member, MemberState

CONTROL_BUDGET_BYTES_PER_S = 3000


def started(nodes: int = 9, data_centres: int = 3) -> MembershipDriver:
    driver = MembershipDriver(nodes, data_centres)
    driver.run(40.0)
    return driver


def deaths(driver: MembershipDriver) -> int:
    return sum(len(member.table.dead_since) for member in driver.members.values())


class TestJoining:
    def test_all_members_are_discovered_from_one_seed(self) -> None:
        driver = started(60)
        driver.run(60.0)
        for member in driver.members.values():
            known = member.table.members.values()
            assert len(known) == 60
            assert {other.state for other in known} == {MemberState.ALIVE}

    def test_isolated_pair_discovers_the_other_members(self) -> None:
        driver = MembershipDriver(6, 3)
        addresses = set(driver.addresses)
        for member in driver.members.values():
            member.seeds = addresses - {member.local_member.link_address}
        first = {"centre-1-entry-4", "centre-2-entry-5"}
        driver.is_lost = lambda source, target: (source in first) != (target in first)
        driver.run(4.0)
        assert driver.members["centre-1-entry-4"].size == 2
        driver.is_lost = lambda source, target: False
        driver.run(10.0)
        assert {member.size for member in driver.members.values()} == {6}


class TestDeath:
    def test_dead_member_is_detected_within_seconds(self) -> None:
        driver = started()
        _, everyone = measure_detection(driver, "centre-1-entry-4")
        assert everyone < 10.0

    def test_lost_link_speeds_up_suspicion(self) -> None:
        driver = started()
        victim, peer = "centre-1-entry-4", driver.members["centre-1-entry-1"]
        driver.stopped.add(victim)
        peer.handle_link_lost(victim)
        driver.run(2.2)
        assert driver.view(peer.local_member.name, victim) is MemberState.SUSPECT

    def test_leaving_member_is_announced_not_suspected(self) -> None:
        driver = started()
        leaver = driver.members["centre-1-entry-4"]
        driver.send(leaver.local_member.name, leaver.leave())
        driver.run(1.0)
        assert (
            driver.view("centre-1-entry-1", leaver.local_member.name)
            is MemberState.LEAVING
        )


class TestPause:
    def test_resumed_member_refutes_and_declares_nobody_dead(self) -> None:
        driver = started()
        name = "centre-2-entry-2"
        driver.paused.add(name)
        driver.run(30.0)
        assert driver.view("centre-2-entry-5", name) is MemberState.DEAD
        before = driver.members[name].local_member.incarnation
        driver.paused.discard(name)
        driver.run(15.0)
        assert driver.members[name].local_member.incarnation > before
        assert driver.view("centre-2-entry-5", name) is MemberState.ALIVE
        assert not driver.members[name].table.dead_since


class TestLoss:
    def test_one_way_loss_to_one_peer_causes_no_death(self) -> None:
        driver = started()
        route = ("centre-0-entry-0", "centre-0-entry-3")
        driver.is_lost = lambda source, target: (source, target) == route
        driver.run(60.0)
        assert deaths(driver) == 0

    def test_loss_of_a_fifth_of_datagrams_causes_no_death(self) -> None:
        driver = started()
        random = driver.members["centre-0-entry-0"].random
        driver.is_lost = lambda source, target: random.random() < 0.2
        driver.run(120.0)
        assert deaths(driver) == 0

    def test_flapping_member_recovers(self) -> None:
        driver = started()
        name, peer = "centre-0-entry-6", driver.members["centre-0-entry-3"]
        for _ in range(4):
            driver.paused.add(name)
            driver.run(4.0)
            driver.paused.discard(name)
            driver.run(4.0)
        assert driver.view(peer.local_member.name, name) is MemberState.ALIVE


class TestRestart:
    def test_restart_at_the_same_address_supersedes_the_old_record(self) -> None:
        driver = started()
        names = list(driver.members)[:7]
        for name in names:
            driver.start(name, driver.data_centre_of(name), 2)
        driver.run(30.0)
        for member in driver.members.values():
            incarnations = [member.table.members[name].incarnation for name in names]
            assert min(incarnations) >= 2

    def test_restart_with_a_lower_incarnation_recovers(self) -> None:
        # A clock that stepped back gives the new process a lower incarnation.
        driver = started()
        name = "centre-0-entry-3"
        driver.start(name, "centre-0", 0)
        driver.run(30.0)
        assert driver.members[name].local_member.incarnation > 1
        assert driver.view("centre-0-entry-6", name) is MemberState.ALIVE


class TestPartition:
    def test_partition_causes_no_deaths_and_heals_with_little_traffic(self) -> None:
        driver = started()
        driver.is_lost = lambda a, b: (
            (driver.data_centre_of(a) == "centre-1")
            != (driver.data_centre_of(b) == "centre-1")
        )
        driver.run(600.0)
        assert deaths(driver) == 0
        member = driver.members["centre-0-entry-0"]
        assert driver.now - member.last_heard_at["centre-1"] > 590.0
        restarted = "centre-1-entry-4"
        driver.start(restarted, "centre-1", 9)
        driver.run(10.0)
        driver.is_lost = lambda a, b: False
        driver.bytes = 0
        driver.run(60.0)
        assert driver.members["centre-0-entry-0"].table.members[
            restarted
        ].incarnation == (9)
        assert 2 * driver.bytes / 60.0 / 9 < CONTROL_BUDGET_BYTES_PER_S / 2


class TestDatagrams:
    def test_size_is_bounded_and_malformed_data_is_rejected(self) -> None:
        driver = started(60)
        member = driver.members["centre-0-entry-0"]
        reader = Member("centre-0-entry-99", "centre-0", "10.9.9.9:1", "10.9.9.9:2")
        datagram = driver.members["centre-0-entry-0"].build_datagram(
            reader.link_address, reader, DatagramKind.PING, 1
        )[1]
        many = datagram._replace(updates=tuple(member.table.members.values()))
        data = encode_datagram(many)
        assert len(data) <= DATAGRAM_LIMIT_BYTES
        assert decode_datagram(data, datagram.fleet) is not None
        assert decode_datagram(data, datagram.fleet + 1) is None
        assert decode_datagram(data[:-1], datagram.fleet) is None
        assert decode_datagram(b"\xff" * 40, datagram.fleet) is None
