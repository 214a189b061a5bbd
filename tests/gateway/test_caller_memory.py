"""Memory that callers' requests hold, and answers that callers do not read."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from sardinehook.gateway.http_server import SMALL_REQUEST_BYTES, request_buffers
from sardinehook.gateway.interfaces import HttpRequest
from sardinehook.gateway.startup_queue import MAX_WAITING_BYTES
from sardinehook.transport.reactor import ConnectionEnd
from tests.gateway.test_first_second import HEADERS, StartRig
from tests.gateway.test_http_server import GET, ServerRig
from tests.transport.test_connection import traced_growth

POST = b"POST /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
SMALL_CHUNKS = b"1\r\na\r\n" * 4000


@pytest.fixture(autouse=True)
def _nothing_is_held_afterwards() -> Iterator[None]:
    before = request_buffers.used
    yield
    assert request_buffers.used == before


class TestSmallPieces:
    """Guards against gateways that exceed the memory of their VM, as review/1 does."""

    def test_small_chunks_hold_little_more_than_their_content(self) -> None:
        rig = ServerRig()
        rig.send(CHUNKED)

        def receive() -> None:
            for _ in range(40):
                rig.send(SMALL_CHUNKS)

        assert traced_growth(receive) <= 2 * 40 * 4000
        rig.send(b"0\r\n\r\n")
        assert rig.started[0].request.body == b"a" * 40 * 4000
        rig.answer(0)

    @pytest.mark.parametrize("headers", [b"X: y\r\n" * 2000, b"X: y\r\n" * 257])
    def test_many_headers_are_refused(self, headers: bytes) -> None:
        rig = ServerRig()
        assert traced_growth(lambda: rig.send(POST + headers)) <= 128 * 1024
        assert rig.written.startswith(b"HTTP/1.1 431 ")

    def test_the_head_of_a_pipelined_request_has_the_same_limits(self) -> None:
        rig = ServerRig()
        rig.send(GET + POST)
        rig.answer(0)
        for _ in range(10):
            rig.send(b"X-Long: " + b"y" * 4000 + b"\r\n")
        assert b"HTTP/1.1 431 " in rig.written

    def test_the_headers_of_a_pipelined_request_are_read(self) -> None:
        rig = ServerRig()
        rig.send(GET + GET)
        rig.answer(0)
        assert dict(rig.started[1].request.headers)[b"X-Request-Id"] == b"a"
        rig.answer(1)


class TestBytesWithoutEnd:
    @pytest.mark.parametrize("piece", [b"X: y\r\n" * 500, b"X: " + b"y" * 3000])
    def test_trailers_without_end_are_refused(self, piece: bytes) -> None:
        rig = ServerRig()
        rig.send(CHUNKED + b"1\r\na\r\n0\r\n")

        def receive() -> None:
            for _ in range(100):
                rig.send(piece)

        assert traced_growth(receive) <= 128 * 1024
        assert rig.written.startswith(b"HTTP/1.1 4")

    def test_a_chunk_extension_without_end_is_refused(self) -> None:
        rig = ServerRig()
        rig.send(CHUNKED + b"1;")
        for _ in range(100):
            rig.send(b"e" * 3000)
        assert rig.written.startswith(b"HTTP/1.1 400 ")

    def test_trailers_are_not_headers(self) -> None:
        rig = ServerRig()
        rig.send(CHUNKED + b"1\r\na\r\n0\r\nX-Deadline-Ms: 1\r\n\r\n")
        names = [name for name, _ in rig.started[0].request.headers]
        assert b"X-Deadline-Ms" not in names
        rig.answer(0)


class TestSharedLimit:
    def test_large_bodies_beyond_the_limit_are_refused_as_not_run(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(request_buffers, "limit", 4 * SMALL_REQUEST_BYTES)
        piece = b"a" * SMALL_REQUEST_BYTES
        rigs = [ServerRig() for _ in range(8)]
        for rig in rigs:
            rig.send(POST + b"Content-Length: %d\r\n\r\n" % (2 * len(piece)))
            rig.send(piece[:-1])
        for rig in rigs:
            rig.send(piece)
        refused = [rig for rig in rigs if rig.written.startswith(b"HTTP/1.1 503 ")]
        assert refused and all(b"Retry-After" in rig.written for rig in refused)
        assert request_buffers.used <= 4 * SMALL_REQUEST_BYTES + 8 * 2 * len(piece)
        rig = ServerRig()
        rig.send(POST + b"Content-Length: 3\r\n\r\nabc")
        rig.answer(0)
        assert rig.written.startswith(b"HTTP/1.1 200 ")
        for rig in rigs:
            rig.connection.connectionLost(ConnectionEnd(False, "reset"))

    def test_requests_count_until_they_are_answered(self) -> None:
        rig = ServerRig()
        before = request_buffers.used
        rig.send(POST + b"Content-Length: 9000\r\n\r\n" + b"a" * 9000)
        assert request_buffers.used >= before + 9000
        rig.answer(0)
        assert request_buffers.used == before


class TestWaitingRequests:
    def test_large_bodies_wait_for_the_configuration_up_to_a_limit(self) -> None:
        rig = StartRig()
        body = bytes(MAX_WAITING_BYTES // 8)
        for _ in range(20):
            now = rig.reactor.seconds()
            request = HttpRequest(b"POST", b"/x/1", HEADERS, body, now)
            rig.process.request_handler.handle(request, rig.answers.append)
        queue = rig.process.request_handler.startup_queue
        assert len(queue.waiting) == 8 and len(rig.answers) == 12
        rig.reactor.advance(1.0)
        assert [answer.status for answer in rig.answers] == [503] * 20
        assert queue.waiting_bytes == 0


class TestUnreadAnswers:
    """Guards against answers that pile up for a caller who sends and never reads."""

    def test_no_request_is_started_while_answers_are_unread(self) -> None:
        rig = ServerRig()
        rig.send(GET + GET)
        rig.connection.pauseProducing()
        rig.answer(0)
        assert len(rig.started) == 1
        assert rig.wire.producerState == "paused"
        rig.connection.resumeProducing()
        assert len(rig.started) == 2
        assert rig.wire.producerState == "producing"
        rig.answer(1)
