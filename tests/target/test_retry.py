"""Tests of probes and retries when a connection stops responding."""

from __future__ import annotations

from twisted.internet.error import ConnectionLost

from sardinehook.messages import Outcome, SubQuery
from tests.target.fakes import FakeLink, Rig, query


def warm_rig() -> Rig:
    """Return a rig whose replica is warm, with connections that have been used."""
    rig = Rig()
    rig.warm_up()
    rig.advance(0.01)
    return rig


def submit_unanswered(rig: Rig, sub_query: SubQuery) -> FakeLink:
    """Submit a sub-query and leave it without a reply."""
    rig.submit(sub_query)
    (link,) = rig.busy()
    return link


class TestProbe:
    def test_search_on_an_unresponsive_connection_is_retried(self) -> None:
        rig = warm_rig()
        silent = submit_unanswered(rig, query())
        rig.advance(0.05)
        (probe,) = rig.busy("POST /cancel")
        assert probe.protocol.idle_since >= silent.protocol.idle_since
        probe.answer(404)
        rig.advance(0.005)
        assert not silent.open
        (second,) = rig.busy()
        second.answer(body=b"hits")
        assert rig.outcomes() == [Outcome.ANSWERED]
        assert rig.sent("r1") == 2

    def test_probe_uses_a_connection_opened_after_sending(self) -> None:
        rig = warm_rig()
        before = list(rig.reactor.links)
        submit_unanswered(rig, query())
        rig.advance(0.06)
        (probe,) = rig.busy("POST /cancel")
        assert probe not in before

    def test_idle_connections_not_used_since_are_closed_too(self) -> None:
        rig = warm_rig()
        before = [link for link in rig.reactor.links if link.open]
        submit_unanswered(rig, query())
        rig.advance(0.06)
        rig.busy("POST /cancel")[0].answer(404)
        assert not any(link.open for link in before)

    def test_straggler_is_cancelled_and_retried(self) -> None:
        rig = warm_rig()
        straggler = submit_unanswered(rig, query())
        rig.advance(0.06)
        rig.busy("POST /cancel")[0].answer(200)
        rig.advance(0.002)
        assert straggler.open
        (second,) = [link for link in rig.busy() if link is not straggler]
        straggler.answer(409)
        second.answer()
        assert rig.outcomes() == [Outcome.ANSWERED]

    def test_search_is_retried_only_once(self) -> None:
        rig = warm_rig()
        first = submit_unanswered(rig, query())
        rig.advance(0.05)
        rig.busy("POST /cancel")[0].answer(404)
        rig.advance(0.2)
        assert not first.open
        assert rig.outcomes() == [Outcome.LATE]
        assert rig.sent("r1") == 2

    def test_slot_stays_occupied_at_a_cold_target(self) -> None:
        rig = warm_rig()
        submit_unanswered(rig, query())
        rig.advance(0.05)
        (probe,) = rig.busy("POST /cancel")
        rig.runner.ramp.reset_to_cold("test")
        probe.answer(404)
        assert rig.owner.in_flight("s-a") == 1
        assert rig.outcomes() == [Outcome.CONNECTION_LOST]

    def test_order_is_neither_probed_nor_retried(self) -> None:
        rig = warm_rig()
        submit_unanswered(rig, query(order_key="k"))
        rig.advance(0.3)
        assert not rig.busy("POST /cancel")
        assert rig.sent("r1") == 1
        assert (rig.replies[0].outcome, rig.replies[0].began) == (Outcome.LATE, True)

    def test_new_connection_is_not_probed(self) -> None:
        rig = Rig()
        for link in rig.reactor.links:
            link.drop(ConnectionLost())
        rig.submit(query())
        rig.advance(0.1)
        assert not rig.busy("POST /cancel")


class TestLostConnections:
    def test_search_on_a_reused_connection_is_retried(self) -> None:
        rig = Rig(slots=4, cold=3)
        rig.warm_up()
        rig.submit(query())
        rig.busy()[0].drop(ConnectionLost())
        rig.advance(0.005)
        rig.busy()[0].answer()
        assert rig.outcomes() == [Outcome.ANSWERED]

    def test_search_without_a_free_slot_is_reported_lost_at_once(self) -> None:
        rig = warm_rig()
        rig.submit(query())
        rig.busy()[0].drop(ConnectionLost())
        assert rig.outcomes() == [Outcome.CONNECTION_LOST]
        assert rig.replies[0].began

    def test_search_that_misses_its_retry_is_not_reported_not_run(self) -> None:
        rig = Rig(slots=4, cold=3)
        rig.warm_up()
        rig.submit(query())
        rig.reactor.accepts = False
        for link in list(rig.reactor.links):
            link.drop(ConnectionLost())
        rig.advance(0.3)
        assert [(one.outcome, one.began) for one in rig.replies] == [
            (Outcome.CONNECTION_LOST, True)
        ]

    def test_status_poll_without_a_reply_closes_its_connection(self) -> None:
        rig = warm_rig()
        rig.runner.poll_status()
        (link,) = rig.busy("GET /status")
        rig.advance(1.1)
        assert not link.open
