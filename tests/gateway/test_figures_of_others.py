"""Figures that other gateways, operators, replicas and the store hand in."""

from __future__ import annotations

import json
import time
from typing import Any

import msgspec
import pytest
from returns.pipeline import is_successful

from sardinehook.gateway.answer import CallerAnswer
from sardinehook.gateway.search_codec import (
    decode_answer,
    decode_search,
    encode_answer,
    encode_search,
)
from sardinehook.gateway.store import Changes, Item
from sardinehook.gateway.watch_cache import (
    MAX_ITEMS,
    StateUpdate,
    decode_update,
    encode_update,
)
from sardinehook.platform.configuration import decode_configuration
from sardinehook.platform.discovery import PlatformKeys
from sardinehook.platform.kv_store import WireEvents, WireLease, WireRange, decode
from sardinehook.transport.connection import Replied, Reply
from tests.gateway.support import REQUEST
from tests.gateway.test_delegation import NARROW, GatewayRig
from tests.gateway.test_odd_entries import ENTRY

NAN = float("nan")
INFINITE = float("inf")
HUGE = 10**400
ANSWER = CallerAnswer(200, (), b"", "answered")


def replace_field(encoded: bytes, position: int, value: object) -> bytes:
    """Return a MessagePack array with another value at one position."""
    fields = msgspec.msgpack.decode(encoded)
    fields[position] = value
    return msgspec.msgpack.encode(fields)


class TestDelegatedSearch:
    """Guards against searches without an answer after an odd figure of a gateway."""

    @pytest.mark.parametrize("position", [8, 9, 10])
    @pytest.mark.parametrize("value", [NAN, INFINITE, -INFINITE, -1.0, 1e300])
    def test_odd_times_of_a_search_are_malformed(
        self, position: int, value: float
    ) -> None:
        body = replace_field(encode_search("g", 1, REQUEST, 0.1), position, value)
        assert not is_successful(decode_search(body, 0.0))

    def test_a_search_without_a_timeout_is_decoded(self) -> None:
        request = REQUEST._replace(caller_timeout_s=None)
        decoded = decode_search(encode_search("g", 1, request, 0.1), 0.0).unwrap()
        assert decoded.request.caller_timeout_s is None

    @pytest.mark.parametrize(
        ("position", "value"),
        [(0, -1), (0, 0), (0, 1000), (5, -1), (6, -1), (5, 2**60)],
    )
    def test_odd_counts_of_an_answer_are_malformed(
        self, position: int, value: int
    ) -> None:
        body = encode_answer(ANSWER, 1, 1)
        assert is_successful(decode_answer(body))
        assert not is_successful(decode_answer(replace_field(body, position, value)))

    def test_the_caller_gets_an_answer_after_odd_counts(self) -> None:
        narrow = GatewayRig("narrow", NARROW)
        narrow.add_delegate()
        narrow.start_search()
        body = replace_field(encode_answer(ANSWER, 1, 1), 5, -1)
        (connection,) = narrow.pool.opened
        connection.end(Replied(Reply(200, (), body)))
        assert [answer.status for answer in narrow.answers] == [502]


class TestPeerUpdate:
    UPDATE = StateUpdate(Changes((Item("a", b"1", 5),), 7), True, True)

    @pytest.mark.parametrize("revision", [-1, 2**63])
    def test_an_odd_revision_is_malformed(self, revision: int) -> None:
        """Guards against a revision after which no change counts as new."""
        body = b"m" + replace_field(encode_update(self.UPDATE)[1:], 0, revision)
        assert not is_successful(decode_update(body))

    def test_many_small_items_are_malformed(self) -> None:
        items = tuple(Item("", None, 0) for _ in range(MAX_ITEMS + 1))
        update = StateUpdate(Changes(items, 7), True, True)
        assert not is_successful(decode_update(encode_update(update)))


class TestStore:
    @pytest.mark.parametrize("number", [b"-1", b"1" + b"0" * 400, b"1e400", b"null"])
    @pytest.mark.parametrize(
        ("text", "reply_type"),
        [
            (b'{"items": [], "AsOf": N}', WireRange),
            (b'{"events": [], "AsOf": N}', WireEvents),
            (b'{"events": [{"Key": "a", "Revision": N}], "AsOf": 1}', WireEvents),
            (b'{"Lease": N}', WireLease),
        ],
    )
    def test_odd_numbers_of_the_store_are_no_answer(
        self, text: bytes, reply_type: type[Any], number: bytes
    ) -> None:
        body = text.replace(b"N", number)
        assert not is_successful(decode(Reply(200, (), body), reply_type))


ROUTE = {
    "Name": "r",
    "Host": "h",
    "Prefix": "/x/",
    "RouteType": "safe",
    "TimeoutMs": 400,
    "TargetLatencyMs": 111,
    "Gather": ["a", "b"],
    "TopK": 5,
    "MinCoverage": 0.75,
}


class TestConfiguration:
    """A configuration with a figure that no request could be served under."""

    @pytest.mark.parametrize("value", ["nan", "inf", -1, "1e300", HUGE])
    @pytest.mark.parametrize(
        "name",
        ["TimeoutMs", "TargetLatencyMs", "MaxAttempts", "TopK", "MinCoverage"],
    )
    def test_an_odd_figure_of_a_route_is_refused(
        self, name: str, value: object
    ) -> None:
        text = encode({"Version": 7, "Routes": [{**ROUTE, name: value}]})
        assert not is_successful(decode_configuration(text))

    @pytest.mark.parametrize("value", ["nan", "inf", -1, HUGE])
    @pytest.mark.parametrize("name", ["MaxConns", "ColdStartS", "ColdPerS"])
    def test_an_odd_figure_of_a_service_is_refused(
        self, name: str, value: object
    ) -> None:
        service = {"Name": "a", name: value}
        text = encode({"Version": 7, "Routes": [], "Services": [service]})
        assert not is_successful(decode_configuration(text))

    def test_figures_may_be_written_as_text(self) -> None:
        text = encode({"Version": "7", "Routes": [{**ROUTE, "TimeoutMs": "400"}]})
        assert decode_configuration(text).unwrap().version == 7


class TestEntries:
    def test_a_start_in_the_future_is_malformed(self) -> None:
        """Guards against a replica all of whose later entries look older."""
        now_ms = int(time.time() * 1000.0)
        for ahead_s, usable in ((60, True), (400 * 86_400, False)):
            entry = {**ENTRY, "born": now_ms + ahead_s * 1000}
            decoded = PlatformKeys().read_replica("i-1", msgspec.json.encode(entry))
            assert is_successful(decoded) == usable


def encode(document: dict[str, object]) -> bytes:
    """Encode a configuration; numbers may be of any size."""
    return json.dumps({"Services": [], **document}).encode()
