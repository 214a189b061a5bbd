"""Tests of concurrent changes, lost replies and promotion."""

from __future__ import annotations

from collections.abc import Coroutine
from functools import partial
from typing import TypeVar

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from sardinehook.environment.change import (
    Accepted,
    Change,
    Lost,
    Refused,
    Unchanged,
    Undecided,
    problem_of,
)
from sardinehook.environment.difference import differences
from sardinehook.environment.document import DataCentre, Replica
from sardinehook.environment.promotion import policy_digest, promote_policy, same_policy
from sardinehook.environment.registry import READ_BACK_TIMEOUT_S, RevisionRegistry
from sardinehook.environment.revision import encode_revision, head_key, make_revision
from sardinehook.errors import ErrorKind
from tests.environment.documents import document
from tests.environment.fake_store import FakeStore

Value = TypeVar("Value")

STEP_S = 0.05


class Desk:
    """The registry of one operator with a fake store and clock."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.store = FakeStore(self.clock)
        self.registry = RevisionRegistry(self.clock, self.store)

    def run(
        self, coroutine: Coroutine[Deferred[object], object, Value], limit_s: float = 30
    ) -> Value:
        """Run a coroutine to completion on the fake clock."""
        values: list[Value] = []
        done = Deferred.fromCoroutine(coroutine)
        done.addCallback(values.append)
        until = self.clock.seconds() + limit_s
        while not values and self.clock.seconds() < until:
            self.clock.advance(STEP_S)
        return values[0]

    def put(self, deadline_ms: float, edited_from: int, change_id: str) -> object:
        """Commit the document with the given deadline."""
        change = Change(document(deadline_ms), edited_from, change_id, "ilona", "")
        return self.run(self.registry.commit(change))

    def numbers(self) -> list[tuple[int, str]]:
        """Return the numbers and change ids of the history, oldest first."""
        found = self.run(self.registry.history("trial", 100)).unwrap()
        return [(past.number, past.change_id) for past in reversed(found)]

    def race(self, number: int, change_id: str, deadline_ms: float) -> None:
        """Replace the head as another operator."""
        key = head_key("trial")
        held = self.store.state.held.get(key)
        other = make_revision(number, change_id, "margit", "", document(deadline_ms))
        expect = held.revision if held else 0
        self.store.state.put(key, encode_revision(other), expect, "")


class TestCommit:
    def test_successive_changes_are_accepted(self) -> None:
        desk = Desk()
        assert isinstance(desk.put(100, 0, "a"), Accepted)
        assert isinstance(desk.put(200, 1, "b"), Accepted)
        assert isinstance(desk.put(200, 1, "c"), Unchanged)
        assert desk.numbers() == [(1, "a"), (2, "b")]

    def test_history_makes_one_call_per_revision(self) -> None:
        desk = Desk()
        for number in range(4):
            desk.put(100 + number, number, f"change-{number}")
        before = len(desk.store.calls)
        assert len(desk.numbers()) == 4
        assert len(desk.store.calls) - before == 4

    def test_losing_change_reports_the_winner_and_the_differences(self) -> None:
        desk = Desk()
        desk.put(100, 0, "a")
        desk.store.before_write = lambda: desk.race(2, "b", 300)
        lost = desk.put(200, 1, "c")
        assert isinstance(lost, Lost)
        assert lost.winner is not None
        assert lost.winner.author == "margit"
        assert [found.line() for found in lost.differences] == [
            "workloads.storm-night.deadline_ms: 200.0 -> 300.0"
        ]
        problem = problem_of(lost)
        assert problem is not None
        assert "revision 2 by margit" in problem.detail
        assert desk.numbers() == [(1, "a"), (2, "b")]

    def test_change_based_on_an_older_revision_writes_nothing(self) -> None:
        desk = Desk()
        desk.put(100, 0, "a")
        desk.put(200, 1, "b")
        writes = [call for call in desk.store.calls if call.startswith("put")]
        assert isinstance(desk.put(300, 1, "c"), Lost)
        assert [c for c in desk.store.calls if c.startswith("put")] == writes

    def test_change_is_refused_while_the_store_is_down(self) -> None:
        desk = Desk()
        desk.store.down = True
        refused = desk.put(100, 0, "a")
        assert isinstance(refused, Refused)
        assert refused.problem.kind is ErrorKind.STORE_UNAVAILABLE

    def test_change_planned_on_a_stale_read_loses(self) -> None:
        desk = Desk()
        desk.put(100, 0, "a")
        desk.store.freeze()
        desk.race(2, "b", 200)
        assert isinstance(desk.put(300, 1, "c"), Lost)


class TestLostReply:
    def test_change_is_accepted_after_reading_back(self) -> None:
        desk = Desk()
        desk.put(100, 0, "a")
        desk.store.lose_replies = 1
        assert isinstance(desk.put(200, 1, "b"), Accepted)
        heads = [c for c in desk.store.calls if c == "put environments/trial/head"]
        assert len(heads) == 2
        assert desk.numbers() == [(1, "a"), (2, "b")]

    def test_change_replaced_before_reading_back_is_accepted(self) -> None:
        desk = Desk()
        desk.put(100, 0, "a")
        desk.store.lose_replies = 1
        change = Change(document(200), 1, "b", "ilona", "")
        done = Deferred.fromCoroutine(desk.registry.commit(change))
        desk.clock.advance(0.001)
        desk.clock.advance(0.001)
        desk.clock.advance(0.001)
        other = RevisionRegistry(desk.clock, desk.store)
        later = Change(document(300), 2, "c", "margit", "")
        assert isinstance(desk.run(other.commit(later)), Accepted)
        assert isinstance(desk.run(settled(done)), Accepted)
        assert desk.numbers() == [(1, "a"), (2, "b"), (3, "c")]

    def test_change_that_lost_to_another_is_lost(self) -> None:
        desk = Desk()
        desk.put(100, 0, "a")
        desk.store.lose_replies = 1
        desk.store.before_write = lambda: desk.race(2, "b", 300)
        assert isinstance(desk.put(200, 1, "c"), Lost)

    def test_change_not_read_back_in_time_is_undecided_and_not_retried(self) -> None:
        desk = Desk()
        desk.put(100, 0, "a")
        desk.store.freeze()
        desk.store.lose_replies = 1
        began = desk.clock.seconds()
        undecided = desk.put(200, 1, "b")
        assert isinstance(undecided, Undecided)
        assert desk.clock.seconds() - began >= READ_BACK_TIMEOUT_S
        heads = [c for c in desk.store.calls if c == "put environments/trial/head"]
        assert len(heads) == 2
        problem = problem_of(undecided)
        assert problem is not None
        assert problem.kind is ErrorKind.OUTCOME_UNKNOWN


async def settled(done: Deferred[Value]) -> Value:
    """Wait for a coroutine that is already running."""
    return await done


class TestConcurrentOperators:
    @settings(max_examples=40)
    @given(
        st.lists(
            st.tuples(st.integers(0, 5), st.booleans(), st.integers(0, 8)),
            min_size=2,
            max_size=8,
        )
    )
    def test_history_is_linear_whoever_loses(
        self, operators: list[tuple[int, bool, int]]
    ) -> None:
        """Operators race from random bases; some replies to writes are lost."""
        desk = Desk()
        desk.put(100, 0, "base")
        ended: dict[str, object] = {}
        for place, (edited_from, loses_reply, delay) in enumerate(operators):
            desk.store.lose_replies += loses_reply
            name = f"change-{place}"
            changed = document(200.0 + place)
            change = Change(changed, edited_from % 3 + 1, name, "ilona", "")
            done = Deferred.fromCoroutine(desk.registry.commit(change))
            done.addCallback(partial(ended.__setitem__, name))
            desk.clock.pump([0.001] * delay)
        desk.clock.pump([STEP_S] * 300)
        history = desk.numbers()
        assert [number for number, _ in history] == list(range(1, len(history) + 1))
        accepted = {n for n, outcome in ended.items() if isinstance(outcome, Accepted)}
        assert len(ended) == len(operators)
        assert {name for _, name in history} == {"base", *accepted}


class TestPromotion:
    def test_policy_is_copied_and_placement_is_kept(self) -> None:
        tested = document(140)
        production = document(150)._replace(
            environment="production", data_centres={"szolnok-b": DataCentre("alfold")}
        )
        index = production.indexes["logfinder"]
        replica = Replica("logfinder-01-z", "szolnok-b", "127.0.0.1:21000")
        moved = index._replace(services={"logfinder-01": [replica]})
        production = production._replace(indexes={"logfinder": moved})
        result = promote_policy(tested, production).unwrap()
        assert policy_digest(result) == policy_digest(tested)
        assert same_policy(result, tested)
        assert result.environment == "production"
        assert result.data_centres == production.data_centres
        assert [found.key for found in differences(production, result)] == [
            "workloads.storm-night.deadline_ms"
        ]

    def test_service_without_replicas_in_the_target_is_refused(self) -> None:
        tested = document()
        index = tested.indexes["logfinder"]
        replica = Replica("logfinder-02-a", "szolnok-b", "127.0.0.1:9")
        services = {**index.services, "logfinder-02": [replica]}
        wider = tested._replace(
            indexes={"logfinder": index._replace(services=services)}
        )
        refused = promote_policy(wider, document()._replace(environment="production"))
        assert isinstance(refused, Failure)
        assert refused.failure().detail == "production has no replicas of logfinder-02"
