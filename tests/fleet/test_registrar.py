"""Tests of the registrar against the stand-in platform."""

from __future__ import annotations

from bench.platform_faults import Outage
from sardinehook.fleet.lease import LeaseRequest
from sardinehook.fleet.registrar import RegistrarDesk, registrar_key
from tests.fleet.support import reactor
from tests.store.platform_case import PlatformCase

PLACE = "szolnok-b"
MEMBERS = ("e1", "e2")


class TestRegistrar(PlatformCase):
    def desk(self, name: str, boot: int) -> RegistrarDesk:
        return RegistrarDesk(reactor, self.store, PLACE, name, boot, lambda: None)

    async def test_only_one_node_is_registrar(self) -> None:
        first, second = self.desk("e1", 1), self.desk("e2", 2)
        await first.step(2)
        await second.step(2)
        assert first.active and not second.active
        assert second.registrar == "e1"
        assert len(self.platform.store.leases) == 1

    async def test_creation_whose_reply_was_lost_is_taken_up(self) -> None:
        desk = self.desk("e1", 1)
        self.platform.control({"lose_replies": 1, "lose_replies_prefix": "registrar/"})
        await desk.step(2)
        assert desk.active

    async def test_lost_lease_ends_all_grants(self) -> None:
        desk = self.desk("e1", 1)
        await desk.step(2)
        await self.store.revoke_lease(desk.lease)
        await desk.step(2)
        assert not desk.active
        request = LeaseRequest(1, 2, 1, 0)
        now = reactor.seconds()
        assert desk.registry.request("e2", request, MEMBERS, 1, now) is None

    async def test_outage_ends_the_registrar_with_its_lease(self) -> None:
        desk = self.desk("e1", 1)
        await desk.step(2)
        self.platform.control({"outage": Outage.CUT})
        until = desk.registry.own_until
        await desk.step(2)
        assert desk.active and desk.registry.own_until == until

    async def test_leaving_registrar_makes_room(self) -> None:
        desk = self.desk("e1", 1)
        await desk.step(2)
        await desk.leave()
        assert (await self.store.get(registrar_key(PLACE))).unwrap() is None
