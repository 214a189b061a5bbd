"""Random histories of an owner and one target, checked at the target."""

from __future__ import annotations

from dataclasses import dataclass

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from twisted.internet.error import ConnectionDone, ConnectionLost

from sardinehook.messages import Outcome
from sardinehook.target.allowance import Allowance
from tests.target.fakes import FakeLink, Rig, query

CONNECTIONS = 4


@dataclass
class Job:
    """What the target knows of one sub-query it has received."""

    link: FakeLink
    request_id: str
    deadline_at: float


class OwnerMachine(RuleBasedStateMachine):
    """Drives an owner by events in any order and counts at the target."""

    def __init__(self) -> None:
        super().__init__()
        self.rig = Rig(
            slots=3, cold=1, allowance=Allowance(3, CONNECTIONS, may_serve_cold=True)
        )
        self.numbers = 0
        self.orders: set[str] = set()
        self.cancelled: dict[int, int] = {}
        self.seen: dict[FakeLink, int] = {}
        self.jobs: dict[str, Job] = {}
        self.received: list[str] = []
        self.draining = False
        self.refused: set[str] = set()

    @property
    def now(self) -> float:
        return self.rig.reactor.seconds()

    def receive(self) -> None:
        """Take the requests that have newly come to the target."""
        self.jobs = {
            exchange: job
            for exchange, job in self.jobs.items()
            if job.deadline_at > self.now
        }
        for link in self.rig.reactor.links:
            for request in link.requests[self.seen.get(link, 0) :]:
                if request.startswith(b"POST /services"):
                    self.take_on(link)
            self.seen[link] = len(link.requests)

    def take_on(self, link: FakeLink) -> None:
        """Count one sub-query and check that the target bears it."""
        assert not self.draining
        request_id = link.header("Request-Id")
        self.received.append(request_id)
        left_s = int(link.header("Deadline-Ms")) / 1000.0
        job = Job(link, request_id, self.now + left_s)
        self.jobs[link.header("Sub-Query-Id")] = job
        assert len(self.jobs) <= self.rig.runner.ramp.bound

    def step(self, seconds: float = 0.002) -> None:
        """Let time pass, looking at the target after each millisecond."""
        for _ in range(round(seconds / 0.001)):
            self.rig.reactor.advance(0.001)
            self.receive()

    @rule(order=st.booleans(), deadline_ms=st.sampled_from([30.0, 80.0, 150.0]))
    def submit(self, order: bool, deadline_ms: float) -> None:
        self.numbers += 1
        key = f"k{self.numbers}" if order else ""
        sub_query = query(self.numbers, order_key=key, deadline_ms=deadline_ms)
        if order:
            self.orders.add(sub_query.request_id)
        self.rig.owner.submit("peer", sub_query, self.rig.replies.append)
        self.receive()
        self.step()

    @rule(order=st.booleans(), confirm=st.sampled_from([True, False, None]))
    def submit_and_cancel(self, order: bool, confirm: bool | None) -> None:
        self.submit(order, 150.0)
        self.rig.owner.cancel("peer", self.numbers)
        self.step()
        if confirm is not None:
            self.answer_cancellations(confirm)

    @rule(order=st.booleans(), clean=st.booleans())
    def submit_and_drop(self, order: bool, clean: bool) -> None:
        self.submit(order, 150.0)
        for link in self.rig.busy():
            if link.header("Request-Id") == f"r{self.numbers}":
                link.drop(ConnectionDone() if clean else ConnectionLost())
        self.step()

    @precondition(lambda self: self.jobs)
    @rule(
        data=st.data(),
        status=st.sampled_from([200, 200, 200, 200, 412, 500, 503, 504]),
        state=st.sampled_from(["warm", "warm", "warm", "cold"]),
    )
    def answer(self, data: st.DataObject, status: int, state: str) -> None:
        exchange = data.draw(st.sampled_from(sorted(self.jobs)))
        link = self.jobs[exchange].link
        if not link.open or link.protocol.finish is None:
            return
        if link.header("Sub-Query-Id") != exchange:
            return
        job = self.jobs.pop(exchange)
        if status in (412, 503):
            self.refused.add(job.request_id)
        link.answer(status, Target_State=state, Not_Run="true")
        self.receive()

    @rule(times=st.integers(8, 24))
    def serve_well(self, times: int) -> None:
        for _ in range(times):
            self.submit(False, 150.0)
            for exchange, job in list(self.jobs.items()):
                if job.link.open and job.link.header("Sub-Query-Id") == exchange:
                    del self.jobs[exchange]
                    job.link.answer()
            self.receive()

    @rule(confirm=st.booleans())
    def answer_cancellations(self, confirm: bool) -> None:
        for link in self.rig.busy("POST /cancel"):
            known = (
                self.jobs.pop(link.header("Sub-Query-Id"), None) if confirm else None
            )
            link.answer(200 if known else 404)
            self.receive()

    @rule(data=st.data(), clean=st.booleans())
    def drop(self, data: st.DataObject, clean: bool) -> None:
        links = [link for link in self.rig.reactor.links if link.open]
        if links:
            link = links[data.draw(st.integers(0, len(links) - 1))]
            link.drop(ConnectionDone() if clean else ConnectionLost())
        self.receive()

    @rule()
    def refuse_connections(self) -> None:
        self.rig.reactor.refuses = True
        if not any(link.open for link in self.rig.reactor.links):
            self.jobs.clear()
        self.step(0.02)
        self.rig.reactor.refuses = False
        self.step(0.08)

    @rule(seconds=st.sampled_from([0.005, 0.05, 0.2]))
    def wait(self, seconds: float) -> None:
        self.step(seconds)

    @rule(seconds=st.sampled_from([0.001, 0.1]))
    def hand_over_and_back(self, seconds: float) -> None:
        self.rig.owner.set_allowance("s-a", None)
        self.step(seconds)
        self.rig.owner.set_allowance("s-a", Allowance(3, CONNECTIONS, True))
        self.step(0.005)

    @invariant()
    def the_owner_never_counts_less_than_the_target(self) -> None:
        self.receive()
        assert self.rig.owner.in_flight("s-a") >= len(self.jobs)

    @invariant()
    def connections_stay_within_the_allowance(self) -> None:
        reactor = self.rig.reactor
        open_links = sum(link.open for link in reactor.links)
        assert open_links + self.rig.runner.pool.opening <= CONNECTIONS

    def teardown(self) -> None:
        self.step(0.4)
        ids = [reply.sub_query_id for reply in self.rig.replies]
        assert sorted(ids) == list(range(1, self.numbers + 1))
        for reply in self.rig.replies:
            sent = self.received.count(f"r{reply.sub_query_id}")
            if not reply.began:
                assert sent == 0 or f"r{reply.sub_query_id}" in self.refused
            if reply.outcome is Outcome.NOT_RUN:
                assert sent == 0
        for request_id in self.orders:
            assert self.received.count(request_id) <= 1


TestOwnerMachine = OwnerMachine.TestCase
TestOwnerMachine.settings = settings(max_examples=100, stateful_step_count=30)
