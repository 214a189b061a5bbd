"""Statuses that no reply may have, and interim replies at the wrong moment.

They guard against a status that no valid reply stated reaching a caller, and against
exchanges that wait for the time limit after a reply that is already malformed.
"""

from __future__ import annotations

import pytest

from sardinehook.transport.connection import (
    MAX_INTERIM_REPLIES,
    Malformed,
    Replied,
)
from tests.transport.test_connection import CLOSED, OK, ConnectionFixture

ENDS = (b"Content-Length: 3\r\n\r\nabc", b"\r\nabc", b"Content-Length: 0\r\n\r\n")


class TestInvalidStatuses:
    @pytest.mark.parametrize("end", ENDS)
    @pytest.mark.parametrize(
        "status", [b"000", b"001", b"20", b"099", b"600", b"799", b"999", b"1000"]
    )
    def test_a_status_outside_of_100_to_599_is_malformed_at_once(
        self, status: bytes, end: bytes
    ) -> None:
        fixture = ConnectionFixture()
        fixture.connection.dataReceived(b"HTTP/1.1 " + status + b" X\r\n" + end)
        assert [type(one) for one in fixture.ends] == [Malformed]
        assert not fixture.connection.is_open

    def test_a_reply_after_an_invalid_status_does_not_count(self) -> None:
        fixture = ConnectionFixture()
        fixture.connection.dataReceived(b"HTTP/1.1 000 X\r\n\r\n" + OK)
        assert [type(one) for one in fixture.ends] == [Malformed]

    @pytest.mark.parametrize("status", [b"100", b"200", b"299", b"404", b"599"])
    def test_valid_statuses_are_not_malformed(self, status: bytes) -> None:
        fixture = ConnectionFixture()
        fixture.connection.dataReceived(
            b"HTTP/1.1 " + status + b" X\r\nContent-Length: 0\r\n\r\n"
        )
        assert not any(isinstance(one, Malformed) for one in fixture.ends)


class TestInterimReplies:
    @pytest.mark.parametrize(
        "headers", [b"", b"Upgrade: h2c\r\nConnection: Upgrade\r\n"]
    )
    def test_a_switch_of_protocols_that_nobody_asked_for_is_malformed(
        self, headers: bytes
    ) -> None:
        fixture = ConnectionFixture()
        fixture.connection.dataReceived(b"HTTP/1.1 101 X\r\n" + headers + b"\r\n")
        assert [type(one) for one in fixture.ends] == [Malformed]

    @pytest.mark.parametrize("status", [b"100", b"102", b"103"])
    def test_others_before_the_final_reply_are_skipped(self, status: bytes) -> None:
        fixture = ConnectionFixture()
        interim = b"HTTP/1.1 " + status + b" X\r\n\r\n"
        fixture.connection.dataReceived(interim * MAX_INTERIM_REPLIES + OK)
        (end,) = fixture.ends
        assert isinstance(end, Replied) and end.reply.status == 200
        assert fixture.connection.idle

    @pytest.mark.parametrize("size", [1, 10_000])
    def test_interim_replies_without_end_are_malformed(self, size: int) -> None:
        fixture = ConnectionFixture()
        data = b"HTTP/1.1 100 X\r\n\r\n" * (MAX_INTERIM_REPLIES + 1)
        for start in range(0, len(data), size):
            fixture.connection.dataReceived(data[start : start + size])
        assert [type(one) for one in fixture.ends] == [Malformed]

    def test_the_limit_counts_the_interim_replies_of_one_exchange(self) -> None:
        fixture = ConnectionFixture()
        for _ in range(3):
            interim = b"HTTP/1.1 100 X\r\n\r\n" * MAX_INTERIM_REPLIES
            fixture.connection.dataReceived(interim + OK)
            fixture.connection.exchange(b"GET / HTTP/1.1\r\n\r\n", fixture.ends.append)
        assert [type(one) for one in fixture.ends] == [Replied] * 3

    def test_one_after_the_final_reply_closes_the_connection(self) -> None:
        fixture = ConnectionFixture()
        fixture.connection.dataReceived(OK + b"HTTP/1.1 100 X\r\n\r\n")
        (end,) = fixture.ends
        assert isinstance(end, Replied) and end.reply.status == 200
        assert not fixture.connection.is_open

    def test_a_connection_closed_after_one_has_no_reply(self) -> None:
        fixture = ConnectionFixture()
        fixture.connection.dataReceived(b"HTTP/1.1 103 X\r\n\r\n")
        fixture.lose(CLOSED)
        assert [type(one) for one in fixture.ends] == [Malformed]
