"""Property-based tests of a search under replies of any kind in any order."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from sardinehook.environment.document import Scope, Wait, Workload
from sardinehook.errors import Problem
from sardinehook.messages import Outcome, SubQuery, SubReply
from sardinehook.query.actions import Action, Cancel, Send, Settle
from sardinehook.query.answer import SearchAnswer
from sardinehook.query.budget import RESERVE_ATTEMPTS, RESERVE_ATTEMPTS_PER_S
from sardinehook.query.hedging import FixedDelayHedge, NoHedge, QuantileHedge
from sardinehook.query.memory import MemoryBudget
from sardinehook.query.policy import SearchPolicy
from sardinehook.query.search import Search, SearchRequest
from sardinehook.query.snapshot import ANY_SNAPSHOT, Snapshot
from tests.query.support import page_body, plans

SNAPSHOTS = [Snapshot(41, 1), Snapshot(42, 1), Snapshot(42, 2), Snapshot(43, 2)]
BAD_BODIES = [b"", b"{}", b"\xff", page_body(("x", 1.0, {}), truncated=True)]
WORKLOADS = st.builds(
    Workload,
    st.just(["logs", "members"]),
    st.just(Scope.ALL),
    st.just(150.0),
    st.sampled_from([0.0, 0.5, 1.0]),
    wait=st.sampled_from(list(Wait)),
    enough_coverage=st.sampled_from([0.5, 0.9, 1.0]),
    settle_ms=st.sampled_from([1.0, 20.0]),
    extra_load=st.sampled_from([0.0, 0.05, 0.5]),
    result_limit=st.just(1000),
)
HEDGES = st.sampled_from([NoHedge(), FixedDelayHedge(5.0), QuantileHedge()])
KNOWN = st.dictionaries(
    st.sampled_from(["logs", "members"]), st.sampled_from(SNAPSHOTS), max_size=2
)
DEADLINE_AT = 0.15


class SearchMachine(RuleBasedStateMachine):
    """Drives one search with arbitrary replies and checks its invariants.

    It keeps its own record of what was sent, is outstanding and was answered.
    """

    @initialize(
        workload=WORKLOADS,
        hedge=HEDGES,
        known=KNOWN,
        counts=st.tuples(st.integers(0, 6), st.integers(1, 4)),
        replicas=st.integers(1, 3),
    )
    def begin(
        self,
        workload: Workload,
        hedge: NoHedge | FixedDelayHedge | QuantileHedge,
        known: dict[str, Snapshot],
        counts: tuple[int, int],
        replicas: int,
    ) -> None:
        self.now = 0.0
        self.workload = workload
        self.policy = SearchPolicy(hedge=hedge, memory=MemoryBudget(2000))
        self.services = [
            *plans(counts[0], "logs", replicas),
            *plans(counts[1], "members", replicas),
        ]
        self.sent: dict[int, SubQuery] = {}
        self.outstanding: set[int] = set()
        self.answered_bodies: dict[tuple[str, Snapshot], bytes] = {}
        self.settle: Settle | None = None
        request = SearchRequest("r1", "storm", DEADLINE_AT, 1000, b"{}")
        self.search = Search(
            request, workload, self.services, known, self.policy, self.now
        )
        self.perform(self.search.begin(self.now))

    def perform(self, actions: list[Action]) -> None:
        for action in actions:
            assert self.settle is None
            match action:
                case Send(sub_query):
                    assert sub_query.sub_query_id not in self.sent
                    assert sub_query.deadline_ms > 0.0
                    self.sent[sub_query.sub_query_id] = sub_query
                    self.outstanding.add(sub_query.sub_query_id)
                case Cancel(sub_query_id):
                    self.outstanding.remove(sub_query_id)
                case Settle():
                    self.settle = action
                    assert self.now <= DEADLINE_AT

    @precondition(lambda self: self.sent)
    @rule(
        data=st.data(),
        outcome=st.sampled_from([Outcome.ANSWERED] * 6 + list(Outcome)),
        snapshot=st.sampled_from(SNAPSHOTS),
        as_asked=st.booleans(),
        bad_body=st.none() | st.sampled_from(BAD_BODIES),
        took=st.floats(0.0, 0.01),
    )
    def reply(
        self,
        data: st.DataObject,
        outcome: Outcome,
        snapshot: Snapshot,
        as_asked: bool,
        bad_body: bytes | None,
        took: float,
    ) -> None:
        self.pass_time(took)
        sub_query_id = data.draw(st.sampled_from(sorted(self.sent)))
        query = self.sent[sub_query_id]
        wanted = Snapshot(query.index_version, query.partitioning)
        if as_asked and wanted != ANY_SNAPSHOT:
            snapshot = wanted
        valid_body = page_body(
            (query.service, 1.0, snapshot), ("shared", 2.0, query.service)
        )
        body = valid_body if bad_body is None else bad_body
        if (
            sub_query_id in self.outstanding
            and outcome is Outcome.ANSWERED
            and body is valid_body
        ):
            self.answered_bodies[query.service, snapshot] = valid_body
        self.outstanding.discard(sub_query_id)
        self.perform(
            self.search.on_reply(
                SubReply(sub_query_id, outcome, *snapshot, 0.0, 1.0, True, "", body),
                self.now,
            )
        )

    @rule(sub_query_id=st.integers(10_000, 10_100))
    def foreign_reply(self, sub_query_id: int) -> None:
        reply = SubReply(
            sub_query_id, Outcome.ANSWERED, 42, 1, 0.0, 1.0, True, "", b"{}"
        )
        assert self.search.on_reply(reply, self.now) == []

    @rule(elapsed=st.floats(0.0, 0.03))
    def pass_time(self, elapsed: float) -> None:
        until = self.now + elapsed
        for _ in range(1000):
            due = self.search.next_timer()
            if due is None or due > until:
                break
            self.now = max(self.now, due)
            self.perform(self.search.on_timer(self.now))
        else:
            raise AssertionError("more than 1000 timers within one step")
        self.now = until

    @invariant()
    def extra_sends_are_within_the_budget(self) -> None:
        extra = len(self.sent) - self.search.fan_out.first_attempts
        reserve = RESERVE_ATTEMPTS + RESERVE_ATTEMPTS_PER_S * self.now
        earned = self.search.fan_out.first_attempts * self.workload.extra_load
        assert extra == self.search.fan_out.extra_attempts
        assert extra <= (earned + reserve if self.workload.extra_load else 0.0) + 1e-6

    @invariant()
    def memory_is_bounded_and_given_back(self) -> None:
        held = self.policy.memory.reserved_bytes
        assert 0 <= held <= self.policy.memory.max_bytes
        assert self.settle is None or held == 0

    @invariant()
    def settlement_is_whole_and_true(self) -> None:
        if self.settle is None:
            assert not self.search.settled
            return
        assert self.search.settled
        assert not self.outstanding
        self.check_coverage()

    def check_coverage(self) -> None:
        assert self.settle is not None
        coverage = self.settle.coverage
        missing = [held.service for held in coverage.missing]
        assert len(set(missing)) == len(missing)
        assert coverage.asked == len(self.services)
        assert coverage.answered == coverage.asked - len(missing)
        answered = [plan for plan in self.services if plan.service not in missing]
        for plan in answered:
            assert (plan.service, coverage.snapshot[plan.index]) in self.answered_bodies
        match self.settle.outcome:
            case SearchAnswer(_, records):
                assert coverage.ratio >= self.workload.least_coverage
                identities = [(hit.index, hit.id) for hit in records]
                assert len(set(identities)) == len(identities)
                names = {hit.id for hit in records} - {"shared"}
                assert names == {plan.service for plan in answered}
            case Problem():
                low = coverage.ratio < self.workload.least_coverage
                assert low or not coverage.answered

    def teardown(self) -> None:
        if hasattr(self, "search"):
            self.pass_time(1.0)
            assert self.settle is not None
            self.settlement_is_whole_and_true()


TestSearchMachine = SearchMachine.TestCase
TestSearchMachine.settings = settings(max_examples=150, stateful_step_count=30)
