"""Parts of a gateway on a fake clock; tests answer in place of the replicas."""

from __future__ import annotations

from typing import NamedTuple

from sardinehook.gateway.answer import CallerAnswer
from sardinehook.gateway.configuration import (
    CallerLimits,
    Configuration,
    Route,
    Service,
    ShardSet,
    TrafficSplit,
    WeightedService,
    index_routes,
)
from sardinehook.gateway.directory import Directory
from sardinehook.gateway.dispatch import (
    Answered,
    Dispatcher,
    Exchange,
    ExchangeOutcome,
    NotRun,
)
from sardinehook.gateway.gather import Gather
from sardinehook.gateway.interfaces import CallerRequest, ReplicaEntry, ReplicaReply
from sardinehook.gateway.policy import RequestPolicy
from sardinehook.gateway.replica import Replica
from sardinehook.gateway.replica_selection import ReplicaSelector
from sardinehook.gateway.settings import Bounds
from sardinehook.gateway.shares import Shares
from sardinehook.gateway.single import SingleCall
from sardinehook.platform.callers import PlatformCallers
from sardinehook.platform.replicas import PlatformReplicas
from tests.gateway.fake_transport import RecordingReactor

DEFAULT_BOUNDS = Bounds()
HERE = "here"
THERE = "there"
REQUEST = CallerRequest(b"r-1", b"GET", b"/x/1", "h", (), b"", 0.8, 0.0)


class FakeDispatcher(Dispatcher):
    """Records started exchanges until a test ends them.

    Replicas in ``refuses`` refuse connections; those in ``hangs`` neither accept nor
    refuse them.
    """

    def __init__(self, reactor: RecordingReactor, directory: Directory) -> None:
        super().__init__(reactor, PlatformReplicas(), directory)
        self.sent: list[Exchange] = []
        self.refuses: set[str] = set()
        self.hangs: set[str] = set()
        self.waiting: list[Exchange] = []

    def start(self, exchange: Exchange) -> None:
        """Record an exchange as sent, unless its replica can't be connected to."""
        replica = exchange.replica
        replica.in_flight[exchange] = None
        self.exchanges[exchange] = None
        if replica.replica_id in self.refuses:
            self.end(exchange, NotRun("no connection", False))
            return
        if replica.replica_id in self.hangs:
            self.waiting.append(exchange)
            return
        exchange.sent_at = self.reactor.seconds()
        self.sent.append(exchange)

    def sent_to(self, service: str) -> list[Exchange]:
        """Return the exchanges sent to replicas of a service."""
        return [
            exchange
            for exchange in self.sent
            if exchange.replica.entry.service == service
        ]

    def open_at(self, service: str) -> list[Exchange]:
        """Return the exchanges sent to replicas of a service that are not done."""
        return [exchange for exchange in self.sent_to(service) if not exchange.done]


class Gateway(NamedTuple):
    """The parts of a gateway that tests use."""

    reactor: RecordingReactor
    directory: Directory
    dispatcher: FakeDispatcher
    policy: RequestPolicy
    answers: list[CallerAnswer]

    def entry(
        self, replica_id: str, service: str, data_centre: str = HERE
    ) -> ReplicaEntry:
        """Return a discovery entry with an unused address."""
        port = 1000 + len(self.directory.replicas)
        return ReplicaEntry(
            replica_id, service, f"127.0.0.1:{port}", data_centre, 2, False, 0.0, 1, 1
        )

    def add(self, replica_id: str, service: str, data_centre: str = HERE) -> Replica:
        """Register a replica in the directory."""
        entry = self.entry(replica_id, service, data_centre)
        self.directory.put(entry, self.reactor.seconds())
        return self.directory.replicas[replica_id]

    def gather(self, route: Route, request: CallerRequest = REQUEST) -> Gather:
        """Start a search over the shards of ``route``."""
        shards = route.destination
        assert isinstance(shards, ShardSet)
        arrived = request._replace(received_at=self.reactor.seconds())
        work = Gather(self.policy, arrived, route, shards, self.answers.append)
        work.start()
        return work

    def call(
        self, route: Route, service: str, request: CallerRequest = REQUEST
    ) -> SingleCall:
        """Start a request to one replica of ``service``."""
        arrived = request._replace(received_at=self.reactor.seconds())
        work = SingleCall(self.policy, arrived, route, service, self.answers.append)
        work.start()
        return work

    def end(self, exchange: Exchange, outcome: ExchangeOutcome) -> None:
        """End an exchange with ``outcome``."""
        self.dispatcher.end(exchange, outcome)

    def answer_all(self, *except_services: str) -> None:
        """Answer all open exchanges with success, except those with some services."""
        for exchange in list(self.dispatcher.sent):
            service = exchange.replica.entry.service
            if not exchange.done and service not in except_services:
                self.end(exchange, good(exchange.replica.replica_id))


def make_gateway(bounds: Bounds = DEFAULT_BOUNDS, gateways: int = 1) -> Gateway:
    """Return a gateway with a fake dispatcher and equal shares."""
    reactor = RecordingReactor()
    reactor.advance(100.0)
    directory = Directory(reactor, bounds.drain_s)
    dispatcher = FakeDispatcher(reactor, directory)
    selector = ReplicaSelector(directory, "g-1", HERE, 1)
    policy = RequestPolicy(reactor, directory, dispatcher, selector, PlatformCallers())
    policy.configure(bounds)
    directory.set_shares(equal_shares(gateways))
    return Gateway(reactor, directory, dispatcher, policy, [])


def equal_shares(gateways: int) -> Shares:
    """Return equal shares for ``gateways`` gateways."""
    return Shares(float(gateways), float(gateways), gateway_names(gateways))


def gateway_names(count: int) -> frozenset[str]:
    """Return the names of ``count`` gateways."""
    return frozenset(f"g-{number}" for number in range(count))


def shard_names(count: int) -> tuple[str, ...]:
    """Return the names of ``count`` shards."""
    return tuple(f"s{number:02}" for number in range(count))


def search_route(
    shards: int = 4, least: float = 0.75, objective_s: float = 0.2
) -> Route:
    """Return a route that merges the answers of shards."""
    destination = ShardSet(shard_names(shards), 5, least)
    return Route("r", "h", "/x/", True, 0.8, objective_s, 1, 2, destination)


def single_route(idempotent: bool, attempts: int = 2) -> Route:
    """Return a route to one replica of one service."""
    destination = TrafficSplit((WeightedService("desk", 1.0),))
    return Route("o", "h", "/x/", idempotent, 4.0, 0.6, 1, attempts, destination)


def configuration(*routes: Route, cold_rate: float = 0.0) -> Configuration:
    """Return a configuration with routes and the services of the tests."""
    names = {"desk", *shard_names(40)}
    services = {name: Service(name, "/health", 26, 3.0, cold_rate) for name in names}
    return Configuration(1, index_routes(routes), services, CallerLimits())


def reply(status: int, signature: bytes | None, body: bytes = b"") -> ReplicaReply:
    """Return a decoded reply."""
    return ReplicaReply(
        status, (), body, signature, False, False, False, False, None, None, 5.0
    )


def good(signature: str, record: bytes = b"a" * 16) -> Answered:
    """Return a successful outcome of an exchange."""
    return Answered(reply(200, signature.encode(), record))
