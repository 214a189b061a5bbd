"""Windows of requests to replicas that have started or recovered."""

from __future__ import annotations

from heapq import heappop, heappush

import pytest

from sardinehook.gateway.interfaces import Load
from sardinehook.gateway.pace.pacer import PACE_VARIABLE
from sardinehook.gateway.pace.window import PaceLimits, Window
from sardinehook.gateway.replica import Replica
from tests.gateway.support import (
    Gateway,
    configuration,
    equal_shares,
    make_gateway,
    search_route,
    shard_names,
)
from tests.gateway.test_process import ProcessRig

SERVICE_S = 0.03


def fleet_peak(gateways: int, paced: bool, seconds: float = 0.5) -> tuple[int, int]:
    """Return the most requests at a replica of 2 slots, and how many it answered.

    All gateways have more to send than it serves.
    """
    limits = PaceLimits.of(2, float(gateways))
    windows = [
        Window(limits, 0.0, phase=(number + 0.5) / gateways)
        for number in range(gateways)
    ]
    in_flight = [0] * gateways
    free_at = [0.0, 0.0]
    ends: list[tuple[float, int, float]] = []
    peak = answered = 0
    expected_s = [SERVICE_S] * gateways
    for tick in range(int(seconds * 1000)):
        now = tick / 1000.0
        while ends and ends[0][0] <= now:
            _, sender, sent_at = heappop(ends)
            in_flight[sender] -= 1
            answered += 1
            waiting = max(0, sum(in_flight) - 2)
            ratio = (now - sent_at) / SERVICE_S
            windows[sender].observe_answer(ratio, waiting, 2, now)
            expected_s[sender] = SERVICE_S * (1.0 + waiting / 2.0)
        for sender, window in enumerate(windows):
            if paced and not window.has_room(in_flight[sender], now):
                continue
            if not paced and in_flight[sender]:
                continue
            window.record_sent(now, expected_s[sender])
            in_flight[sender] += 1
            first = min(range(2), key=free_at.__getitem__)
            free_at[first] = max(now, free_at[first]) + SERVICE_S
            heappush(ends, (free_at[first], sender, now))
        peak = max(peak, sum(in_flight))
    return peak, answered


class TestWindow:
    """Guards against a replica that is flooded after its start, or left idle.

    The load: gateways that all have requests for it at once.
    """

    def test_delegates_together_do_not_flood_a_replica(self) -> None:
        peak, answered = fleet_peak(8, paced=True)
        assert peak <= 2 * 8
        assert answered >= 0.8 * 0.5 / SERVICE_S * 2

    def test_a_large_fleet_sends_less_with_windows_than_without(self) -> None:
        paced, answered = fleet_peak(98, paced=True)
        unpaced, _ = fleet_peak(98, paced=False)
        assert unpaced == 98
        assert paced <= 2 * 4
        assert answered >= 0.5 * 0.5 / SERVICE_S * 2

    def test_it_grows_with_answers_in_time_and_ends(self) -> None:
        window = Window(PaceLimits(1.0, 4.0), 0.0)
        for _ in range(3):
            window.observe_answer(1.0, 0, 2, 0.0)
        assert window.has_ended(0.0)

    @pytest.mark.parametrize(("ratio", "waiting"), [(5.0, 0), (1.0, 5)])
    def test_slow_answers_and_queues_shrink_it(
        self, ratio: float, waiting: int
    ) -> None:
        window = Window(PaceLimits(1.0, 8.0), 0.0)
        window.size = 6.0
        window.observe_answer(ratio, waiting, 2, 0.1)
        assert window.size < 4.0

    def test_a_gateway_without_a_sibling_to_ask_soon_has_its_turn(self) -> None:
        window = Window(PaceLimits.of(2, 98.0), 0.0, phase=0.9)
        assert not window.has_room_if_needed(0, 0.0)
        assert window.has_room_if_needed(0, 0.15)
        assert not window.has_room(0, 0.15)

    def test_it_does_not_last_without_answers(self) -> None:
        assert Window(PaceLimits(0.02, 0.08), 0.0).has_ended(4.1)


class TestReplicas:
    """Guards against windows that outlast, or are missed by, what they are for."""

    def gateway(self, gateways: int = 8) -> Gateway:
        gateway = make_gateway(gateways=gateways)
        gateway.directory.configure(configuration(search_route(1), cold_rate=10.0))
        gateway.directory.record_stated_work()
        return gateway

    def settled(self, gateway: Gateway, replica_id: str = "s00-a") -> Replica:
        """Add a replica whose first window has ended."""
        replica = gateway.add(replica_id, "s00")
        gateway.reactor.advance(11.0)
        gateway.directory.sweep(gateway.reactor.seconds())
        assert replica.window is None
        return replica

    def test_a_failing_replica_gets_a_window(self) -> None:
        gateway = self.gateway()
        replica = self.settled(gateway)
        now = gateway.reactor.seconds()
        for _ in range(2):
            replica.observe_result(True, now)
        gateway.directory.pacer.observe_failure(replica, now)
        assert replica.window is not None

    def test_requests_go_to_a_sibling_with_room(self) -> None:
        gateway = self.gateway()
        replica, sibling = self.settled(gateway), self.settled(gateway, "s00-b")
        now = gateway.reactor.seconds()
        gateway.directory.pacer.restart(replica, now)
        assert replica.window is not None
        replica.window.record_sent(now, 1.0)
        sibling.observe_load(Load(2, 2, 2, 2.0), now)
        choice = gateway.policy.selector.select("s00", 0.03, (), 9.0, now)
        assert choice is not None
        assert choice.replica is sibling

    def test_the_cold_limit_binds_whatever_the_window_allows(self) -> None:
        gateway = self.gateway()
        replica = self.settled(gateway)
        now = gateway.reactor.seconds()
        gateway.directory.set_cold(replica, 3.0, now)
        assert replica.window is not None
        replica.window.size = replica.window.limits.full
        replica.cold_sends.add(10, now)
        assert gateway.policy.selector.select("s00", 0.03, (), 9.0, now) is None

    def test_a_short_absence_is_remembered(self) -> None:
        gateway = self.gateway()
        replica = self.settled(gateway)
        gateway.directory.pacer.begin(replica, gateway.reactor.seconds(), 0.4)
        gateway.directory.discard(replica)
        returned = gateway.add("s00-a", "s00")
        assert returned.window is not None
        assert returned.window.size > returned.window.limits.start

    def test_a_warm_replica_that_was_away_has_none(self) -> None:
        gateway = self.gateway()
        replica = self.settled(gateway)
        gateway.directory.discard(replica)
        assert gateway.add("s00-a", "s00").window is None

    def test_entries_that_lapsed_with_the_store_leave_no_window(self) -> None:
        gateway = self.gateway()
        replica = self.settled(gateway)
        replica.deregistered_at = gateway.reactor.seconds()
        entry = replica.entry._replace(sequence=replica.entry.sequence + 1)
        gateway.directory.put(entry, gateway.reactor.seconds())
        assert gateway.directory.replicas["s00-a"] is replica
        assert not replica.window

    def test_a_new_process_starts_small(self) -> None:
        gateway = self.gateway()
        replica = self.settled(gateway)
        entry = replica.entry._replace(started_ms=2)
        gateway.directory.put(entry, gateway.reactor.seconds())
        window = gateway.directory.replicas["s00-a"].window
        assert window is not None
        assert window.size == window.limits.start

    def test_it_follows_this_gateways_share(self) -> None:
        gateway = self.gateway(2)
        replica = gateway.add("s00-a", "s00")
        gateway.directory.pacer.begin(replica, gateway.reactor.seconds())
        gateway.directory.set_shares(equal_shares(98))
        assert replica.window is not None
        assert replica.window.limits == PaceLimits.of(2, 98.0)

    def test_it_can_be_turned_off(self) -> None:
        gateway = self.gateway()
        gateway.directory.pacer.enabled = False
        replica = gateway.add("s00-a", "s00")
        gateway.directory.set_cold(replica, 3.0, gateway.reactor.seconds())
        assert replica.window is None

    @pytest.mark.parametrize(("value", "enabled"), [("off", False), ("on", True)])
    def test_the_environment_turns_it_off(
        self, value: str, enabled: bool, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setenv(PACE_VARIABLE, value)
        assert ProcessRig().process.directory.pacer.enabled is enabled


class TestStartOfGateways:
    """Guards against searches that leave shards out because gateways have restarted.

    The load: 83 gateways lose power and search 40 shards whose replicas run on. A
    window of a few requests, shared by all gateways, left most shards of a gateway
    without a replica that could be asked.
    """

    def test_all_shards_of_warm_replicas_are_asked(self) -> None:
        gateway = make_gateway(gateways=83)
        route = search_route(40)
        gateway.directory.configure(configuration(route))
        gateway.directory.record_stated_work()
        gateway.directory.set_shares(equal_shares(339))  # the part of a narrow gateway
        for shard in shard_names(40):
            for suffix in "abc":
                gateway.add(f"{shard}-{suffix}", shard)
        for _ in range(2):
            gateway.gather(route)
        assert len(gateway.dispatcher.sent) == 2 * 40
