"""Tests of the exchange of replica views."""

from __future__ import annotations

from typing import cast

from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import Clock

from sardinehook.entry.report_exchange import EXCHANGE_INTERVAL_S, ReportExchange
from sardinehook.messages import ReplicaReport, TargetState


def view(state: TargetState, wait_ms: float = 1.0) -> ReplicaReport:
    return ReplicaReport("r1", state, (1,), 1, wait_ms, 2)


class TestReportExchange:
    def test_a_peer_is_told_changes_only(self) -> None:
        views = [view(TargetState.COLD)]
        sent: list[ReplicaReport] = []
        taken: list[ReplicaReport] = []
        clock = Clock()

        def send(_peer: str, message: ReplicaReport) -> bool:
            sent.append(message)
            return True

        exchange = ReportExchange(
            cast("IReactorTime", clock),
            lambda: views,
            lambda: ["e2"],
            send,
            taken.append,
        )
        exchange.start()
        clock.advance(EXCHANGE_INTERVAL_S)
        assert len(sent) == 1
        views[0] = view(TargetState.COLD, wait_ms=9.0)
        clock.advance(EXCHANGE_INTERVAL_S)
        assert len(sent) == 1
        views[0] = view(TargetState.WARM)
        clock.advance(EXCHANGE_INTERVAL_S)
        assert [one.state for one in sent] == [TargetState.COLD, TargetState.WARM]
        assert taken[-1].state is TargetState.WARM
        exchange.forget("e2")
        clock.advance(EXCHANGE_INTERVAL_S)
        assert len(sent) == 3

    def test_what_could_not_be_sent_is_sent_again(self) -> None:
        tries: list[ReplicaReport] = []
        clock = Clock()

        def send(_peer: str, message: ReplicaReport) -> bool:
            tries.append(message)
            return len(tries) > 1

        exchange = ReportExchange(
            cast("IReactorTime", clock),
            lambda: [view(TargetState.WARM)],
            lambda: ["e2"],
            send,
            lambda _view: None,
        )
        exchange.start()
        clock.advance(EXCHANGE_INTERVAL_S)
        clock.advance(EXCHANGE_INTERVAL_S)
        assert len(tries) == 2
