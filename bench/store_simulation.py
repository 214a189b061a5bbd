"""A store, and gateways that follow it, on a simulated clock."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from ipaddress import IPv4Address
from random import Random
from typing import Any
from zlib import crc32

import msgspec
from returns.result import Failure, Result, Success
from twisted.internet.testing import MemoryReactorClock

from sardinehook.gateway.answer import CallerAnswer
from sardinehook.gateway.directory import Directory
from sardinehook.gateway.fleet import GATEWAY_PREFIX, GatewayFleet, GatewayRecord
from sardinehook.gateway.follower import StoreFollower
from sardinehook.gateway.peers import read_update
from sardinehook.gateway.reactor import GatewayReactor
from sardinehook.gateway.relay import changes_query
from sardinehook.gateway.settings import Bounds
from sardinehook.gateway.store import (
    Changes,
    Conflict,
    Item,
    LeaseGone,
    StoreProblem,
    Write,
)
from sardinehook.gateway.store_state import StoreState
from sardinehook.gateway.watch_cache import StateUpdate
from sardinehook.platform.discovery import PlatformKeys
from sardinehook.platform.kv_store import CALL_TIMEOUT_S
from sardinehook.store.port import StoreUnavailable
from sardinehook.transport.connection import Reply
from sardinehook.transport.tasks import Promise

__all__ = ["FleetSimulation", "SimulatedGateway", "SimulatedStore", "run_outages"]

ANSWER_S = 0.004
LEASE_TTL_S = 8.0
TICK_S = 0.05
STABLE_S = 4.0  # after an outage, from when on the bounds hold
OUTAGES = 2
BOUNDS = Bounds(drain_s=3.0, configuration_s=3.0, evacuation_s=5.0)
MAX_EVENTS = 5  # restarts and lapses in one outage


class SimulatedStore:
    """A store with watches and leases; while ``silent``, calls are lost for good.

    An answer that falls due while the store is silent is lost as well. A call that is
    lost stays lost after the store answers again.
    """

    def __init__(self, reactor: GatewayReactor) -> None:
        self.reactor = reactor
        self.items: dict[str, Item] = {}
        self.events: list[Item] = []
        self.revision = 0
        self.silent = False
        self.leases: dict[int, float] = {}
        self.watches: dict[Call, int] = {}
        self.calls = 0

    def write(self, key: str, value: bytes | None) -> int:
        """Write or delete a key, and answer the watches."""
        self.revision += 1
        return self.change(key, value)

    def change(self, key: str, value: bytes | None) -> int:
        """Change a key at the present revision, and answer the watches."""
        item = Item(key, value, self.revision)
        self.events.append(item)
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = item
        for call, after in list(self.watches.items()):
            self.answer_watch(call, after)
        return self.revision

    def write_if(self, writes: Sequence[Write]) -> int | Conflict:
        """Write keys if all are at their expected revisions."""
        held = {one.key: self.items.get(one.key) for one in writes}
        for one in writes:
            item = held[one.key]
            if one.expected_revision != (item.revision if item else 0):
                return Conflict(tuple(item for item in held.values() if item))
        self.revision += 1
        for one in writes:
            self.change(one.key, one.value)
        return self.revision

    def answer_watch(self, call: Call, after: int, ended: bool = False) -> None:
        """Answer a pending watch if it has events or its wait has ended."""
        events = tuple(item for item in self.events if item.revision > after)
        if call in self.watches and (events or ended):
            del self.watches[call]
            self.answer(call, Success(Changes(events, self.revision)))

    def answer(self, call: Call, result: Result[object, StoreProblem]) -> None:
        """Answer a call shortly, unless the store is silent by then."""
        self.reactor.callLater(ANSWER_S, self.deliver, call, result)

    def deliver(self, call: Call, result: Result[object, StoreProblem]) -> None:
        """Deliver an answer; one that is due while the store is silent is lost."""
        if not self.silent:
            call.finish(result)

    def expire_leases(self) -> None:
        """Expire leases that were not renewed."""
        now = self.reactor.seconds()
        for lease in [one for one, until in self.leases.items() if until < now]:
            del self.leases[lease]


class Call:
    """One call of a gateway to the store, which fails after its timeout."""

    def __init__(self, client: StoreClient, timeout_s: float) -> None:
        self.client = client
        self.done: Promise[Result[object, StoreProblem]] = Promise()
        self.timer: Any = client.store.reactor.callLater(
            timeout_s, self.fail, "no answer before the timeout"
        )
        client.pending.append(self)

    def fail(self, detail: str) -> None:
        """End the call without an answer."""
        self.client.store.watches.pop(self, None)
        self.finish(Failure(StoreUnavailable(detail, True)))

    def finish(self, result: Result[object, StoreProblem]) -> None:
        """End the call, once; a killed gateway notices nothing."""
        if self in self.client.pending:
            self.client.pending.remove(self)
            if self.timer.active():
                self.timer.cancel()
            if not self.client.killed:
                self.done.resolve(result)


class StoreClient:
    """The store as one gateway sees it."""

    def __init__(self, store: SimulatedStore) -> None:
        self.store = store
        self.pending: list[Call] = []
        self.killed = False
        self.dropped = 0
        self.on_era: Callable[[int], object] = lambda _era: None

    async def call(
        self,
        serve: Callable[[Call], None],
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Result[object, StoreProblem]:
        """Send a call, which a silent store never sees."""
        call = Call(self, timeout_s)
        self.store.calls += 1
        if not self.store.silent:
            serve(call)
        return await call.done

    async def read_all(self, prefix: str) -> Result[Changes, StoreProblem]:
        """List all keys."""
        store = self.store

        def serve(call: Call) -> None:
            listing = Changes(tuple(store.items.values()), store.revision)
            store.answer(call, Success(listing))

        return as_changes(await self.call(serve))

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> Result[Changes, StoreProblem]:
        """Wait for changes."""
        store = self.store

        def serve(call: Call) -> None:
            store.watches[call] = after
            store.answer_watch(call, after)
            store.reactor.callLater(wait_s, store.answer_watch, call, after, True)

        return as_changes(await self.call(serve, wait_s + CALL_TIMEOUT_S))

    async def put(
        self, key: str, value: bytes, lease: int
    ) -> Result[int, StoreProblem]:
        """Write a key."""

        def serve(call: Call) -> None:
            self.store.answer(call, Success(self.store.write(key, value)))

        return (await self.call(serve)).map(lambda _: self.store.revision)

    async def write_if(
        self, writes: Sequence[Write]
    ) -> Result[int, StoreProblem | Conflict]:
        """Write keys if all are at their expected revisions."""
        store = self.store

        def serve(call: Call) -> None:
            store.answer(call, Success(store.write_if(writes)))

        match await self.call(serve):
            case Success(Conflict() as conflict):
                return Failure(conflict)
            case Success(int(revision)):
                return Success(revision)
            case Failure(problem):
                return Failure(problem)
        raise AssertionError("a write returns a revision or a conflict")

    async def grant_lease(self, ttl_s: float) -> Result[int, StoreProblem]:
        """Grant a lease."""
        number = len(self.store.leases) + 1000 * self.store.calls

        def serve(call: Call) -> None:
            self.store.leases[number] = self.store.reactor.seconds() + ttl_s
            self.store.answer(call, Success(number))

        return (await self.call(serve)).map(lambda _: number)

    async def renew_lease(self, lease: int) -> Result[None, StoreProblem]:
        """Renew a lease, unless it has expired."""

        def serve(call: Call) -> None:
            self.store.expire_leases()
            known = lease in self.store.leases
            if known:
                self.store.leases[lease] = self.store.reactor.seconds() + LEASE_TTL_S
            self.store.answer(call, Success(None) if known else Failure(LeaseGone()))

        return (await self.call(serve)).map(lambda _: None)

    async def end_lease(self, lease: int) -> Result[None, StoreProblem]:
        """End a lease."""
        self.store.leases.pop(lease, None)
        return Success(None)

    def drop_connections(self) -> None:
        """Fail all pending calls."""
        self.dropped += 1
        for call in list(self.pending):
            call.fail("connection closed by the gateway")


def as_changes(
    result: Result[object, StoreProblem],
) -> Result[Changes, StoreProblem]:
    """Narrow the type of an answer."""

    def narrow(changes: object) -> Changes:
        assert isinstance(changes, Changes)
        return changes

    return result.map(narrow)


class SimulatedPeers:
    """Calls between gateways, each answered by the relay of its follower."""

    def __init__(self) -> None:
        self.gateways: dict[str, SimulatedGateway] = {}

    async def fetch_from_any(
        self, addresses: Collection[str], after: int | None
    ) -> Result[StateUpdate, str]:
        """Call the first gateway that runs."""
        for address in addresses:
            if address in self.gateways:
                return await self.fetch(address, after, 0.0)
        return Failure("no peer gateway is known")

    async def fetch(
        self, address: str, after: int | None, wait_s: float
    ) -> Result[StateUpdate, str]:
        """Call one gateway."""
        gateway = self.gateways.get(address)
        if gateway is None:
            return Failure("connection refused")
        answered: Promise[CallerAnswer] = Promise()
        query = changes_query(after, wait_s).partition(b"?")[2]
        gateway.follower.relay.answer(query, answered.resolve)
        answer = await answered
        headers = tuple((name.lower(), value) for name, value in answer.headers)
        return read_update(Reply(answer.status, headers, answer.body))


class SimulatedGateway:
    """The parts of a gateway that follow the store."""

    def __init__(self, fleet: FleetSimulation, name: str, data_centre: str) -> None:
        reactor = fleet.reactor
        self.name = name
        self.data_centre = data_centre
        self.store = StoreClient(fleet.store)
        self.directory = Directory(reactor, fleet.bounds.drain_s)
        self.versions: list[int] = []
        record = GatewayRecord(peer_address(name), data_centre)
        self.fleet = GatewayFleet(reactor, self.store, name, record, ignore_names)
        state = StoreState(
            reactor,
            PlatformKeys(),
            self.directory,
            self.fleet,
            lambda configuration: self.versions.append(configuration.version),
        )
        self.follower = StoreFollower(
            reactor,
            self.store,
            fleet.peers,
            state,
            self.fleet,
            Random(name + str(fleet.rng.random())),
        )
        self.follower.configure(fleet.bounds)
        self.follower.seeds = tuple(fleet.seeds)
        self.fleet.on_recovery = self.store.drop_connections
        fleet.peers.gateways[peer_address(name)] = self
        self.follower.start()
        self.fleet.start()

    def kill(self) -> None:
        """End the gateway as by SIGKILL."""
        self.store.killed = True
        self.follower.running = self.fleet.running = False

    @property
    def version(self) -> int:
        """The version in force, -1 for none."""
        return self.versions[-1] if self.versions else -1


class FleetSimulation:
    """Gateways of several data centres with one store."""

    def __init__(
        self, sizes: dict[str, int], seed: int = 1, bounds: Bounds = BOUNDS
    ) -> None:
        self.reactor = MemoryReactorClock()
        self.rng = Random(seed)
        self.bounds = bounds
        self.store = SimulatedStore(self.reactor)
        self.peers = SimulatedPeers()
        names = [(f"{dc}-{n}", dc) for dc, size in sizes.items() for n in range(size)]
        self.seeds = [peer_address(name) for name, _ in names[:3]]
        self.last_version = 0
        self.change()
        self.gateways = {
            name: SimulatedGateway(self, name, data_centre)
            for name, data_centre in names
        }

    def change(self) -> int:
        """Write the next version of the configuration."""
        self.last_version += 1
        configuration = {"Version": self.last_version, "Routes": [], "Services": []}
        self.store.write("op/config", msgspec.json.encode(configuration))
        return self.last_version

    def restart(self, *names: str) -> None:
        """Kill gateways and start them again at once."""
        for name in names:
            self.gateways[name].kill()
            self.peers.gateways.pop(peer_address(name))
        for name in names:
            data_centre = self.gateways[name].data_centre
            self.gateways[name] = SimulatedGateway(self, name, data_centre)

    def lapse_leases(self) -> None:
        """Expire all leases; the keys of gateways go."""
        self.store.leases.clear()
        for key in [key for key in self.store.items if key.startswith(GATEWAY_PREFIX)]:
            self.store.write(key, None)

    def lose_watches(self, *names: str) -> None:
        """Lose the pending watches of gateways: they never get an answer."""
        for call in list(self.store.watches):
            if call.client in [self.gateways[name].store for name in names]:
                del self.store.watches[call]

    def pass_time(self, seconds: float) -> None:
        """Advance the clock in small steps."""
        self.reactor.pump([TICK_S] * round(seconds / TICK_S))

    def behind(self) -> list[str]:
        """Return the gateways that do not have the last version in force."""
        return [
            name
            for name, gateway in self.gateways.items()
            if gateway.version != self.last_version
        ]


def ignore_names(names: frozenset[str]) -> None:
    """Ignore the names of the gateways."""


def peer_address(node: str) -> str:
    """Return the address for calls to a simulated gateway."""
    return f"{IPv4Address(crc32(node.encode()))}:1"


def run_outages(sizes: dict[str, int], seed: int) -> list[str]:
    """Run outages with restarts and lapses; return the gateways that are behind.

    After each outage and the time until bounds hold, a configuration is written. A
    gateway is behind if it is not in force there within the bound.
    """
    rng = Random(seed)
    fleet = FleetSimulation(sizes, seed)
    fleet.pass_time(rng.uniform(2.0, 6.0))
    behind: list[str] = []
    for _ in range(OUTAGES):
        fleet.store.silent = True
        for _ in range(rng.randrange(MAX_EVENTS)):
            fleet.pass_time(rng.uniform(0.1, 2.0))
            names = sorted(fleet.gateways)
            if rng.random() < 0.5:
                fleet.restart(*rng.sample(names, rng.randint(1, len(names))))
            elif rng.random() < 0.3:
                fleet.lapse_leases()
        fleet.pass_time(rng.uniform(0.1, 2.0))
        fleet.store.silent = False
        fleet.pass_time(STABLE_S)
        fleet.change()
        fleet.pass_time(fleet.bounds.configuration_s)
        behind.extend(fleet.behind())
    return behind
