"""Searches over shards: coverage, hedges, retries and deadlines."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from sardinehook.gateway.dispatch import Answered, Failed, NotRun
from sardinehook.gateway.records import merge_records, split_records
from sardinehook.gateway.settings import Bounds
from tests.gateway.support import (
    DEFAULT_BOUNDS,
    REQUEST,
    THERE,
    Gateway,
    good,
    make_gateway,
    reply,
    search_route,
    shard_names,
)


def with_replicas(shards: int, bounds: Bounds = DEFAULT_BOUNDS) -> Gateway:
    """Make a gateway with two replicas of each shard, one in each data centre."""
    gateway = make_gateway(bounds)
    for shard in shard_names(shards):
        gateway.add(f"{shard}-a", shard)
        gateway.add(f"{shard}-b", shard, THERE)
    return gateway


class TestCoverage:
    def test_complete_answer_names_each_shard_once(self) -> None:
        gateway = with_replicas(4)
        gateway.gather(search_route(4))
        gateway.answer_all()
        (answer,) = gateway.answers
        headers = dict(answer.headers)
        assert answer.status == 200
        assert len(headers[b"X-Part-Stamps"].split(b",")) == 4
        assert headers[b"X-Missing-Parts"] == b"0"

    def test_answers_at_the_objective_with_the_least_coverage(self) -> None:
        gateway = with_replicas(4)
        gateway.gather(search_route(4, least=0.75))
        gateway.answer_all("s03")
        gateway.reactor.advance(0.1)
        assert gateway.answers == []
        gateway.reactor.advance(0.1)
        (answer,) = gateway.answers
        assert dict(answer.headers)[b"X-Missing-Parts"] == b"1"

    def test_too_little_coverage_is_an_error(self) -> None:
        gateway = with_replicas(4)
        gateway.gather(search_route(4, least=1.0))
        gateway.answer_all("s03")
        gateway.reactor.pump([0.05] * 20)
        (answer,) = gateway.answers
        assert answer.status == 504

    def test_too_few_shards_with_replicas_are_refused_unsent(self) -> None:
        gateway = make_gateway()
        gateway.add("s00-a", "s00")
        gateway.gather(search_route(4))
        (answer,) = gateway.answers
        assert answer.status == 503
        assert gateway.dispatcher.sent == []

    def test_signed_error_reply_is_not_merged(self) -> None:
        gateway = with_replicas(4)
        gateway.gather(search_route(4))
        gateway.answer_all("s03")
        for _ in range(2):
            (exchange,) = gateway.dispatcher.open_at("s03")
            gateway.end(exchange, Answered(reply(500, b"stamp", b"b" * 16)))
        (answer,) = gateway.answers
        assert dict(answer.headers)[b"X-Missing-Parts"] == b"1"
        assert b"b" * 16 not in answer.body

    def test_one_signature_does_not_count_for_two_shards(self) -> None:
        gateway = with_replicas(2)
        gateway.gather(search_route(2, least=0.5))
        for shard in ("s00", "s01", "s01"):
            (exchange,) = gateway.dispatcher.open_at(shard)
            gateway.end(exchange, good("same"))
        (answer,) = gateway.answers
        assert dict(answer.headers)[b"X-Part-Stamps"] == b"same"
        assert dict(answer.headers)[b"X-Missing-Parts"] == b"1"


class TestHedges:
    def test_overdue_reply_is_hedged_at_another_replica(self) -> None:
        gateway = with_replicas(4)
        work = gateway.gather(search_route(4))
        gateway.answer_all("s00")
        gateway.reactor.advance(0.08)
        first, second = gateway.dispatcher.open_at("s00")
        assert first.replica is not second.replica
        gateway.end(second, good("s00-x"))
        assert gateway.answers[0].status == 200
        assert work.hedges == 1

    def test_sends_are_bounded_by_the_attempts_of_the_route(self) -> None:
        gateway = with_replicas(4)
        for number in range(3):
            gateway.add(f"s00-c{number}", "s00")
        gateway.gather(search_route(4))
        gateway.reactor.pump([0.02] * 50)
        assert (
            len([e for e in gateway.dispatcher.sent if "s00" in e.replica.replica_id])
            <= 2
        )

    def test_no_hedge_without_retry_budget(self) -> None:
        gateway = with_replicas(4, Bounds(repeat_ratio=0.0, repeat_slack=0.0))
        work = gateway.gather(search_route(4))
        gateway.reactor.advance(0.1)
        assert work.hedges == 0


class TestCrashedReplicas:
    """Guards against failed searches when crashed replicas refuse connections."""

    def test_unsent_request_uses_no_retry_budget(self) -> None:
        gateway = with_replicas(4, Bounds(repeat_ratio=0.0, repeat_slack=0.0))
        gateway.dispatcher.refuses = {f"{shard}-a" for shard in shard_names(4)}
        gateway.gather(search_route(4))
        gateway.answer_all()
        assert [answer.status for answer in gateway.answers] == [200]

    def test_request_fails_over_while_connections_hang(self) -> None:
        gateway = with_replicas(4, Bounds(repeat_ratio=0.0, repeat_slack=0.0))
        for shard in shard_names(4):
            gateway.add(f"{shard}-c", shard)
        dead = {f"{shard}-{copy}" for shard in shard_names(4) for copy in "ab"}
        gateway.dispatcher.hangs = dead
        work = gateway.gather(search_route(4))
        gateway.reactor.pump([0.01] * 18)
        assert len(gateway.dispatcher.sent) == 4
        assert all(exchange.done for exchange in gateway.dispatcher.waiting)
        assert work.hedges == 0
        gateway.answer_all()
        assert [answer.status for answer in gateway.answers] == [200]

    def test_slow_connection_is_given_time_before_failover(self) -> None:
        gateway = with_replicas(1, Bounds(repeat_ratio=0.0, repeat_slack=0.0))
        gateway.dispatcher.hangs = {"s00-a", "s00-b"}
        gateway.gather(search_route(1))
        gateway.reactor.pump([0.01] * 5)
        assert len(gateway.dispatcher.waiting) == 1

    def test_refused_request_uses_retry_budget(self) -> None:
        gateway = with_replicas(1, Bounds(repeat_ratio=0.0, repeat_slack=0.0))
        gateway.gather(search_route(1))
        (exchange,) = gateway.dispatcher.open_at("s00")
        gateway.end(exchange, NotRun("refused with 503", True))
        assert [answer.status for answer in gateway.answers] == [503]


class TestErrorKinds:
    def test_search_that_may_have_run_is_not_reported_as_not_run(self) -> None:
        gateway = with_replicas(1)
        gateway.gather(search_route(1))
        for _ in range(2):
            (exchange,) = gateway.dispatcher.open_at("s00")
            gateway.end(exchange, Failed("reset"))
        assert [answer.status for answer in gateway.answers] == [504]

    def test_error_is_returned_at_once_without_a_further_replica(self) -> None:
        gateway = with_replicas(2)
        gateway.gather(search_route(2, least=1.0))
        for _ in range(2):
            (exchange,) = gateway.dispatcher.open_at("s00")
            gateway.end(exchange, Failed("reset"))
        assert len(gateway.answers) == 1


class TestDisconnect:
    def test_exchanges_are_abandoned_after_a_disconnect(self) -> None:
        gateway = with_replicas(2)
        work = gateway.gather(search_route(2))
        work.cancel()
        gateway.reactor.advance(0.3)
        assert all(exchange.done for exchange in gateway.dispatcher.sent)
        assert gateway.answers == []


class TestMerge:
    @given(st.lists(st.binary(max_size=100), max_size=6), st.integers(1, 8))
    def test_merge_keeps_the_greatest_records_of_all_shards(
        self, bodies: list[bytes], most: int
    ) -> None:
        every = sorted(
            (
                body[at : at + 16]
                for body in bodies
                for at in range(0, len(body) - 15, 16)
            ),
            reverse=True,
        )
        merged = merge_records([split_records(body, most) for body in bodies], most)
        assert merged == b"".join(every[:most])


class TestDeadlines:
    """Guards against answers that reach the caller just after the objective."""

    def test_network_path_to_a_distant_caller_is_subtracted(self) -> None:
        gateway = with_replicas(4)
        gateway.gather(search_route(4), REQUEST._replace(network_s=0.06))
        gateway.answer_all("s03")
        gateway.reactor.advance(0.2 - 0.06)
        assert [answer.status for answer in gateway.answers] == [200]

    def test_request_without_time_left_is_refused_unsent(self) -> None:
        gateway = with_replicas(2)
        gateway.gather(search_route(2), REQUEST._replace(caller_timeout_s=0.02))
        assert [answer.status for answer in gateway.answers] == [503]
        assert gateway.dispatcher.sent == []

    def test_error_is_returned_before_the_caller_times_out(self) -> None:
        gateway = with_replicas(2)
        gateway.gather(
            search_route(2, least=1.0), REQUEST._replace(caller_timeout_s=0.3)
        )
        gateway.reactor.pump([0.05] * 6)
        assert [answer.status for answer in gateway.answers] == [504]


class TestShortObjectives:
    """Guards against small searches that are answered long before they have to be.

    The load is that of dispatchers' small searches: an objective of 46 ms, replies of
    some shards after 30 ms. Each shard left out lowers the worth of the answer.
    """

    def test_waits_for_replies_until_shortly_before_the_objective(self) -> None:
        gateway = make_gateway()
        shards = shard_names(20)
        for shard in shards:
            gateway.add(f"{shard}-a", shard)
        gateway.gather(search_route(20, 0.85, objective_s=0.046))
        gateway.answer_all(shards[0])
        gateway.reactor.advance(0.040)
        assert gateway.answers == []
        gateway.answer_all()
        assert dict(gateway.answers[0].headers)[b"X-Missing-Parts"] == b"0"

    def test_is_answered_before_the_objective(self) -> None:
        gateway = make_gateway()
        shards = shard_names(20)
        for shard in shards:
            gateway.add(f"{shard}-a", shard)
        gateway.gather(search_route(20, 0.85, objective_s=0.046))
        gateway.answer_all(shards[0])
        gateway.reactor.advance(0.042)
        assert dict(gateway.answers[0].headers)[b"X-Missing-Parts"] == b"1"
