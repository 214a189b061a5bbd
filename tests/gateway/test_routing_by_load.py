"""Choice, hedges and connections of replicas by all figures of their load."""

from __future__ import annotations

import pytest

from bench.routing_choices import POLICIES, report_worth, simulate_choices
from sardinehook.gateway.directory import Directory
from sardinehook.gateway.dispatch import Exchange
from sardinehook.gateway.interfaces import Load
from sardinehook.gateway.replica import Replica
from sardinehook.gateway.routing.load_estimate import ReplicaSpeed
from sardinehook.transport.connection import Lost
from tests.gateway.support import (
    HERE,
    REQUEST,
    THERE,
    Gateway,
    configuration,
    good,
    make_gateway,
    search_route,
    shard_names,
    single_route,
)
from tests.gateway.test_pool import PoolFixture


def adapting_gateway(shards: int = 2, per_shard: int = 2) -> Gateway:
    """Return a gateway whose replicas state four figures, after their first second."""
    gateway = make_gateway()
    gateway.directory.configure(configuration(search_route(shards)))
    for shard in shard_names(shards):
        for number in range(per_shard):
            gateway.add(f"{shard}-{'abc'[number]}", shard)
    gateway.directory.record_stated_work()
    for replica in gateway.directory.replicas.values():
        gateway.directory.pacer.end(replica)
    return gateway


def state(gateway: Gateway, replica_id: str, work: float, waiting: int = 0) -> Replica:
    """Let a replica state its load now."""
    replica = gateway.directory.replicas[replica_id]
    running = 2 if waiting else 0
    replica.observe_load(Load(running, waiting, 2, work), gateway.reactor.seconds())
    return replica


def first_choices(gateway: Gateway, count: int = 40) -> list[str]:
    """Return the ids of the replicas that are chosen for the first shard."""
    chosen = [
        gateway.policy.selector.select("s00", 0.03, (), 1.0, gateway.reactor.seconds())
        for _ in range(count)
    ]
    return [one.replica.replica_id for one in chosen if one is not None]


class TestWorkFigure:
    """Guards against searches that wait for a machine which said that it is slow.

    The load: for 0.15 of the time, work takes 2.5 times as long somewhere.
    """

    def test_a_machine_that_is_slow_now_is_passed_over(self) -> None:
        gateway = adapting_gateway()
        state(gateway, "s00-a", 2.5)
        state(gateway, "s00-b", 1.0)
        assert set(first_choices(gateway)) == {"s00-b"}

    def test_it_is_chosen_again_when_the_report_is_old(self) -> None:
        gateway = adapting_gateway()
        state(gateway, "s00-a", 2.5)
        state(gateway, "s00-b", 1.0)
        gateway.reactor.advance(3.0)
        assert "s00-a" in first_choices(gateway)

    def test_noise_is_not_learned_as_the_speed_of_the_machine(self) -> None:
        speed = ReplicaSpeed()
        for turn in range(60):
            work = 2.5 if turn % 4 == 0 else 1.0
            speed.observe_work(work, float(turn))
            speed.observe_reply(0.8 * work, float(turn))
        assert speed.base_slowdown == pytest.approx(0.8, abs=0.02)

    def test_a_report_is_worth_less_the_older_it_is(self) -> None:
        ages = (0.005, 0.05, 0.5, None)
        worth = [report_worth(age, trials=4000) for age in ages]
        assert worth == sorted(worth)
        assert worth[0] < 1.02
        assert worth[2] < 1.16 < worth[3]

    def test_other_deployments_choose_as_before(self) -> None:
        gateway = adapting_gateway()
        gateway.directory.replicas_state_work = False
        state(gateway, "s00-a", 2.5)
        state(gateway, "s00-b", 1.0)
        assert set(first_choices(gateway)) == {"s00-a", "s00-b"}


class TestHerding:
    """Guards against all gateways choosing the replica that looked idle.

    The load: 12 of 24 gateways choose among three replicas at the same time.
    """

    def test_the_chosen_policy_is_better_than_the_lowest_cost(self) -> None:
        means = {}
        for name in ("lowest cost, jitter 0.1", "cost of requests, jitter 0.3"):
            runs = [simulate_choices(POLICIES[name], 24, 0.5, 12, n) for n in (1, 2)]
            means[name] = sum(sum(run) / len(run) for run in runs)
        plain, chosen = means.values()
        assert chosen < plain

    def test_no_other_data_centre_is_used_for_the_spread(self) -> None:
        gateway = make_gateway()
        gateway.directory.record_stated_work()
        gateway.add("near", "s00", HERE)
        gateway.add("far", "s00", THERE)
        chosen = [
            gateway.policy.selector.select("s00", 0.2, (), 9.0, 102.0)
            for _ in range(100)
        ]
        assert {one.replica.replica_id for one in chosen if one} == {"near"}


class TestHedges:
    """Guards against hedges that follow the time of a replica other than the asked.

    The load: replicas that pause for 100 or 200 ms, or that state that they are slow.
    """

    def test_a_replica_that_states_to_be_slow_is_hedged_later(self) -> None:
        gateway = self.gateway_with_pauses()
        for name in ("s00-a", "s00-b"):
            state(gateway, name, 1.0)
        usual = gateway.gather(search_route(1)).shards[0].hedge_at
        gateway.answer_all()
        for name in ("s00-a", "s00-b"):
            state(gateway, name, 1.4)
        assert gateway.gather(search_route(1)).shards[0].hedge_at > usual

    def test_no_replica_is_hedged_later_than_without_its_load(self) -> None:
        gateway = self.gateway_with_pauses()
        for name in ("s00-a", "s00-b"):
            state(gateway, name, 8.0)
        work = gateway.gather(search_route(1))
        hedge_s = work.shards[0].hedge_at - gateway.reactor.seconds()
        assert hedge_s == pytest.approx(work.hedge_timing.usual_delay_s)
        assert hedge_s < 0.07

    def test_single_requests_are_hedged_no_later_either(self) -> None:
        gateway = adapting_gateway(1)
        gateway.add("desk-a", "desk")
        route = single_route(True)
        for _ in range(100):
            gateway.policy.observe(route, 0.05)
        state(gateway, "desk-a", 8.0)
        call = gateway.call(route, "desk")
        assert call.hedge_at is not None
        assert call.hedge_at - call.request.received_at == pytest.approx(0.05, rel=0.1)

    def gateway_with_pauses(self) -> Gateway:
        """Return a gateway where a reply in ten was paused."""
        gateway = adapting_gateway(1)
        for number in range(100):
            took_s = 0.01 if number % 10 else 0.06
            gateway.policy.observe(search_route(1), took_s)
        return gateway

    def test_a_hedge_needs_budget(self) -> None:
        gateway = adapting_gateway(4)
        gateway.policy.restart_counting()
        work = gateway.gather(search_route(4))
        gateway.answer_all("s00")
        gateway.reactor.advance(0.1)
        assert work.hedges == 0

    def test_many_missing_shards_are_not_hedged_before_they_are_overdue(self) -> None:
        gateway = adapting_gateway(20)
        work = gateway.gather(search_route(20))
        for shard in work.shards:
            shard.hedge_at = gateway.reactor.seconds()
        work.on_timer()
        assert work.hedges == 0
        assert all(s.hedge_at > gateway.reactor.seconds() for s in work.shards)


class TestConnections:
    """Guards against connections beyond the limit of a replica.

    The load: 83 gateways, of which each may keep less than one of 64 connections.
    """

    def directory(self, gateways: int) -> Directory:
        gateway = make_gateway(gateways=gateways)
        gateway.directory.configure(configuration(search_route(1)))
        gateway.add("s00-a", "s00")
        gateway.directory.record_stated_work()
        return gateway.directory

    def test_a_share_below_one_keeps_no_connection(self) -> None:
        pool = self.directory(83).replicas["s00-a"].pool
        assert (pool.max_connections, pool.keeps_idle) == (1, False)

    def test_a_share_of_several_keeps_them(self) -> None:
        pool = self.directory(4).replicas["s00-a"].pool
        assert (pool.max_connections, pool.keeps_idle) == (5, True)

    def test_a_connection_is_closed_after_use(self) -> None:
        fixture = PoolFixture(max_connections=1)
        fixture.pool.set_limit(1, True, False)
        fixture.pool.probe()
        fixture.accept(0)
        assert fixture.pool.idle == []

    def test_a_probe_does_not_exceed_a_strict_limit(self) -> None:
        fixture = PoolFixture(max_connections=1)
        fixture.pool.set_limit(1, True, True)
        fixture.pool.probe()
        fixture.accept(0)
        fixture.pool.probe()
        assert fixture.pool.connection_count == 1

    def test_a_lower_share_closes_idle_connections(self) -> None:
        fixture = PoolFixture(max_connections=2)
        for attempt in range(2):
            fixture.pool.probe()
            fixture.accept(attempt)
        fixture.pool.set_limit(1, True, True)
        assert len(fixture.pool.idle) == 1

    def test_a_reset_of_a_new_connection_is_followed_by_a_pause(self) -> None:
        gateway = adapting_gateway(1)
        gateway.gather(search_route(1))
        (exchange,) = gateway.dispatcher.sent
        exchange.connection = NewConnection()  # type: ignore[assignment]
        gateway.dispatcher.exchange_ended(exchange, Lost("reset"))
        assert exchange.replica.pool.retry_at > gateway.reactor.seconds()

    def test_one_reset_is_no_replica_that_accepts_no_connections(self) -> None:
        """Guards against shards left out for half a second after each reset.

        The load: all machines have lost power, and replicas whose connections of the
        processes before still count reset those of gateways that keep none idle.
        """
        gateway = adapting_gateway(1)
        for replica in gateway.directory.replicas.values():
            replica.pool.set_limit(1, True, False)
            exchange = Exchange(REQUEST, replica, 100.0, 101.0, lambda *_: None)
            exchange.connection = NewConnection()  # type: ignore[assignment]
            gateway.dispatcher.exchange_ended(exchange, Lost("reset"))
            assert replica.pool.retry_at > gateway.reactor.seconds()
            assert replica.window is None
        assert gateway.directory.can_serve("s00", gateway.reactor.seconds())

    def test_an_answer_is_no_reset(self) -> None:
        gateway = adapting_gateway(1)
        gateway.gather(search_route(1))
        (exchange,) = gateway.dispatcher.sent
        gateway.end(exchange, good("a"))
        assert exchange.replica.pool.retry_at == 0.0


class NewConnection:
    """A connection that was opened for its first exchange."""

    exchanges = 1
    idle_since = 100.0
    is_open = False
