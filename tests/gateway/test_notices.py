"""What replicas say of themselves: they leave, or want a pause."""

from __future__ import annotations

from typing import Any

import pytest

from sardinehook.gateway.dispatch import Answered, Exchange, ExchangeOutcome, NotRun
from sardinehook.gateway.interfaces import ReplicaEntry
from sardinehook.gateway.replica import Replica
from sardinehook.platform.replicas import PlatformReplicas
from sardinehook.transport.connection import Reply
from tests.gateway.support import (
    REQUEST,
    Gateway,
    make_gateway,
    search_route,
    shard_names,
    single_route,
)

Headers = tuple[tuple[bytes, bytes], ...]
LIMITED: Headers = ((b"x-server-stamp", b"s"), (b"server-limit", b"2"))
LEAVING: Headers = ((b"x-server-stamp", b"s"), (b"server-leaving", b"1"))


def refusal(retry_after: bytes) -> Headers:
    """Return the headers of a refusal with a pause."""
    return ((b"x-not-executed", b"1"), (b"retry-after", retry_after))


class NoticeFixture:
    """A gateway with two replicas of one service."""

    def __init__(self, replicas: int = 2) -> None:
        self.gateway: Gateway = make_gateway()
        for number in range(replicas):
            self.gateway.add(f"d{number}", "desk")
        self.first = self.gateway.directory.replicas["d0"]

    @property
    def now(self) -> float:
        """The time of the gateway."""
        return self.gateway.reactor.seconds()

    def answer(
        self, replica: Replica, status: int, headers: Headers
    ) -> ExchangeOutcome:
        """Let a replica answer a request; return how the exchange is classified."""
        exchange = Exchange(REQUEST, replica, self.now, self.now + 1.0, lambda *_: None)
        reply = PlatformReplicas().read_reply(Reply(status, headers, b""), b"r-1")
        return self.gateway.dispatcher.classify(exchange, reply, self.now)

    def usable(self) -> list[str]:
        """Return the ids of the replicas that get requests."""
        found = self.gateway.directory.replicas_of("desk")
        return [replica.replica_id for replica in found]

    def put(self, **changes: Any) -> None:
        """Apply a discovery entry of the first replica."""
        entry: ReplicaEntry = self.first.entry._replace(**changes)
        self.gateway.directory.put(entry, self.now)

    def lapse_and_return(self, gone_s: float = 10.0) -> None:
        """Remove the entry of the first replica for a while."""
        directory = self.gateway.directory
        directory.deregister("d0", self.now)
        self.gateway.reactor.advance(gone_s)
        directory.sweep(self.now)
        self.put(address="127.0.0.1:9")


class TestLeaving:
    """Guards against DRAIN where only the answers of a replica say that it leaves."""

    def test_replica_that_says_so_gets_no_more_requests(self) -> None:
        fixture = NoticeFixture()
        outcome = fixture.answer(fixture.first, 200, LEAVING)
        assert isinstance(outcome, Answered) and outcome.reply.is_success
        assert fixture.usable() == ["d1"]

    def test_later_entry_and_answers_do_not_take_it_back(self) -> None:
        fixture = NoticeFixture()
        fixture.answer(fixture.first, 200, LEAVING)
        fixture.put(sequence=9)
        fixture.answer(fixture.first, 200, LEAVING[:1])
        assert fixture.usable() == ["d1"]

    def test_lapsed_entry_that_returns_is_still_leaving(self) -> None:
        fixture = NoticeFixture()
        fixture.answer(fixture.first, 200, LEAVING)
        directory = fixture.gateway.directory
        directory.deregister("d0", fixture.now)
        fixture.gateway.reactor.advance(10.0)
        directory.sweep(fixture.now)
        assert "d0" not in directory.replicas
        fixture.put(address="127.0.0.1:9")
        assert fixture.usable() == ["d1"]

    def test_new_process_under_the_same_id_is_used(self) -> None:
        fixture = NoticeFixture()
        fixture.answer(fixture.first, 200, LEAVING)
        fixture.put(started_ms=2)
        assert fixture.usable() == ["d1", "d0"]

    def test_answer_of_another_replica_at_the_address_says_nothing(self) -> None:
        fixture = NoticeFixture()
        fixture.answer(fixture.first, 421, LEAVING)
        fixture.put(address="127.0.0.1:9")
        assert "d0" in fixture.usable()


class TestPause:
    """Guards against BUDGET where a replica that wants nothing gets more requests."""

    def test_paused_replica_gets_no_requests_until_the_end(self) -> None:
        fixture = NoticeFixture()
        outcome = fixture.answer(fixture.first, 503, refusal(b"1.5"))
        assert isinstance(outcome, NotRun)
        fixture.gateway.reactor.advance(1.4)
        assert fixture.usable() == ["d1"]
        fixture.gateway.reactor.advance(0.2)
        assert fixture.usable() == ["d0", "d1"]

    def test_lapsed_entry_that_returns_is_still_paused(self) -> None:
        """Guards against pauses that end with the discovery entry."""
        fixture = NoticeFixture()
        fixture.answer(fixture.first, 503, refusal(b"20"))
        fixture.lapse_and_return()
        assert fixture.usable() == ["d1"]
        fixture.gateway.reactor.advance(11.0)
        assert fixture.usable() == ["d1", "d0"]

    def test_rate_limit_of_a_lapsed_entry_that_returns_is_still_in_force(self) -> None:
        fixture = NoticeFixture()
        fixture.answer(fixture.first, 200, LIMITED)
        fixture.lapse_and_return(5.0)
        replica = fixture.gateway.directory.replicas["d0"]
        share = replica.notices.rate_share
        assert share is not None and share.limit_per_s == 2.0

    def test_notices_that_have_ended_are_forgotten(self) -> None:
        fixture = NoticeFixture()
        fixture.answer(fixture.first, 503, refusal(b"20"))
        fixture.lapse_and_return(0.0)
        directory = fixture.gateway.directory
        directory.discard(directory.replicas["d0"])
        assert directory.notice_board.kept
        fixture.gateway.reactor.advance(30.0)
        directory.sweep(fixture.now)
        assert not directory.notice_board.kept

    def test_pause_in_an_answer_after_the_entry_is_gone_is_kept(self) -> None:
        fixture = NoticeFixture()
        fixture.gateway.directory.discard(fixture.first)
        fixture.answer(fixture.first, 503, refusal(b"20"))
        fixture.put(address="127.0.0.1:9")
        assert fixture.usable() == ["d1"]

    @pytest.mark.parametrize(
        "value",
        [b"", b"-1", b"soon", b"1e3", b"Sat, 05 Dec 2026 04:12:41 GMT", b"9" * 400],
    )
    def test_malformed_value_is_no_pause(self, value: bytes) -> None:
        fixture = NoticeFixture()
        fixture.answer(fixture.first, 503, refusal(value))
        assert fixture.usable() == ["d0", "d1"]
        assert "retry-after" in fixture.first.notices.malformed

    def test_value_on_another_status_is_no_pause(self) -> None:
        fixture = NoticeFixture()
        fixture.answer(fixture.first, 200, refusal(b"9")[1:])
        assert fixture.usable() == ["d0", "d1"]

    def test_shorter_pause_does_not_end_a_longer_one(self) -> None:
        fixture = NoticeFixture()
        fixture.answer(fixture.first, 503, refusal(b"5"))
        fixture.answer(fixture.first, 503, refusal(b"1"))
        fixture.gateway.reactor.advance(3.0)
        assert fixture.usable() == ["d1"]

    def test_requests_that_wait_for_a_connection_go_elsewhere(self) -> None:
        fixture = NoticeFixture()
        ended: list[ExchangeOutcome] = []
        waiting = Exchange(
            REQUEST,
            fixture.first,
            fixture.now,
            fixture.now + 1.0,
            lambda _exchange, outcome: ended.append(outcome),
        )
        waiting.waiter = ended.append  # type: ignore[assignment]
        fixture.first.pool.waiters.append(waiting.waiter)  # type: ignore[arg-type]
        fixture.first.in_flight[waiting] = None
        fixture.answer(fixture.first, 503, refusal(b"2"))
        (outcome,) = ended
        assert isinstance(outcome, NotRun) and not outcome.sent


class TestAllPaused:
    """What no replica takes is settled at once, never held until its deadline."""

    @pytest.mark.parametrize("idempotent", [False, True])
    def test_request_is_refused_with_the_time_to_return(self, idempotent: bool) -> None:
        fixture = NoticeFixture()
        for replica in list(fixture.gateway.directory.replicas.values()):
            fixture.answer(replica, 503, refusal(b"2"))
        fixture.gateway.call(single_route(idempotent), "desk")
        (answer,) = fixture.gateway.answers
        assert answer.status == 503
        assert 2.0 <= float(dict(answer.headers)[b"Retry-After"]) <= 4.0

    @pytest.mark.parametrize(("least", "status"), [(0.5, 200), (1.0, 503)])
    def test_search_goes_on_without_the_shard_if_allowed(
        self, least: float, status: int
    ) -> None:
        fixture = NoticeFixture()
        gateway = fixture.gateway
        for name in shard_names(4):
            gateway.add(f"{name}-a", name)
        paused = gateway.directory.replicas["s00-a"]
        fixture.answer(paused, 503, refusal(b"2"))
        gateway.gather(search_route(4, least))
        gateway.answer_all()
        (answer,) = gateway.answers
        assert answer.status == status
        if status == 200:
            assert dict(answer.headers)[b"X-Missing-Parts"] == b"1"
