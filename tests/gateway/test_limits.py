"""Limits shared by all gateways: retries, cold starts and connections."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from sardinehook.gateway.dispatch import Exchange
from sardinehook.gateway.retry_budget import RetryBudget
from sardinehook.gateway.settings import Bounds
from tests.gateway.support import (
    REQUEST,
    configuration,
    equal_shares,
    gateway_names,
    make_gateway,
    single_route,
)

BOUNDS = Bounds(repeat_ratio=0.2, repeat_window_s=10.0, repeat_slack=58.0)
STEPS = st.lists(st.tuples(st.floats(0.0, 0.4), st.booleans()), max_size=400)


class TestRepeatBudget:
    @given(STEPS, st.integers(1, 9))
    def test_retries_in_any_window_stay_within_the_share(
        self, steps: list[tuple[float, bool]], gateways: int
    ) -> None:
        budget = RetryBudget(BOUNDS.repeat_window_s)
        now = 0.0
        requests: list[float] = []
        repeats: list[float] = []
        for pause_s, is_request in steps:
            now += pause_s
            if is_request:
                budget.record_request(now)
                requests.append(now)
            elif budget.spend(BOUNDS, gateways, now):
                repeats.append(now)
        for end in repeats:
            window = [at for at in repeats if end - 10.0 < at <= end]
            asked = [at for at in requests if end - 10.6 < at <= end]
            allowed = 0.2 * len(asked) + 58.0 / gateways
            assert len(window) <= allowed

    def test_all_gateways_together_stay_within_the_slack(self) -> None:
        spent = 0
        for _ in range(9):
            budget = RetryBudget(BOUNDS.repeat_window_s)
            while budget.spend(BOUNDS, 9, 1.0):
                spent += 1
        assert spent <= BOUNDS.repeat_slack

    def test_restarting_gateways_stay_within_the_slack(self) -> None:
        """Restarted gateways must not spend the slack of the budget again.

        Guards against the case that all gateways are killed while replicas are slow.
        """
        repeats: list[float] = []
        requests: list[float] = []
        for started in (0.0, 12.0, 16.0):
            for _ in range(6):
                budget = RetryBudget(BOUNDS.repeat_window_s, started)
                for step in range(40):
                    now = started + 0.1 * step + (10.0 if started == 0.0 else 0.0)
                    budget.record_request(now)
                    requests.append(now)
                    while budget.spend(BOUNDS, 6, now):
                        repeats.append(now)
        for start in repeats:
            window = [at for at in repeats if start <= at < start + 10.0]
            asked = [at for at in requests if start <= at < start + 10.0]
            assert len(window) <= 0.2 * len(asked) + BOUNDS.repeat_slack

    def test_slack_is_available_one_window_after_the_start(self) -> None:
        budget = RetryBudget(BOUNDS.repeat_window_s, 5.0)
        assert not budget.spend(BOUNDS, 6, 14.9)
        assert budget.spend(BOUNDS, 6, 15.0)


class TestColdReplicas:
    """Guards against overload when a data centre's replicas restart cold together."""

    def sent_in_one_second(self, gateways: int, rate: float) -> int:
        """Count the requests of all gateways to one cold replica within a second."""
        total = 0
        for number in range(gateways):
            gateway = make_gateway(gateways=gateways)
            gateway.directory.configure(
                configuration(single_route(True), cold_rate=rate)
            )
            gateway.directory.set_shares(equal_shares(gateways))
            gateway.policy.selector.node = f"g-{number}"
            replica = gateway.add("desk-a", "desk")
            now = gateway.reactor.seconds()
            replica.cold_until = now + 3.0
            while gateway.policy.selector.cold_limit_allows(replica, now):
                replica.cold_sends.add(1, now)
                total += 1
        return total

    def test_all_gateways_together_stay_within_the_cold_rate(self) -> None:
        for gateways in (1, 6, 9, 40):
            for rate in (0.5, 2.0, 10.0, 40.0):
                bound = rate * 1.5 + 5.0
                sent = self.sent_in_one_second(gateways, rate)
                assert sent <= bound, (gateways, rate)

    def test_a_restarted_gateway_leaves_the_first_second_to_its_predecessor(
        self,
    ) -> None:
        """All gateways crash at once, and each had used its share before."""
        gateway = make_gateway()
        gateway.directory.configure(configuration(single_route(True), cold_rate=2.0))
        replica = gateway.add("desk-a", "desk")
        gateway.policy.restart_counting()
        began = gateway.reactor.seconds()
        replica.cold_until = began + 3.0
        selector = gateway.policy.selector
        assert not selector.cold_limit_allows(replica, began)
        assert not selector.cold_limit_allows(replica, began + 0.99)
        assert selector.cold_limit_allows(replica, began + 1.0)

    def test_requests_waiting_for_a_connection_count(self) -> None:
        gateway = make_gateway()
        gateway.directory.configure(configuration(single_route(True), cold_rate=0.1))
        gateway.directory.set_shares(equal_shares(5))
        replica = gateway.add("desk-a", "desk")
        now = gateway.reactor.seconds()
        replica.cold_until = now + 3.0
        selector = gateway.policy.selector
        for selector.node in gateway_names(5):
            if selector.cold_limit_allows(replica, now):
                break
        assert selector.cold_limit_allows(replica, now)
        waiting = Exchange(REQUEST, replica, now, now + 1.0, lambda *_: None)
        replica.in_flight[waiting] = None
        assert not selector.cold_limit_allows(replica, now)

    def test_warm_replica_is_preferred(self) -> None:
        gateway = make_gateway()
        cold = gateway.add("desk-a", "desk")
        warm = gateway.add("desk-b", "desk")
        now = gateway.reactor.seconds()
        cold.cold_until = now + 3.0
        gateway.call(single_route(True), "desk")
        assert gateway.dispatcher.sent[0].replica is warm


class TestConnections:
    def test_gateways_share_the_connections_of_a_replica(self) -> None:
        gateway = make_gateway()
        gateway.directory.configure(configuration(single_route(True)))
        gateway.directory.set_shares(equal_shares(9))
        replica = gateway.add("desk-a", "desk")
        assert 1 <= replica.pool.max_connections * 9 <= 26
