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
from sardinehook.gateway.delegates import HEARTBEAT_TIMEOUT_S, Delegates
from sardinehook.gateway.fleet import GATEWAY_PREFIX, GatewayRecord
from sardinehook.gateway.http_server import Cancellable
from sardinehook.gateway.interfaces import HttpRequest
from sardinehook.gateway.startup_queue import MAX_WAIT_S, MAX_WAITING
from sardinehook.gateway.store import Item
from sardinehook.platform.listen_address import read_front_address
from sardinehook.transport.early_sockets import Address
from tests.gateway.fake_transport import RecordingReactor, make_transport
from tests.gateway.test_follower import (
    FollowerRig,
    ScriptedPeers,
    ScriptedStore,
    peer_address,
    replica,
    version,
)
from tests.gateway.test_process import ProcessRig
from tests.gateway.test_readers import registration

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

    def start_beside_wide_gateway(self) -> Delegates:
        """Learn of a gateway with a wide link, and return the delegates."""
        process = self.process
        process.fleet.record.link_mbps = 20.0
        wide = GatewayRecord("10.0.0.9:1", "here", link_mbps=200.0)
        item = Item(GATEWAY_PREFIX + "wide", msgspec.json.encode(wide), 1)
        self.store.answer(5, configuration_item(2), item)
        self.reactor.advance(0.0)
        return process.delegates

    def accept_connection(self) -> None:
        """Accept the last connection attempt."""
        factory = self.reactor.tcpClients[-1][2]
        factory.buildProtocol(None).makeConnection(make_transport())

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
        rig.reactor.advance(MAX_WAIT_S)
        (answer,) = rig.answers
        assert answer.status == 503
        assert dict(answer.headers)[b"Retry-After"]

    def test_later_requests_are_refused_at_once(self) -> None:
        rig = StartRig()
        rig.reactor.advance(MAX_WAIT_S)
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


class TestFleetThatStartsAtOnce:
    """Listings for all gateways at once would fill the link of the store."""

    def test_readers_list_all_keys_and_the_others_ask_them(self) -> None:
        fleet = StartingFleet(9)
        assert len(fleet.readers) == 3
        fleet.answer_readers()
        assert [rig.versions for rig in fleet.rigs] == [[7]] * 9
        assert [rig.store.calls.count("read_all") for rig in fleet.rigs] == [
            int(rig in fleet.readers) for rig in fleet.rigs
        ]

    def test_they_wait_for_readers_that_have_no_state_yet(self) -> None:
        fleet = StartingFleet(9)
        fleet.reactor.pump([0.1] * 3)
        fleet.answer_readers()
        assert all(rig.versions == [7] for rig in fleet.rigs)

    def test_without_readers_each_gateway_lists_for_itself(self) -> None:
        fleet = StartingFleet(9, unreachable=True)
        fleet.reactor.pump([0.1] * 20)
        assert all("read_all" in rig.store.calls for rig in fleet.rigs)

    def test_a_gateway_without_others_lists_all_keys(self) -> None:
        (rig,) = StartingFleet(1).rigs
        assert rig.store.calls == ["read_all"]


class StartingFleet:
    """Gateways whose records have outlived a short loss of power."""

    def __init__(self, gateways: int, unreachable: bool = False) -> None:
        self.reactor = RecordingReactor()
        self.peers = ScriptedPeers()
        names = [f"g-{number}" for number in range(gateways)]
        if unreachable:
            self.peers.unreachable = {peer_address(name) for name in names}
        self.records = tuple(registration(name, 1) for name in names)
        self.rigs = [
            FollowerRig(self.reactor, name, self.peers, self.records, starts=False)
            for name in names
        ]
        for rig in self.rigs:
            rig.follower.start()

    @property
    def readers(self) -> list[FollowerRig]:
        """The gateways that read the store."""
        return [rig for rig in self.rigs if rig.follower.reader_selector.is_reader]

    def answer_readers(self) -> None:
        """Answer the listings of the readers, and let news spread."""
        for rig in self.readers:
            items = (version(7, 5), replica("a", 3), *self.records)
            rig.store.answer(9, *items)
        self.reactor.pump([0.05] * 30)


class TestDelegates:
    """A gateway with a narrow link is fast again once its delegates are."""

    def test_a_delegate_is_usable_as_soon_as_it_accepts_a_connection(self) -> None:
        rig = StartRig()
        delegates = rig.start_beside_wide_gateway()
        assert delegates.usable() == []
        rig.accept_connection()
        assert [delegate.name for delegate in delegates.usable()] == ["wide"]

    def test_only_the_first_connection_counts(self) -> None:
        """The kernel accepts connections for a paused process too."""
        rig = StartRig()
        delegates = rig.start_beside_wide_gateway()
        rig.accept_connection()
        rig.reactor.advance(HEARTBEAT_TIMEOUT_S + 0.1)
        delegates.known["wide"].pool.probe()
        rig.accept_connection()
        assert delegates.usable() == []


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
