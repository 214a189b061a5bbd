"""The first second of a gateway whose callers wait already.

The pattern: all gateways lose power at once and return together. Their callers
reconnect before a configuration is known, and all of them search at the same moment.
"""

from __future__ import annotations

import subprocess
import sys

import msgspec
import pytest

from sardinehook.gateway.answer import CallerAnswer
from sardinehook.gateway.fleet import GATEWAY_PREFIX, GatewayRecord
from sardinehook.gateway.interfaces import HttpRequest
from sardinehook.gateway.request_handler import (
    MAX_WAITING,
    STARTING_WAIT_S,
    Cancellable,
)
from sardinehook.gateway.store import Item
from sardinehook.platform.listen_address import read_front_address
from sardinehook.transport.early_sockets import Address
from tests.gateway.test_follower import ScriptedStore, replica
from tests.gateway.test_process import ProcessRig

HEADERS = ((b"Host", b"h"), (b"X-Request-Id", b"r-1"), (b"X-Deadline-Ms", b"800"))
SERVICES = [{"Name": "desk", "HealthPath": "/health", "MaxConns": 60}]
ROUTE = {
    "Name": "look-up",
    "Host": "h",
    "Prefix": "/x/",
    "RouteType": "safe",
    "TimeoutMs": 4000,
    "TargetLatencyMs": 600,
    "Priority": 1,
    "MaxAttempts": 2,
    "Service": "desk",
}


def configuration_item(revision: int) -> Item:
    """Return a configuration with one route."""
    value = {"Version": 1, "Routes": [ROUTE], "Services": SERVICES}
    return Item("op/config", msgspec.json.encode(value), revision)


def gateway_item(name: str, revision: int) -> Item:
    """Return the record of a gateway, which survives a short loss of power."""
    value = msgspec.json.encode(GatewayRecord("", "here"))
    return Item(GATEWAY_PREFIX + name, value, revision)


class StartRig(ProcessRig):
    """A gateway that has just started, and its callers."""

    def __init__(self) -> None:
        super().__init__()
        self.answers: list[CallerAnswer] = []
        store = self.process.store
        assert isinstance(store, ScriptedStore)
        self.store = store
        self.process.start()

    def ask(self) -> Cancellable | None:
        """Send one request of a caller."""
        now = self.reactor.seconds()
        request = HttpRequest(b"GET", b"/x/1", HEADERS, b"", now)
        return self.process.request_handler.handle(request, self.answers.append)

    def answer_store(self, gateways: int = 6) -> None:
        """Answer the listing: configuration, replica, and gateways of the fleet."""
        records = [gateway_item(f"g-{number + 1}", 1) for number in range(gateways)]
        self.store.answer(5, configuration_item(2), replica("a", 3), *records)
        self.reactor.advance(0.0)
        self.reactor.advance(0.0)


class TestWaitingForTheConfiguration:
    def test_requests_are_sent_as_soon_as_the_store_has_answered(self) -> None:
        rig = StartRig()
        rig.ask()
        rig.reactor.advance(0.05)
        assert rig.answers == [] and rig.reactor.tcpClients == []
        rig.answer_store()
        assert rig.answers == []
        assert len(rig.process.directory.replicas["a"].in_flight) == 1

    def test_no_share_is_exceeded_by_the_requests_that_waited(self) -> None:
        """Nine tenths of 60 connections are divided among all six gateways."""
        rig = StartRig()
        for _ in range(40):
            rig.ask()
        rig.answer_store(gateways=6)
        assert len(rig.reactor.tcpClients) == 9

    def test_the_slack_of_repeats_is_left_to_what_ran_before(self) -> None:
        rig = StartRig()
        rig.ask()
        rig.answer_store()
        policy = rig.process.policy
        assert not policy.try_spend_retry("desk", rig.reactor.seconds())

    def test_without_an_answer_of_the_store_they_are_refused_soon(self) -> None:
        rig = StartRig()
        rig.ask()
        rig.reactor.advance(STARTING_WAIT_S)
        (answer,) = rig.answers
        assert answer.status == 503
        assert dict(answer.headers)[b"Retry-After"]

    def test_later_requests_are_refused_at_once(self) -> None:
        rig = StartRig()
        rig.reactor.advance(STARTING_WAIT_S)
        rig.ask()
        assert [answer.status for answer in rig.answers] == [503]

    def test_a_caller_that_leaves_has_nothing_sent(self) -> None:
        rig = StartRig()
        waiting = rig.ask()
        assert waiting is not None
        waiting.cancel()
        rig.answer_store()
        assert rig.answers == [] and rig.reactor.tcpClients == []

    def test_a_caller_that_leaves_later_cancels_its_request(self) -> None:
        rig = StartRig()
        waiting = rig.ask()
        rig.answer_store()
        assert waiting is not None
        waiting.cancel()
        assert rig.process.directory.replicas["a"].in_flight == {}

    def test_their_number_is_bounded(self) -> None:
        rig = StartRig()
        for _ in range(MAX_WAITING + 1):
            rig.ask()
        assert [answer.status for answer in rig.answers] == [503]


class TestListeningEarly:
    def test_the_address_is_read_from_the_settings_file(self, tmp_path: object) -> None:
        path = f"{tmp_path}/boot.toml"
        with open(path, "w", encoding="utf-8") as file:
            file.write('[Listen]\nFront = "127.0.0.1:81"\n')
        assert read_front_address(path) == Address("127.0.0.1", 81)

    @pytest.mark.parametrize(
        "text", ["", "Listen = 1", "[Listen]\nFront = 2", '[Listen]\nFront = "x"', "["]
    )
    def test_unusable_settings_have_no_address(
        self, text: str, tmp_path: object
    ) -> None:
        path = f"{tmp_path}/boot.toml"
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        assert read_front_address(path) is None
        assert read_front_address(f"{tmp_path}/missing.toml") is None


class TestImports:
    def test_a_gateway_loads_no_framework_that_it_does_not_need(self) -> None:
        """Each of these would take a tenth of the time of a start or more."""
        program = (
            "import sys, sardinehook.gateway.run; print(*sys.modules, file=sys.stderr)"
        )
        ended = subprocess.run(
            [sys.executable, "-c", program], capture_output=True, text=True, check=True
        )
        loaded = set(ended.stderr.split())
        heavy = {"prometheus_client", "pydantic", "returns.pipeline", "typer"}
        assert heavy & loaded == set()
