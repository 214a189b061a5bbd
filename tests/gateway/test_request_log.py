"""Each request that ends badly leaves a line that names what decided it."""

from __future__ import annotations

import pytest
from structlog.testing import capture_logs

from sardinehook.gateway.dispatch import Failed, NotRun
from sardinehook.gateway.metrics import GatewayMetrics
from sardinehook.gateway.request_log import RequestLog
from sardinehook.gateway.settings import Bounds
from tests.gateway.support import (
    THERE,
    Gateway,
    make_gateway,
    search_route,
    shard_names,
)
from tests.gateway.test_gather import with_replicas


def refused_for_evacuation() -> Gateway:
    """Make a gateway all of whose replicas are in an evacuated data centre."""
    gateway = make_gateway()
    for shard in shard_names(4):
        gateway.add(f"{shard}-b", shard, THERE)
    gateway.directory.set_evacuated({THERE})
    return gateway


def refused_for_drains() -> Gateway:
    """Make a gateway all of whose replicas drain."""
    gateway = make_gateway()
    for shard in shard_names(4):
        replica = gateway.add(f"{shard}-a", shard)
        replica.entry = replica.entry._replace(draining=True)
    return gateway


class TestRefused:
    @pytest.mark.parametrize(
        ("gateway", "cause"),
        [
            (refused_for_drains(), "s00-a draining"),
            (make_gateway(), "s00: none registered"),
        ],
    )
    def test_the_answer_names_the_replicas_and_why(
        self, gateway: Gateway, cause: str
    ) -> None:
        gateway.gather(search_route(4))
        assert cause in gateway.answers[0].detail

    def test_an_evacuated_data_centre_is_named(self) -> None:
        gateway = refused_for_evacuation()
        gateway.gather(search_route(4))
        assert "in evacuated there" in gateway.answers[0].detail


class TestMetrics:
    def test_shards_that_are_left_out_are_counted_by_why(self) -> None:
        gateway = with_replicas(4)
        metrics = GatewayMetrics()
        request_log = RequestLog(gateway.reactor, metrics)
        work = gateway.gather(search_route(4))
        gateway.answer_all("s03")
        gateway.reactor.advance(0.2)
        request_log.record_ended(work, 1, gateway.answers[0])
        assert b'missing_shards_total{reason="overdue"} 1.0' in metrics.render()

    def test_hedges_without_budget_are_counted(self) -> None:
        gateway = with_replicas(4, Bounds(repeat_ratio=0.0, repeat_slack=0.0))
        metrics = GatewayMetrics()
        gateway.policy.on_retry_denied = metrics.repeats_denied.inc
        gateway.gather(search_route(4))
        gateway.reactor.advance(0.1)
        assert b"repeats_denied_total 4.0" in metrics.render()


class TestLines:
    def test_every_request_that_ends_badly_has_a_line_with_its_cause(self) -> None:
        gateway = with_replicas(4)
        request_log = RequestLog(gateway.reactor, GatewayMetrics())
        with capture_logs() as lines:
            for outcome in (Failed("reset by peer"), NotRun("refused with 503", True)):
                gateway.answers.clear()
                work = gateway.gather(search_route(4, least=1.0))
                while not gateway.answers:
                    (exchange, *_) = gateway.dispatcher.open_at("s00")
                    gateway.end(exchange, outcome)
                request_log.record_ended(work, 7, gateway.answers[0])
        failed = [line for line in lines if line["event"] == "query_failed"]
        assert len(failed) == 2
        assert "s00-" in failed[0]["detail"] and "reset" in failed[0]["detail"]
        assert "refused with 503" in failed[1]["detail"]
        assert {line["request"] for line in failed} == {"r-1"}
        assert {line["revision"] for line in failed} == {7}

    def test_an_answer_with_missing_shards_names_them(self) -> None:
        gateway = with_replicas(4)
        request_log = RequestLog(gateway.reactor, GatewayMetrics())
        work = gateway.gather(search_route(4))
        gateway.answer_all("s02")
        gateway.reactor.advance(0.2)
        with capture_logs() as lines:
            request_log.record_ended(work, 7, gateway.answers[0])
        assert lines[0]["event"] == "query_answered"
        assert lines[0]["detail"].startswith("s02:")
