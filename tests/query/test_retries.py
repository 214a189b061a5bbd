"""Tests of hedges, retries and restarts on a newer snapshot."""

from __future__ import annotations

import pytest

from sardinehook.environment.document import Wait
from sardinehook.messages import Outcome
from sardinehook.query.answer import SearchAnswer
from sardinehook.query.budget import RESERVE_ATTEMPTS
from sardinehook.query.coverage import MissingReason, MissingService
from sardinehook.query.hedging import FixedDelayHedge, NoHedge, QuantileHedge
from sardinehook.query.latency import LatencyEstimates
from sardinehook.query.policy import SearchPolicy
from sardinehook.query.replica_choice import MAX_RETRIES, RETRY_RATIO
from sardinehook.query.snapshot import Snapshot
from tests.query.support import (
    NEW,
    OLD,
    RETRYING,
    cancelled,
    plans,
    reply_to,
    sent,
    settlement,
    start,
)

NEWER = Snapshot(43, 1)
REPARTITIONED = Snapshot(42, 2)


class TestHedge:
    def test_slow_sub_query_goes_to_another_replica_and_counts_once(self) -> None:
        policy = SearchPolicy(hedge=FixedDelayHedge(5.0))
        search, actions = start(plans(2), RETRYING, policy=policy)
        slow, fast = sent(actions)
        search.on_reply(reply_to(fast), 0.002)
        assert search.next_timer() == pytest.approx(0.005)
        (hedge,) = sent(search.on_timer(0.005))
        assert (hedge.service, hedge.replica) == ("logs-0", "logs-0-b")
        actions = search.on_reply(reply_to(hedge), 0.008)
        assert cancelled(actions) == [slow.sub_query_id]
        settle = settlement(actions)
        assert settle.coverage.answered == 2
        assert isinstance(settle.outcome, SearchAnswer)
        assert [hit.id for hit in settle.outcome.records] == ["logs-0", "logs-1"]

    def test_late_reply_of_the_slow_attempt_is_dropped(self) -> None:
        policy = SearchPolicy(hedge=FixedDelayHedge(5.0))
        search, actions = start(plans(2), RETRYING, policy=policy)
        slow, _ = sent(actions)
        hedges = sent(search.on_timer(0.005))
        search.on_reply(reply_to(hedges[0]), 0.008)
        assert search.on_reply(reply_to(slow), 0.009) == []

    def test_only_a_cancelled_first_attempt_counts_as_slow(self) -> None:
        policy = SearchPolicy(hedge=FixedDelayHedge(5.0))
        search, actions = start(plans(2), RETRYING, policy=policy)
        first, second = sent(actions)
        hedges = sent(search.on_timer(0.005))
        search.on_reply(reply_to(first), 0.006)
        assert policy.chooser.stats_of("logs-0-b").samples == 0
        search.on_reply(reply_to(hedges[1]), 0.008)
        assert policy.chooser.stats_of(second.replica).latency_ms > 8.0
        counts = policy.latencies.histograms["logs"]
        assert counts.total == 3

    def test_slow_replica_is_detected_from_early_settlements(self) -> None:
        policy = SearchPolicy(hedge=NoHedge(), reply_timeout_ratio=1.0)
        workload = RETRYING._replace(
            wait=Wait.ENOUGH, enough_coverage=0.5, settle_ms=1.0
        )
        for _ in range(3):
            search, actions = start(plans(2), workload, policy=policy)
            _, fast = sent(actions)
            search.on_reply(reply_to(fast), 0.004)
            search.on_timer(0.005)
            assert search.settled
        assert policy.chooser.is_much_slower("logs-0-a", "logs-1-a")

    def test_without_hedges_a_sub_query_is_retried_at_the_reply_timeout(self) -> None:
        policy = SearchPolicy(hedge=NoHedge())
        search, _ = start(plans(1), RETRYING, policy=policy)
        due = search.next_timer()
        assert due is not None and 0.07 < due < 0.08
        assert [query.replica for query in sent(search.on_timer(due))] == ["logs-0-b"]

    def test_hedge_delay_follows_the_latencies_of_the_index(self) -> None:
        latencies = LatencyEstimates()
        for number in range(1000):
            latencies.record("logs", 4.0 if number % 50 else 80.0)
        policy = SearchPolicy(hedge=QuantileHedge(), latencies=latencies)
        search, _ = start(plans(1), RETRYING, policy=policy)
        due = search.next_timer()
        assert due is not None and 0.004 <= due < 0.0045

    def test_hedges_beyond_the_budget_are_not_sent(self) -> None:
        policy = SearchPolicy(hedge=FixedDelayHedge(5.0))
        search, _ = start(plans(400), RETRYING, policy=policy)
        hedges = sent(search.on_timer(0.005))
        assert len(hedges) == 39  # the credit of 40 decays a little in 5 ms


class TestRetry:
    @pytest.mark.parametrize(
        "outcome",
        [Outcome.SHED, Outcome.NOT_RUN, Outcome.CONNECTION_LOST, Outcome.WRONG_VERSION],
    )
    def test_failed_sub_query_is_retried_on_another_replica(
        self, outcome: Outcome
    ) -> None:
        search, actions = start(plans(1), RETRYING)
        (first,) = sent(actions)
        (retry,) = sent(search.on_reply(reply_to(first, outcome), 0.01))
        assert retry.replica == "logs-0-b"
        settle = settlement(search.on_reply(reply_to(retry), 0.02))
        assert settle.coverage.ratio == 1.0

    def test_retries_do_not_amplify_an_outage(self) -> None:
        policy = SearchPolicy()
        extra = 0
        for _ in range(100):
            search, actions = start(plans(20), RETRYING, policy=policy)
            for query in sent(actions):
                retries = sent(search.on_reply(reply_to(query, Outcome.SHED), 0.0))
                extra += len(retries)
        assert extra <= RESERVE_ATTEMPTS + 0.05 * 2000

    def test_retries_on_one_replica_are_limited_whatever_the_budget(self) -> None:
        policy = SearchPolicy()
        workload = RETRYING._replace(extra_load=1.0)
        first = repeated = 0
        for _ in range(100):
            search, actions = start(plans(1, replicas=1), workload, policy=policy)
            (query,) = sent(actions)
            lost = reply_to(query, Outcome.CONNECTION_LOST)
            first += 1
            repeated += len(sent(search.on_reply(lost, 0.0)))
        assert 0 < repeated <= MAX_RETRIES + RETRY_RATIO * (first + repeated)

    def test_lost_connection_of_the_only_replica_is_retried(self) -> None:
        search, actions = start(plans(1, replicas=1), RETRYING)
        lost = reply_to(sent(actions)[0], Outcome.CONNECTION_LOST)
        assert len(sent(search.on_reply(lost, 0.01))) == 1


class TestRestart:
    def test_search_restarts_on_the_newer_snapshot(self) -> None:
        search, actions = start(plans(3, replicas=1), RETRYING)
        first, second, third = sent(actions)
        search.on_reply(reply_to(first), 0.01)
        refusal = reply_to(second, Outcome.WRONG_VERSION, NEWER)
        actions = search.on_reply(refusal, 0.012)
        assert cancelled(actions) == [third.sub_query_id]
        again = sent(actions)
        assert [query.index_version for query in again] == [43] * 3
        assert search.on_reply(reply_to(third), 0.013) == []
        for query in again:
            actions = search.on_reply(reply_to(query, snapshot=NEWER), 0.02)
        settle = settlement(actions)
        assert settle.coverage.ratio == 1.0
        assert settle.coverage.snapshot == {"logs": NEWER}

    def test_replies_before_the_restart_do_not_count(self) -> None:
        workload = RETRYING._replace(least_coverage=0.0)
        search, actions = start(plans(2, replicas=1), workload)
        first, second = sent(actions)
        search.on_reply(reply_to(first), 0.01)
        refusal = reply_to(second, Outcome.WRONG_VERSION, NEWER)
        _, again = sent(search.on_reply(refusal, 0.012))
        search.on_reply(reply_to(again, snapshot=NEWER), 0.02)
        coverage = settlement(search.on_timer(0.15)).coverage
        assert coverage.snapshot == {"logs": NEWER}
        assert coverage.missing == (MissingService("logs-0", MissingReason.LATE),)

    def test_no_restart_for_an_older_snapshot(self) -> None:
        search, actions = start(plans(2, replicas=1), RETRYING)
        first, second = sent(actions)
        actions = search.on_reply(reply_to(first, Outcome.WRONG_VERSION, OLD), 0.01)
        assert actions == []
        settle = settlement(search.on_reply(reply_to(second), 0.02))
        assert settle.coverage.missing == (
            MissingService("logs-0", MissingReason.WRONG_VERSION),
        )

    def test_no_restart_without_time_or_budget(self) -> None:
        search, actions = start(plans(2, replicas=1), RETRYING)
        refusal = reply_to(sent(actions)[0], Outcome.WRONG_VERSION, NEWER)
        assert sent(search.on_reply(refusal, 0.14)) == []
        search, actions = start(plans(30, replicas=1), RETRYING)
        refusal = reply_to(sent(actions)[0], Outcome.WRONG_VERSION, NEWER)
        assert sent(search.on_reply(refusal, 0.01)) == []

    def test_other_partitioning_of_the_same_version_is_never_mixed(self) -> None:
        search, actions = start(plans(2), RETRYING)
        first, second = sent(actions)
        reply = reply_to(first, snapshot=REPARTITIONED)
        (retry,) = sent(search.on_reply(reply, 0.01))
        search.on_reply(reply_to(second), 0.01)
        settle = settlement(search.on_reply(reply_to(retry), 0.02))
        assert settle.coverage.ratio == 1.0
        assert settle.coverage.snapshot == {"logs": NEW}

    def test_unknown_snapshot_is_chosen_by_the_first_replies(self) -> None:
        search, actions = start(plans(3, replicas=1), RETRYING, snapshots={})
        first, second, third = sent(actions)
        search.on_reply(reply_to(first, snapshot=OLD), 0.01)
        (again,) = sent(search.on_reply(reply_to(second), 0.01))
        assert (again.service, again.index_version) == ("logs-0", 42)
        search.on_reply(reply_to(again), 0.02)
        settle = settlement(search.on_reply(reply_to(third), 0.02))
        assert settle.coverage.ratio == 1.0
        assert settle.coverage.snapshot == {"logs": NEW}
