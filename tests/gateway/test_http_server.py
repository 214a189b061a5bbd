"""The HTTP server: framing, limits, order of answers, disconnects and stopping."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sardinehook.gateway.answer import CallerAnswer
from sardinehook.gateway.http_server import HttpServer, HttpServerConnection
from sardinehook.gateway.interfaces import HttpRequest
from sardinehook.transport.reactor import ConnectionEnd
from tests.gateway.fake_transport import FakeTransport, RecordingReactor, make_transport

Finish = Callable[[CallerAnswer], None]


class PendingWork:
    """A request in progress that the test finishes."""

    def __init__(self, request: HttpRequest, finish: Finish) -> None:
        self.request = request
        self.finish = finish
        self.cancelled = False

    def cancel(self) -> None:
        """Record the cancellation."""
        self.cancelled = True


class ServerRig:
    """A server with one connection, and the requests that it has started."""

    def __init__(self) -> None:
        self.reactor = RecordingReactor()
        self.reactor.advance(100.0)
        self.started: list[PendingWork] = []
        self.server = HttpServer(self.reactor, self.start_request)
        self.wire: FakeTransport = make_transport()
        self.connection = HttpServerConnection(self.server)
        connection: Any = self.connection
        connection.makeConnection(self.wire)

    def start_request(self, request: HttpRequest, finish: Finish) -> PendingWork:
        """Start a request and keep it open."""
        work = PendingWork(request, finish)
        self.started.append(work)
        return work

    def send(self, data: bytes) -> None:
        """Receive bytes from the caller."""
        self.connection.dataReceived(data)

    def answer(self, place: int, body: bytes = b"ok") -> None:
        """Finish a started request with status 200."""
        self.started[place].finish(CallerAnswer(200, (), body, "answered"))
        self.reactor.advance(0.0)

    @property
    def written(self) -> bytes:
        """The bytes written to the caller."""
        return self.wire.written()


GET = b"GET /x/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\n\r\n"


class TestRequests:
    def test_body_with_content_length_is_complete(self) -> None:
        rig = ServerRig()
        rig.send(b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab")
        assert rig.started == []
        rig.send(b"cde")
        assert rig.started[0].request.body == b"abcde"

    def test_chunked_body_is_complete(self) -> None:
        rig = ServerRig()
        rig.send(
            b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n"
        )
        assert rig.started[0].request.body == b"abcde"

    def test_pipelined_requests_are_answered_in_order(self) -> None:
        rig = ServerRig()
        rig.send(GET + GET.replace(b"/x/1", b"/x/2"))
        assert [work.request.target for work in rig.started] == [b"/x/1"]
        rig.answer(0, b"first")
        rig.answer(1, b"second")
        assert rig.written.index(b"first") < rig.written.index(b"second")

    def test_continue_is_sent_only_without_an_unanswered_request(self) -> None:
        rig = ServerRig()
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
    def test_any_split_of_the_bytes_parses_to_the_same_request(
        self, cuts: list[int]
    ) -> None:
        rig = ServerRig()
        data = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
        for size in cuts:
            rig.send(data[:size])
            data = data[size:]
        rig.send(data) if data else None
        assert [work.request.body for work in rig.started] == [b"abc"]


class TestTiming:
    def test_time_to_connect_counts_for_the_first_request(self) -> None:
        rig = ServerRig()
        rig.reactor.advance(0.006)
        rig.send(GET)
        rig.answer(0)
        rig.reactor.advance(0.02)
        rig.send(GET)
        first, second = (work.request.received_at for work in rig.started)
        assert first == 100.0
        assert second == rig.reactor.seconds()

    def test_first_request_counts_two_round_trips(self) -> None:
        rig = ServerRig()
        rig.send(GET)
        rig.answer(0)
        rig.send(GET)
        first, second = (work.request.network_s for work in rig.started)
        assert first == 2 * second
        assert second >= 0.002

    def test_idle_time_before_the_first_request_does_not_count(self) -> None:
        rig = ServerRig()
        rig.reactor.advance(1.0)
        rig.send(GET)
        assert rig.started[0].request.received_at == 101.0


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
        rig = ServerRig()
        rig.send(b"POST /x HTTP/1.1\r\nHost: h\r\n" + head + b"\r\n0\r\n\r\nGET /y")
        assert rig.started == []
        assert rig.written.startswith(b"HTTP/1.1 400")

    def test_input_after_a_refusal_is_ignored(self) -> None:
        rig = ServerRig()
        rig.send(b"BAD\r\n\r\n")
        rig.send(GET)
        assert rig.started == []


class TestLimits:
    def test_oversized_head_is_refused(self) -> None:
        rig = ServerRig()
        rig.send(b"GET /x HTTP/1.1\r\nHost: h\r\nA: " + b"x" * 20000 + b"\r\n\r\n")
        assert rig.written.startswith(b"HTTP/1.1 431")

    def test_unterminated_head_is_refused_at_the_limit(self) -> None:
        rig = ServerRig()
        rig.send(b"GET /x HTTP/1.1\r\nHost: h\r\nA: " + b"x" * 16500)
        assert rig.written.startswith(b"HTTP/1.1 431")

    def test_oversized_body_is_refused(self) -> None:
        rig = ServerRig()
        rig.send(b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n")
        assert rig.written.startswith(b"HTTP/1.1 413")

    def test_slow_head_times_out(self) -> None:
        rig = ServerRig()
        rig.send(b"GET /x HTTP/1.1\r\nHost:")
        rig.reactor.advance(3.1)
        rig.server.sweep()
        assert rig.written.startswith(b"HTTP/1.1 408")

    def test_idle_connection_is_closed_at_the_timeout(self) -> None:
        rig = ServerRig()
        rig.send(GET)
        rig.answer(0)
        rig.reactor.advance(14.5)
        rig.server.sweep()
        assert not rig.connection.closing
        rig.reactor.advance(1.0)
        rig.server.sweep()
        assert rig.connection.closing


class TestDisconnect:
    def test_disconnect_cancels_the_request(self) -> None:
        rig = ServerRig()
        rig.send(GET)
        rig.connection.connectionLost(ConnectionEnd(True, "closed"))
        assert rig.started[0].cancelled

    def test_nothing_is_written_after_a_disconnect(self) -> None:
        rig = ServerRig()
        rig.send(GET)
        rig.connection.connectionLost(ConnectionEnd(True, "closed"))
        rig.answer(0)
        assert rig.written == b""


class TestStopping:
    """Guards against requests that a rolling restart cuts off unanswered."""

    def test_connection_closes_after_the_next_answer(self) -> None:
        rig = ServerRig()
        rig.server.closes_after_answer = True
        rig.send(GET)
        rig.answer(0)
        assert b"Connection: close" in rig.written
        assert rig.connection.closing

    def test_closing_idle_connections_spares_a_request_in_progress(self) -> None:
        rig = ServerRig()
        rig.send(GET)
        rig.server.closes_idle = True
        rig.server.sweep()
        assert not rig.connection.closing
        rig.answer(0)
        assert rig.written.endswith(b"ok")

    def test_remaining_requests_are_answered_with_an_error(self) -> None:
        rig = ServerRig()
        rig.server.closes_after_answer = True
        rig.send(GET)
        rig.server.fail_requests(CallerAnswer(502, (), b"", "outcome_unknown"))
        assert rig.started[0].cancelled
        assert rig.written.startswith(b"HTTP/1.1 502")
        rig.answer(0)
        assert rig.written.count(b"HTTP/1.1") == 1

    def test_partly_received_request_is_still_served(self) -> None:
        rig = ServerRig()
        rig.send(GET[:20])
        rig.server.closes_idle = True
        rig.server.sweep()
        rig.send(GET[20:])
        rig.answer(0)
        assert rig.written.endswith(b"ok")

    def test_a_slow_caller_gets_all_of_the_last_answer(self) -> None:
        """Guards against planned stops that cut answers on slow links."""
        rig = ServerRig()
        rig.server.closes_after_answer = True
        rig.send(GET)
        rig.wire.unsent = 36_000
        rig.answer(0)
        for _ in range(40):
            rig.reactor.advance(0.25)
            rig.wire.unsent -= 800
            rig.server.sweep()
            assert not rig.wire.disconnecting

    def test_a_caller_that_reads_nothing_more_is_aborted(self) -> None:
        rig = ServerRig()
        rig.server.closes_after_answer = True
        rig.send(GET)
        rig.wire.unsent = 36_000
        rig.answer(0)
        rig.reactor.advance(0.9)
        rig.server.sweep()
        assert not rig.wire.disconnecting
        rig.reactor.advance(0.2)
        rig.server.sweep()
        assert rig.wire.disconnecting
