"""Measures processor time per sub-query: ``Agent``, a connection, the owner."""

from __future__ import annotations

import gc
import json
import logging
import subprocess
import sys
import tempfile
from collections.abc import Callable
from functools import partial
from itertools import count
from pathlib import Path
from statistics import median
from time import monotonic, process_time
from typing import Annotated, NamedTuple, Protocol, cast
from urllib.request import urlopen

import structlog
import typer
from twisted.internet.defer import Deferred, succeed
from twisted.python.failure import Failure
from twisted.web.client import Agent, HTTPConnectionPool, readBody
from twisted.web.http_headers import Headers
from twisted.web.iweb import IBodyProducer, IResponse
from zope.interface import implementer

from sardinehook.environment.document import Index, Replica
from sardinehook.messages import Outcome, SubQuery, SubReply
from sardinehook.target.allowance import Allowance
from sardinehook.target.codec import encode_sub_query
from sardinehook.target.connection import ExchangeEnd, Replied, TargetConnection
from sardinehook.target.limits import OwnerLimits
from sardinehook.target.owner import TargetOwner
from sardinehook.target.pool import ConnectionPool, PoolEvents, TargetAddress
from sardinehook.transport.reactor import TcpReactor

__all__ = ["Cost", "main"]

SLOTS = 4
BODY = b'{"query":"strikes"}'
LARGEST_COST_US = 60.0
BLOCKS = 9


class Place(NamedTuple):
    """A replica of the stand-in."""

    name: str
    service: str
    address: TargetAddress


class Cost(NamedTuple):
    """The cost of one way to reach targets."""

    way: str
    sub_queries: int
    failed: int
    cost_us: float


class Way(Protocol):
    """A way to send a sub-query and learn of its end."""

    def send(self, place: Place, done: Callable[[bool], None]) -> None:
        """Send a sub-query and tell ``done`` whether it was answered."""


def sub_query(number: int, place: Place) -> SubQuery:
    """Return the sub-query that every way sends."""
    return SubQuery(
        number, f"r{number}", place.service, place.name, 1, 1, 5000.0, 5, "", BODY
    )


class AgentWay:
    """``twisted.web.client.Agent`` with persistent connections."""

    def __init__(self, reactor: TcpReactor) -> None:
        pool = HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost = SLOTS
        self.agent = Agent(reactor, pool=pool)
        self.numbers = count(1)

    def send(self, place: Place, done: Callable[[bool], None]) -> None:
        """Send a sub-query."""
        number = next(self.numbers)
        headers = Headers(
            {
                "Request-Id": [f"r{number}"],
                "Sub-Query-Id": [str(number)],
                "Deadline-Ms": ["5000"],
                "Index-Version": ["1"],
                "Partitioning-Version": ["1"],
            }
        )
        url = f"http://127.0.0.1:{place.address.port}/services/{place.service}/search"
        producer = cast(IBodyProducer, BytesBody(BODY))
        found = self.agent.request(b"POST", url.encode(), headers, producer)
        found.addCallback(partial(self.read, f"r{number}"))
        found.addCallbacks(done, lambda _: done(False))

    def read(self, request_id: str, response: IResponse) -> Deferred[bool]:
        """Read the body and check the reply."""
        whole = readBody(response)
        own = response.headers.getRawHeaders("Request-Id") == [request_id]
        return whole.addCallback(lambda body: own and response.code == 200)


@implementer(IBodyProducer)
class BytesBody:
    """A request body of known length for ``Agent``."""

    def __init__(self, body: bytes) -> None:
        self.body = body
        self.length = len(body)

    def startProducing(self, consumer: Consumer) -> Deferred[None]:
        """Write the body."""
        consumer.write(self.body)
        return succeed(None)

    def pauseProducing(self) -> None:
        """Nothing is left to pause."""

    def resumeProducing(self) -> None:
        """Nothing is left to resume."""

    def stopProducing(self) -> None:
        """Nothing is left to stop."""


class Consumer(Protocol):
    """Takes a request body."""

    def write(self, data: bytes) -> None:
        """Take a part of the body."""


def show(failure: Failure) -> list[Cost]:
    """Print why the measurement failed."""
    print(failure.getTraceback())
    return []


def ignore(*_: object) -> None:
    """Take no notice of a pool's event."""


class ConnectionWay:
    """A bare connection for each sub-query in flight, without an owner."""

    def __init__(self, reactor: TcpReactor, places: list[Place]) -> None:
        events = PoolEvents(ignore, ignore, ignore)
        self.numbers = count(1)
        self.pools: dict[str, ConnectionPool] = {}
        for place in places:
            pool = ConnectionPool(reactor, place.address, OwnerLimits(), events)
            pool.set_allowance(SLOTS)
            pool.ensure_available(SLOTS)
            self.pools[place.name] = pool

    def send(self, place: Place, done: Callable[[bool], None]) -> None:
        """Send a sub-query."""
        number = next(self.numbers)
        exchange_id = b"c-%d" % number
        query = sub_query(number, place)
        pool = self.pools[place.name]
        connection = pool.acquire()
        if connection is None:
            done(False)
            return
        request = encode_sub_query(query, b"127.0.0.1", exchange_id, 5000)
        end = partial(self.ended, pool, connection, done)
        connection.send_request(request, query.request_id.encode(), exchange_id, end)

    def ended(
        self,
        pool: ConnectionPool,
        connection: TargetConnection,
        done: Callable[[bool], None],
        end: ExchangeEnd,
    ) -> None:
        """Give the connection back."""
        pool.release(connection)
        done(isinstance(end, Replied) and end.reply.status == 200)


class OwnerWay:
    """``TargetOwner.submit`` as the entry process uses it."""

    def __init__(self, reactor: TcpReactor, places: list[Place]) -> None:
        self.numbers = count(1)
        self.owner = TargetOwner(reactor, OwnerLimits())
        services = {
            place.service: [
                Replica(place.name, "dc", f"127.0.0.1:{place.address.port}")
            ]
            for place in places
        }
        self.owner.configure({"i": Index(SLOTS, 25, 1.0, services, SLOTS)})
        for place in places:
            self.owner.set_allowance(place.name, Allowance(SLOTS, 20, True))

    def send(self, place: Place, done: Callable[[bool], None]) -> None:
        """Send a sub-query."""

        def reply(sub_reply: SubReply) -> None:
            done(sub_reply.outcome is Outcome.ANSWERED)

        self.owner.submit("self", sub_query(next(self.numbers), place), reply)


class Runner:
    """Sends one round of sub-queries after another and measures all but the first."""

    def __init__(self, reactor: TcpReactor, places: list[Place], rounds: int) -> None:
        self.reactor = reactor
        self.places = places
        self.rounds = rounds

    def run(self, name: str, way: Way) -> Deferred[Cost]:
        """Measure one way."""
        finished: Deferred[Cost] = Deferred()
        warm_up_rounds = 5
        left_rounds = self.rounds + warm_up_rounds
        waiting = failed = 0
        started = 0.0

        def begin_round() -> None:
            nonlocal left_rounds, waiting, started, failed
            if left_rounds == self.rounds:
                gc.collect()
                failed = 0
                started = process_time()
            if left_rounds == 0:
                spent = process_time() - started
                done = self.rounds * len(self.places)
                finished.callback(Cost(name, done, failed, spent / done * 1e6))
                return
            left_rounds -= 1
            waiting = len(self.places)
            for place in self.places:
                way.send(place, ended)

        def ended(answered: bool) -> None:
            nonlocal waiting, failed
            waiting -= 1
            failed += not answered
            if waiting == 0:
                self.reactor.callLater(0.0, begin_round)

        self.reactor.callLater(0.05, begin_round)
        return finished


def write_config(path: Path, services: int) -> None:
    """Write the stand-in's settings: one replica for each service."""
    replicas = [
        {
            "service": f"s{n}",
            "index": "i",
            "name": f"s{n}-a",
            "slots": SLOTS,
            "connections": 1000,
            "service_ms": 0.5,
        }
        for n in range(services)
    ]
    path.write_text(json.dumps({"replicas": replicas, "log": {"entries": 0}}))


def read_places(control: str) -> list[Place]:
    """Return the stand-in's replicas."""
    with urlopen(f"http://127.0.0.1:{control}/replicas") as response:
        found = json.load(response)
    return [
        Place(one["name"], one["service"], TargetAddress.parse(one["address"]))
        for one in found
    ]


async def measure(reactor: TcpReactor, places: list[Place], rounds: int) -> list[Cost]:
    """Measure the ways in turn, in blocks, and return the median block of each."""
    runner = Runner(reactor, places, max(1, rounds // BLOCKS))
    owner = OwnerWay(reactor, places)
    ways: dict[str, Way] = {
        "agent": AgentWay(reactor),
        "connection": ConnectionWay(reactor, places),
        "owner": owner,
    }
    blocks = [
        [await runner.run(name, way) for name, way in ways.items()]
        for _ in range(BLOCKS)
    ]
    await owner.owner.close(1.0)
    return [summary(list(costs)) for costs in zip(*blocks, strict=True)]


def summary(blocks: list[Cost]) -> Cost:
    """Return the sums of the counts and the median of the costs."""
    return Cost(
        blocks[0].way,
        sum(cost.sub_queries for cost in blocks),
        sum(cost.failed for cost in blocks),
        median(cost.cost_us for cost in blocks),
    )


def report(costs: list[Cost]) -> bool:
    """Print the figures and tell whether they are within bounds."""
    owner = next(cost for cost in costs if cost.way == "owner")
    agent = next(cost for cost in costs if cost.way == "agent")
    passed = owner.cost_us <= LARGEST_COST_US and not any(c.failed for c in costs)
    figures = " ".join(f"{cost.way}_us={cost.cost_us:.1f}" for cost in costs)
    verdict = "pass" if passed else "fail"
    print(
        f"experiment=subquery-transport verdict={verdict} {figures} "
        f"agent_to_owner={agent.cost_us / owner.cost_us:.1f} "
        f"failed={sum(cost.failed for cost in costs)}"
    )
    return passed


def main(
    services: Annotated[int, typer.Option(help="Targets of each round.")] = 50,
    rounds: Annotated[int, typer.Option(help="Rounds for each way.")] = 270,
) -> None:
    """Compare the ways to reach targets in one run."""
    from twisted.internet import reactor

    quiet = structlog.make_filtering_bound_logger(logging.ERROR)
    structlog.configure(wrapper_class=quiet)
    ticking = cast(RunningReactor, reactor)
    ticking.seconds = monotonic  # type: ignore[method-assign]
    with tempfile.TemporaryDirectory() as directory:
        config = Path(directory) / "targets.yaml"
        write_config(config, services)
        command = [sys.executable, "-m", "bench.target", "--config", str(config)]
        with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as targets:
            assert targets.stdout is not None
            control = targets.stdout.readline().strip().rpartition("control=")[2]
            places = read_places(control)
            costs: list[Cost] = []

            def start() -> None:
                measuring = Deferred.fromCoroutine(measure(ticking, places, rounds))
                measuring.addCallback(costs.extend)
                measuring.addErrback(show)
                measuring.addCallback(lambda _: ticking.stop())

            ticking.callLater(0.0, start)
            ticking.run()
            targets.terminate()
    raise typer.Exit(0 if costs and report(costs) else 1)


class RunningReactor(TcpReactor, Protocol):
    """A reactor that can be run and stopped."""

    def run(self) -> None:
        """Run until ``stop``."""

    def stop(self) -> None:
        """Stop running."""


if __name__ == "__main__":
    typer.run(main)
