"""Searches over shards: coverage, hedges, repeats and settling."""

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
    """Make a gateway that knows two replicas of each shard."""
    gateway = make_gateway(bounds)
    for shard in shard_names(shards):
        gateway.add(f"{shard}-a", shard)
        gateway.add(f"{shard}-b", shard, THERE)
    return gateway


class TestCoverage:
    def test_whole_answer_names_each_shard_once(self) -> None:
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

    def test_below_the_least_coverage_is_no_success(self) -> None:
        gateway = with_replicas(4)
        gateway.gather(search_route(4, least=1.0))
        gateway.answer_all("s03")
        gateway.reactor.pump([0.05] * 20)
        (answer,) = gateway.answers
        assert answer.status == 504

    def test_is_refused_unsent_when_too_few_shards_have_a_replica(self) -> None:
        gateway = make_gateway()
        gateway.add("s00-a", "s00")
        gateway.gather(search_route(4))
        (answer,) = gateway.answers
        assert answer.status == 503
        assert gateway.dispatcher.sent == []

    def test_a_failure_with_a_signature_is_no_part(self) -> None:
        gateway = with_replicas(4)
        gateway.gather(search_route(4))
        gateway.answer_all("s03")
        for _ in range(2):
            (exchange,) = gateway.dispatcher.open_at("s03")
            gateway.end(exchange, Answered(reply(500, b"stamp", b"b" * 16)))
        (answer,) = gateway.answers
        assert dict(answer.headers)[b"X-Missing-Parts"] == b"1"
        assert b"b" * 16 not in answer.body

    def test_one_signature_is_not_taken_for_two_shards(self) -> None:
        gateway = with_replicas(2)
        gateway.gather(search_route(2, least=0.5))
        for shard in ("s00", "s01", "s01"):
            (exchange,) = gateway.dispatcher.open_at(shard)
            gateway.end(exchange, good("same"))
        (answer,) = gateway.answers
        assert dict(answer.headers)[b"X-Part-Stamps"] == b"same"
        assert dict(answer.headers)[b"X-Missing-Parts"] == b"1"


class TestHedges:
    def test_a_silent_replica_is_hedged_at_the_other_one(self) -> None:
        gateway = with_replicas(4)
        work = gateway.gather(search_route(4))
        gateway.answer_all("s00")
        gateway.reactor.advance(0.08)
        first, second = gateway.dispatcher.open_at("s00")
        assert first.replica is not second.replica
        gateway.end(second, good("s00-x"))
        assert gateway.answers[0].status == 200
        assert work.hedges == 1

    def test_attempts_of_the_route_bound_the_replicas_asked(self) -> None:
        gateway = with_replicas(4)
        for number in range(3):
            gateway.add(f"s00-c{number}", "s00")
        gateway.gather(search_route(4))
        gateway.reactor.pump([0.02] * 50)
        assert (
            len([e for e in gateway.dispatcher.sent if "s00" in e.replica.replica_id])
            <= 2
        )

    def test_without_budget_there_is_no_hedge(self) -> None:
        gateway = with_replicas(4, Bounds(repeat_ratio=0.0, repeat_slack=0.0))
        work = gateway.gather(search_route(4))
        gateway.reactor.advance(0.1)
        assert work.hedges == 0


class TestCrashedReplicas:
    """Answers the pattern: replicas of many shards crash, connections are refused."""

    def test_an_unsent_request_costs_no_budget(self) -> None:
        gateway = with_replicas(4, Bounds(repeat_ratio=0.0, repeat_slack=0.0))
        gateway.dispatcher.refuses = {f"{shard}-a" for shard in shard_names(4)}
        gateway.gather(search_route(4))
        gateway.answer_all()
        assert [answer.status for answer in gateway.answers] == [200]

    def test_a_request_moves_on_while_connections_hang(self) -> None:
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

    def test_a_connection_that_is_slow_to_open_gets_some_time(self) -> None:
        gateway = with_replicas(1, Bounds(repeat_ratio=0.0, repeat_slack=0.0))
        gateway.dispatcher.hangs = {"s00-a", "s00-b"}
        gateway.gather(search_route(1))
        gateway.reactor.pump([0.01] * 5)
        assert len(gateway.dispatcher.waiting) == 1

    def test_a_refused_request_costs_budget(self) -> None:
        gateway = with_replicas(1, Bounds(repeat_ratio=0.0, repeat_slack=0.0))
        gateway.gather(search_route(1))
        (exchange,) = gateway.dispatcher.open_at("s00")
        gateway.end(exchange, NotRun("refused with 503", True))
        assert [answer.status for answer in gateway.answers] == [503]


class TestHonestRefusals:
    def test_not_run_is_said_only_if_nothing_ran(self) -> None:
        gateway = with_replicas(1)
        gateway.gather(search_route(1))
        for _ in range(2):
            (exchange,) = gateway.dispatcher.open_at("s00")
            gateway.end(exchange, Failed("reset"))
        assert [answer.status for answer in gateway.answers] == [504]

    def test_is_answered_at_once_when_nothing_is_left_to_try(self) -> None:
        gateway = with_replicas(2)
        gateway.gather(search_route(2, least=1.0))
        for _ in range(2):
            (exchange,) = gateway.dispatcher.open_at("s00")
            gateway.end(exchange, Failed("reset"))
        assert len(gateway.answers) == 1


class TestLeaving:
    def test_work_for_a_caller_that_left_is_abandoned(self) -> None:
        gateway = with_replicas(2)
        work = gateway.gather(search_route(2))
        work.cancel()
        gateway.reactor.advance(0.3)
        assert all(exchange.done for exchange in gateway.dispatcher.sent)
        assert gateway.answers == []


class TestMerge:
    @given(st.lists(st.binary(max_size=100), max_size=6), st.integers(1, 8))
    def test_greatest_records_of_all_parts(
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


class TestTime:
    """Answers the pattern: answers that arrive just after their objective."""

    def test_the_way_to_a_caller_that_is_far_is_allowed_for(self) -> None:
        gateway = with_replicas(4)
        gateway.gather(search_route(4), REQUEST._replace(network_s=0.06))
        gateway.answer_all("s03")
        gateway.reactor.advance(0.2 - 0.06)
        assert [answer.status for answer in gateway.answers] == [200]

    def test_a_request_with_no_time_left_is_refused_unsent(self) -> None:
        gateway = with_replicas(2)
        gateway.gather(search_route(2), REQUEST._replace(caller_timeout_s=0.02))
        assert [answer.status for answer in gateway.answers] == [503]
        assert gateway.dispatcher.sent == []

    def test_is_answered_before_the_caller_gives_up(self) -> None:
        gateway = with_replicas(2)
        gateway.gather(
            search_route(2, least=1.0), REQUEST._replace(caller_timeout_s=0.3)
        )
        gateway.reactor.pump([0.05] * 6)
        assert [answer.status for answer in gateway.answers] == [504]
