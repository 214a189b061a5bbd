"""Tests of the owner: single replies, queue order, slots, cancellation, stopping."""

from __future__ import annotations

import pytest

from sardinehook.messages import Outcome, TargetState
from sardinehook.target.allowance import Allowance
from tests.target.fakes import Rig, query


class TestReplies:
    def test_reply_fields_and_body_are_passed_on(self) -> None:
        rig = Rig()
        rig.submit(query(index_version=7, partitioning=2))
        rig.busy()[0].answer(body=b"hits")
        (reply,) = rig.replies
        assert (reply.outcome, reply.index_version, reply.partitioning, reply.body) == (
            Outcome.ANSWERED,
            7,
            2,
            b"hits",
        )

    def test_reply_from_another_version_is_wrong_version(self) -> None:
        rig = Rig()
        rig.submit(query(index_version=7))
        rig.busy()[0].answer(Index_Version=8)
        assert rig.outcomes() == [Outcome.WRONG_VERSION]
        assert rig.replies[0].body == b""

    def test_shed_sub_query_reports_not_begun(self) -> None:
        rig = Rig()
        rig.submit(query())
        rig.busy()[0].answer(503, Not_Run="true")
        assert (rig.replies[0].outcome, rig.replies[0].began) == (Outcome.SHED, False)

    def test_503_without_not_run_header_reports_began(self) -> None:
        rig = Rig()
        rig.submit(query(order_key="k"))
        rig.busy()[0].answer(503)
        assert (rig.replies[0].outcome, rig.replies[0].began) == (Outcome.FAILED, True)

    def test_missed_deadline_is_reported_late_exactly_once(self) -> None:
        rig = Rig()
        rig.submit(query())
        (link,) = rig.busy()
        rig.advance(0.16)
        link.answer()
        assert rig.outcomes() == [Outcome.LATE]

    def test_target_gets_the_remaining_deadline(self) -> None:
        rig = Rig()
        rig.submit(query(1), query(2))
        rig.advance(0.04)
        rig.busy()[0].answer()
        (link,) = rig.busy()
        assert 100 <= int(link.header("Deadline-Ms")) <= 108

    @pytest.mark.parametrize("allowance", [None, Allowance(0, 0, False)])
    def test_sub_query_without_an_allowance_is_refused(
        self, allowance: Allowance | None
    ) -> None:
        rig = Rig()
        rig.owner.set_allowance("s-a", allowance)
        rig.submit(query())
        assert (rig.replies[0].outcome, rig.replies[0].began) == (
            Outcome.NOT_RUN,
            False,
        )


class TestCancel:
    def test_cancelled_queued_sub_query_reports_not_begun(self) -> None:
        rig = Rig()
        rig.submit(query(1), query(2))
        rig.owner.cancel("peer", 2)
        assert (rig.replies[0].outcome, rig.replies[0].began) == (
            Outcome.CANCELLED,
            False,
        )

    def test_cancelled_running_sub_query_is_cancelled_at_the_target(self) -> None:
        rig = Rig()
        rig.submit(query(1))
        (link,) = rig.busy()
        rig.owner.cancel("peer", 1)
        rig.advance(0.003)
        (cancel,) = rig.busy("POST /cancel")
        assert cancel.header("Sub-Query-Id") == link.header("Sub-Query-Id")
        link.answer()
        assert rig.outcomes() == [Outcome.CANCELLED]

    def test_slot_stays_occupied_until_the_target_confirms(self) -> None:
        rig = Rig()
        rig.submit(query(1))
        rig.owner.cancel("peer", 1)
        rig.submit(query(2))
        assert rig.owner.in_flight("s-a") == 1
        rig.busy("POST /cancel")[0].answer(404)
        assert rig.owner.in_flight("s-a") == 1
        assert len(rig.busy()) == 1

    def test_confirmed_cancellation_frees_the_slot(self) -> None:
        rig = Rig()
        rig.submit(query(1), query(2))
        rig.owner.cancel("peer", 1)
        rig.advance(0.003)
        rig.busy("POST /cancel")[0].answer(200)
        rig.advance(0.003)
        assert [link.header("Request-Id") for link in rig.busy()] == ["r1", "r2"]

    def test_sent_order_is_not_cancelled_at_the_target(self) -> None:
        rig = Rig()
        rig.submit(query(1, order_key="k"))
        rig.owner.cancel("peer", 1)
        rig.advance(0.003)
        assert not rig.busy("POST /cancel")
        assert rig.replies[0].began

    def test_ids_of_different_senders_do_not_collide(self) -> None:
        rig = Rig()
        rig.submit(query(1))
        rig.owner.cancel("another", 1)
        assert rig.replies == []


class TestQueue:
    def test_priority_takes_precedence_over_deadline(self) -> None:
        rig = Rig()
        rig.submit(
            query(1),
            query(2, priority=5, deadline_ms=100.0),
            query(3, priority=5, deadline_ms=90.0),
            query(4, priority=1, deadline_ms=140.0),
        )
        served = []
        for _ in range(4):
            (link,) = rig.busy()
            served.append(link.header("Request-Id"))
            link.answer()
            rig.advance(0.002)
        assert served == ["r1", "r4", "r3", "r2"]

    def test_sub_query_that_cannot_finish_is_refused_unsent(self) -> None:
        rig = Rig()
        rig.submit(query(1), query(2, deadline_ms=40.0))
        rig.advance(0.05)
        assert (rig.replies[0].outcome, rig.replies[0].began) == (
            Outcome.NOT_RUN,
            False,
        )

    def test_full_queue_refuses_the_lowest_priority(self) -> None:
        rig = Rig()
        bound = rig.owner.limits.queue_length
        rig.submit(query(0, deadline_ms=9_000.0))
        rig.submit(*(query(n, deadline_ms=8_000.0) for n in range(1, bound + 1)))
        rig.submit(query(999, priority=0, deadline_ms=9_000.0))
        assert rig.outcomes() == [Outcome.NOT_RUN]
        assert rig.replies[0].sub_query_id == bound


class TestStopping:
    def test_idle_owner_closes_at_once(self) -> None:
        rig = Rig()
        done: list[None] = []
        rig.owner.close(5.0).addCallback(done.append)
        assert done == [None]

    def test_close_lets_sub_queries_finish_and_refuses_new_ones(self) -> None:
        rig = Rig()
        rig.submit(query(1))
        (link,) = rig.busy()
        done: list[None] = []
        rig.owner.close(5.0).addCallback(done.append)
        rig.submit(query(2))
        assert rig.outcomes() == [Outcome.NOT_RUN]
        assert not done
        link.answer()
        rig.advance(0.01)
        assert rig.outcomes() == [Outcome.NOT_RUN, Outcome.ANSWERED]
        assert done == [None]
        assert not any(one.open for one in rig.reactor.links)

    def test_close_after_the_grace_period_reports_began(self) -> None:
        rig = Rig()
        rig.submit(query(1, deadline_ms=60_000.0, order_key="k"))
        done: list[None] = []
        rig.owner.close(0.5).addCallback(done.append)
        rig.advance(0.6)
        assert done == [None]
        assert rig.replies[0].began

    def test_sub_query_in_flight_finishes_after_withdrawal(self) -> None:
        rig = Rig()
        rig.submit(query(1), query(2))
        rig.owner.set_allowance("s-a", None)
        assert rig.outcomes() == [Outcome.NOT_RUN]
        rig.busy()[0].answer()
        rig.advance(0.01)
        assert rig.outcomes() == [Outcome.NOT_RUN, Outcome.ANSWERED]
        assert rig.owner.in_flight("s-a") == 0
        assert not any(one.open for one in rig.reactor.links)


class TestViews:
    def test_view_shows_state_versions_and_free_slots(self) -> None:
        rig = Rig()
        (view,) = rig.owner.views()
        assert (view.state, view.index_versions, view.free_slots) == (
            TargetState.UNKNOWN,
            (1,),
            1,
        )

    def test_replica_without_an_allowance_has_no_view(self) -> None:
        rig = Rig()
        rig.owner.set_allowance("s-a", None)
        assert rig.owner.views() == []

    def test_owner_not_permitted_to_serve_cold_has_no_free_slots(self) -> None:
        rig = Rig(allowance=Allowance(1, 5, may_serve_cold=False))
        rig.submit(query(1))
        assert rig.owner.views()[0].free_slots == 0
        assert rig.outcomes() == [Outcome.NOT_RUN]

    def test_counts_sum_up_usage(self) -> None:
        rig = Rig()
        rig.submit(query(1), query(2))
        counts = rig.owner.counts()
        assert (counts.slots, counts.slots_allowed, counts.queued) == (1, 2, 1)
        assert counts.connections == sum(link.open for link in rig.reactor.links)
        assert counts.replicas[TargetState.UNKNOWN] == 1
