"""Tests of replicas that leave and return."""

from __future__ import annotations

import pytest
from structlog.testing import capture_logs
from twisted.internet.error import ConnectionDone, ConnectionLost

from sardinehook.messages import Outcome, TargetState
from sardinehook.target.availability import DRAIN_HOLD_S, Availability
from sardinehook.target.concurrency_limit import ConcurrencyLimit
from tests.target.fakes import Rig, query


class TestLeaving:
    def test_drain_signal_refuses_new_and_queued_sub_queries(self) -> None:
        rig = Rig()
        rig.submit(query(1), query(2))
        rig.busy()[0].answer(Target_State="draining")
        rig.submit(query(3))
        assert rig.outcomes() == [Outcome.ANSWERED, Outcome.NOT_RUN, Outcome.NOT_RUN]
        assert rig.owner.views()[0].state is TargetState.DRAINING

    @pytest.mark.parametrize("listed", [TargetState.DRAINING, TargetState.GONE])
    def test_leaving_vm_refuses_new_sub_queries(self, listed: TargetState) -> None:
        rig = Rig()
        rig.owner.update_vm_state("s-a", listed)
        rig.submit(query())
        assert rig.outcomes() == [Outcome.NOT_RUN]
        assert rig.owner.views()[0].state is listed

    def test_sub_query_in_flight_finishes_while_draining(self) -> None:
        rig = Rig()
        rig.submit(query(1))
        rig.owner.update_vm_state("s-a", TargetState.DRAINING)
        rig.busy()[0].answer()
        assert rig.outcomes() == [Outcome.ANSWERED]

    def test_refused_connection_refuses_new_sub_queries(self) -> None:
        rig = Rig()
        rig.reactor.refuses = True
        for link in rig.reactor.links:
            link.drop(ConnectionDone())
        rig.submit(query())
        assert rig.outcomes() == [Outcome.NOT_RUN]
        assert rig.owner.views()[0].state is TargetState.GONE


class TestReturning:
    def test_target_that_accepts_connections_again_is_unknown(self) -> None:
        rig = Rig()
        rig.warm_up()
        rig.reactor.refuses = True
        for link in rig.reactor.links:
            link.drop(ConnectionLost())
        rig.advance(0.5)
        rig.reactor.refuses = False
        rig.advance(2.5)
        (view,) = rig.owner.views()
        assert (view.state, view.free_slots) == (TargetState.UNKNOWN, 1)

    def test_outdated_status_does_not_end_a_drain(self) -> None:
        availability = Availability(ConcurrencyLimit(1, 2))
        availability.record_reply_state(TargetState.DRAINING, now=0.0)
        for second in range(9):
            availability.record_status(draining=False, now=float(second))
        assert availability.leaving

    def test_revoked_drain_ends_after_the_hold_time(self) -> None:
        availability = Availability(ConcurrencyLimit(1, 2))
        availability.record_reply_state(TargetState.DRAINING, now=0.0)
        for second in range(3):
            availability.record_status(draining=False, now=DRAIN_HOLD_S + second)
        assert availability.state is TargetState.UNKNOWN

    def test_vm_that_returns_starts_unknown(self) -> None:
        rig = Rig()
        rig.warm_up()
        rig.owner.update_vm_state("s-a", TargetState.DRAINING)
        rig.owner.update_vm_state("s-a", TargetState.UNKNOWN)
        assert rig.owner.views()[0].state is TargetState.UNKNOWN


class TestStatusEndpoint:
    def test_versions_in_replies_take_precedence_over_the_status(self) -> None:
        rig = Rig()
        rig.submit(query(1))
        rig.busy()[0].answer(Index_Versions_Held="6,7", Partitioning_Version=3)
        rig.runner.poll_status()
        rig.busy("GET /status")[0].answer(body=b'{"index_versions":[1]}')
        (view,) = rig.owner.views()
        assert (view.index_versions, view.partitioning) == ((6, 7), 3)

    @pytest.mark.parametrize("body", [b"", b"[]", b'{"index_versions":"all"}'])
    def test_malformed_status_is_ignored(self, body: bytes) -> None:
        rig = Rig()
        rig.runner.poll_status()
        rig.busy("GET /status")[0].answer(body=body)
        assert rig.owner.views()[0].index_versions == (1,)


class TestEventLog:
    def test_each_state_change_is_logged_once_with_its_cause(self) -> None:
        with capture_logs() as logs:
            rig = Rig()
            rig.submit(query(1))
            rig.busy()[0].answer(Target_State="draining")
            rig.advance(0.1)
        states = [one for one in logs if one["event"] == "target_state"]
        assert [(one["state"], one["cause"]) for one in states] == [
            ("draining", "its drain signal")
        ]
        assert logs[0]["event"] == "target_acquired"
