"""Log lines and metrics name the cause of each failed or incomplete request."""

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


def make_evacuated_gateway() -> Gateway:
    """Make a gateway whose replicas are all in an evacuated data centre."""
    gateway = make_gateway()
    for shard in shard_names(4):
        gateway.add(f"{shard}-b", shard, THERE)
    gateway.directory.set_evacuated({THERE})
    return gateway


def make_draining_gateway() -> Gateway:
    """Make a gateway whose replicas are all draining."""
    gateway = make_gateway()
    for shard in shard_names(4):
        replica = gateway.add(f"{shard}-a", shard)
        replica.entry = replica.entry._replace(draining=True)
    return gateway


class TestRefused:
    @pytest.mark.parametrize(
        ("gateway", "cause"),
        [
            (make_draining_gateway(), "s00-a draining"),
            (make_gateway(), "s00: none registered"),
        ],
    )
    def test_answer_names_the_replicas_and_the_cause(
        self, gateway: Gateway, cause: str
    ) -> None:
        gateway.gather(search_route(4))
        assert cause in gateway.answers[0].detail

    def test_evacuated_data_centre_is_named(self) -> None:
        gateway = make_evacuated_gateway()
        gateway.gather(search_route(4))
        assert "in evacuated there" in gateway.answers[0].detail


class TestMetrics:
    def test_missing_shards_are_counted_by_reason(self) -> None:
        gateway = with_replicas(4)
        metrics = GatewayMetrics()
        request_log = RequestLog(gateway.reactor, metrics)
        work = gateway.gather(search_route(4))
        gateway.answer_all("s03")
        gateway.reactor.advance(0.2)
        request_log.record_ended(work, 1, gateway.answers[0])
        assert b'missing_shards_total{reason="overdue"} 1.0' in metrics.render()

    def test_hedges_denied_by_the_retry_budget_are_counted(self) -> None:
        gateway = with_replicas(4, Bounds(repeat_ratio=0.0, repeat_slack=0.0))
        metrics = GatewayMetrics()
        gateway.policy.on_retry_denied = metrics.repeats_denied.inc
        gateway.gather(search_route(4))
        gateway.reactor.advance(0.1)
        assert b"repeats_denied_total 4.0" in metrics.render()


class TestLogLines:
    def test_each_failed_request_is_logged_with_its_cause(self) -> None:
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

    def test_incomplete_answer_is_logged_with_its_missing_shards(self) -> None:
        gateway = with_replicas(4)
        request_log = RequestLog(gateway.reactor, GatewayMetrics())
        work = gateway.gather(search_route(4))
        gateway.answer_all("s02")
        gateway.reactor.advance(0.2)
        with capture_logs() as lines:
            request_log.record_ended(work, 7, gateway.answers[0])
        assert lines[0]["event"] == "query_answered"
        assert lines[0]["detail"].startswith("s02:")
