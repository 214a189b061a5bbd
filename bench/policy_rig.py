"""Simulates entries that run the search policy, and replicas, on a virtual clock."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import NamedTuple

from sardinehook.environment.document import Limits, Workload
from sardinehook.errors import Problem
from sardinehook.messages import Outcome, SubQuery, SubReply
from sardinehook.query.actions import Action, Cancel, Send, Settle
from sardinehook.query.admission import AdmissionController, AdmittedRequest
from sardinehook.query.hedging import HedgePolicy
from sardinehook.query.plan import SearchRequest, ServicePlan
from sardinehook.query.policy import SearchPolicy
from sardinehook.query.replica_choice import Placement, ReplicaChooser
from sardinehook.query.search import Search
from sardinehook.query.snapshot import Snapshot

__all__ = [
    "Arm",
    "ArrivalProcess",
    "Faults",
    "FinishedRequest",
    "SimulatedEntry",
    "SimulatedReplica",
    "VirtualClock",
]

LINK_DELAY_MS = 0.4
LINK_JITTER_MS = 0.2
SERVICE_MEDIAN_MS = 4.0
SERVICE_SIGMA = 0.35
SLOW_FACTOR = 20.0
CURRENT_SNAPSHOT = Snapshot(42, 1)
DATA_CENTRE = "szolnok-b"
REPLY_BODY = b'{"records":[{"id":"a","rank":1.0,"fields":{}}],"truncated":false}'


class VirtualClock:
    """Runs scheduled calls in order of time, in seconds from zero."""

    def __init__(self) -> None:
        self.now = 0.0
        self.order = count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []

    def at(self, time: float, call: Callable[[], None]) -> None:
        """Run ``call`` at ``time``."""
        heappush(self.events, (time, next(self.order), call))

    def run(self) -> None:
        """Run until no scheduled call is left."""
        while self.events:
            self.now, _, call = heappop(self.events)
            call()


class Faults(NamedTuple):
    """Injected faults: a ratio of slow replies, and replicas that are always slow."""

    slow_reply_ratio: float = 0.0
    slow_replicas: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Arm:
    """One policy to compare. ``admits`` turns admission control on."""

    name: str
    hedge: HedgePolicy
    reply_timeout_ratio: float = 0.5
    enforces_budget: bool = True
    random_replica: bool = False
    admits: bool = False


class ArrivalProcess(NamedTuple):
    """Poisson arrivals of the requests of one workload."""

    workload_name: str
    workload: Workload
    per_second: float


class RandomChooser(ReplicaChooser):
    """A baseline that orders replicas at random and ignores their latency and load."""

    def order(self, placements: Sequence[Placement], now: float) -> tuple[str, ...]:
        """Return the replicas in random order."""
        names = [placement.replica for placement in placements]
        self.random.shuffle(names)
        return tuple(names)


@dataclass(slots=True)
class SubQueryJob:
    """A sub-query that is queued or running at a replica."""

    sub_query: SubQuery
    reply: Callable[[SubReply], None]
    queued_at: float
    expires_at: float
    running: bool = False
    ended: bool = False


class SimulatedReplica:
    """A target with a number of slots behind its owner's priority queue."""

    def __init__(
        self, name: str, slots: int, clock: VirtualClock, random: Random, faults: Faults
    ) -> None:
        self.name = name
        self.free_slots = slots
        self.clock = clock
        self.random = random
        self.faults = faults
        self.queues: dict[int, deque[SubQueryJob]] = {}

    def draw_service_s(self) -> float:
        """Draw a service time in seconds from the log-normal distribution."""
        time = SERVICE_MEDIAN_MS * self.random.lognormvariate(0.0, SERVICE_SIGMA)
        slow = self.random.random() < self.faults.slow_reply_ratio
        if slow or self.name in self.faults.slow_replicas:
            time *= SLOW_FACTOR
        return time / 1000.0

    def submit(self, job: SubQueryJob) -> None:
        """Queue a sub-query and start it if a slot is free."""
        self.queues.setdefault(job.sub_query.priority, deque()).append(job)
        self.start_queued()

    def cancel(self, job: SubQueryJob) -> None:
        """Cancel a sub-query; a running one frees its slot."""
        if job.ended:
            return
        job.ended = True
        if job.running:
            self.free_slots += 1
            self.start_queued()

    def start_queued(self) -> None:
        """Start queued sub-queries while slots are free."""
        while self.free_slots:
            job = self.take_next_job()
            if job is None:
                return
            self.start(job)

    def take_next_job(self) -> SubQueryJob | None:
        """Remove and return the next sub-query in order of priority."""
        for priority in sorted(self.queues):
            queue = self.queues[priority]
            while queue:
                job = queue.popleft()
                if not job.ended:
                    return job
        return None

    def start(self, job: SubQueryJob) -> None:
        """Run a sub-query, or reply LATE if its deadline has passed."""
        now = self.clock.now
        queued_ms = (now - job.queued_at) * 1000.0
        if now >= job.expires_at:
            job.reply(make_reply(job.sub_query, Outcome.LATE, queued_ms, 0.0))
            return
        job.running = True
        self.free_slots -= 1
        service_s = self.draw_service_s()
        self.clock.at(now + service_s, lambda: self.finish(job, queued_ms, service_s))

    def finish(self, job: SubQueryJob, queued_ms: float, service_s: float) -> None:
        """Reply to a sub-query that was not cancelled, and free its slot."""
        if job.ended:
            return
        job.ended = True
        self.free_slots += 1
        job.reply(
            make_reply(job.sub_query, Outcome.ANSWERED, queued_ms, service_s * 1000.0)
        )
        self.start_queued()


def make_reply(
    sub_query: SubQuery, outcome: Outcome, queued_ms: float, service_ms: float
) -> SubReply:
    """Return the reply that ends a sub-query."""
    answered = outcome is Outcome.ANSWERED
    return SubReply(
        sub_query.sub_query_id,
        outcome,
        CURRENT_SNAPSHOT.index_version,
        CURRENT_SNAPSHOT.partitioning,
        queued_ms,
        service_ms,
        answered,
        "",
        REPLY_BODY if answered else b"",
    )


class FinishedRequest(NamedTuple):
    """The result of one request. A ``refused`` one was not run at all."""

    workload: str
    arrived_at: float
    latency_ms: float
    coverage: float
    answered: bool
    refused: bool
    first_attempts: int
    extra_attempts: int


@dataclass(slots=True)
class RunningSearch:
    """A search in progress at an entry."""

    search: Search
    admitted_request: AdmittedRequest
    arrived_at: float
    workload: str
    timer_at: float = field(default=float("inf"))


class SimulatedEntry:
    """An entry process with its own policy, latency estimates and admission control."""

    def __init__(
        self,
        number: int,
        arm: Arm,
        services: Sequence[tuple[str, tuple[Placement, ...]]],
        replicas: dict[str, SimulatedReplica],
        clock: VirtualClock,
        seed: int,
    ) -> None:
        self.number = number
        self.clock = clock
        self.services = services
        self.replicas = replicas
        self.random = Random(seed * 1000 + number)
        chooser = RandomChooser if arm.random_replica else ReplicaChooser
        self.policy = SearchPolicy(
            hedge=arm.hedge,
            reply_timeout_ratio=arm.reply_timeout_ratio,
            enforces_budget=arm.enforces_budget,
            chooser=chooser(DATA_CENTRE, seed * 1000 + number),
        )
        self.admission = AdmissionController(Limits()) if arm.admits else None
        self.running: dict[int, RunningSearch] = {}
        self.jobs: dict[int, SubQueryJob] = {}
        self.finished: list[FinishedRequest] = []

    def schedule_first_arrival(self, arrivals: ArrivalProcess, until: float) -> None:
        """Schedule the first arrival of a workload."""
        gap = self.random.expovariate(arrivals.per_second)
        self.clock.at(gap, lambda: self.arrive(arrivals, until))

    def arrive(self, arrivals: ArrivalProcess, until: float) -> None:
        """Start the search of one request and schedule the next arrival."""
        now = self.clock.now
        gap = self.random.expovariate(arrivals.per_second)
        if now + gap < until:
            self.clock.at(now + gap, lambda: self.arrive(arrivals, until))
        name, workload = arrivals.workload_name, arrivals.workload
        admitted_request = self.admit(arrivals, now)
        if admitted_request is None:
            self.finished.append(
                FinishedRequest(name, now, 0.0, 0.0, False, True, 0, 0)
            )
            return
        request = SearchRequest(
            "r", name, now + workload.deadline_ms / 1000.0, 10, b"{}"
        )
        plans = [
            ServicePlan("logs", service, self.policy.chooser.order(placements, now))
            for service, placements in self.services
        ]
        search = Search(
            request, workload, plans, {"logs": CURRENT_SNAPSHOT}, self.policy, now
        )
        running = RunningSearch(search, admitted_request, now, name)
        self.perform_actions(running, search.begin(now))

    def admit(self, arrivals: ArrivalProcess, now: float) -> AdmittedRequest | None:
        """Return the admitted request, or None if admission control refuses it."""
        name, workload = arrivals.workload_name, arrivals.workload
        cost = len(self.services)
        if self.admission is None:
            return AdmittedRequest(name, workload.priority, cost, now)
        admitted = self.admission.admit(name, workload, cost, workload.deadline_ms, now)
        return admitted.value_or(None)

    def perform_actions(
        self, running: RunningSearch, actions: Sequence[Action]
    ) -> None:
        """Perform the actions that a search returned."""
        for action in actions:
            match action:
                case Send(sub_query):
                    self.running[sub_query.sub_query_id] = running
                    self.send(sub_query)
                case Cancel(sub_query_id):
                    self.running.pop(sub_query_id)
                    self.cancel(sub_query_id)
                case Settle():
                    self.settle(running, action)
        self.schedule_timer(running)

    def draw_link_s(self) -> float:
        """Draw the one-way delay of a message in seconds."""
        return (LINK_DELAY_MS + self.random.random() * LINK_JITTER_MS) / 1000.0

    def send(self, sub_query: SubQuery) -> None:
        """Send a sub-query to its replica."""
        replica = self.replicas[sub_query.replica]
        now = self.clock.now
        job = SubQueryJob(
            sub_query, self.deliver_reply, now, now + sub_query.deadline_ms / 1000.0
        )
        self.jobs[sub_query.sub_query_id] = job
        self.clock.at(now + self.draw_link_s(), lambda: replica.submit(job))

    def cancel(self, sub_query_id: int) -> None:
        """Send a cancellation to the replica that has the sub-query."""
        job = self.jobs.pop(sub_query_id)
        replica = self.replicas[job.sub_query.replica]
        self.clock.at(self.clock.now + self.draw_link_s(), lambda: replica.cancel(job))

    def deliver_reply(self, reply: SubReply) -> None:
        """Schedule the arrival of a reply at its search."""
        self.clock.at(self.clock.now + self.draw_link_s(), lambda: self.on_reply(reply))

    def on_reply(self, reply: SubReply) -> None:
        """Pass a reply to its search; replies to cancelled sub-queries are dropped."""
        running = self.running.pop(reply.sub_query_id, None)
        if running is not None:
            del self.jobs[reply.sub_query_id]
            actions = running.search.on_reply(reply, self.clock.now)
            self.perform_actions(running, actions)

    def schedule_timer(self, running: RunningSearch) -> None:
        """Schedule the next timer of a search if it is due before the current one."""
        due = running.search.next_timer()
        if due is not None and due < running.timer_at:
            running.timer_at = due
            self.clock.at(due, lambda: self.on_timer(running))

    def on_timer(self, running: RunningSearch) -> None:
        """Fire the timer of a search if it is due, or schedule it again."""
        running.timer_at = float("inf")
        due = running.search.next_timer()
        if due is not None and due <= self.clock.now:
            self.perform_actions(running, running.search.on_timer(self.clock.now))
        else:
            self.schedule_timer(running)

    def settle(self, running: RunningSearch, settle: Settle) -> None:
        """Record how a search ended."""
        now = self.clock.now
        answered = not isinstance(settle.outcome, Problem)
        search = running.search
        self.finished.append(
            FinishedRequest(
                running.workload,
                running.arrived_at,
                (now - running.arrived_at) * 1000.0,
                settle.coverage.ratio,
                answered,
                False,
                search.fan_out.first_attempts,
                search.fan_out.extra_attempts,
            )
        )
        if self.admission is not None:
            congested = search.was_congested()
            self.admission.finish(running.admitted_request, congested, answered, now)
