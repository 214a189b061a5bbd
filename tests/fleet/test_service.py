"""Tests of complete fleets on loopback with the simulated platform."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.defer import Deferred

from bench.fleet_nodes import INDEX, REPLICAS, SLOTS, FleetNode
from bench.platform_faults import Outage
from sardinehook.environment.document import Replica
from sardinehook.fleet.ownership import NOTHING
from tests.fleet.support import run_turns, wait_until
from tests.store.platform_case import PlatformCase


class FleetCase(PlatformCase):
    """Starts fleet nodes and closes them at the end of a test."""

    def setUp(self) -> None:
        super().setUp()
        self.nodes: list[FleetNode] = []

    def start(self, count: int) -> None:
        for _ in range(count):
            number = len(self.nodes) + 1
            seeds = [node.links.address for node in self.nodes[:1]]
            node = FleetNode(f"e{number}", number, self.address, seeds)
            self.nodes.append(node)

    def served(self) -> bool:
        return all(
            sum(node.slots().get(replica.name, 0) for node in self.nodes) >= 1
            for replica in REPLICAS
        )

    def check_capacity(self) -> None:
        for replica in REPLICAS:
            shares = [node.fleet.allowance(replica, INDEX) for node in self.nodes]
            assert sum(share.slots for share in shares) <= SLOTS
            assert sum(share.connections for share in shares) <= INDEX.connections
            assert sum(share.may_serve_cold for share in shares) <= 1

    async def wait_within_capacity(self, condition: Callable[[], bool]) -> None:
        def checked() -> bool:
            self.check_capacity()
            return condition()

        await wait_until(checked)

    async def close(self) -> None:
        for node in self.nodes:
            await node.close()
        await super().close()


class TestOwnership(FleetCase):
    async def test_joining_nodes_divide_the_replicas(self) -> None:
        self.start(3)
        await self.wait_within_capacity(
            lambda: self.served() and all(node.slots() for node in self.nodes)
        )
        await self.wait_within_capacity(
            lambda: all(
                len({node.fleet.owner_of(replica) for node in self.nodes}) == 1
                for replica in REPLICAS
            )
        )

    async def test_leaving_node_hands_over_after_its_work_ended(self) -> None:
        self.start(2)
        await self.wait_within_capacity(
            lambda: all(node.slots() for node in self.nodes)
        )
        leaver, other = self.nodes
        held = next(iter(leaver.slots()))
        leaver.in_flight[held] = 1
        left = Deferred.fromCoroutine(leaver.fleet.leave(limit_s=5.0))
        await run_turns(100)
        assert leaver.slots() == {} and held not in other.slots()
        leaver.in_flight.clear()
        await left
        await self.wait_within_capacity(lambda: len(other.slots()) == len(REPLICAS))

    async def test_joiner_waits_for_the_work_of_the_previous_owner(self) -> None:
        self.start(1)
        first = self.nodes[0]
        await self.wait_within_capacity(lambda: len(first.slots()) == len(REPLICAS))
        first.in_flight = {replica.name: 1 for replica in REPLICAS}
        self.start(1)
        second = self.nodes[1]
        await self.wait_within_capacity(lambda: len(first.slots()) < len(REPLICAS))
        await run_turns(100)
        assert second.slots() == {}
        first.in_flight.clear()
        await self.wait_within_capacity(self.served)
        assert second.slots()


class TestStoreOutage(FleetCase):
    async def test_owners_keep_serving_and_joiners_own_nothing(self) -> None:
        self.start(2)
        await self.wait_within_capacity(
            lambda: all(node.slots() for node in self.nodes)
        )
        held = [node.slots().keys() for node in self.nodes]
        self.platform.control({"outage": Outage.CUT})
        self.start(1)
        await self.wait_within_capacity(lambda: self.nodes[2].links.connected("e1"))
        await run_turns(100)
        assert [node.slots().keys() for node in self.nodes[:2]] == held
        assert self.nodes[2].slots() == {}
        self.platform.control({"outage": Outage.NONE})
        await self.wait_within_capacity(lambda: self.nodes[2].slots() != {})


class TestLeases(FleetCase):
    async def test_leases_allow_the_leased_part(self) -> None:
        self.start(2)

        def fully_leased() -> bool:
            slots = [count for node in self.nodes for count in node.slots().values()]
            return len(slots) == len(REPLICAS) and set(slots) == {SLOTS}

        await self.wait_within_capacity(fully_leased)
        foreign = Replica("counters-0", "bekes-c", "127.0.0.1:9")
        assert self.nodes[0].fleet.allowance(foreign, INDEX) == NOTHING


class TestLeaseLapse(FleetCase):
    async def test_lease_lapse_is_seen_before_any_timer_runs(self) -> None:
        self.start(1)
        fleet = self.nodes[0].fleet
        await self.wait_within_capacity(
            lambda: set(self.nodes[0].slots().values()) == {SLOTS}
        )
        assert not fleet.lease_changed()
        fleet.leases.lease.until = float("-inf")
        assert fleet.lease_changed()
        assert set(self.nodes[0].slots().values()) == {SLOTS - 1}
