"""Parsing of replies: complete, truncated and malformed ones."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.python.failure import Failure

from sardinehook.transport.connection import (
    ClientConnection,
    ExchangeEnd,
    Lost,
    Malformed,
    Replied,
)
from tests.gateway.fake_transport import make_transport

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"


class ConnectionFixture:
    """A connection with one request in progress."""

    def __init__(self) -> None:
        self.ends: list[ExchangeEnd] = []
        self.connection = ClientConnection(ignore, ignore)
        connection: Any = self.connection
        connection.makeConnection(make_transport())
        self.connection.exchange(b"GET / HTTP/1.1\r\n\r\n", self.ends.append)

    def lose(self, reason: Exception) -> None:
        """Close the connection with ``reason``."""
        self.connection.connectionLost(Failure(reason))


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
        fixture.lose(ConnectionDone())
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
        fixture.lose(ConnectionDone())
        assert isinstance(fixture.ends[0], Malformed)

    def test_a_reply_without_a_length_is_malformed_after_a_reset(self) -> None:
        fixture = ConnectionFixture()
        fixture.connection.dataReceived(b"HTTP/1.1 200 OK\r\n\r\nab")
        fixture.lose(ConnectionLost())
        assert isinstance(fixture.ends[0], Malformed)

    def test_a_reset_before_any_byte_is_a_lost_connection(self) -> None:
        fixture = ConnectionFixture()
        fixture.lose(ConnectionLost())
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
