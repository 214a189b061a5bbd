"""Replies of replicas: whole ones, and all the ways in which they are not."""

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


class ConnectionRig:
    """A connection with one request on its way."""

    def __init__(self) -> None:
        self.ends: list[ExchangeEnd] = []
        self.connection = ClientConnection(ignore, ignore)
        connection: Any = self.connection
        connection.makeConnection(make_transport())
        self.connection.exchange(b"GET / HTTP/1.1\r\n\r\n", self.ends.append)

    def lose(self, reason: Exception) -> None:
        """End the connection."""
        self.connection.connectionLost(Failure(reason))


def ignore(_connection: ClientConnection) -> None:
    """Take no note."""


class TestWhole:
    def test_a_sized_reply(self) -> None:
        rig = ConnectionRig()
        rig.connection.dataReceived(OK)
        (end,) = rig.ends
        assert isinstance(end, Replied) and end.reply.body == b"abc"
        assert rig.connection.idle

    def test_a_reply_without_a_length_ends_with_its_connection(self) -> None:
        rig = ConnectionRig()
        rig.connection.dataReceived(b"HTTP/1.1 200 OK\r\n\r\nab")
        assert rig.ends == []
        rig.lose(ConnectionDone())
        (end,) = rig.ends
        assert isinstance(end, Replied) and end.reply.body == b"ab"

    def test_an_interim_reply_is_dropped(self) -> None:
        rig = ConnectionRig()
        rig.connection.dataReceived(b"HTTP/1.1 100 Continue\r\n\r\n" + OK)
        (end,) = rig.ends
        assert isinstance(end, Replied) and end.reply.status == 200

    @given(st.lists(st.integers(1, 20), max_size=8))
    def test_any_split_of_the_bytes(self, cuts: list[int]) -> None:
        rig = ConnectionRig()
        data = OK
        for size in cuts:
            if data:
                rig.connection.dataReceived(data[:size])
            data = data[size:]
        if data:
            rig.connection.dataReceived(data)
        (end,) = rig.ends
        assert isinstance(end, Replied) and end.reply.body == b"abc"


class TestNotWhole:
    def test_a_reply_that_is_cut_off(self) -> None:
        rig = ConnectionRig()
        rig.connection.dataReceived(OK[:-1])
        rig.lose(ConnectionDone())
        assert isinstance(rig.ends[0], Malformed)

    def test_a_reply_without_a_length_that_is_reset(self) -> None:
        rig = ConnectionRig()
        rig.connection.dataReceived(b"HTTP/1.1 200 OK\r\n\r\nab")
        rig.lose(ConnectionLost())
        assert isinstance(rig.ends[0], Malformed)

    def test_no_byte_of_a_reply(self) -> None:
        rig = ConnectionRig()
        rig.lose(ConnectionLost())
        assert isinstance(rig.ends[0], Lost)

    def test_bytes_that_are_no_reply(self) -> None:
        rig = ConnectionRig()
        rig.connection.dataReceived(b"\x00\x01garbage\r\n\r\n")
        assert isinstance(rig.ends[0], Malformed)


class TestSurplus:
    @pytest.mark.parametrize("surplus", [OK, b"garbage", b"\r\n\x00"])
    def test_bytes_after_a_reply_belong_to_no_request(self, surplus: bytes) -> None:
        rig = ConnectionRig()
        rig.connection.dataReceived(OK + surplus)
        (end,) = rig.ends
        assert isinstance(end, Replied) and end.reply.body == b"abc"
        assert not rig.connection.is_open

    def test_bytes_that_nobody_asked_for_end_the_connection(self) -> None:
        rig = ConnectionRig()
        rig.connection.dataReceived(OK)
        rig.connection.dataReceived(OK)
        assert len(rig.ends) == 1
        assert not rig.connection.is_open
