"""Gateways that roll out a version together, on a simulated clock and store."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random
from typing import Any, NamedTuple

import msgspec

from bench.store_simulation import SimulatedStore, StoreClient
from sardinehook.gateway.configuration import (
    CallerLimits,
    Configuration,
    Route,
    TrafficSplit,
    WeightedService,
    index_routes,
)
from sardinehook.gateway.directory import Directory
from sardinehook.gateway.dispatch import Answered, Dispatcher, Exchange
from sardinehook.gateway.interfaces import CallerRequest, ReplicaEntry
from sardinehook.gateway.metrics import GatewayMetrics
from sardinehook.gateway.replica_selection import ReplicaSelector
from sardinehook.gateway.rollout.controller import RolloutController
from sardinehook.gateway.rollout.items import RolloutSite
from sardinehook.gateway.rollout.local_ledger import OWN, LocalLedger
from sardinehook.gateway.settings import Bounds
from sardinehook.gateway.store import Item
from sardinehook.gateway.usage.interfaces import Marks, UsageLedger
from sardinehook.platform.discovery import PlatformKeys
from sardinehook.platform.replicas import PlatformReplicas
from tests.gateway.fake_transport import RecordingReactor
from tests.gateway.rollout.simulation import Answer
from tests.gateway.support import reply

__all__ = ["Fleet", "Sent", "SharedLedger"]

BOUNDS = Bounds(configuration_s=3.0)
POLL_S = 0.3
STEP_S = 0.005
TIMEOUT_S = 1.0
WORK_S = 0.05
DATA_CENTRES = ("a", "b", "c")
ORDER_KEY = "op/rollout/desk"
STATE_KEY = "sardinehook/rollouts/desk"
STATUS_KEY = "status/rollout/desk"


class SharedLedger:
    """The ledger of one gateway: holders know what all gateways have counted."""

    def __init__(self, node: str, fleet: Fleet, holder: bool) -> None:
        self.node = node
        self.fleet = fleet
        self.holder = holder
        self.own = LocalLedger()

    def record(self, subject: str, amount: float, now: float) -> None:
        """Count own use."""
        self.own.record(subject, amount, now)

    def total(self, subject: str, window_s: float, now: float) -> float:
        """Return the use that this gateway knows of."""
        known = [self.own]
        if self.holder:
            known = [g.ledger.own for g in self.fleet.gateways.values() if not g.killed]
        return sum(ledger.total(subject, window_s, now) for ledger in known)

    def take(
        self, prefix: str, marks: Marks, since: float, until: float
    ) -> dict[str, float]:
        """Return the use that this gateway knows of, each slot once."""
        known = [self.own]
        if self.holder:
            known = [g.ledger.own for g in self.fleet.gateways.values() if not g.killed]
        taken: dict[str, float] = {}
        for ledger in known:
            origin = ("", id(ledger))
            own_marks = {OWN: marks.get(origin, 0)}
            for subject, count in ledger.take(prefix, own_marks, since, until).items():
                taken[subject] = taken.get(subject, 0.0) + count
            marks[origin] = own_marks[OWN]
        return taken

    def is_holder(self) -> bool:
        """Return whether this gateway is a holder."""
        return self.holder

    def silent_share(self, subject: str, now: float) -> float:
        """Return 0: all gateways report."""
        return 0.0


class SimulatedDispatcher(Dispatcher):
    """Answers each exchange after the time that the version takes."""

    def __init__(
        self, reactor: RecordingReactor, directory: Directory, fleet: Fleet
    ) -> None:
        super().__init__(reactor, PlatformReplicas(), directory)
        self.fleet = fleet

    def start(self, exchange: Exchange) -> None:
        """Send an exchange at once."""
        assert self.monitor is not None
        exchange.replica.in_flight[exchange] = None
        self.monitor.started(exchange)
        exchange.sent_at = self.reactor.seconds()
        answer = self.fleet.answer(exchange)
        took_s = WORK_S * answer.slowness * self.fleet.random.uniform(0.7, 1.4)
        failed = self.fleet.random.random() < answer.failing
        self.reactor.callLater(took_s, self.finish, exchange, failed)

    def finish(self, exchange: Exchange, failed: bool) -> None:
        """End an exchange."""
        self.fleet.record_end(exchange, failed)
        self.end(exchange, Answered(reply(500 if failed else 200, b"s")))


class Sent(NamedTuple):
    """A request that reached a replica."""

    at: float
    gateway: str
    version: str
    ended_at: float
    bad: bool


class SimulatedGateway:
    """One gateway of the fleet; ``cut_off`` ones do not reach the store."""

    def __init__(self, fleet: Fleet, name: str, holder: bool) -> None:
        self.fleet = fleet
        self.name = name
        self.killed = False
        self.cut_off = False
        self.contact_at = fleet.now
        self.known = -1
        reactor = fleet.reactor
        self.directory = Directory(reactor, 3.0, name)
        self.directory.configure(fleet.configuration)
        self.dispatcher = SimulatedDispatcher(reactor, self.directory, fleet)
        data_centre = DATA_CENTRES[int(name[2:]) % 3]
        self.selector = ReplicaSelector(self.directory, name, data_centre, 1)
        self.ledger: Any = fleet.make_ledger(name, holder)
        self.client = StoreClient(fleet.store)
        site = RolloutSite(
            name,
            data_centre,
            lambda: list(fleet.gateways),
            lambda: fleet.now - self.contact_at,
            lambda: 1000.0 + fleet.now,
        )
        self.rollouts = RolloutController(
            reactor,
            self.directory,
            self.client,
            PlatformKeys(),
            self.ledger,
            site,
            GatewayMetrics(),
            Random(f"{fleet.seed} {name} {fleet.now}"),
        )
        self.rollouts.configure(BOUNDS)
        self.dispatcher.monitor = self.rollouts
        self.selector.version_groups = self.rollouts.groups
        self.poll()

    def poll(self) -> None:
        """Apply what changed in the store, every ``POLL_S``."""
        if self.killed:
            return
        store = self.fleet.store
        if not self.cut_off and not store.silent:
            self.contact_at = self.fleet.now
            self.apply(store)
        self.fleet.reactor.callLater(POLL_S, self.poll)

    def apply(self, store: SimulatedStore) -> None:
        """Apply the listing at first, and changes after it."""
        if self.known < 0:
            self.rollouts.set_initial_listing(True)
            items: Iterable[Item] = list(store.items.values())
        else:
            items = [one for one in store.events if one.revision > self.known]
        for item in items:
            self.rollouts.apply_item(item)
        self.rollouts.set_initial_listing(False)
        self.known = store.revision

    def send(self, path: str = "/read/1") -> None:
        """Send one request to the service."""
        now = self.fleet.now
        choice = self.selector.select("desk", WORK_S, (), TIMEOUT_S, now)
        if choice is None:
            self.fleet.unserved += 1
            return
        request = CallerRequest(b"r", b"GET", path.encode(), "h", (), b"", 1.0, now)
        self.dispatcher.start(
            Exchange(request, choice.replica, now, now + TIMEOUT_S, ignore)
        )

    def kill(self) -> None:
        """End the process."""
        self.killed = True
        self.client.killed = True
        self.rollouts.loop.stop()


def ignore(exchange: Exchange, outcome: object) -> None:
    """Ignore an outcome."""


class Fleet:
    """Gateways, the store, and replicas of two versions in three data centres."""

    def __init__(
        self, gateways: int = 6, rate_per_s: float = 20.0, seed: int = 1
    ) -> None:
        self.seed = seed
        self.random = Random(seed)
        self.reactor = RecordingReactor()
        self.reactor.advance(100.0)
        self.store = SimulatedStore(self.reactor)
        self.rate_per_s = rate_per_s
        self.sent: list[Sent] = []
        self.unserved = 0
        self.in_flight: dict[str, int] = {}
        self.behaviour: Callable[[bool, str, float], Answer] = lambda *_: Answer()
        routes = [route_named(name) for name in ("read", "write")]
        self.configuration = Configuration(1, index_routes(routes), {}, CallerLimits())
        self.replicas: dict[str, ReplicaEntry] = {}
        for number in range(6):
            self.add_replica(number, "1" if number < 3 else "2")
        self.gateways: dict[str, SimulatedGateway] = {}
        for number in range(gateways):
            self.start_gateway(f"g-{number}")
        self.ordered_at = 0.0

    @property
    def now(self) -> float:
        """The simulated time."""
        return float(self.reactor.seconds())

    def add_replica(self, number: int, version: str) -> None:
        """Register a replica."""
        name = f"i-{number}"
        self.replicas[name] = ReplicaEntry(
            name,
            "desk",
            f"127.0.0.1:{100 + number}",
            DATA_CENTRES[number % 3],
            8,
            False,
            0.0,
            1,
            1,
            version,
        )

    def remove_replicas(self, version: str) -> None:
        """Remove the replicas of a version from all directories."""
        for name, entry in list(self.replicas.items()):
            if entry.version == version:
                del self.replicas[name]
                for gateway in self.gateways.values():
                    gateway.directory.discard(gateway.directory.replicas[name])

    def start_gateway(self, name: str) -> None:
        """Start a gateway; the first three are holders."""
        gateway = SimulatedGateway(self, name, int(name[2:]) < 3)
        for entry in self.replicas.values():
            gateway.directory.put(entry, self.now)
        self.gateways[name] = gateway

    def make_ledger(self, name: str, holder: bool) -> UsageLedger:
        """Return the ledger of a gateway."""
        return SharedLedger(name, self, holder)

    def restart(self, name: str) -> None:
        """Kill a gateway and start it anew."""
        self.gateways[name].kill()
        self.start_gateway(name)

    def order(self, version: str = "2", duration_s: float = 60.0) -> None:
        """Write an order."""
        value = {"Service": "desk", "TargetVersion": version, "DurationS": duration_s}
        self.store.write(ORDER_KEY, msgspec.json.encode(value))
        self.ordered_at = self.now

    def answer(self, exchange: Exchange) -> Answer:
        """Return how a replica answers."""
        version = exchange.replica.entry.version
        self.in_flight[version] = self.in_flight.get(version, 0) + 1
        at = self.now - self.ordered_at
        return self.behaviour(version != "1", exchange.request.path, at)

    def record_end(self, exchange: Exchange, failed: bool) -> None:
        """Record a request whose answer is due."""
        version = exchange.replica.entry.version
        self.in_flight[version] -= 1
        slow = self.now - exchange.sent_at > 2.5 * WORK_S
        self.sent.append(Sent(exchange.sent_at, "", version, self.now, failed or slow))

    def run(self, seconds: float, until: Callable[[], bool] = lambda: False) -> None:
        """Send requests for some time."""
        end_at = self.now + seconds
        while self.now < end_at and not until():
            next_at = self.now + self.random.expovariate(self.rate_per_s)
            while self.now < next_at:
                # All timers that are due in one step see the time of its end.
                self.reactor.advance(min(STEP_S, next_at - self.now))
            alive = [one for one in self.gateways.values() if not one.killed]
            if alive:
                path = "/read/1" if self.random.random() < 0.7 else "/write/1"
                self.random.choice(alive).send(path)

    def status(self) -> str:
        """Return the state in the public status, empty if there is none."""
        item = self.store.items.get(STATUS_KEY)
        if item is None or item.value is None:
            return ""
        decoded: dict[str, Any] = msgspec.json.decode(item.value)
        return str(decoded["State"])

    def state(self) -> dict[str, Any]:
        """Return the shared state."""
        item = self.store.items[STATE_KEY]
        decoded: dict[str, Any] = msgspec.json.decode(item.value or b"{}")
        return decoded

    def sent_to(self, version: str) -> list[Sent]:
        """Return the requests that reached replicas of a version, by time."""
        return sorted(one for one in self.sent if one.version == version)

    def largest_excess(self, share: float = 0.1) -> float:
        """Return by how much the new version exceeded its share at most."""
        new = total = 0
        excess = 0.0
        for one in sorted(self.sent):
            if one.at >= self.ordered_at:
                total += 1
                new += one.version == "2"
                excess = max(excess, new - share * total)
        return excess

    def late_requests(self) -> list[Sent]:
        """Return what the new version got 5 s after its 50th bad answer."""
        bad = sorted(one.ended_at for one in self.sent_to("2") if one.bad)
        if len(bad) < 50:
            return []
        return [one for one in self.sent_to("2") if one.at > bad[49] + 5.0]


def route_named(name: str) -> Route:
    """Return a route to the service."""
    destination = TrafficSplit((WeightedService("desk", 1.0),))
    return Route(name, "h", f"/{name}/", True, TIMEOUT_S, 0.3, 1, 2, destination)
