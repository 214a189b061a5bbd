"""Tests of the owner: one reply each, order, slots, cancellation, stopping."""

from __future__ import annotations

import pytest

from sardinehook.messages import Outcome, TargetState
from sardinehook.target.allowance import Allowance
from tests.target.fakes import Rig, query


class TestReplies:
    def test_an_answer_is_passed_on(self) -> None:
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

    def test_another_version_is_not_an_answer(self) -> None:
        rig = Rig()
        rig.submit(query(index_version=7))
        rig.busy()[0].answer(Index_Version=8)
        assert rig.outcomes() == [Outcome.WRONG_VERSION]
        assert rig.replies[0].body == b""

    def test_a_shed_sub_query_did_not_begin(self) -> None:
        rig = Rig()
        rig.submit(query())
        rig.busy()[0].answer(503, Not_Run="true")
        assert (rig.replies[0].outcome, rig.replies[0].began) == (Outcome.SHED, False)

    def test_a_503_without_the_mark_may_have_begun(self) -> None:
        rig = Rig()
        rig.submit(query(order_key="k"))
        rig.busy()[0].answer(503)
        assert (rig.replies[0].outcome, rig.replies[0].began) == (Outcome.FAILED, True)

    def test_no_answer_by_the_deadline_is_late_and_given_once(self) -> None:
        rig = Rig()
        rig.submit(query())
        (link,) = rig.busy()
        rig.advance(0.16)
        link.answer()
        assert rig.outcomes() == [Outcome.LATE]

    def test_the_target_is_told_what_is_left(self) -> None:
        rig = Rig()
        rig.submit(query(1), query(2))
        rig.advance(0.04)
        rig.busy()[0].answer()
        (link,) = rig.busy()
        assert 100 <= int(link.header("Deadline-Ms")) <= 108

    @pytest.mark.parametrize("allowance", [None, Allowance(0, 0, False)])
    def test_a_replica_without_a_part_is_refused(
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
    def test_a_queued_sub_query_does_not_begin(self) -> None:
        rig = Rig()
        rig.submit(query(1), query(2))
        rig.owner.cancel("peer", 2)
        assert (rig.replies[0].outcome, rig.replies[0].began) == (
            Outcome.CANCELLED,
            False,
        )

    def test_a_running_one_is_answered_once_and_cancelled_at_the_target(self) -> None:
        rig = Rig()
        rig.submit(query(1))
        (link,) = rig.busy()
        rig.owner.cancel("peer", 1)
        rig.advance(0.003)
        (cancel,) = rig.busy("POST /cancel")
        assert cancel.header("Sub-Query-Id") == link.header("Sub-Query-Id")
        link.answer()
        assert rig.outcomes() == [Outcome.CANCELLED]

    def test_the_slot_stays_taken_until_the_target_confirms(self) -> None:
        rig = Rig()
        rig.submit(query(1))
        rig.owner.cancel("peer", 1)
        rig.submit(query(2))
        assert rig.owner.in_flight("s-a") == 1
        rig.busy("POST /cancel")[0].answer(404)
        assert rig.owner.in_flight("s-a") == 1
        assert len(rig.busy()) == 1

    def test_a_confirmed_cancellation_frees_the_slot(self) -> None:
        rig = Rig()
        rig.submit(query(1), query(2))
        rig.owner.cancel("peer", 1)
        rig.advance(0.003)
        rig.busy("POST /cancel")[0].answer(200)
        rig.advance(0.003)
        assert [link.header("Request-Id") for link in rig.busy()] == ["r1", "r2"]

    def test_an_order_that_was_sent_is_not_cancelled_at_the_target(self) -> None:
        rig = Rig()
        rig.submit(query(1, order_key="k"))
        rig.owner.cancel("peer", 1)
        rig.advance(0.003)
        assert not rig.busy("POST /cancel")
        assert rig.replies[0].began

    def test_ids_of_different_senders_are_apart(self) -> None:
        rig = Rig()
        rig.submit(query(1))
        rig.owner.cancel("another", 1)
        assert rig.replies == []


class TestQueue:
    def test_priority_goes_before_deadline(self) -> None:
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

    def test_what_cannot_finish_is_refused_before_it_is_sent(self) -> None:
        rig = Rig()
        rig.submit(query(1), query(2, deadline_ms=40.0))
        rig.advance(0.05)
        assert (rig.replies[0].outcome, rig.replies[0].began) == (
            Outcome.NOT_RUN,
            False,
        )

    def test_a_full_queue_refuses_the_least_urgent(self) -> None:
        rig = Rig()
        bound = rig.owner.limits.queue_length
        rig.submit(query(0, deadline_ms=9_000.0))
        rig.submit(*(query(n, deadline_ms=8_000.0) for n in range(1, bound + 1)))
        rig.submit(query(999, priority=0, deadline_ms=9_000.0))
        assert rig.outcomes() == [Outcome.NOT_RUN]
        assert rig.replies[0].sub_query_id == bound


class TestStopping:
    def test_an_owner_without_work_closes_at_once(self) -> None:
        rig = Rig()
        done: list[None] = []
        rig.owner.close(5.0).addCallback(done.append)
        assert done == [None]

    def test_work_in_flight_finishes_and_new_work_is_refused(self) -> None:
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

    def test_the_grace_bounds_the_wait_and_doubt_is_said(self) -> None:
        rig = Rig()
        rig.submit(query(1, deadline_ms=60_000.0, order_key="k"))
        done: list[None] = []
        rig.owner.close(0.5).addCallback(done.append)
        rig.advance(0.6)
        assert done == [None]
        assert rig.replies[0].began

    def test_work_in_flight_outlives_the_allowance(self) -> None:
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
    def test_a_view_shows_state_versions_and_room(self) -> None:
        rig = Rig()
        (view,) = rig.owner.views()
        assert (view.state, view.index_versions, view.free_slots) == (
            TargetState.UNKNOWN,
            (1,),
            1,
        )

    def test_a_replica_without_a_part_is_not_shown(self) -> None:
        rig = Rig()
        rig.owner.set_allowance("s-a", None)
        assert rig.owner.views() == []

    def test_a_holder_that_may_not_serve_cold_has_no_room(self) -> None:
        rig = Rig(allowance=Allowance(1, 5, may_serve_cold=False))
        rig.submit(query(1))
        assert rig.owner.views()[0].free_slots == 0
        assert rig.outcomes() == [Outcome.NOT_RUN]

    def test_the_counts_are_those_of_what_is_held(self) -> None:
        rig = Rig()
        rig.submit(query(1), query(2))
        counts = rig.owner.counts()
        assert (counts.slots, counts.slots_allowed, counts.queued) == (1, 2, 1)
        assert counts.connections == sum(link.open for link in rig.reactor.links)
        assert counts.replicas[TargetState.UNKNOWN] == 1
