"""A data centre that is cut off: where work goes, who is refused."""

from __future__ import annotations

from random import Random

from sardinehook.gateway.metrics import GatewayMetrics
from sardinehook.gateway.request_handler import RequestHandler
from sardinehook.gateway.request_log import RequestLog
from tests.gateway.support import (
    HERE,
    THERE,
    Gateway,
    configuration,
    make_gateway,
    search_route,
    shard_names,
    single_route,
)
from tests.gateway.test_gather import with_replicas


class TestCutOffDataCentre:
    """Answers the pattern: a zone is partitioned, clients still reach its gateways."""

    def test_replicas_that_pause_one_by_one_are_not_suspected(self) -> None:
        gateway = with_replicas(4)
        gateway.gather(search_route(4))
        gateway.answer_all("s00", "s01")
        gateway.reactor.advance(0.3)
        now = gateway.reactor.seconds()
        assert not gateway.directory.reachability.is_suspect(HERE, now)

    def test_one_replica_that_hangs_does_not_speak_for_the_others(self) -> None:
        gateway = with_replicas(8)
        reachability = gateway.directory.reachability
        reachability.note_sent(HERE, "hanging", gateway.reactor.seconds())
        gateway.reactor.advance(1.0)
        now = gateway.reactor.seconds()
        for shard in shard_names(8):
            reachability.note_sent(HERE, f"{shard}-a", now)
        assert not reachability.is_suspect(HERE, now + 0.001)
        assert reachability.is_suspect(HERE, now + 0.2)

    def test_work_goes_to_the_data_centre_that_answers(self) -> None:
        gateway = with_replicas(8)
        now = gateway.reactor.seconds()
        reachability = gateway.directory.reachability
        for shard in shard_names(8):
            reachability.note_sent(HERE, f"{shard}-a", now)
        gateway.reactor.advance(0.2)
        gateway.gather(search_route(8))
        places = {e.replica.entry.data_centre for e in gateway.dispatcher.sent}
        assert places == {THERE}

    def test_is_refused_at_once_when_all_replicas_are_cut_off(self) -> None:
        gateway = make_gateway()
        for shard in shard_names(4):
            gateway.add(f"{shard}-a", shard)
        now = gateway.reactor.seconds()
        reachability = gateway.directory.reachability
        for shard in shard_names(4):
            reachability.note_sent(HERE, f"{shard}-a", now)
        gateway.reactor.advance(0.2)
        assert reachability.is_suspect(HERE, gateway.reactor.seconds())
        gateway.reactor.advance(0.6)
        gateway.gather(search_route(4))
        assert [answer.status for answer in gateway.answers] == [503]
        assert gateway.dispatcher.sent == []

    def test_a_sign_of_life_ends_the_suspicion(self) -> None:
        gateway = with_replicas(4)
        now = gateway.reactor.seconds()
        reachability = gateway.directory.reachability
        for shard in shard_names(4):
            reachability.note_sent(THERE, f"{shard}-b", now)
        gateway.reactor.advance(0.2)
        assert reachability.is_suspect(THERE, gateway.reactor.seconds())
        reachability.note_heard(THERE, gateway.reactor.seconds())
        assert not reachability.is_suspect(THERE, gateway.reactor.seconds())


def make_handler(gateway: Gateway) -> RequestHandler:
    """Make a handler for searches over four shards and a route without replicas."""
    request_log = RequestLog(gateway.reactor, GatewayMetrics())
    handler = RequestHandler(gateway.policy, request_log, Random(1))
    idle = single_route(True)._replace(name="idle", prefix="/idle/")
    handler.configure(configuration(search_route(4), idle))
    return handler


def cut(gateway: Gateway, place: str) -> None:
    """Let a data centre fall silent for long enough to count as cut off."""
    now = gateway.reactor.seconds()
    for number in range(4):
        gateway.directory.reachability.note_sent(place, f"{place}-{number}", now)
    gateway.reactor.advance(0.2)
    gateway.directory.reachability.is_suspect(place, gateway.reactor.seconds())
    gateway.reactor.advance(0.5)


class TestReadiness:
    """Answers the pattern: a zone is cut off; callers should reach another one."""

    def test_a_gateway_beyond_the_cut_turns_not_ready(self) -> None:
        gateway = make_gateway()
        for shard in shard_names(4):
            gateway.add(f"{shard}-b", shard, THERE)
        handler = make_handler(gateway)
        handler.demand_of(search_route(4)).add(20, gateway.reactor.seconds())
        cut(gateway, THERE)
        assert "cut off from there" in handler.cut_off_reason()

    def test_stays_so_when_its_callers_have_gone_elsewhere(self) -> None:
        gateway = make_gateway()
        for shard in shard_names(4):
            gateway.add(f"{shard}-b", shard, THERE)
        handler = make_handler(gateway)
        handler.demand_of(search_route(4)).add(20, gateway.reactor.seconds())
        cut(gateway, THERE)
        assert handler.cut_off_reason()
        gateway.reactor.advance(10.0)
        assert "cut off from there" in handler.cut_off_reason()
        gateway.directory.reachability.note_heard(THERE, gateway.reactor.seconds())
        assert handler.cut_off_reason() == ""

    def test_says_so_before_it_refuses(self) -> None:
        gateway = make_gateway()
        for shard in shard_names(4):
            gateway.add(f"{shard}-b", shard, THERE)
        handler = make_handler(gateway)
        now = gateway.reactor.seconds()
        handler.demand_of(search_route(4)).add(20, now)
        for shard in shard_names(4):
            gateway.directory.reachability.note_sent(THERE, f"{shard}-b", now)
        gateway.reactor.advance(0.15)
        assert "cut off from there" in handler.cut_off_reason()
        assert gateway.directory.can_serve("s00", gateway.reactor.seconds())

    def test_a_gateway_that_can_serve_its_callers_stays_ready(self) -> None:
        gateway = with_replicas(4)
        handler = make_handler(gateway)
        cut(gateway, THERE)
        assert handler.cut_off_reason() == ""

    def test_routes_that_nobody_asks_for_do_not_count(self) -> None:
        gateway = make_gateway()
        for shard in shard_names(4):
            gateway.add(f"{shard}-b", shard, THERE)
        handler = make_handler(gateway)
        idle = [
            single_route(True)._replace(name=f"n{n}", prefix=f"/n{n}/")
            for n in range(50)
        ]
        handler.configure(configuration(search_route(4), *idle))
        handler.demand_of(search_route(4)).add(20, gateway.reactor.seconds())
        cut(gateway, THERE)
        assert "cut off from there" in handler.cut_off_reason()

    def test_requests_for_a_route_without_any_replica_do_not_count(self) -> None:
        gateway = make_gateway()
        for shard in shard_names(4):
            gateway.add(f"{shard}-b", shard, THERE)
        handler = make_handler(gateway)
        now = gateway.reactor.seconds()
        handler.demand_of(search_route(4)).add(5, now)
        handler.demand_of(single_route(True)._replace(name="idle")).add(20, now)
        cut(gateway, THERE)
        assert "cut off from there: 5 of 5" in handler.cut_off_reason()

    def test_a_route_without_any_replica_does_not_count(self) -> None:
        gateway = with_replicas(4)
        gateway.add("desk-b", "desk", THERE)
        handler = make_handler(gateway)
        now = gateway.reactor.seconds()
        handler.demand_of(search_route(4)).add(20, now)
        cut(gateway, THERE)
        assert handler.cut_off_reason() == ""
