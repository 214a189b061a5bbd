"""A planned stop in calm: what is taken late in the grace is answered.

The pattern: SIGTERM, and callers on kept connections that go on sending until the
process is gone. Some of their requests may run once only.
"""

from __future__ import annotations

import pytest

from sardinehook.gateway.answer import CallerAnswer
from sardinehook.gateway.process import NOT_READY_NOTICE_S, STOP_MARGIN_S
from sardinehook.gateway.settings import Bounds
from sardinehook.transport.tasks import start_task
from tests.gateway.support import REQUEST, configuration, search_route, single_route
from tests.gateway.test_process import ProcessRig

END_S = Bounds().grace_s - STOP_MARGIN_S  # from SIGTERM, unfinished work is cut then


def unexpected(error: Exception) -> None:
    """Fail the test."""
    pytest.fail(str(error))


class StoppingRig(ProcessRig):
    """A gateway at some time after SIGTERM."""

    def __init__(self, *, idempotent: bool, after_s: float) -> None:
        super().__init__()
        self.answers: list[CallerAnswer] = []
        self.route = single_route(idempotent)
        process = self.process
        process.apply_configuration(configuration(self.route))
        # A caller who stays connected keeps the process until the end of the grace.
        process.http_server.connections.add(object())  # type: ignore[arg-type]
        process.http_server.sweep = lambda: None  # type: ignore[method-assign]
        start_task(process.stop(), unexpected)
        for _ in range(round(after_s / 0.05)):
            self.reactor.advance(0.05)

    def ask(self, timeout_s: float) -> None:
        """Send one request of a caller who waits ``timeout_s``."""
        request = REQUEST._replace(
            received_at=self.reactor.seconds(), caller_timeout_s=timeout_s
        )
        self.process.request_handler.route(request, self.answers.append)

    @property
    def is_refused(self) -> bool:
        """Whether the request was refused because of the stop."""
        return [answer.outcome for answer in self.answers] == ["stopping"]


class TestRequestsThatMayRunOnceOnly:
    def test_one_that_could_be_cut_is_refused_at_once(self) -> None:
        rig = StoppingRig(idempotent=False, after_s=NOT_READY_NOTICE_S + 0.1)
        rig.ask(timeout_s=4.0)
        assert rig.is_refused
        assert rig.answers[0].status == 503
        assert dict(rig.answers[0].headers)[b"Retry-After"]

    def test_one_that_ends_before_the_stop_is_taken(self) -> None:
        rig = StoppingRig(idempotent=False, after_s=NOT_READY_NOTICE_S + 0.1)
        rig.ask(timeout_s=1.0)
        assert not rig.is_refused

    def test_before_callers_are_led_elsewhere_all_are_taken(self) -> None:
        rig = StoppingRig(idempotent=False, after_s=NOT_READY_NOTICE_S - 0.1)
        rig.ask(timeout_s=4.0)
        assert not rig.is_refused


class TestRequestsThatMayBeRepeated:
    @pytest.mark.parametrize(("left_s", "refused"), [(1.9, False), (1.7, True)])
    def test_they_are_taken_while_time_for_a_slow_answer_is_left(
        self, left_s: float, refused: bool
    ) -> None:
        """Three times the objective of 0.6 s."""
        rig = StoppingRig(idempotent=True, after_s=END_S - left_s)
        rig.ask(timeout_s=4.0)
        assert rig.is_refused == refused

    def test_searches_are_refused_alike(self) -> None:
        rig = StoppingRig(idempotent=True, after_s=END_S - 0.4)
        rig.process.apply_configuration(configuration(search_route(objective_s=0.2)))
        rig.ask(timeout_s=0.8)
        assert rig.is_refused
