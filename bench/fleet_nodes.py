"""Runs the fleet service of several nodes in one process, on loopback."""

from __future__ import annotations

from typing import Any

from twisted.internet import reactor as global_reactor
from twisted.internet.task import deferLater

from sardinehook.environment.document import Index, Replica
from sardinehook.fleet.link import Links
from sardinehook.fleet.member import Member
from sardinehook.fleet.service import Fleet, Identity
from sardinehook.store.http_store import HttpStore
from sardinehook.store.vm_list import HttpVmList

__all__ = ["DATA_CENTRE", "INDEX", "REPLICAS", "SLOTS", "FleetNode"]

reactor: Any = global_reactor

DATA_CENTRE = "szolnok-b"
SLOTS = 2
CONNECTIONS = 25
REPLICAS = [Replica(f"counters-{n}", DATA_CENTRE, "127.0.0.1:9") for n in range(30)]
INDEX = Index(SLOTS, CONNECTIONS, 6.0, {"counters": REPLICAS})
STORE_TIMEOUT_MS = 300
CLOSE_DELAY_S = 0.02


class FleetNode:
    """The fleet service of one node with its links and platform clients.

    ``in_flight`` holds the number of sub-queries in flight for each replica.
    """

    def __init__(self, name: str, boot: int, platform: str, seeds: list[str]) -> None:
        self.in_flight: dict[str, int] = {}
        self.links = Links(reactor, name, "127.0.0.1:0")
        self.links.listen()
        self.store = HttpStore(reactor, platform, STORE_TIMEOUT_MS)
        self.vm_list = HttpVmList(reactor, platform, STORE_TIMEOUT_MS)
        member = Member(name, DATA_CENTRE, self.links.address, "127.0.0.1:1", boot)
        self.fleet = Fleet(
            reactor,
            Identity("trial", member, boot, 0),
            self.links,
            self.store,
            self.vm_list,
            seeds,
            lambda replica: self.in_flight.get(replica, 0),
        )
        self.fleet.start()

    def slots(self) -> dict[str, int]:
        """Return the non-zero slot allowances of this node, by replica."""
        shares = {r.name: self.fleet.allowance(r, INDEX).slots for r in REPLICAS}
        return {name: slots for name, slots in shares.items() if slots}

    async def close(self) -> None:
        """Stop the fleet and close all connections."""
        await self.fleet.stop()
        await deferLater(reactor, CLOSE_DELAY_S)
        await self.links.close()
        await self.store.close()
        await self.vm_list.close()
