"""Parsing of replies: complete, truncated and malformed ones."""

from __future__ import annotations

import tracemalloc
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sardinehook.transport.connection import (
    MAX_BUFFERED_BYTES,
    MAX_CHUNK_OVERHEAD_BYTES,
    SMALL_REPLY_BYTES,
    ClientConnection,
    ExchangeEnd,
    Lost,
    Malformed,
    Replied,
    receive_buffers,
)
from sardinehook.transport.reactor import ConnectionEnd
from tests.gateway.fake_transport import make_transport

CLOSED = ConnectionEnd(True, "closed")
RESET = ConnectionEnd(False, "reset")
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"


class ConnectionFixture:
    """A connection with one request in progress."""

    def __init__(self) -> None:
        self.ends: list[ExchangeEnd] = []
        self.connection = ClientConnection(ignore, ignore)
        connection: Any = self.connection
        connection.makeConnection(make_transport())
        self.connection.exchange(b"GET / HTTP/1.1\r\n\r\n", self.ends.append)

    def lose(self, reason: ConnectionEnd) -> None:
        """Close the connection with ``reason``."""
        self.connection.connectionLost(reason)


def ignore(_connection: ClientConnection) -> None:
    """Ignore the callback."""


class TestComplete:
    def test_a_reply_with_a_content_length(self) -> None:
        fixture = ConnectionFixture()
        fixture.connection.dataReceived(OK)
        (end,) = fixture.ends
        assert isinstance(end, Replied) and end.reply.body == b"abc"
        assert fixture.connection.idle

    def test_a_reply_without_a_length_ends_when_the_connection_closes(self) -> None:
        fixture = ConnectionFixture()
        fixture.connection.dataReceived(b"HTTP/1.1 200 OK\r\n\r\nab")
        assert fixture.ends == []
        fixture.lose(CLOSED)
        (end,) = fixture.ends
        assert isinstance(end, Replied) and end.reply.body == b"ab"

    def test_an_interim_reply_is_discarded(self) -> None:
        fixture = ConnectionFixture()
        fixture.connection.dataReceived(b"HTTP/1.1 100 Continue\r\n\r\n" + OK)
        (end,) = fixture.ends
        assert isinstance(end, Replied) and end.reply.status == 200

    @given(st.lists(st.integers(1, 20), max_size=8))
    def test_a_reply_split_into_any_segments(self, cuts: list[int]) -> None:
        fixture = ConnectionFixture()
        data = OK
        for size in cuts:
            if data:
                fixture.connection.dataReceived(data[:size])
            data = data[size:]
        if data:
            fixture.connection.dataReceived(data)
        (end,) = fixture.ends
        assert isinstance(end, Replied) and end.reply.body == b"abc"


class TestIncomplete:
    def test_a_truncated_reply_is_malformed(self) -> None:
        fixture = ConnectionFixture()
        fixture.connection.dataReceived(OK[:-1])
        fixture.lose(CLOSED)
        assert isinstance(fixture.ends[0], Malformed)

    def test_a_reply_without_a_length_is_malformed_after_a_reset(self) -> None:
        fixture = ConnectionFixture()
        fixture.connection.dataReceived(b"HTTP/1.1 200 OK\r\n\r\nab")
        fixture.lose(RESET)
        assert isinstance(fixture.ends[0], Malformed)

    def test_a_reset_before_any_byte_is_a_lost_connection(self) -> None:
        fixture = ConnectionFixture()
        fixture.lose(RESET)
        assert isinstance(fixture.ends[0], Lost)

    def test_bytes_that_are_not_http_are_malformed(self) -> None:
        fixture = ConnectionFixture()
        fixture.connection.dataReceived(b"\x00\x01garbage\r\n\r\n")
        assert isinstance(fixture.ends[0], Malformed)


class TestSurplusBytes:
    @pytest.mark.parametrize("surplus", [OK, b"garbage", b"\r\n\x00"])
    def test_bytes_after_a_reply_close_the_connection(self, surplus: bytes) -> None:
        fixture = ConnectionFixture()
        fixture.connection.dataReceived(OK + surplus)
        (end,) = fixture.ends
        assert isinstance(end, Replied) and end.reply.body == b"abc"
        assert not fixture.connection.is_open

    def test_bytes_without_a_request_close_the_connection(self) -> None:
        fixture = ConnectionFixture()
        fixture.connection.dataReceived(OK)
        fixture.connection.dataReceived(OK)
        assert len(fixture.ends) == 1
        assert not fixture.connection.is_open


HEAD = b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nContent-Length: 3\r\n\r\n"


class TestTruncatedHead:
    """A replica that stops in the head of its answer and closes the connection.

    Guards against an empty success for an answer of which no body was received.
    """

    @pytest.mark.parametrize("interim", [b"", b"HTTP/1.1 100 Continue\r\n\r\n"])
    @pytest.mark.parametrize("reason", [CLOSED, RESET])
    def test_no_part_of_a_head_is_a_reply(
        self, interim: bytes, reason: ConnectionEnd
    ) -> None:
        for size in range(1, len(HEAD)):
            fixture = ConnectionFixture()
            fixture.connection.dataReceived(interim + HEAD[:size])
            fixture.lose(reason)
            (end,) = fixture.ends
            assert isinstance(end, Malformed), HEAD[:size]

    def test_trailers_do_not_change_the_head(self) -> None:
        fixture = ConnectionFixture()
        fixture.connection.dataReceived(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n0\r\nX-Server-Stamp: forged\r\n\r\n"
        )
        (end,) = fixture.ends
        assert isinstance(end, Replied)
        assert end.reply.header(b"x-server-stamp") is None


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ENDLESS = {
    "head line": (b"HTTP/1.1 200 ", b"O" * 4096),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"X: y\r\n" * 512),
    "interim replies": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 64),
    "body without a length": (b"HTTP/1.1 200 OK\r\n\r\n", b"a" * 65536),
    "chunks": (CHUNKED, b"1000\r\n" + b"a" * 4096 + b"\r\n"),
    "chunk extension": (CHUNKED + b"1;", b"e" * 4096),
    "trailers": (CHUNKED + b"0\r\n", b"X: y\r\n" * 512),
    "empty lines": (b"", b"\r\n" * 2048),
}


class TestEndlessBytes:
    """Bytes that are no answer, without end, until the connection is closed."""

    @pytest.mark.parametrize("kind", ENDLESS)
    def test_endless_bytes_close_the_connection(self, kind: str) -> None:
        first, more = ENDLESS[kind]
        fixture = ConnectionFixture()
        fixture.connection.dataReceived(first)
        received = 0
        while fixture.connection.is_open and received < 64 * 1024 * 1024:
            fixture.connection.dataReceived(more)
            received += len(more)
        (end,) = fixture.ends
        assert isinstance(end, Malformed)
        assert received <= ClientConnection.max_body_bytes + 65536

    def test_endless_bodies_on_many_connections_share_a_limit(self) -> None:
        before = receive_buffers.used
        fixtures = [ConnectionFixture() for _ in range(40)]
        piece = b"a" * 65536
        for fixture in fixtures:
            fixture.connection.dataReceived(b"HTTP/1.1 200 OK\r\n\r\n")
        for _ in range(128):
            for fixture in fixtures:
                fixture.connection.dataReceived(piece)
            held = sum(one.connection.body.content.__alloc__() for one in fixtures)
            assert held <= MAX_BUFFERED_BYTES + len(fixtures) * 2 * SMALL_REPLY_BYTES
        assert sum(not one.connection.is_open for one in fixtures) > 0
        for fixture in fixtures:
            fixture.lose(RESET)
        assert receive_buffers.used == before


SMALL_CHUNKS = b"2\r\nab\r\n" * 2000
SMALL_HEADERS = b"X: y\r\n" * 2000


def traced_growth(act: Callable[[], object]) -> int:
    """Return how many bytes of memory an action allocates and keeps."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    act()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return after - before


class TestSmallPieces:
    """Replies of many small pieces, which take more memory than their content.

    Guards against gateways that exceed the memory of their VM: the limits counted the
    content of pieces only.
    """

    def test_small_chunks_hold_little_more_than_their_content(self) -> None:
        fixture = ConnectionFixture()
        fixture.connection.dataReceived(CHUNKED)

        def receive() -> None:
            for _ in range(50):
                fixture.connection.dataReceived(SMALL_CHUNKS)

        grown = traced_growth(receive)
        assert fixture.connection.body_bytes == 50 * 2 * 2000
        assert grown <= 2 * fixture.connection.body_bytes
        fixture.connection.abort()

    def test_the_shared_limit_counts_at_least_what_is_held(self) -> None:
        before = receive_buffers.used
        fixtures = [ConnectionFixture() for _ in range(10)]

        def receive() -> None:
            for fixture in fixtures:
                fixture.connection.dataReceived(
                    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                    + SMALL_HEADERS[: 6 * 200]
                    + b"\r\n"
                )
                for _ in range(10):
                    fixture.connection.dataReceived(SMALL_CHUNKS)

        grown = traced_growth(receive)
        assert receive_buffers.used - before >= 0.9 * grown
        for fixture in fixtures:
            fixture.connection.abort()
        assert receive_buffers.used == before

    def test_endless_small_chunks_end_before_they_cost_much_time(self) -> None:
        fixture = ConnectionFixture()
        fixture.connection.dataReceived(CHUNKED)
        received = 0
        while fixture.connection.is_open and received < 16 * 1024 * 1024:
            fixture.connection.dataReceived(SMALL_CHUNKS)
            received += len(SMALL_CHUNKS)
        (end,) = fixture.ends
        assert isinstance(end, Malformed) and "too large" in end.detail
        assert received <= 2 * MAX_CHUNK_OVERHEAD_BYTES

    def test_a_reply_in_chunks_of_one_byte_is_complete(self) -> None:
        fixture = ConnectionFixture()
        fixture.connection.dataReceived(CHUNKED + b"1\r\na\r\n" * 36_000)
        fixture.connection.dataReceived(b"0\r\n\r\n")
        (end,) = fixture.ends
        assert isinstance(end, Replied) and end.reply.body == b"a" * 36_000

    @pytest.mark.parametrize("tail", [b"", b"Content-Length: 0\r\n\r\n"])
    def test_small_headers_without_end_are_refused(self, tail: bytes) -> None:
        fixture = ConnectionFixture()

        def receive() -> None:
            fixture.connection.dataReceived(
                b"HTTP/1.1 200 OK\r\n" + SMALL_HEADERS + tail
            )

        assert traced_growth(receive) <= 64 * 1024
        (end,) = fixture.ends
        assert isinstance(end, Malformed) and "too large" in end.detail
