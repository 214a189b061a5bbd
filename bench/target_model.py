"""The behaviour of one simulated replica, independent of its sockets."""

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
    """A sub-query as received; ``deadline_ms`` is the remaining time."""

    request_id: str
    sub_query_id: str
    deadline_ms: float
    index_version: int
    partitioning: int
    order_key: str


class TargetReply(NamedTuple):
    """A reply; ``not_run`` guarantees that no work was begun."""

    status: int
    index_version: int
    partitioning: int
    body: bytes
    not_run: bool = False


class Counters(msgspec.Struct):
    """Counters of a replica since the start of the process."""

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
    """An accepted sub-query; ``timer`` is set once it occupies a slot."""

    request: Request
    reply: Callable[[TargetReply], None]
    version: int
    timer: Timer | None = None
    expiry: Timer | None = None


class TargetModel:
    """Models slots, queue, cold start, shedding, drain, deadlines and cancellation."""

    def __init__(
        self,
        reactor: TcpReactor,
        settings: ReplicaSettings,
        shard: Shard,
        records_per_service: int,
        seed: int,
        log: WorkLog,
    ) -> None:
        self.reactor = reactor
        self.settings = settings
        self.shard = shard
        self.records_per_service = records_per_service
        self.seed = seed
        self.log = log
        self.random = random.Random(f"{seed}/{settings.name}")
        self.counters = Counters()
        self.cold = settings.cold
        self.draining = False
        self.crash: Callable[[], None] = lambda: None
        self.cold_replies_left = settings.cold_replies
        self.running: set[Job] = set()
        self.waiting: deque[Job] = deque()
        self.status_history: deque[tuple[float, bytes]] = deque(maxlen=512)

    @property
    def in_flight(self) -> int:
        """The number of running and queued jobs."""
        return len(self.running) + len(self.waiting)

    @property
    def state(self) -> str:
        """The state that replies report."""
        if self.draining:
            return "draining"
        return "cold" if self.cold else "warm"

    def submit(self, request: Request, reply: Callable[[TargetReply], None]) -> None:
        """Accept a sub-query or refuse it at once.

        Index version 0 selects the newest version held.
        """
        version = request.index_version or max(self.settings.versions)
        refusal = self.refusal(request, version)
        if refusal is not None:
            reply(refusal)
            return
        self.accept(Job(request, reply, version))

    def refusal(self, request: Request, version: int) -> TargetReply | None:
        """Return the reply that refuses a sub-query, None if it is admitted.

        412 for a version that is not held; 503 while draining, when slots and queue
        are full, or at random.
        """
        settings = self.settings
        wrong = version not in settings.versions
        if wrong or request.partitioning not in (0, settings.partitioning):
            self.counters.wrong_version += 1
            return self.make_reply(412, 0, b"", not_run=True)
        refuses = self.draining and not settings.works_while_draining
        full = self.in_flight >= settings.slots + settings.waiting
        if refuses or full or self.random.random() < settings.shed_rate:
            self.counters.shed += 1
            self.log_event("shed", request, version)
            return self.make_reply(503, version, b"", not_run=True)
        return None

    def accept(self, job: Job) -> None:
        """Queue a job and start it if a slot is free.

        A cold target with more jobs than ``cold_start_slots`` crashes.
        """
        self.counters.begun += 1
        self.counters.begun_while_draining += self.draining
        if job.request.order_key:
            runs = self.counters.orders.get(job.request.order_key, 0)
            self.counters.orders[job.request.order_key] = runs + 1
        self.waiting.append(job)
        self.log_event("begun", job.request, job.version)
        if not self.settings.ignores_deadline:
            job.expiry = self.reactor.callLater(
                job.request.deadline_ms / 1000.0, lambda: self.expire(job)
            )
        self.count_in_flight()
        self.start_waiting()

    def count_in_flight(self) -> None:
        """Update the peaks; crash if a cold target exceeds ``cold_start_slots``."""
        counters = self.counters
        counters.peak_in_flight = max(counters.peak_in_flight, self.in_flight)
        if not self.cold:
            return
        counters.peak_in_flight_cold = max(counters.peak_in_flight_cold, self.in_flight)
        if self.in_flight > self.settings.cold_start_slots:
            counters.cold_overruns += 1
            counters.fell_over += 1
            self.crash()

    def start_waiting(self) -> None:
        """Start queued jobs in FIFO order while slots are free."""
        while self.waiting and len(self.running) < self.settings.slots:
            job = self.waiting.popleft()
            self.running.add(job)
            seconds = self.service_ms() / 1000.0
            job.timer = self.reactor.callLater(seconds, partial(self.finish, job))

    def service_ms(self) -> float:
        """Draw the log-normal service time of a job, with stragglers and cold start."""
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
        """Send the reply of a completed job and start the next."""
        self.remove(job)
        self.counters.finished += 1
        self.log_event("finished", job.request, job.version)
        if self.cold:
            self.count_cold_reply()
        if self.random.random() < self.settings.error_rate:
            self.log_event("spoiled", job.request, job.version)
            job.reply(self.make_reply(500, job.version, b""))
        else:
            flagged = self.random.random() < self.settings.flagged_rate
            if flagged:
                self.log_event("spoiled", job.request, job.version)
            job.reply(
                self.make_reply(200, job.version, self.body(job.version, flagged))
            )
        self.start_waiting()

    def body(self, version: int, flagged: bool) -> bytes:
        """Return the reply body with the records of this replica at ``version``."""
        shard = self.shard._replace(
            version=version, partitioning=self.settings.partitioning
        )
        return records_body(shard, self.records_per_service, self.seed, flagged)

    def make_reply(
        self, status: int, version: int, body: bytes, not_run: bool = False
    ) -> TargetReply:
        """Build a reply with the partitioning of this replica."""
        return TargetReply(status, version, self.settings.partitioning, body, not_run)

    def count_cold_reply(self) -> None:
        """Count a reply in the cold state; the last one ends the cold start."""
        self.cold_replies_left -= 1
        if self.cold_replies_left <= 0:
            self.cold = False

    def expire(self, job: Job) -> None:
        """Abort a job whose deadline has passed; replies 504."""
        if job not in self.running and job not in self.waiting:
            return
        self.remove(job)
        self.counters.expired += 1
        self.log_event("expired", job.request, job.version)
        job.reply(self.make_reply(504, job.version, b""))
        self.start_waiting()

    def cancel(self, request_id: str, sub_query_id: str) -> int:
        """Cancel a job and return the HTTP status of the cancellation.

        200 if cancelled, 404 if there is no such job, 202 if cancellation is ignored.
        """
        if self.settings.ignores_cancel:
            return 202
        for job in [*self.running, *self.waiting]:
            request = job.request
            if (request.request_id, request.sub_query_id) == (request_id, sub_query_id):
                self.remove(job)
                self.counters.cancelled += 1
                self.log_event("cancelled", request, job.version)
                job.reply(self.make_reply(409, job.version, b""))
                self.start_waiting()
                return 200
        return 404

    def remove(self, job: Job) -> None:
        """Remove a job from the slots or the queue and cancel its timers."""
        self.running.discard(job)
        if job in self.waiting:
            self.waiting.remove(job)
        for timer in (job.timer, job.expiry):
            if timer is not None and timer.active():
                timer.cancel()

    def abort_all(self) -> None:
        """Drop all jobs without a reply, as when the process exits."""
        for job in [*self.running, *self.waiting]:
            self.remove(job)
            self.log_event("lost", job.request, job.version)

    def start_cold_state(self) -> None:
        """Enter the cold state."""
        self.cold = True
        self.cold_replies_left = self.settings.cold_replies

    def log_event(self, kind: str, request: Request, version: int) -> None:
        """Append an event of a sub-query to the log."""
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

    def log_replica_event(self, kind: str) -> None:
        """Append an event of the replica itself to the log."""
        self.log_event(kind, Request("", "", 0.0, 0, 0, ""), 0)

    def status_body(self) -> bytes:
        """Return the body of ``GET /status``.

        With ``status_lag_ms`` it is out of date; ``status_state`` replaces the state.
        """
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
        as_of = now - self.settings.status_lag_ms / 1000.0
        for at, body_then in reversed(self.status_history):
            if at <= as_of:
                return body_then
        return self.status_history[0][1]
