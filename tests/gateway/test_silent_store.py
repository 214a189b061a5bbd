"""Changes arrive in time after the store was silent, whatever was restarted."""

from __future__ import annotations

import pytest

from bench.store_simulation import STABLE_S, FleetSimulation, run_outages
from sardinehook.gateway.follower import LOST_WATCH_MARGIN_S
from sardinehook.gateway.store import Changes, Item
from sardinehook.gateway.watch_cache import StateUpdate
from tests.gateway.test_follower import replica

SIZES = {"a": 3, "b": 4, "c": 2}
BOUND_S = 3.0  # for a change of the configuration


class TestFirstWatch:
    """A gateway that starts while the store is silent must not wait for its watch.

    Guards against CONFIG after all gateways of a data centre restarted in an outage.
    """

    def test_restarted_data_centre_follows_after_the_outage(self) -> None:
        fleet = FleetSimulation(SIZES)
        fleet.pass_time(5.0)
        fleet.store.silent = True
        fleet.pass_time(2.0)
        fleet.restart("b-0", "b-1", "b-2", "b-3")
        fleet.pass_time(3.0)
        fleet.store.silent = False
        fleet.pass_time(STABLE_S)
        fleet.change()
        fleet.pass_time(BOUND_S)
        assert fleet.behind() == []

    def test_restarted_fleet_follows_after_the_outage(self) -> None:
        fleet = FleetSimulation(SIZES)
        fleet.pass_time(5.0)
        fleet.store.silent = True
        fleet.restart("b-0", "b-1", "b-2", "b-3")
        fleet.pass_time(2.0)
        fleet.restart("a-0", "a-1", "a-2")
        fleet.pass_time(2.0)
        fleet.restart("c-0", "c-1")
        fleet.pass_time(2.0)
        fleet.store.silent = False
        fleet.pass_time(STABLE_S)
        fleet.change()
        fleet.pass_time(BOUND_S)
        assert fleet.behind() == []


class TestShortSilence:
    """A silence of a few hundredths of a second, as all gateways watch the store anew.

    Guards against CONFIG after a change that made all readers send their next watches
    at the same time, of which the answers were lost.
    """

    @pytest.mark.parametrize("began_s", [0.05 * step for step in range(1, 24)])
    @pytest.mark.parametrize("silent_s", [0.07, 0.12])
    def test_changes_before_it_are_in_force_once_the_store_is_stable(
        self, began_s: float, silent_s: float
    ) -> None:
        fleet = FleetSimulation(SIZES)
        fleet.pass_time(5.0)
        fleet.change()
        fleet.pass_time(0.3)
        fleet.change()
        fleet.pass_time(began_s)
        fleet.store.silent = True
        fleet.pass_time(silent_s)
        fleet.store.silent = False
        fleet.pass_time(STABLE_S)
        assert fleet.behind() == []


class TestOverlappingOutages:
    """Outages, restarts, lapsed leases and changes in any order.

    Guards against CONFIG after an outage that was too short for any call to fail, in
    which the answers to all pending watches were lost.
    """

    @pytest.mark.parametrize("seed", range(40))
    def test_changes_are_in_force_in_time(self, seed: int) -> None:
        assert run_outages(SIZES, seed) == []


class TestCost:
    def test_quiet_fleet_makes_few_calls(self) -> None:
        fleet = FleetSimulation(SIZES)
        fleet.pass_time(10.0)
        before = fleet.store.calls
        fleet.pass_time(40.0)
        renewals = 9 * 40.0 / 2.5
        watches = 9 * 40.0 / (BOUND_S - LOST_WATCH_MARGIN_S)
        assert fleet.store.calls - before <= renewals + watches + 9


class TestLostWatches:
    """Watches whose connections fell silent, or whose answers were lost.

    Guards against CONFIG where all readers of a data centre hang in the same way and
    only gateways elsewhere have the change.
    """

    def test_whole_data_centre_learns_changes_from_another_one(self) -> None:
        fleet = FleetSimulation(SIZES)
        fleet.pass_time(10.0)
        fleet.lose_watches("b-0", "b-1", "b-2", "b-3")
        fleet.change()
        fleet.pass_time(BOUND_S)
        assert fleet.behind() == []

    def test_gateway_without_contact_is_believed_too(self) -> None:
        fleet = FleetSimulation({"a": 1, "b": 1})
        fleet.pass_time(10.0)
        fleet.lose_watches("b-0")
        fleet.change()
        fleet.pass_time(0.1)
        fleet.gateways["a-0"].follower.relay.set_current(False)
        fleet.pass_time(BOUND_S)
        assert fleet.behind() == []

    def test_late_answer_of_a_watch_restores_no_deleted_key(self) -> None:
        state = FleetSimulation({"a": 1}).gateways["a-0"].follower.state
        state.apply_changes(Changes((replica("i-1", 3),), 3), True)
        state.apply_update(
            StateUpdate(Changes((Item("servers/i-1", None, 5),), 5), False, True)
        )
        state.apply_changes(Changes((replica("i-1", 4),), 4), False)
        assert "servers/i-1" not in state.cache.items
        assert state.cache.revision == 5


class TestRecovery:
    """The store answers again: watches that were pending are renewed.

    Guards against CONFIG where a gateway without a lease noticed no recovery.
    """

    def test_gateway_that_has_no_lease_yet_notices_the_recovery(self) -> None:
        fleet = FleetSimulation({"a": 1})
        gateway = fleet.gateways["a-0"]
        fleet.store.silent = True
        gateway.fleet.lease = 0
        fleet.pass_time(3.0)
        fleet.store.silent = False
        fleet.pass_time(3.0)
        assert gateway.store.dropped == 1

    def test_gateway_whose_lease_lapsed_follows_at_once(self) -> None:
        fleet = FleetSimulation({"a": 1})
        fleet.pass_time(10.0)
        fleet.store.silent = True
        fleet.pass_time(5.0)
        fleet.store.leases.clear()
        fleet.lose_watches("a-0")
        fleet.store.silent = False
        fleet.pass_time(STABLE_S)
        fleet.change()
        fleet.pass_time(1.0)
        assert fleet.behind() == []
