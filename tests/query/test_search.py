"""Tests of replies, coverage and settlement of one search."""

from __future__ import annotations

from itertools import count

import msgspec
import pytest

from sardinehook.environment.document import Wait
from sardinehook.errors import ErrorKind, Problem
from sardinehook.messages import ANY_VERSION, Outcome
from sardinehook.query.answer import SearchAnswer, encode_answer
from sardinehook.query.coverage import MissingReason, MissingService
from sardinehook.query.plan import ServicePlan
from sardinehook.query.policy import SearchPolicy
from tests.query.support import (
    NEW,
    OLD,
    WORKLOAD,
    cancelled,
    page_body,
    plans,
    reply_to,
    sent,
    settlement,
    start,
)


def single_replicas() -> list[ServicePlan]:
    return plans(4, replicas=1)


class TestAnswer:
    def test_all_services_answer(self) -> None:
        search, actions = start(single_replicas())
        queries = sent(actions)
        assert [query.index_version for query in queries] == [42] * 4
        for query in queries[:-1]:
            assert search.on_reply(reply_to(query), 0.01) == []
        settle = settlement(search.on_reply(reply_to(queries[-1]), 0.02))
        assert isinstance(settle.outcome, SearchAnswer)
        assert settle.coverage.ratio == 1.0
        body = msgspec.json.decode(encode_answer(settle.outcome))
        assert [record["id"] for record in body["records"]] == [
            f"logs-{number}" for number in range(4)
        ]
        assert body["coverage"]["snapshot"] == {
            "logs": {"index_version": 42, "partitioning": 1}
        }
        assert search.next_timer() is None

    def test_sub_query_ids_are_unique_across_searches(self) -> None:
        policy = SearchPolicy(count(7))
        _, first = start(plans(2), policy=policy)
        _, second = start(plans(2), policy=policy)
        ids = [query.sub_query_id for query in sent(first) + sent(second)]
        assert ids == [7, 8, 9, 10]

    def test_late_duplicate_and_unknown_replies_are_dropped(self) -> None:
        search, actions = start(plans(2, replicas=1))
        first, second = sent(actions)
        search.on_reply(reply_to(first), 0.01)
        assert search.on_reply(reply_to(first), 0.01) == []
        foreign = reply_to(second)._replace(sub_query_id=999)
        assert search.on_reply(foreign, 0.01) == []
        settle = settlement(search.on_timer(0.15))
        assert settle.coverage.answered == 1
        assert search.on_reply(reply_to(second), 0.2) == []
        assert search.on_timer(0.2) == []


class TestCoverage:
    @pytest.mark.parametrize(
        ("outcome", "reason"),
        [
            (Outcome.SHED, MissingReason.SHED),
            (Outcome.NOT_RUN, MissingReason.NOT_RUN),
            (Outcome.LATE, MissingReason.LATE),
            (Outcome.WRONG_VERSION, MissingReason.WRONG_VERSION),
            (Outcome.GARBLED, MissingReason.GARBLED),
            (Outcome.CONNECTION_LOST, MissingReason.CONNECTION_LOST),
            (Outcome.FAILED, MissingReason.FAILED),
        ],
    )
    def test_failed_sub_query_makes_its_service_missing(
        self, outcome: Outcome, reason: MissingReason
    ) -> None:
        search, actions = start(plans(2, replicas=1))
        first, second = sent(actions)
        search.on_reply(reply_to(first, outcome), 0.01)
        settle = settlement(search.on_reply(reply_to(second), 0.01))
        assert settle.coverage.missing == (MissingService("logs-0", reason),)

    @pytest.mark.parametrize(
        ("body", "reason"),
        [
            (b"", MissingReason.GARBLED),
            (page_body(("a", 1.0, {}), truncated=True), MissingReason.TRUNCATED),
            (b" " * 1_048_577, MissingReason.TOO_LARGE),
        ],
    )
    def test_unusable_body_makes_its_service_missing(
        self, body: bytes, reason: MissingReason
    ) -> None:
        search, actions = start(plans(2, replicas=1))
        first, second = sent(actions)
        search.on_reply(reply_to(first, body=body), 0.01)
        settle = settlement(search.on_reply(reply_to(second), 0.01))
        assert settle.coverage.missing == (MissingService("logs-0", reason),)

    def test_reply_of_another_snapshot_is_missing_and_never_mixed(self) -> None:
        search, actions = start(plans(2, replicas=1))
        first, second = sent(actions)
        search.on_reply(reply_to(first, snapshot=OLD), 0.01)
        settle = settlement(search.on_reply(reply_to(second), 0.01))
        assert settle.coverage.missing == (
            MissingService("logs-0", MissingReason.WRONG_VERSION),
        )
        assert isinstance(settle.outcome, SearchAnswer)
        assert [hit.id for hit in settle.outcome.records] == ["logs-1"]

    def test_a_service_without_a_replica_is_missing(self) -> None:
        services = [*plans(2), ServicePlan("logs", "lost", ())]
        search, actions = start(services)
        for query in sent(actions):
            actions = search.on_reply(reply_to(query), 0.01)
        assert settlement(actions).coverage.missing == (
            MissingService("lost", MissingReason.NO_REPLICA),
        )

    def test_unknown_versions_are_never_mixed(self) -> None:
        search, actions = start(plans(3, replicas=1), snapshots={})
        queries = sent(actions)
        assert queries[0].index_version == ANY_VERSION
        search.on_reply(reply_to(queries[0], snapshot=OLD), 0.01)
        search.on_reply(reply_to(queries[1]), 0.01)
        settle = settlement(search.on_reply(reply_to(queries[2]), 0.01))
        assert settle.coverage.answered == 2
        assert settle.coverage.snapshot == {"logs": NEW}
        assert settle.coverage.missing == (
            MissingService("logs-0", MissingReason.WRONG_VERSION),
        )


class TestSettlement:
    def test_settles_before_the_deadline_and_cancels_outstanding(self) -> None:
        search, actions = start(single_replicas())
        queries = sent(actions)
        for query in queries[:2]:
            search.on_reply(reply_to(query), 0.01)
        actions = []
        while not actions:
            due = search.next_timer()
            assert due is not None and due < 0.15
            actions = search.on_timer(due)
        assert cancelled(actions) == [query.sub_query_id for query in queries[2:]]
        assert settlement(actions).coverage.ratio == 0.5

    def test_enough_coverage_settles_early(self) -> None:
        workload = WORKLOAD._replace(
            wait=Wait.ENOUGH, enough_coverage=0.75, settle_ms=5.0
        )
        search, actions = start(single_replicas(), workload)
        for query in sent(actions)[:3]:
            search.on_reply(reply_to(query), 0.01)
        assert search.next_timer() == pytest.approx(0.015)
        assert settlement(search.on_timer(0.015)).coverage.ratio == 0.75

    def test_unreachable_least_coverage_fails_at_once(self) -> None:
        workload = WORKLOAD._replace(least_coverage=0.9)
        search, actions = start(single_replicas(), workload)
        first, second, *_ = sent(actions)
        search.on_reply(reply_to(first), 0.01)
        actions = search.on_reply(reply_to(second, Outcome.FAILED), 0.01)
        assert len(cancelled(actions)) == 2
        settle = settlement(actions)
        assert isinstance(settle.outcome, Problem)
        assert settle.outcome.kind is ErrorKind.COVERAGE_BELOW_LEAST
        assert settle.coverage.answered == 1

    def test_search_without_sub_queries_is_marked_not_run(self) -> None:
        _, actions = start([ServicePlan("logs", "lost", ())])
        problem = settlement(actions).outcome
        assert isinstance(problem, Problem)
        assert problem.response.not_run

    def test_expired_deadline_is_marked_not_run(self) -> None:
        _, actions = start(plans(2), deadline_at=0.0)
        assert sent(actions) == []
        problem = settlement(actions).outcome
        assert isinstance(problem, Problem)
        assert problem.kind is ErrorKind.DEADLINE_TOO_SHORT
        assert problem.response.not_run

    def test_search_of_which_nothing_began_is_marked_not_run(self) -> None:
        search, actions = start(plans(1, replicas=1))
        reply = reply_to(sent(actions)[0], Outcome.NOT_RUN, began=False)
        problem = settlement(search.on_reply(reply, 0.01)).outcome
        assert isinstance(problem, Problem)
        assert problem.response.not_run

    def test_search_that_began_and_failed_is_not_marked_not_run(self) -> None:
        search, actions = start(plans(1, replicas=1))
        reply = reply_to(sent(actions)[0], Outcome.FAILED, began=True)
        problem = settlement(search.on_reply(reply, 0.01)).outcome
        assert isinstance(problem, Problem)
        assert not problem.response.not_run

    def test_search_that_may_have_begun_is_not_marked_not_run(self) -> None:
        search, _ = start(plans(1, replicas=1))
        problem = settlement(search.on_timer(0.15)).outcome
        assert isinstance(problem, Problem)
        assert not problem.response.not_run
