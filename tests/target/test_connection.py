"""Tests of one connection: matching of replies, truncation, size limits."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sardinehook.target.connection import (
    ExchangeEnd,
    Lost,
    Malformed,
    Replied,
    TargetConnection,
)
from sardinehook.target.limits import OwnerLimits
from tests.target.fakes import FakeLink, connect, reply_bytes

OWN = {"Request_Id": "r1", "Sub_Query_Id": "x-1"}


class Exchange:
    """A connection on which one exchange has begun."""

    def __init__(self) -> None:
        self.ends: list[ExchangeEnd] = []
        limits = OwnerLimits(reply_bytes=100, header_bytes=500)
        self.connection = TargetConnection(limits, lambda _: None, lambda *_: None)
        self.link = FakeLink(self.connection)
        connect(self.connection, self.link)
        self.begin()

    def begin(self, exchange_id: bytes = b"x-1") -> None:
        self.connection.send_request(b"request", b"r1", exchange_id, self.ends.append)

    def receive(self, data: bytes) -> ExchangeEnd:
        self.connection.dataReceived(data)
        return self.ends[-1]


class TestReplyMatching:
    def test_matching_reply_leaves_the_connection_reusable(self) -> None:
        exchange = Exchange()
        end = exchange.receive(reply_bytes(200, b"hit", **OWN))
        assert isinstance(end, Replied)
        assert end.reply.body == b"hit"
        assert exchange.connection.idle

    @pytest.mark.parametrize("header", ["Request_Id", "Sub_Query_Id"])
    def test_reply_with_other_ids_is_malformed_and_closes_the_connection(
        self, header: str
    ) -> None:
        exchange = Exchange()
        end = exchange.receive(reply_bytes(200, b"hit", **{**OWN, header: "other"}))
        assert isinstance(end, Malformed)
        assert not exchange.link.open

    def test_reply_without_ids_is_malformed(self) -> None:
        assert isinstance(Exchange().receive(reply_bytes(200, b"hit")), Malformed)

    def test_duplicate_reply_in_the_same_segment_closes_the_connection(self) -> None:
        exchange = Exchange()
        end = exchange.receive(reply_bytes(200, b"hit", **OWN) * 2)
        assert isinstance(end, Replied)
        assert end.reply.body == b"hit"
        assert not exchange.link.open

    def test_late_duplicate_reply_closes_an_idle_connection(self) -> None:
        exchange = Exchange()
        exchange.receive(reply_bytes(200, b"hit", **OWN))
        exchange.connection.dataReceived(reply_bytes(200, b"hit", **OWN))
        assert not exchange.link.open
        assert len(exchange.ends) == 1

    def test_late_duplicate_reply_is_not_taken_for_the_next_reply(self) -> None:
        exchange = Exchange()
        first = reply_bytes(200, b"old", **OWN)
        exchange.receive(first)
        exchange.begin(b"x-2")
        assert isinstance(exchange.receive(first), Malformed)


class TestMalformedReplies:
    def test_truncated_reply_is_malformed(self) -> None:
        exchange = Exchange()
        exchange.connection.dataReceived(reply_bytes(200, b"whole", **OWN)[:-2])
        exchange.link.loseConnection()
        assert isinstance(exchange.ends[-1], Malformed)

    def test_close_before_any_byte_is_a_lost_connection(self) -> None:
        exchange = Exchange()
        exchange.link.loseConnection()
        assert isinstance(exchange.ends[-1], Lost)

    def test_body_over_the_limit_is_malformed(self) -> None:
        end = Exchange().receive(reply_bytes(200, b"x" * 101, **OWN))
        assert isinstance(end, Malformed)

    def test_headers_over_the_limit_are_malformed(self) -> None:
        exchange = Exchange()
        assert isinstance(
            exchange.receive(b"HTTP/1.1 200 OK\r\nA: " + b"x" * 600), Malformed
        )

    @pytest.mark.parametrize(
        "header", ["Index_Version", "Partitioning_Version", "Target_State"]
    )
    def test_invalid_header_values_are_malformed(self, header: str) -> None:
        data = reply_bytes(200, b"", **{**OWN, header: "many"})
        assert isinstance(Exchange().receive(data), Malformed)

    @given(st.binary(min_size=1, max_size=300))
    def test_random_bytes_are_never_a_reply(self, noise: bytes) -> None:
        exchange = Exchange()
        exchange.connection.dataReceived(noise)
        exchange.link.loseConnection()
        assert len(exchange.ends) == 1
        assert not isinstance(exchange.ends[0], Replied)

    @given(st.lists(st.integers(0, 120), max_size=4))
    def test_reply_may_arrive_in_any_segments(self, cuts: list[int]) -> None:
        exchange = Exchange()
        data = reply_bytes(200, b"whole", **OWN)
        places = [0, *sorted(cuts), len(data)]
        for start, end in zip(places, places[1:], strict=False):
            if start < end:
                exchange.connection.dataReceived(data[start:end])
        assert isinstance(exchange.ends[-1], Replied)
