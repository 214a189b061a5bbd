"""Limits that replicas state: what all gateways together send, and who is refused."""

from __future__ import annotations

import pytest

from bench.limit_simulation import LimitedReplica, tolerated
from sardinehook.gateway.notices import StatedNotices
from sardinehook.gateway.rate_share import RateShare, allocate_rate
from sardinehook.gateway.replica import Replica
from sardinehook.gateway.shares import Shares
from sardinehook.platform.replicas import PlatformReplicas
from sardinehook.transport.connection import Reply
from tests.gateway.support import (
    THERE,
    Gateway,
    configuration,
    gateway_names,
    make_gateway,
    search_route,
    shard_names,
    single_route,
)


def equal_demands(gateways: int, demand: float) -> dict[str, float]:
    """Return the same demand for each of some gateways."""
    return dict.fromkeys(sorted(gateway_names(gateways)), demand)


class TestFleetLimit:
    """Guards against LIMIT: a replica got far more requests than the limit it named."""

    @pytest.mark.parametrize("gateways", [1, 6, 9, 70])
    @pytest.mark.parametrize("limit_per_s", [0.3, 2.0, 13.8, 60.0])
    def test_all_gateways_together_stay_within_the_limit(
        self, gateways: int, limit_per_s: float
    ) -> None:
        demand = 3.0 * max(limit_per_s, 10.0) / gateways
        replica = LimitedReplica(limit_per_s, equal_demands(gateways, demand))
        replica.run(30.0)
        assert replica.peak() <= tolerated(limit_per_s)
        assert len(replica.sent) <= 1.1 * limit_per_s * 30.0 + 2.0 * gateways

    def test_restarted_gateways_stay_within_the_limit(self) -> None:
        replica = LimitedReplica(13.8, equal_demands(6, 10.0))
        for _ in range(6):
            replica.run(5.0)
            restarted = replica.rng.choice(sorted(replica.demands))
            replica.shares[restarted] = replica.make_share(restarted)
        assert replica.peak() <= tolerated(13.8)

    def test_gateways_that_know_other_weights_stay_within_the_limit(self) -> None:
        """A third of the fleet is cut off from the store and keeps the old view."""
        replica = LimitedReplica(13.8, equal_demands(9, 10.0))
        remaining = sorted(replica.demands)[:6]
        for name in remaining:
            replica.set_view(name, dict.fromkeys(remaining, 1.0))
        replica.run(30.0)
        assert replica.peak() <= tolerated(13.8)

    @pytest.mark.parametrize("seed", range(5))
    def test_unequal_gateways_use_what_the_replica_takes(self, seed: int) -> None:
        demands = {"a": 2.0, "b": 2.0, "c": 2.0, "d": 18.0, "e": 20.0}
        replica = LimitedReplica(14.0, demands, seed)
        replica.run(40.0)
        assert replica.peak() <= tolerated(14.0)
        assert len(replica.sent) >= 0.9 * 14.0 * 40.0


class TestAllocation:
    def test_too_small_shares_go_to_fewer_gateways(self) -> None:
        weights = equal_demands(70, 1.0)
        for replica_id in ("i-1", "i-2"):
            peaks = [allocate_rate(0.5, weights, n, replica_id).peak for n in weights]
            assert sum(peaks) <= tolerated(0.5)
            assert all(peak >= 2.0 for peak in peaks if peak)
        held = [
            {n for n in weights if allocate_rate(0.5, weights, n, replica_id).peak}
            for replica_id in ("i-1", "i-2")
        ]
        assert held[0] != held[1]

    def test_gateway_without_a_share_asks_again_later(self) -> None:
        share = RateShare(0.0)
        weights = equal_demands(70, 1.0)
        (name, *_) = [
            n for n in weights if not allocate_rate(0.5, weights, n, "i").peak
        ]
        share.update(0.5, weights, name, "i", 0.0)
        assert not share.allows(0, 0, 0.0, 9.0)
        assert share.allows(0, 0, 0.0, share.validity_s + 0.1)
        assert not share.allows(0, 1, 0.0, share.validity_s + 0.1)


def limited_gateway(limit_per_s: float, tokens: float) -> tuple[Gateway, Replica]:
    """Make a gateway whose only replica of shard ``s00`` limits its rate."""
    gateway = make_gateway(gateways=1)
    for name in shard_names(4):
        gateway.add(f"{name}-a", name)
    gateway.directory.notice_board.node = "g-1"
    replica = gateway.directory.replicas["s00-a"]
    now = gateway.reactor.seconds()
    gateway.directory.observe_notices(replica, StatedNotices(False, limit_per_s), now)
    assert replica.notices.rate_share is not None
    replica.notices.rate_share.tokens = tokens
    return gateway, replica


class TestDirectory:
    def test_limit_ends_with_a_reply_that_states_none(self) -> None:
        gateway, replica = limited_gateway(1.0, 0.0)
        now = gateway.reactor.seconds()
        assert not replica.limit_allows(0.0, now)
        gateway.directory.observe_notices(replica, StatedNotices(), now)
        assert replica.limit_allows(0.0, now)

    def test_gateways_beyond_a_cut_leave_their_shares_to_the_others(self) -> None:
        gateway, replica = limited_gateway(9.0, 0.0)
        directory = gateway.directory
        names = ("g-1", "g-2", "g-3")
        centres = {"g-1": "here", "g-2": "here", "g-3": THERE}
        weights = dict.fromkeys(names, 1.0)
        directory.set_shares(
            Shares(3.0, 3.0, frozenset(names), weights, weights, centres)
        )
        share = replica.notices.rate_share
        assert share is not None
        assert share.allocation.rate_per_s == pytest.approx(3.0)
        directory.notice_board.cut_off = [THERE]
        directory.update_rate_shares()
        assert share.allocation.rate_per_s == pytest.approx(4.5)


class TestStatedLimit:
    @pytest.mark.parametrize(
        ("value", "limit_per_s"), [(b"13.8", 13.8), (b"2", 2.0), (b"many", None)]
    )
    def test_limit_of_a_reply_is_applied(
        self, value: bytes, limit_per_s: float | None
    ) -> None:
        gateway = make_gateway()
        replica = gateway.add("desk-a", "desk")
        gateway.call(single_route(True), "desk")
        headers = ((b"x-server-stamp", b"s"), (b"server-limit", value))
        reply = PlatformReplicas().read_reply(Reply(200, headers, b""), b"r-1")
        (exchange,) = gateway.dispatcher.sent
        gateway.dispatcher.classify(exchange, reply, gateway.reactor.seconds())
        share = replica.notices.rate_share
        assert (share.limit_per_s if share else None) == limit_per_s


class TestRefusals:
    """What does not fit is left out or refused at once, the least urgent first."""

    def test_search_goes_on_without_a_limited_shard(self) -> None:
        gateway, _ = limited_gateway(1.0, 0.0)
        gateway.gather(search_route(4, least=0.5))
        assert len(gateway.dispatcher.sent) == 3
        gateway.answer_all()
        assert gateway.answers[0].status == 200

    def test_search_is_refused_at_once_with_the_time_to_return(self) -> None:
        gateway, _ = limited_gateway(2.0, 0.0)
        gateway.gather(search_route(4, least=1.0))
        assert gateway.dispatcher.sent == []
        (answer,) = gateway.answers
        assert answer.status == 503
        assert 0.5 <= float(dict(answer.headers)[b"Retry-After"]) <= 1.0

    def test_lower_priority_leaves_the_last_request(self) -> None:
        gateway, _ = limited_gateway(1.0, 1.5)
        urgent = search_route(4, least=1.0)
        relaxed = urgent._replace(name="low", prefix="/y/", priority=3)
        gateway.directory.configure(configuration(urgent, relaxed))
        gateway.gather(relaxed)
        assert [answer.status for answer in gateway.answers] == [503]
        gateway.gather(urgent)
        assert len(gateway.dispatcher.sent) == 4


class TestTinyLimits:
    @pytest.mark.parametrize("gateways", [1, 6, 550])
    def test_a_tiny_limit_is_asked_for_again(self, gateways: int) -> None:
        """Guards against a replica that one garbled limit keeps from being used."""
        share = RateShare(0.0)
        weights = {f"g-{number}": 1.0 for number in range(gateways)}
        share.update(1e-9, weights, "g-0", "i-1", 0.0)
        assert share.validity_s <= max(10.0, 4.0 * gateways)

    @pytest.mark.parametrize("gateways", [1, 6, 550])
    def test_without_any_rate_the_fleet_asks_once_in_a_window(
        self, gateways: int
    ) -> None:
        share = RateShare(0.0)
        weights = {f"g-{number}": 1.0 for number in range(gateways)}
        share.update(0.0, weights, "g-0", "i-1", 0.0)
        assert gateways / share.validity_s <= 0.25
