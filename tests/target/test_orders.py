"""Tests that an order is sent at most once and that a possible run is reported."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from twisted.internet.error import ConnectionLost

from sardinehook.messages import Outcome
from sardinehook.target.allowance import Allowance
from tests.target.fakes import FakeLink, Rig, query

ORDER = query(1, order_key="k")


def send_malformed(link: FakeLink) -> None:
    link.protocol.dataReceived(b"nonsense\r\n\r\n")


def reset(link: FakeLink) -> None:
    link.drop(ConnectionLost())


def truncate(link: FakeLink) -> None:
    link.protocol.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
    link.drop(ConnectionLost())


class TestFailurePoints:
    @pytest.mark.parametrize(
        ("fail", "outcome"),
        [
            (send_malformed, Outcome.GARBLED),
            (reset, Outcome.CONNECTION_LOST),
            (truncate, Outcome.GARBLED),
            (lambda link: link.answer(500), Outcome.FAILED),
            (lambda link: link.answer(503), Outcome.FAILED),
            (lambda link: link.answer(504), Outcome.LATE),
            (lambda link: None, Outcome.LATE),
            (lambda link: link.answer(Sub_Query_Id="other"), Outcome.GARBLED),
        ],
    )
    def test_failure_after_sending_reports_began_and_is_not_retried(
        self, fail: Callable[[FakeLink], None], outcome: Outcome
    ) -> None:
        rig = Rig()
        rig.warm_up()
        rig.submit(ORDER)
        fail(rig.busy()[0])
        rig.advance(0.3)
        assert [(one.outcome, one.began) for one in rig.replies] == [(outcome, True)]
        assert rig.sent("r1") == 1

    def test_order_is_not_retried_even_with_a_free_slot_and_time_left(self) -> None:
        rig = Rig(slots=4, cold=3)
        rig.warm_up()
        rig.submit(ORDER)
        (link,) = rig.busy()
        assert link.protocol.exchanges > 1
        link.drop(ConnectionLost())
        rig.advance(0.01)
        assert rig.outcomes() == [Outcome.CONNECTION_LOST]
        assert rig.sent("r1") == 1

    @pytest.mark.parametrize("status", [412, 503])
    def test_refusal_by_the_target_reports_not_begun(self, status: int) -> None:
        rig = Rig()
        rig.submit(ORDER)
        rig.busy()[0].answer(status, Not_Run="true")
        assert not rig.replies[0].began
        assert rig.sent("r1") == 1

    def test_unreachable_target_reports_not_run(self) -> None:
        rig = Rig()
        rig.reactor.refuses = True
        for link in rig.reactor.links:
            link.drop(ConnectionLost())
        rig.submit(ORDER)
        rig.advance(0.2)
        assert [(one.outcome, one.began) for one in rig.replies] == [
            (Outcome.NOT_RUN, False)
        ]

    def test_withdrawn_allowance_reports_queued_order_not_run(self) -> None:
        rig = Rig()
        rig.submit(query(9), ORDER)
        rig.owner.set_allowance("s-a", None)
        assert [(one.outcome, one.began) for one in rig.replies] == [
            (Outcome.NOT_RUN, False)
        ]

    def test_stop_with_the_order_in_flight_reports_began(self) -> None:
        rig = Rig()
        rig.submit(ORDER)
        rig.owner.close(0.01)
        rig.advance(0.05)
        assert rig.replies[0].began


class TestConnections:
    def test_order_avoids_a_long_idle_connection(self) -> None:
        rig = Rig(slots=1, allowance=Allowance(1, 20, True))
        rig.advance(1.0)
        opened = len(rig.reactor.links)
        rig.submit(ORDER)
        rig.advance(0.002)
        (link,) = rig.busy()
        assert rig.reactor.links.index(link) >= opened

    def test_search_uses_a_long_idle_connection(self) -> None:
        rig = Rig()
        rig.advance(1.0)
        opened = len(rig.reactor.links)
        rig.submit(query())
        assert rig.reactor.links.index(rig.busy()[0]) < opened
