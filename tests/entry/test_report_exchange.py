"""Tests of the exchange of replica reports."""

from __future__ import annotations

from typing import cast

from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import Clock

from sardinehook.entry.report_exchange import EXCHANGE_INTERVAL_S, ReportExchange
from sardinehook.messages import ReplicaReport, TargetState


def report(state: TargetState, wait_ms: float = 1.0) -> ReplicaReport:
    return ReplicaReport("r1", state, (1,), 1, wait_ms, 2)


class TestReportExchange:
    def test_peer_is_sent_changes_only(self) -> None:
        reports = [report(TargetState.COLD)]
        sent: list[ReplicaReport] = []
        received: list[ReplicaReport] = []
        clock = Clock()

        def send(_peer: str, message: ReplicaReport) -> bool:
            sent.append(message)
            return True

        exchange = ReportExchange(
            cast("IReactorTime", clock),
            lambda: reports,
            lambda: ["e2"],
            send,
            received.append,
        )
        exchange.start()
        clock.advance(EXCHANGE_INTERVAL_S)
        assert len(sent) == 1
        reports[0] = report(TargetState.COLD, wait_ms=9.0)
        clock.advance(EXCHANGE_INTERVAL_S)
        assert len(sent) == 1
        reports[0] = report(TargetState.WARM)
        clock.advance(EXCHANGE_INTERVAL_S)
        assert [message.state for message in sent] == [
            TargetState.COLD,
            TargetState.WARM,
        ]
        assert received[-1].state is TargetState.WARM
        exchange.forget("e2")
        clock.advance(EXCHANGE_INTERVAL_S)
        assert len(sent) == 3

    def test_failed_send_is_retried(self) -> None:
        attempts: list[ReplicaReport] = []
        clock = Clock()

        def send(_peer: str, message: ReplicaReport) -> bool:
            attempts.append(message)
            return len(attempts) > 1

        exchange = ReportExchange(
            cast("IReactorTime", clock),
            lambda: [report(TargetState.WARM)],
            lambda: ["e2"],
            send,
            lambda _report: None,
        )
        exchange.start()
        clock.advance(EXCHANGE_INTERVAL_S)
        clock.advance(EXCHANGE_INTERVAL_S)
        assert len(attempts) == 2
