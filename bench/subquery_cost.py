"""Compares the processor time per sub-query of three transports to targets.

The transports are Twisted's ``Agent``, a bare connection pool and the target owner.
"""

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
MAX_OWNER_COST_US = 60.0
BLOCKS = 9


class ReplicaEndpoint(NamedTuple):
    """A replica of the simulated targets and its address."""

    name: str
    service: str
    address: TargetAddress


class Cost(NamedTuple):
    """The processor time per sub-query of one transport."""

    transport: str
    sub_queries: int
    failed: int
    cost_us: float


class Transport(Protocol):
    """A transport that sends a sub-query and reports its end."""

    def send(self, endpoint: ReplicaEndpoint, done: Callable[[bool], None]) -> None:
        """Send a sub-query and call ``done`` with whether it was answered."""


def make_sub_query(number: int, endpoint: ReplicaEndpoint) -> SubQuery:
    """Return the sub-query that every transport sends."""
    return SubQuery(
        number, f"r{number}", endpoint.service, endpoint.name, 1, 1, 5000.0, 5, "", BODY
    )


class AgentTransport:
    """``twisted.web.client.Agent`` with persistent connections."""

    def __init__(self, reactor: TcpReactor) -> None:
        pool = HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost = SLOTS
        self.agent = Agent(reactor, pool=pool)
        self.numbers = count(1)

    def send(self, endpoint: ReplicaEndpoint, done: Callable[[bool], None]) -> None:
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
        url = f"http://127.0.0.1:{endpoint.address.port}/services/{endpoint.service}/search"
        producer = cast(IBodyProducer, BytesBody(BODY))
        response_received = self.agent.request(b"POST", url.encode(), headers, producer)
        response_received.addCallback(partial(self.read, f"r{number}"))
        response_received.addCallbacks(done, lambda _: done(False))

    def read(self, request_id: str, response: IResponse) -> Deferred[bool]:
        """Read the body and check the reply."""
        body_read = readBody(response)
        own = response.headers.getRawHeaders("Request-Id") == [request_id]
        return body_read.addCallback(lambda body: own and response.code == 200)


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
    """Receives a request body."""

    def write(self, data: bytes) -> None:
        """Receive a part of the body."""


def print_failure(failure: Failure) -> list[Cost]:
    """Print why the measurement failed."""
    print(failure.getTraceback())
    return []


def ignore(*_: object) -> None:
    """Ignore an event of a pool."""


class ConnectionTransport:
    """A bare connection for each sub-query in flight, without an owner."""

    def __init__(self, reactor: TcpReactor, endpoints: list[ReplicaEndpoint]) -> None:
        events = PoolEvents(ignore, ignore, ignore)
        self.numbers = count(1)
        self.pools: dict[str, ConnectionPool] = {}
        for endpoint in endpoints:
            pool = ConnectionPool(reactor, endpoint.address, OwnerLimits(), events)
            pool.set_allowance(SLOTS)
            pool.ensure_available(SLOTS)
            self.pools[endpoint.name] = pool

    def send(self, endpoint: ReplicaEndpoint, done: Callable[[bool], None]) -> None:
        """Send a sub-query."""
        number = next(self.numbers)
        exchange_id = b"c-%d" % number
        query = make_sub_query(number, endpoint)
        pool = self.pools[endpoint.name]
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
        """Release the connection and report whether the reply was successful."""
        pool.release(connection)
        done(isinstance(end, Replied) and end.reply.status == 200)


class OwnerTransport:
    """Submits sub-queries to a ``TargetOwner``, as the entry process does."""

    def __init__(self, reactor: TcpReactor, endpoints: list[ReplicaEndpoint]) -> None:
        self.numbers = count(1)
        self.owner = TargetOwner(reactor, OwnerLimits())
        services = {
            endpoint.service: [
                Replica(endpoint.name, "dc", f"127.0.0.1:{endpoint.address.port}")
            ]
            for endpoint in endpoints
        }
        self.owner.configure({"i": Index(SLOTS, 25, 1.0, services, SLOTS)})
        for endpoint in endpoints:
            self.owner.set_allowance(endpoint.name, Allowance(SLOTS, 20, True))

    def send(self, endpoint: ReplicaEndpoint, done: Callable[[bool], None]) -> None:
        """Send a sub-query."""

        def reply(sub_reply: SubReply) -> None:
            done(sub_reply.outcome is Outcome.ANSWERED)

        self.owner.submit("self", make_sub_query(next(self.numbers), endpoint), reply)


class TransportBenchmark:
    """Sends rounds of sub-queries and measures those after the warm-up."""

    def __init__(
        self, reactor: TcpReactor, endpoints: list[ReplicaEndpoint], rounds: int
    ) -> None:
        self.reactor = reactor
        self.endpoints = endpoints
        self.rounds = rounds

    def run(self, name: str, transport: Transport) -> Deferred[Cost]:
        """Measure one transport."""
        finished: Deferred[Cost] = Deferred()
        warm_up_rounds = 5
        left_rounds = self.rounds + warm_up_rounds
        pending = failed = 0
        started = 0.0

        def begin_round() -> None:
            nonlocal left_rounds, pending, started, failed
            if left_rounds == self.rounds:
                gc.collect()
                failed = 0
                started = process_time()
            if left_rounds == 0:
                spent = process_time() - started
                done = self.rounds * len(self.endpoints)
                finished.callback(Cost(name, done, failed, spent / done * 1e6))
                return
            left_rounds -= 1
            pending = len(self.endpoints)
            for endpoint in self.endpoints:
                transport.send(endpoint, ended)

        def ended(answered: bool) -> None:
            nonlocal pending, failed
            pending -= 1
            failed += not answered
            if pending == 0:
                self.reactor.callLater(0.0, begin_round)

        self.reactor.callLater(0.05, begin_round)
        return finished


def write_config(path: Path, services: int) -> None:
    """Write the settings of the simulated targets: one replica for each service."""
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


def read_endpoints(control: str) -> list[ReplicaEndpoint]:
    """Fetch the replicas of the simulated targets from their control port."""
    with urlopen(f"http://127.0.0.1:{control}/replicas") as response:
        replicas = json.load(response)
    return [
        ReplicaEndpoint(
            replica["name"], replica["service"], TargetAddress.parse(replica["address"])
        )
        for replica in replicas
    ]


async def measure(
    reactor: TcpReactor, endpoints: list[ReplicaEndpoint], rounds: int
) -> list[Cost]:
    """Measure the transports in alternating blocks and return the median of each."""
    runner = TransportBenchmark(reactor, endpoints, max(1, rounds // BLOCKS))
    owner = OwnerTransport(reactor, endpoints)
    transports: dict[str, Transport] = {
        "agent": AgentTransport(reactor),
        "connection": ConnectionTransport(reactor, endpoints),
        "owner": owner,
    }
    blocks = [
        [await runner.run(name, transport) for name, transport in transports.items()]
        for _ in range(BLOCKS)
    ]
    await owner.owner.close(1.0)
    return [summarise_blocks(list(costs)) for costs in zip(*blocks, strict=True)]


def summarise_blocks(blocks: list[Cost]) -> Cost:
    """Return the sum of the counts and the median of the costs of all blocks."""
    return Cost(
        blocks[0].transport,
        sum(cost.sub_queries for cost in blocks),
        sum(cost.failed for cost in blocks),
        median(cost.cost_us for cost in blocks),
    )


def report(costs: list[Cost]) -> bool:
    """Print the figures and return whether they are within bounds."""
    owner = next(cost for cost in costs if cost.transport == "owner")
    agent = next(cost for cost in costs if cost.transport == "agent")
    passed = owner.cost_us <= MAX_OWNER_COST_US and not any(c.failed for c in costs)
    figures = " ".join(f"{cost.transport}_us={cost.cost_us:.1f}" for cost in costs)
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
    """Compare the transports to targets in one run."""
    from twisted.internet import reactor

    errors_only = structlog.make_filtering_bound_logger(logging.ERROR)
    structlog.configure(wrapper_class=errors_only)
    running_reactor = cast(RunningReactor, reactor)
    running_reactor.seconds = monotonic  # type: ignore[method-assign]
    with tempfile.TemporaryDirectory() as directory:
        config = Path(directory) / "targets.yaml"
        write_config(config, services)
        command = [sys.executable, "-m", "bench.target", "--config", str(config)]
        with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as targets:
            assert targets.stdout is not None
            control = targets.stdout.readline().strip().rpartition("control=")[2]
            endpoints = read_endpoints(control)
            costs: list[Cost] = []

            def start() -> None:
                measuring = Deferred.fromCoroutine(
                    measure(running_reactor, endpoints, rounds)
                )
                measuring.addCallback(costs.extend)
                measuring.addErrback(print_failure)
                measuring.addCallback(lambda _: running_reactor.stop())

            running_reactor.callLater(0.0, start)
            running_reactor.run()
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
