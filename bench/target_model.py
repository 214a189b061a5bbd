"""The behaviour of one replica of the target stand-in, apart from its sockets."""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import NamedTuple

import msgspec

from bench.target_records import Shard, WorkEvent, WorkLog, records_body
from bench.target_settings import ReplicaSettings
from sardinehook.transport.reactor import TcpReactor, Timer

__all__ = ["Counters", "Request", "TargetModel", "TargetReply"]


class Request(NamedTuple):
    """A sub-query as a target sees it; ``deadline_ms`` is the time left."""

    request_id: str
    sub_query_id: str
    deadline_ms: float
    index_version: int
    partitioning: int
    order_key: str


class TargetReply(NamedTuple):
    """What a target answers; ``not_run`` promises that nothing was begun."""

    status: int
    index_version: int
    partitioning: int
    body: bytes
    not_run: bool = False


class Counters(msgspec.Struct):
    """What a replica has counted since the start of the process."""

    begun: int = 0
    finished: int = 0
    cancelled: int = 0
    expired: int = 0
    shed: int = 0
    wrong_version: int = 0
    begun_while_draining: int = 0
    peak_in_flight: int = 0
    peak_in_flight_cold: int = 0
    cold_overruns: int = 0
    fell_over: int = 0
    connections: int = 0
    peak_connections: int = 0
    connections_refused: int = 0
    connections_opened: int = 0
    status_polls: int = 0
    orders: dict[str, int] = msgspec.field(default_factory=dict)


@dataclass(eq=False, slots=True)
class Job:
    """Work that a target has taken on; ``timer`` is set once it runs."""

    request: Request
    reply: Callable[[TargetReply], None]
    version: int
    timer: Timer | None = None
    expiry: Timer | None = None


class TargetModel:
    """Slots, cold start, shedding, drain, deadlines and cancellation of a replica."""

    def __init__(
        self,
        reactor: TcpReactor,
        settings: ReplicaSettings,
        shard: Shard,
        per_service: int,
        seed: int,
        log: WorkLog,
    ) -> None:
        self.reactor = reactor
        self.settings = settings
        self.shard = shard
        self.per_service = per_service
        self.seed = seed
        self.log = log
        self.random = random.Random(f"{seed}/{settings.name}")
        self.counters = Counters()
        self.cold = settings.cold
        self.draining = False
        self.fall_over: Callable[[], None] = lambda: None
        self.warm_after = settings.cold_replies
        self.running: set[Job] = set()
        self.waiting: deque[Job] = deque()
        self.status_history: deque[tuple[float, bytes]] = deque(maxlen=512)

    @property
    def in_flight(self) -> int:
        """Return how many jobs run or wait."""
        return len(self.running) + len(self.waiting)

    @property
    def state(self) -> str:
        """Return the state as it stands in replies."""
        if self.draining:
            return "draining"
        return "cold" if self.cold else "warm"

    def submit(self, request: Request, reply: Callable[[TargetReply], None]) -> None:
        """Take on a sub-query or refuse it."""
        version = request.index_version or max(self.settings.versions)
        refusal = self.refusal(request, version)
        if refusal is not None:
            reply(refusal)
            return
        self.take_on(Job(request, reply, version))

    def refusal(self, request: Request, version: int) -> TargetReply | None:
        """Return the refusal of a sub-query, if it has one."""
        settings = self.settings
        wrong = version not in settings.versions
        if wrong or request.partitioning not in (0, settings.partitioning):
            self.counters.wrong_version += 1
            return self.answer(412, 0, b"", not_run=True)
        refuses = self.draining and not settings.works_while_draining
        full = self.in_flight >= settings.slots + settings.waiting
        if refuses or full or self.random.random() < settings.shed_rate:
            self.counters.shed += 1
            self.note("shed", request, version)
            return self.answer(503, version, b"", not_run=True)
        return None

    def take_on(self, job: Job) -> None:
        """Begin or queue a job; a cold target that is overrun falls over."""
        self.counters.begun += 1
        self.counters.begun_while_draining += self.draining
        if job.request.order_key:
            runs = self.counters.orders.get(job.request.order_key, 0)
            self.counters.orders[job.request.order_key] = runs + 1
        self.waiting.append(job)
        self.note("begun", job.request, job.version)
        if not self.settings.ignores_deadline:
            job.expiry = self.reactor.callLater(
                job.request.deadline_ms / 1000.0, lambda: self.expire(job)
            )
        self.count_in_flight()
        self.start_waiting()

    def count_in_flight(self) -> None:
        """Keep the peaks, and fall over where a cold start is overrun."""
        counters = self.counters
        counters.peak_in_flight = max(counters.peak_in_flight, self.in_flight)
        if not self.cold:
            return
        counters.peak_in_flight_cold = max(counters.peak_in_flight_cold, self.in_flight)
        if self.in_flight > self.settings.cold_start_slots:
            counters.cold_overruns += 1
            counters.fell_over += 1
            self.fall_over()

    def start_waiting(self) -> None:
        """Run jobs in the order of arrival while slots are free."""
        while self.waiting and len(self.running) < self.settings.slots:
            job = self.waiting.popleft()
            self.running.add(job)
            seconds = self.service_ms() / 1000.0
            job.timer = self.reactor.callLater(seconds, partial(self.finish, job))

    def service_ms(self) -> float:
        """Draw how long a job runs."""
        settings = self.settings
        drawn = settings.service_ms * math.exp(
            self.random.gauss(0.0, settings.service_sigma)
        )
        if self.random.random() < settings.straggler_rate:
            drawn *= settings.straggler_factor
        if self.cold:
            drawn *= settings.cold_factor
        return drawn * settings.slow_factor

    def finish(self, job: Job) -> None:
        """Answer a job that has run."""
        self.remove(job)
        self.counters.finished += 1
        self.note("finished", job.request, job.version)
        if self.cold:
            self.warm_up()
        if self.random.random() < self.settings.error_rate:
            self.note("spoiled", job.request, job.version)
            job.reply(self.answer(500, job.version, b""))
        else:
            flagged = self.random.random() < self.settings.flagged_rate
            if flagged:
                self.note("spoiled", job.request, job.version)
            job.reply(self.answer(200, job.version, self.body(job.version, flagged)))
        self.start_waiting()

    def body(self, version: int, flagged: bool) -> bytes:
        """Return the records of this replica at ``version``."""
        shard = self.shard._replace(
            version=version, partitioning=self.settings.partitioning
        )
        return records_body(shard, self.per_service, self.seed, flagged)

    def answer(
        self, status: int, version: int, body: bytes, not_run: bool = False
    ) -> TargetReply:
        """Return a reply from this replica."""
        return TargetReply(status, version, self.settings.partitioning, body, not_run)

    def warm_up(self) -> None:
        """Count a reply given while cold."""
        self.warm_after -= 1
        if self.warm_after <= 0:
            self.cold = False

    def expire(self, job: Job) -> None:
        """Abandon a job whose deadline has passed."""
        if job not in self.running and job not in self.waiting:
            return
        self.remove(job)
        self.counters.expired += 1
        self.note("expired", job.request, job.version)
        job.reply(self.answer(504, job.version, b""))
        self.start_waiting()

    def cancel(self, request_id: str, sub_query_id: str) -> int:
        """Abandon a job; return the status of the answer to the cancellation."""
        if self.settings.ignores_cancel:
            return 202
        for job in [*self.running, *self.waiting]:
            request = job.request
            if (request.request_id, request.sub_query_id) == (request_id, sub_query_id):
                self.remove(job)
                self.counters.cancelled += 1
                self.note("cancelled", request, job.version)
                job.reply(self.answer(409, job.version, b""))
                self.start_waiting()
                return 200
        return 404

    def remove(self, job: Job) -> None:
        """Take a job out of the slots or the queue."""
        self.running.discard(job)
        if job in self.waiting:
            self.waiting.remove(job)
        for timer in (job.timer, job.expiry):
            if timer is not None and timer.active():
                timer.cancel()

    def lose_all(self) -> None:
        """Lose all work, as a process does that ends."""
        for job in [*self.running, *self.waiting]:
            self.remove(job)
            self.note("lost", job.request, job.version)

    def become_cold(self) -> None:
        """Begin a cold start."""
        self.cold = True
        self.warm_after = self.settings.cold_replies

    def note(self, kind: str, request: Request, version: int) -> None:
        """Log an event of a sub-query."""
        event = WorkEvent(
            self.reactor.seconds(),
            kind,
            self.settings.name,
            request.request_id,
            request.sub_query_id,
            request.order_key,
            version,
            self.settings.partitioning,
            self.in_flight,
        )
        self.log.add(event)

    def note_life(self, kind: str) -> None:
        """Log an event of the replica itself."""
        self.note(kind, Request("", "", 0.0, 0, 0, ""), 0)

    def status_body(self) -> bytes:
        """Return the body of ``GET /status``, which may lag or lie."""
        self.counters.status_polls += 1
        now = self.reactor.seconds()
        body = msgspec.json.encode(
            {
                "state": self.settings.status_state or self.state,
                "in_flight": self.in_flight,
                "index_versions": self.settings.versions,
                "partitioning": self.settings.partitioning,
            }
        )
        self.status_history.append((now, body))
        latest = now - self.settings.status_lag_ms / 1000.0
        for at, older in reversed(self.status_history):
            if at <= latest:
                return older
        return self.status_history[0][1]
