"""Changes arrive in time after the store was silent, whatever was restarted."""

from __future__ import annotations

from tests.gateway.store_simulation import FleetSimulation

SIZES = {"a": 3, "b": 4, "c": 2}
STABLE_S = 4.0  # after an outage, from when on the bounds hold
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


class TestCost:
    def test_quiet_fleet_makes_few_calls(self) -> None:
        fleet = FleetSimulation(SIZES)
        fleet.pass_time(10.0)
        before = fleet.store.calls
        fleet.pass_time(40.0)
        renewals = 9 * 40.0 / 2.5
        assert fleet.store.calls - before <= renewals + 9 * 4
