"""Callers' connections: framing, limits, order of answers, leaving."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.error import ConnectionDone
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from sardinehook.gateway.answer import CallerAnswer
from sardinehook.gateway.front import Front, FrontConnection
from sardinehook.gateway.interfaces import HttpRequest
from tests.gateway.fake_transport import FakeTransport, make_transport

Finish = Callable[[CallerAnswer], None]


class HeldWork:
    """Work that a test ends."""

    def __init__(self, request: HttpRequest, finish: Finish) -> None:
        self.request = request
        self.finish = finish
        self.cancelled = False

    def cancel(self) -> None:
        """Note that the caller has left."""
        self.cancelled = True


class FrontRig:
    """A front, one connection to it and the requests that came through."""

    def __init__(self) -> None:
        self.reactor = MemoryReactorClock()
        self.reactor.advance(100.0)
        self.works: list[HeldWork] = []
        self.front = Front(self.reactor, self.take)
        self.transport: FakeTransport = make_transport()
        self.connection = FrontConnection(self.front)
        connection: Any = self.connection
        connection.makeConnection(self.transport)

    def take(self, request: HttpRequest, finish: Finish) -> HeldWork:
        """Hold a request."""
        work = HeldWork(request, finish)
        self.works.append(work)
        return work

    def send(self, data: bytes) -> None:
        """Let bytes arrive from the caller."""
        self.connection.dataReceived(data)

    def answer(self, place: int, body: bytes = b"ok") -> None:
        """Answer a request that came through."""
        self.works[place].finish(CallerAnswer(200, (), body, "answered"))
        self.reactor.advance(0.0)

    @property
    def written(self) -> bytes:
        """What the caller has got."""
        return self.transport.written()


GET = b"GET /x/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\n\r\n"


class TestRequests:
    def test_a_sized_body_is_passed_on_whole(self) -> None:
        rig = FrontRig()
        rig.send(b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab")
        assert rig.works == []
        rig.send(b"cde")
        assert rig.works[0].request.body == b"abcde"

    def test_a_chunked_body_is_passed_on_whole(self) -> None:
        rig = FrontRig()
        rig.send(
            b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n"
        )
        assert rig.works[0].request.body == b"abcde"

    def test_pipelined_requests_are_answered_in_order(self) -> None:
        rig = FrontRig()
        rig.send(GET + GET.replace(b"/x/1", b"/x/2"))
        assert [work.request.target for work in rig.works] == [b"/x/1"]
        rig.answer(0, b"first")
        rig.answer(1, b"second")
        assert rig.written.index(b"first") < rig.written.index(b"second")

    def test_a_body_is_invited_only_when_no_answer_is_due_before(self) -> None:
        rig = FrontRig()
        post = (
            b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
            b"Expect: 100-continue\r\n\r\n"
        )
        rig.send(GET + post)
        assert rig.written == b""
        rig.send(b"ab")
        rig.answer(0)
        rig.answer(1)
        rig.send(post)
        assert rig.written.endswith(b"HTTP/1.1 100 Continue\r\n\r\n")

    @given(st.lists(st.integers(1, 40), max_size=8))
    def test_any_split_of_the_bytes_gives_the_same_request(
        self, cuts: list[int]
    ) -> None:
        rig = FrontRig()
        data = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
        for size in cuts:
            rig.send(data[:size])
            data = data[size:]
        rig.send(data) if data else None
        assert [work.request.body for work in rig.works] == [b"abc"]


class TestWaiting:
    def test_opening_the_connection_counts_for_its_first_request(self) -> None:
        rig = FrontRig()
        rig.reactor.advance(0.006)
        rig.send(GET)
        rig.answer(0)
        rig.reactor.advance(0.02)
        rig.send(GET)
        first, second = (work.request.received_at for work in rig.works)
        assert first == 100.0
        assert second == rig.reactor.seconds()

    def test_the_path_counts_once_more_for_a_request_that_opened_it(self) -> None:
        rig = FrontRig()
        rig.send(GET)
        rig.answer(0)
        rig.send(GET)
        first, second = (work.request.network_s for work in rig.works)
        assert first == 2 * second
        assert second >= 0.002

    def test_idling_before_the_first_request_does_not(self) -> None:
        rig = FrontRig()
        rig.reactor.advance(1.0)
        rig.send(GET)
        assert rig.works[0].request.received_at == 101.0


class TestSmuggling:
    @pytest.mark.parametrize(
        "head",
        [
            b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
            b"Content-Length: 5\r\nContent-Length: 6\r\n",
            b"Content-Length : 5\r\n",
            b"Content-Length: +5\r\n",
            b"Transfer-Encoding: xchunked\r\n",
        ],
    )
    def test_ambiguous_framing_is_refused(self, head: bytes) -> None:
        rig = FrontRig()
        rig.send(b"POST /x HTTP/1.1\r\nHost: h\r\n" + head + b"\r\n0\r\n\r\nGET /y")
        assert rig.works == []
        assert rig.written.startswith(b"HTTP/1.1 400")

    def test_nothing_after_a_refusal_is_read(self) -> None:
        rig = FrontRig()
        rig.send(b"BAD\r\n\r\n")
        rig.send(GET)
        assert rig.works == []


class TestLimits:
    def test_a_head_that_is_too_large(self) -> None:
        rig = FrontRig()
        rig.send(b"GET /x HTTP/1.1\r\nHost: h\r\nA: " + b"x" * 20000 + b"\r\n\r\n")
        assert rig.written.startswith(b"HTTP/1.1 431")

    def test_a_head_that_does_not_end(self) -> None:
        rig = FrontRig()
        rig.send(b"GET /x HTTP/1.1\r\nHost: h\r\nA: " + b"x" * 16500)
        assert rig.written.startswith(b"HTTP/1.1 431")

    def test_a_body_that_is_too_large(self) -> None:
        rig = FrontRig()
        rig.send(b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n")
        assert rig.written.startswith(b"HTTP/1.1 413")

    def test_a_head_that_takes_too_long(self) -> None:
        rig = FrontRig()
        rig.send(b"GET /x HTTP/1.1\r\nHost:")
        rig.reactor.advance(3.1)
        rig.front.sweep()
        assert rig.written.startswith(b"HTTP/1.1 408")

    def test_an_idle_connection_is_kept_up_to_the_limit(self) -> None:
        rig = FrontRig()
        rig.send(GET)
        rig.answer(0)
        rig.reactor.advance(14.5)
        rig.front.sweep()
        assert not rig.connection.closing
        rig.reactor.advance(1.0)
        rig.front.sweep()
        assert rig.connection.closing


class TestLeaving:
    def test_work_stops_when_the_caller_leaves(self) -> None:
        rig = FrontRig()
        rig.send(GET)
        rig.connection.connectionLost(Failure(ConnectionDone()))
        assert rig.works[0].cancelled

    def test_nothing_is_written_to_a_caller_that_left(self) -> None:
        rig = FrontRig()
        rig.send(GET)
        rig.connection.connectionLost(Failure(ConnectionDone()))
        rig.answer(0)
        assert rig.written == b""


class TestStopping:
    """Answers the pattern: a rolling stop while each gateway answers requests."""

    def test_the_next_answer_ends_the_connection(self) -> None:
        rig = FrontRig()
        rig.front.turns_away = True
        rig.send(GET)
        rig.answer(0)
        assert b"Connection: close" in rig.written
        assert rig.connection.closing

    def test_a_request_at_work_is_not_cut_off_when_idle_ones_are_closed(self) -> None:
        rig = FrontRig()
        rig.send(GET)
        rig.front.closes_idle = True
        rig.front.sweep()
        assert not rig.connection.closing
        rig.answer(0)
        assert rig.written.endswith(b"ok")

    def test_what_is_left_at_the_end_is_answered_and_not_cut_off(self) -> None:
        rig = FrontRig()
        rig.front.turns_away = True
        rig.send(GET)
        rig.front.give_up(CallerAnswer(502, (), b"", "outcome_unknown"))
        assert rig.works[0].cancelled
        assert rig.written.startswith(b"HTTP/1.1 502")
        rig.answer(0)
        assert rig.written.count(b"HTTP/1.1") == 1

    def test_a_request_that_is_half_read_is_still_served(self) -> None:
        rig = FrontRig()
        rig.send(GET[:20])
        rig.front.closes_idle = True
        rig.front.sweep()
        rig.send(GET[20:])
        rig.answer(0)
        assert rig.written.endswith(b"ok")
