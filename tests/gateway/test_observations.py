"""Observations of replicas that gateways pass on to each other."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.testing import MemoryReactorClock

from sardinehook.gateway.dispatch import Exchange, Failed
from sardinehook.gateway.fleet import GatewayFleet, GatewayRecord
from sardinehook.gateway.observation_news import MOST_HELD, ObservationNews
from sardinehook.gateway.observations import (
    Observation,
    Overdue,
    Replied,
    Unusable,
    apply_observation,
    decode_observations,
    encode_observations,
)
from sardinehook.gateway.settings import Bounds
from tests.gateway.support import (
    REQUEST,
    Gateway,
    good,
    make_gateway,
    search_route,
)
from tests.gateway.test_follower import ScriptedStore

Sent = list[tuple[bytes, tuple[str, int]]]
IDS = st.text(st.characters(codec="ascii"), min_size=1, max_size=20)
RATIOS = st.floats(0.0, 50.0)
OBSERVATIONS = st.lists(
    st.builds(Replied, IDS, RATIOS)
    | st.builds(Overdue, IDS, RATIOS)
    | st.builds(Unusable, IDS),
    max_size=100,
)
SLOW = 8.0
DATAGRAM_BYTES = 1400


class Port:
    """Keeps the datagrams that are sent."""

    def __init__(self) -> None:
        self.sent: Sent = []

    def write(self, datagram: bytes, address: tuple[str, int]) -> None:
        """Keep a datagram."""
        self.sent.append((datagram, address))


class NewsRig:
    """One gateway's parts and the news that it passes on."""

    def __init__(self, node: str = "g-1") -> None:
        self.gateway: Gateway = make_gateway(Bounds(repeat_slack=180.0), 70)
        self.fleet = GatewayFleet(
            MemoryReactorClock(),
            ScriptedStore(),
            node,
            GatewayRecord("", "here", f"{node}:9"),
            lambda _names: None,
        )
        self.counts: dict[str, int] = {}
        self.news = ObservationNews(
            self.gateway.reactor, self.gateway.directory, self.fleet, self.count
        )
        self.port = Port()
        self.news.transport = self.port  # type: ignore[assignment]
        self.gateway.dispatcher.on_observation = self.news.note
        for name in ("a", "b", "c"):
            self.gateway.add(f"s00-{name}", "s00")

    def count(self, outcome: str, count: int) -> None:
        """Count observations."""
        self.counts[outcome] = self.counts.get(outcome, 0) + count

    def knows(self, node: str, data_centre: str = "here", address: str = "") -> None:
        """Register another gateway."""
        record = GatewayRecord("", data_centre, address or "10.0.0.2:9")
        self.fleet.note(node, msgspec.json.encode(record))

    def take(self, node: str, *observations: Observation) -> None:
        """Take what another gateway tells."""
        for datagram in encode_observations(node, observations):
            self.news.datagramReceived(datagram, ("10.0.0.2", 9))

    def slowness(self, replica_id: str) -> float:
        """Return how slow a replica is taken to be."""
        replica = self.gateway.directory.replicas[replica_id]
        return replica.current_slowness(self.gateway.reactor.seconds())


class TestSlowReplicas:
    """Answers the pattern: replicas of many shards turn slow, and many gateways
    share the requests, so that each by itself asks a replica once in two seconds.
    """

    def test_one_that_others_found_slow_is_not_asked_first(self) -> None:
        rig = NewsRig()
        rig.knows("g-2")
        for name in ("a", "b"):
            rig.take("g-2", *[Replied(f"s00-{name}", SLOW)] * 3)
        rig.gateway.gather(search_route(1))
        (exchange,) = rig.gateway.dispatcher.sent
        assert exchange.replica.replica_id == "s00-c"

    def test_a_pause_that_held_up_few_requests_does_not_count(self) -> None:
        rig = NewsRig()
        rig.knows("g-2")
        rig.take("g-2", *[Replied("s00-a", 1.0)] * 6, *[Overdue("s00-a", SLOW)] * 3)
        assert rig.slowness("s00-a") == 1.0

    def test_one_that_recovers_is_found_out_within_a_second_or_two(self) -> None:
        rig = NewsRig()
        rig.knows("g-2")
        rig.take("g-2", *[Replied("s00-a", SLOW)] * 9)
        assert rig.slowness("s00-a") == SLOW
        rig.gateway.reactor.advance(1.6)
        rig.take("g-2", *[Replied("s00-a", 1.0)] * 3)
        assert rig.slowness("s00-a") < 1.5

    def test_failures_that_others_met_count(self) -> None:
        rig = NewsRig()
        rig.knows("g-2")
        rig.take("g-2", *[Unusable("s00-a")] * 4)
        replica = rig.gateway.directory.replicas["s00-a"]
        assert replica.current_failures(rig.gateway.reactor.seconds()) > 0.5


class TestPassingOn:
    def test_a_reply_and_an_overdue_one_are_told_in_the_data_centre(self) -> None:
        rig = NewsRig()
        rig.knows("g-2")
        rig.knows("g-3", "there")
        rig.gateway.gather(search_route(1))
        rig.gateway.reactor.advance(0.08)
        first, second = rig.gateway.dispatcher.sent
        rig.gateway.end(second, good("x"))
        rig.news.send()
        ((datagram, address),) = rig.port.sent
        assert address == ("10.0.0.2", 9)
        node, observations = decode_observations(datagram).unwrap()
        assert node == "g-1"
        assert [type(told) for told in observations] == [Overdue, Replied]
        assert observations[0].replica_id == first.replica.replica_id

    def test_what_is_held_is_bounded_and_told_once(self) -> None:
        rig = NewsRig()
        rig.knows("g-2")
        for _ in range(2 * MOST_HELD):
            rig.news.note(Unusable("s00-a"))
        rig.news.send()
        rig.news.send()
        assert rig.counts == {"sent": MOST_HELD}

    def test_a_failed_exchange_is_told(self) -> None:
        rig = NewsRig()
        replica = rig.gateway.directory.replicas["s00-a"]
        exchange = Exchange(REQUEST, replica, 100.0, 100.1, lambda _e, _o: None)
        rig.gateway.dispatcher.start(exchange)
        rig.gateway.dispatcher.sweep(101.0)
        assert rig.news.held == [Unusable("s00-a")]
        rig.gateway.end(exchange, Failed("no reply in time"))


class TestBadInput:
    @given(st.binary(max_size=60))
    def test_any_bytes_are_dropped(self, datagram: bytes) -> None:
        decode_observations(datagram)

    def test_a_gateway_that_is_not_registered_is_not_believed(self) -> None:
        rig = NewsRig()
        rig.take("g-9", *[Replied("s00-a", SLOW)] * 3)
        assert rig.slowness("s00-a") == 1.0
        assert rig.counts == {"unknown_sender": 3}

    def test_a_replica_that_is_not_known_is_passed_over(self) -> None:
        gateway = make_gateway()
        apply_observation(gateway.directory, Unusable("nobody"), 100.0)

    @pytest.mark.parametrize("ratio", [float("nan"), -1.0])
    def test_a_ratio_that_is_none_is_dropped(self, ratio: float) -> None:
        (datagram,) = encode_observations("g-2", [Replied("s00-a", ratio)])
        assert decode_observations(datagram).unwrap() == ("g-2", [])


class TestCodec:
    @given(OBSERVATIONS)
    def test_all_arrive_in_datagrams_that_fit(
        self, observations: list[Observation]
    ) -> None:
        datagrams = encode_observations("g-1", observations)
        told = [
            observation
            for datagram in datagrams
            for observation in decode_observations(datagram).unwrap()[1]
        ]
        assert told == observations
        assert all(len(datagram) <= DATAGRAM_BYTES for datagram in datagrams)
