"""Tests of the registrar election against the simulated platform."""

from __future__ import annotations

from bench.platform_faults import Outage
from sardinehook.fleet.lease import LeaseRequest
from sardinehook.fleet.registrar import RegistrarElection, registrar_key
from tests.fleet.support import reactor
from tests.store.platform_case import PlatformCase

DATA_CENTRE = "szolnok-b"
MEMBERS = ("e1", "e2")


class TestRegistrar(PlatformCase):
    def election(self, name: str, boot: int) -> RegistrarElection:
        return RegistrarElection(
            reactor, self.store, DATA_CENTRE, name, boot, lambda: None
        )

    async def test_only_one_node_is_registrar(self) -> None:
        first, second = self.election("e1", 1), self.election("e2", 2)
        await first.step(2)
        await second.step(2)
        assert first.active and not second.active
        assert second.registrar_name == "e1"
        assert len(self.platform.store.leases) == 1

    async def test_creation_with_a_lost_reply_succeeds(self) -> None:
        election = self.election("e1", 1)
        self.platform.control({"lose_replies": 1, "lose_replies_prefix": "registrar/"})
        await election.step(2)
        assert election.active

    async def test_lost_lease_stops_all_grants(self) -> None:
        election = self.election("e1", 1)
        await election.step(2)
        await self.store.revoke_lease(election.lease)
        await election.step(2)
        assert not election.active
        request = LeaseRequest(1, 2, 1, 0)
        now = reactor.seconds()
        assert election.registry.request("e2", request, MEMBERS, 1, now) is None

    async def test_outage_does_not_extend_the_lease(self) -> None:
        election = self.election("e1", 1)
        await election.step(2)
        self.platform.control({"outage": Outage.CUT})
        until = election.registry.own_until
        await election.step(2)
        assert election.active and election.registry.own_until == until

    async def test_leaving_registrar_releases_its_key(self) -> None:
        election = self.election("e1", 1)
        await election.step(2)
        await election.leave()
        assert (await self.store.get(registrar_key(DATA_CENTRE))).unwrap() is None
