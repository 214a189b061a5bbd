"""Requests to a single replica: at most once, retries, hedges and errors."""

from __future__ import annotations

import pytest

from sardinehook.gateway.dispatch import Answered, Failed, NotRun
from sardinehook.gateway.settings import Bounds
from tests.gateway.support import (
    REQUEST,
    Gateway,
    good,
    make_gateway,
    reply,
    single_route,
)


def gateway_with_replicas(replicas: int = 3) -> Gateway:
    """Make a gateway with some replicas of one service."""
    gateway = make_gateway(Bounds(repeat_slack=50.0))
    for number in range(replicas):
        gateway.add(f"d{number}", "desk")
    return gateway


class TestAtMostOnce:
    def test_no_retry_after_it_may_have_run(self) -> None:
        gateway = gateway_with_replicas()
        gateway.call(single_route(idempotent=False), "desk")
        (exchange,) = gateway.dispatcher.sent
        gateway.end(exchange, Failed("reset"))
        assert len(gateway.dispatcher.sent) == 1
        assert [answer.status for answer in gateway.answers] == [502]

    def test_retry_after_an_explicit_refusal(self) -> None:
        gateway = gateway_with_replicas()
        gateway.call(single_route(idempotent=False), "desk")
        gateway.end(gateway.dispatcher.sent[0], NotRun("refused with 503", True))
        gateway.end(gateway.dispatcher.sent[1], good("d"))
        assert [answer.status for answer in gateway.answers] == [200]

    def test_no_hedge(self) -> None:
        gateway = gateway_with_replicas()
        gateway.call(single_route(idempotent=False), "desk")
        gateway.reactor.pump([0.1] * 20)
        assert len(gateway.dispatcher.sent) == 1

    @pytest.mark.parametrize("slack", [0.0, 50.0])
    @pytest.mark.parametrize("idempotent", [False, True])
    def test_failover_while_a_connection_hangs(
        self, idempotent: bool, slack: float
    ) -> None:
        """Guards against requests lost to dead VMs, which don't refuse connections."""
        gateway = gateway_with_replicas(3)
        gateway.policy.configure(Bounds(repeat_ratio=0.0, repeat_slack=slack))
        names = {replica.replica_id for replica in gateway.directory.replicas.values()}
        live = max(names)
        gateway.dispatcher.hangs = names - {live}
        gateway.call(single_route(idempotent=idempotent), "desk")
        gateway.reactor.pump([0.05] * 12)
        (exchange,) = gateway.dispatcher.sent
        assert exchange.replica.replica_id == live
        assert all(waiting.done for waiting in gateway.dispatcher.waiting)
        gateway.end(exchange, good("d"))
        assert [answer.status for answer in gateway.answers] == [200]

    def test_no_status_for_not_run_after_it_may_have_run(self) -> None:
        gateway = gateway_with_replicas(1)
        gateway.call(single_route(idempotent=False), "desk")
        gateway.end(gateway.dispatcher.sent[0], Failed("reset"))
        assert gateway.answers[0].status not in (408, 421, 429, 503)

    def test_runs_to_its_end_after_a_disconnect(self) -> None:
        gateway = gateway_with_replicas()
        work = gateway.call(single_route(idempotent=False), "desk")
        work.cancel()
        assert not gateway.dispatcher.sent[0].done


class TestIdempotent:
    def test_retry_after_a_failure(self) -> None:
        gateway = gateway_with_replicas()
        gateway.call(single_route(idempotent=True), "desk")
        gateway.end(gateway.dispatcher.sent[0], Failed("reset"))
        gateway.end(gateway.dispatcher.sent[1], good("d"))
        assert [answer.status for answer in gateway.answers] == [200]

    def test_overdue_request_is_hedged_and_the_slower_one_abandoned(self) -> None:
        gateway = gateway_with_replicas()
        gateway.call(single_route(idempotent=True), "desk")
        gateway.reactor.advance(0.4)
        first, second = gateway.dispatcher.sent
        gateway.end(second, good("d"))
        assert first.done
        assert len(gateway.answers) == 1

    def test_exchange_is_abandoned_after_a_disconnect(self) -> None:
        gateway = gateway_with_replicas()
        gateway.call(single_route(idempotent=True), "desk").cancel()
        assert gateway.dispatcher.sent[0].done

    def test_attempts_are_bounded(self) -> None:
        gateway = gateway_with_replicas(5)
        gateway.call(single_route(idempotent=True, attempts=2), "desk")
        for _ in range(3):
            for exchange in gateway.dispatcher.open_at("desk"):
                gateway.end(exchange, Failed("reset"))
        assert len(gateway.dispatcher.sent) == 2


class TestAnswers:
    def test_error_reply_is_forwarded_unchanged(self) -> None:
        gateway = gateway_with_replicas()
        gateway.call(single_route(idempotent=False), "desk")
        failure = Answered(reply(500, b"stamp", b"broken"))
        gateway.end(gateway.dispatcher.sent[0], failure)
        (answer,) = gateway.answers
        assert (answer.status, answer.body) == (500, b"broken")

    @pytest.mark.parametrize("status", [408, 421, 429, 503])
    @pytest.mark.parametrize("idempotent", [False, True])
    def test_a_status_that_promises_too_much_is_not_forwarded(
        self, status: int, idempotent: bool
    ) -> None:
        """Guards against orders that run twice: their callers send them again."""
        gateway = gateway_with_replicas(1)
        gateway.call(single_route(idempotent=idempotent), "desk")
        failure = Answered(reply(status, b"stamp", b"broken"))
        gateway.end(gateway.dispatcher.sent[0], failure)
        assert [answer.status for answer in gateway.answers] == [502]

    def test_success_without_signature_is_an_error(self) -> None:
        gateway = gateway_with_replicas(1)
        gateway.call(single_route(idempotent=False), "desk")
        gateway.end(gateway.dispatcher.sent[0], Answered(reply(200, None, b"x")))
        assert [answer.status for answer in gateway.answers] == [502]

    def test_no_replica_is_refused_at_once(self) -> None:
        gateway = make_gateway()
        gateway.call(single_route(idempotent=False), "desk")
        assert [answer.status for answer in gateway.answers] == [503]

    def test_error_is_returned_before_the_caller_times_out(self) -> None:
        gateway = gateway_with_replicas()
        gateway.call(single_route(idempotent=False), "desk")
        gateway.reactor.pump([0.1] * 8)
        assert [answer.status for answer in gateway.answers] == [504]


class TestDeadlines:
    def test_request_without_time_left_is_refused_unsent(self) -> None:
        gateway = gateway_with_replicas()
        request = REQUEST._replace(caller_timeout_s=0.0)
        gateway.call(single_route(idempotent=False), "desk", request)
        assert [answer.status for answer in gateway.answers] == [503]
        assert gateway.dispatcher.sent == []
