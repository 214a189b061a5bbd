"""Requests and readiness when a data centre can't be reached."""

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
    """A data centre is partitioned while callers still reach its gateways.

    Requests must go to another data centre, or be refused without a timeout.
    """

    def test_a_few_paused_replicas_do_not_make_the_data_centre_suspect(self) -> None:
        gateway = with_replicas(4)
        gateway.gather(search_route(4))
        gateway.answer_all("s00", "s01")
        gateway.reactor.advance(0.3)
        now = gateway.reactor.seconds()
        assert not gateway.directory.reachability.is_suspect(HERE, now)

    def test_one_hanging_replica_does_not_make_the_data_centre_suspect(self) -> None:
        gateway = with_replicas(8)
        reachability = gateway.directory.reachability
        reachability.record_request(HERE, "hanging", gateway.reactor.seconds())
        gateway.reactor.advance(1.0)
        now = gateway.reactor.seconds()
        for shard in shard_names(8):
            reachability.record_request(HERE, f"{shard}-a", now)
        assert not reachability.is_suspect(HERE, now + 0.001)
        assert reachability.is_suspect(HERE, now + 0.2)

    def test_requests_go_to_the_data_centre_that_responds(self) -> None:
        gateway = with_replicas(8)
        now = gateway.reactor.seconds()
        reachability = gateway.directory.reachability
        for shard in shard_names(8):
            reachability.record_request(HERE, f"{shard}-a", now)
        gateway.reactor.advance(0.2)
        gateway.gather(search_route(8))
        data_centres = {e.replica.entry.data_centre for e in gateway.dispatcher.sent}
        assert data_centres == {THERE}

    def test_requests_are_refused_when_all_replicas_are_cut_off(self) -> None:
        gateway = make_gateway()
        for shard in shard_names(4):
            gateway.add(f"{shard}-a", shard)
        now = gateway.reactor.seconds()
        reachability = gateway.directory.reachability
        for shard in shard_names(4):
            reachability.record_request(HERE, f"{shard}-a", now)
        gateway.reactor.advance(0.2)
        assert reachability.is_suspect(HERE, gateway.reactor.seconds())
        gateway.reactor.advance(0.6)
        gateway.gather(search_route(4))
        assert [answer.status for answer in gateway.answers] == [503]
        assert gateway.dispatcher.sent == []

    def test_a_response_ends_the_suspicion(self) -> None:
        gateway = with_replicas(4)
        now = gateway.reactor.seconds()
        reachability = gateway.directory.reachability
        for shard in shard_names(4):
            reachability.record_request(THERE, f"{shard}-b", now)
        gateway.reactor.advance(0.2)
        assert reachability.is_suspect(THERE, gateway.reactor.seconds())
        reachability.record_response(THERE, gateway.reactor.seconds())
        assert not reachability.is_suspect(THERE, gateway.reactor.seconds())


def make_handler(gateway: Gateway) -> RequestHandler:
    """Return a handler with a route over four shards and one without replicas."""
    request_log = RequestLog(gateway.reactor, GatewayMetrics())
    handler = RequestHandler(gateway.policy, request_log, Random(1))
    idle = single_route(True)._replace(name="idle", prefix="/idle/")
    handler.configure(configuration(search_route(4), idle))
    return handler


def cut_off(gateway: Gateway, data_centre: str) -> None:
    """Leave requests to a data centre unanswered until it counts as cut off."""
    now = gateway.reactor.seconds()
    for number in range(4):
        gateway.directory.reachability.record_request(
            data_centre, f"{data_centre}-{number}", now
        )
    gateway.reactor.advance(0.2)
    gateway.directory.reachability.is_suspect(data_centre, gateway.reactor.seconds())
    gateway.reactor.advance(0.5)


class TestReadiness:
    """A gateway cut off from its replicas must report that it is not ready.

    Callers are then sent to a gateway in another data centre.
    """

    def test_not_ready_when_its_replicas_are_cut_off(self) -> None:
        gateway = make_gateway()
        for shard in shard_names(4):
            gateway.add(f"{shard}-b", shard, THERE)
        handler = make_handler(gateway)
        handler.demand_of(search_route(4)).add(20, gateway.reactor.seconds())
        cut_off(gateway, THERE)
        assert "cut off from there" in handler.cut_off_reason()

    def test_stays_not_ready_after_its_callers_have_left(self) -> None:
        gateway = make_gateway()
        for shard in shard_names(4):
            gateway.add(f"{shard}-b", shard, THERE)
        handler = make_handler(gateway)
        handler.demand_of(search_route(4)).add(20, gateway.reactor.seconds())
        cut_off(gateway, THERE)
        assert handler.cut_off_reason()
        gateway.reactor.advance(10.0)
        assert "cut off from there" in handler.cut_off_reason()
        gateway.directory.reachability.record_response(THERE, gateway.reactor.seconds())
        assert handler.cut_off_reason() == ""

    def test_not_ready_before_requests_are_refused(self) -> None:
        gateway = make_gateway()
        for shard in shard_names(4):
            gateway.add(f"{shard}-b", shard, THERE)
        handler = make_handler(gateway)
        now = gateway.reactor.seconds()
        handler.demand_of(search_route(4)).add(20, now)
        for shard in shard_names(4):
            gateway.directory.reachability.record_request(THERE, f"{shard}-b", now)
        gateway.reactor.advance(0.15)
        assert "cut off from there" in handler.cut_off_reason()
        assert gateway.directory.can_serve("s00", gateway.reactor.seconds())

    def test_stays_ready_while_it_can_serve_its_callers(self) -> None:
        gateway = with_replicas(4)
        handler = make_handler(gateway)
        cut_off(gateway, THERE)
        assert handler.cut_off_reason() == ""

    def test_routes_without_requests_do_not_count(self) -> None:
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
        cut_off(gateway, THERE)
        assert "cut off from there" in handler.cut_off_reason()

    def test_requests_to_a_route_without_replicas_do_not_count(self) -> None:
        gateway = make_gateway()
        for shard in shard_names(4):
            gateway.add(f"{shard}-b", shard, THERE)
        handler = make_handler(gateway)
        now = gateway.reactor.seconds()
        handler.demand_of(search_route(4)).add(5, now)
        handler.demand_of(single_route(True)._replace(name="idle")).add(20, now)
        cut_off(gateway, THERE)
        assert "cut off from there: 5 of 5" in handler.cut_off_reason()

    def test_an_unused_route_that_is_cut_off_does_not_count(self) -> None:
        gateway = with_replicas(4)
        gateway.add("desk-b", "desk", THERE)
        handler = make_handler(gateway)
        now = gateway.reactor.seconds()
        handler.demand_of(search_route(4)).add(20, now)
        cut_off(gateway, THERE)
        assert handler.cut_off_reason() == ""
