"""Open-loop load generator: sends each request at its scheduled time.

Requests go to the entry VMs through a load balancer with health checks.
"""

from __future__ import annotations

import random
import sys
import time
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple, TypedDict, cast

import msgspec
from twisted.internet.defer import Deferred
from twisted.web.client import Agent, HTTPConnectionPool, readBody
from twisted.web.http_headers import Headers
from twisted.web.iweb import IBodyProducer, IResponse
from zope.interface import implementer

__all__ = ["CallRecord", "LoadPlan", "Stream", "read_calls"]

PROBE_INTERVAL_S = 0.1
FAILED_PROBES_UNTIL_UNREADY = 2
PROBE_TIMEOUT_S = 1.0
CONNECTIONS_PER_ENTRY = 256
TIMEOUT_MARGIN_S = 5.0
MS_PER_S = 1000.0
HTTP_OK = 200


class Stream(NamedTuple):
    """Requests of one workload with exponentially distributed inter-arrival times.

    ``rate_per_s`` is the mean rate from ``from_s`` to ``to_s`` seconds after the start.
    For workloads of scope "one", the service of a request is drawn from ``services``.
    With ``order``, each request is an order, and the fraction ``repeat_ratio`` of them
    is sent a second time with the same idempotency key.
    """

    workload: str
    rate_per_s: float
    from_s: float
    to_s: float
    deadline_ms: float
    services: tuple[str, ...] = ()
    limit: int = 50
    order: bool = False
    repeat_ratio: float = 0.0


class LoadPlan(NamedTuple):
    """The streams that one load process sends, and the entry VMs by node name."""

    entries: dict[str, str]
    streams: tuple[Stream, ...]
    seed: int
    name: str


class Call(NamedTuple):
    """A scheduled request; ``at_s`` is in seconds after the start."""

    at_s: float
    stream: Stream
    service: str
    order_key: str


class CoverageBody(TypedDict, total=False):
    """The coverage in the body of an answer."""

    asked: int
    answered: int
    ratio: float
    missing: list[dict[str, str]]
    snapshot: dict[str, dict[str, int]]


class ErrorBody(TypedDict, total=False):
    """The error in the body of an answer."""

    kind: str
    detail: str
    not_run: bool


class RecordBody(TypedDict, total=False):
    """A record in the body of an answer."""

    index: str
    id: str
    fields: dict[str, str]


class AnswerBody(TypedDict, total=False):
    """The parts of an answer's body that the load process records."""

    request_id: str
    records: list[RecordBody]
    coverage: CoverageBody
    limited: bool
    error: ErrorBody
    state: str


class CallRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The result of one request; times are ``time.monotonic()`` in seconds.

    ``status`` is zero if the connection failed or the call timed out, and ``entry``
    is empty if no entry VM was ready.
    """

    request: str
    workload: str
    entry: str
    intended_at: float
    sent_at: float
    ended_at: float
    status: int
    order_key: str
    service: str
    answer: AnswerBody
    detail: str = ""

    @property
    def latency_ms(self) -> float:
        """Latency from the scheduled start, including delays of the load process."""
        return (self.ended_at - self.intended_at) * MS_PER_S

    @property
    def ok(self) -> bool:
        """Whether the status is 200."""
        return self.status == HTTP_OK


def read_calls(path: Path) -> list[CallRecord]:
    """Read the JSON lines that a load process wrote."""
    decoder = msgspec.json.Decoder(CallRecord)
    return decoder.decode_lines(path.read_bytes())


def plan_calls(plan: LoadPlan) -> list[Call]:
    """Return the schedule of a plan; it depends only on the plan and its seed."""
    rng = random.Random(f"load/{plan.name}/{plan.seed}")
    calls: list[Call] = []
    for number, stream in enumerate(plan.streams):
        at_s = stream.from_s
        while stream.rate_per_s > 0.0:
            at_s += rng.expovariate(stream.rate_per_s)
            if at_s >= stream.to_s:
                break
            service = rng.choice(stream.services) if stream.services else ""
            order_key = f"{plan.name}-{number}-{len(calls)}" if stream.order else ""
            calls.append(Call(at_s, stream, service, order_key))
            if stream.order and rng.random() < stream.repeat_ratio:
                repeat_at_s = at_s + rng.uniform(
                    0.0, 2.0 * stream.deadline_ms / MS_PER_S
                )
                calls.append(Call(repeat_at_s, stream, service, order_key))
    return sorted(calls, key=lambda call: call.at_s)


@implementer(IBodyProducer)
class BytesProducer:
    """Produces the body of a request from memory."""

    def __init__(self, body: bytes) -> None:
        self.body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> Deferred[None]:  # noqa: ANN401
        """Write the whole body."""
        consumer.write(self.body)
        done: Deferred[None] = Deferred()
        done.callback(None)
        return done

    def pauseProducing(self) -> None:
        """Do nothing: the body is written at once."""

    def resumeProducing(self) -> None:
        """Do nothing: the body is written at once."""

    def stopProducing(self) -> None:
        """Do nothing: the body is written at once."""


class LoadBalancer:
    """Simulates the platform's load balancer: round robin over the ready entry VMs.

    It probes ``/ready``. An entry VM counts as unready after
    ``FAILED_PROBES_UNTIL_UNREADY`` consecutive failures, and as ready after one
    success.
    """

    def __init__(self, reactor: Any, agent: Agent, entries: Mapping[str, str]) -> None:  # noqa: ANN401
        self.reactor = reactor
        self.agent = agent
        self.entries = entries
        self.failures = dict.fromkeys(entries, 0)
        self.turn = 0

    def probe_all(self) -> None:
        """Probe every entry VM now and at each ``PROBE_INTERVAL_S``."""
        for node in self.entries:
            Deferred.fromCoroutine(self.probe(node))
        self.reactor.callLater(PROBE_INTERVAL_S, self.probe_all)

    async def probe(self, node: str) -> None:
        """Probe one entry VM; any exception counts as a failure."""
        url = f"http://{self.entries[node]}/ready".encode()
        try:
            pending = self.agent.request(b"GET", url)
            pending.addTimeout(PROBE_TIMEOUT_S, self.reactor)
            response = await pending
            await readBody(response)
            ready = response.code == HTTP_OK
        except Exception:
            ready = False
        self.failures[node] = 0 if ready else self.failures[node] + 1

    def choose(self, rng: random.Random, avoid: str = "") -> str:
        """Return the next ready entry VM other than ``avoid``, if there is another.

        Returns an empty string if no entry VM is ready.
        """
        ready = [
            node
            for node, failed in self.failures.items()
            if failed < FAILED_PROBES_UNTIL_UNREADY
        ]
        others = [node for node in ready if node != avoid] or ready
        if not others:
            return ""
        self.turn += 1
        return others[self.turn % len(others)]


class LoadRun:
    """Sends the calls of a plan and records their results."""

    def __init__(self, reactor: Any, plan: LoadPlan, output: Path) -> None:  # noqa: ANN401
        self.reactor = reactor
        self.plan = plan
        self.output = output
        self.rng = random.Random(f"balancer/{plan.seed}")
        pool = HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost = CONNECTIONS_PER_ENTRY
        pool.retryAutomatically = False
        self.agent = Agent(reactor, pool, connectTimeout=PROBE_TIMEOUT_S)
        self.balancer = LoadBalancer(reactor, self.agent, plan.entries)
        self.records: list[CallRecord] = []
        self.open_calls = 0
        self.number = 0
        self.all_sent = False

    def start(self) -> None:
        """Start the health checks and the schedule; its time base is now."""
        self.started_at = time.monotonic()
        self.balancer.probe_all()
        self.calls = plan_calls(self.plan)
        self.position = 0
        print(f"started at={self.started_at!r} calls={len(self.calls)}", flush=True)
        self.send_due()

    def send_due(self) -> None:
        """Send every call that is due, then set a timer for the next one."""
        now = time.monotonic() - self.started_at
        while self.position < len(self.calls):
            call = self.calls[self.position]
            if call.at_s > now:
                self.reactor.callLater(call.at_s - now, self.send_due)
                return
            self.position += 1
            self.open_calls += 1
            Deferred.fromCoroutine(self.send(call))
        self.all_sent = True
        self.finish_if_done()

    async def send(self, call: Call) -> None:
        """Send one call and record its result."""
        self.number += 1
        request = f"{self.plan.name}-{self.plan.seed}-{self.number}"
        node = self.balancer.choose(self.rng)
        sent_at = time.monotonic()
        status, answer, detail = 0, AnswerBody(), "no entry VM is ready"
        if node:
            status, answer, detail = await self.post_call(node, call, request)
        self.records.append(
            CallRecord(
                request=request,
                workload=call.stream.workload,
                entry=node,
                intended_at=self.started_at + call.at_s,
                sent_at=sent_at,
                ended_at=time.monotonic(),
                status=status,
                order_key=call.order_key,
                service=call.service,
                answer=answer,
                detail=detail,
            )
        )
        self.open_calls -= 1
        self.finish_if_done()

    async def post_call(
        self, node: str, call: Call, request: str
    ) -> tuple[int, AnswerBody, str]:
        """Send a call over HTTP; returns status, body and the error text, if any."""
        stream = call.stream
        request_body: dict[str, object] = {"query": "x", "limit": stream.limit}
        if call.service:
            request_body["service"] = call.service
        headers = {
            "Request-Id": [request],
            "Deadline-Ms": [f"{stream.deadline_ms:g}"],
        }
        if call.order_key:
            headers["Idempotency-Key"] = [call.order_key]
        resource = "orders" if stream.order else "search"
        url = f"http://{self.plan.entries[node]}/{resource}/{stream.workload}"
        pending: Deferred[IResponse] = self.agent.request(
            b"POST",
            url.encode(),
            Headers(headers),
            cast("IBodyProducer", BytesProducer(msgspec.json.encode(request_body))),
        )
        pending.addTimeout(
            stream.deadline_ms / MS_PER_S + TIMEOUT_MARGIN_S, self.reactor
        )
        try:
            response = await pending
            body = await readBody(response)
            return response.code, msgspec.json.decode(body, type=AnswerBody), ""
        except Exception as error:
            return 0, AnswerBody(), repr(error)[:200]

    def finish_if_done(self) -> None:
        """Write the records and stop the reactor once every call has ended."""
        if not self.all_sent or self.open_calls:
            return
        encoder = msgspec.json.Encoder()
        self.output.write_bytes(encoder.encode_lines(self.records))
        print(f"ended calls={len(self.records)}", flush=True)
        self.reactor.stop()


def main() -> None:
    """Run the plan in the file ``argv[1]`` and write the records to ``argv[2]``."""
    from twisted.internet import reactor

    plan = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=LoadPlan)
    running: Any = reactor
    running.seconds = time.monotonic
    run = LoadRun(running, plan, Path(sys.argv[2]))
    running.callWhenRunning(run.start)
    running.run()


if __name__ == "__main__":
    main()
