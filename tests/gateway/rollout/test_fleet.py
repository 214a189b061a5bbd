"""Rollouts by several gateways: shares, roll back, completion, and failures."""

from __future__ import annotations

import pytest

from sardinehook.gateway.rollout.orders import Phase
from tests.gateway.rollout.fleet import (
    ORDER_KEY,
    STATE_KEY,
    STATUS_KEY,
    Fleet,
)
from tests.gateway.rollout.simulation import Answer

SLACK = 50.0
FINAL = ("completed", "rolled_back")


def good(new: bool, path: str, at: float) -> Answer:
    return Answer()


def failing(new: bool, path: str, at: float) -> Answer:
    return Answer(0.4 if new else 0.005)


def failing_later(new: bool, path: str, at: float) -> Answer:
    return Answer(0.5 if new and at > 15.0 else 0.005)


def failing_on_one_route(new: bool, path: str, at: float) -> Answer:
    return Answer(0.6 if new and path.startswith("/write") else 0.005)


def slow(new: bool, path: str, at: float) -> Answer:
    return Answer(0.005, 4.0 if new else 1.0)


def started(fleet: Fleet, duration_s: float = 60.0) -> Fleet:
    """Order a rollout in a fleet whose new replicas have just registered."""
    fleet.run(1.0)
    fleet.sent.clear()
    fleet.order(duration_s=duration_s)
    return fleet


def decide(fleet: Fleet, seconds: float = 70.0) -> str:
    """Run until the status is final, and return it."""
    fleet.run(seconds, lambda: fleet.status() in FINAL)
    return fleet.status()


class TestGoodVersion:
    """Guards against a good version that is not completed, or too late."""

    @pytest.mark.parametrize("rate_per_s", [2.0, 10.0, 60.0])
    def test_good_version_is_completed_with_nothing_at_the_old_one(
        self, rate_per_s: float
    ) -> None:
        fleet = started(Fleet(rate_per_s=rate_per_s))
        assert decide(fleet) == "completed"
        assert fleet.now - fleet.ordered_at < 0.9 * 60.0
        assert fleet.in_flight["1"] == 0
        until = len(fleet.sent_to("1"))
        fleet.run(5.0)
        assert len(fleet.sent_to("1")) == until
        assert not fleet.unserved

    def test_share_keeps_its_limit_until_the_version_is_good(self) -> None:
        fleet = started(Fleet(gateways=30, rate_per_s=40.0))
        fleet.run(23.0)
        assert fleet.state()["phase"] == Phase.CANARY
        assert fleet.largest_excess() <= SLACK
        assert len(fleet.sent_to("2")) > 60


class TestBadVersion:
    """Guards against requests to a bad version 5 s after its 50th bad answer."""

    @pytest.mark.parametrize("rate_per_s", [4.0, 20.0, 100.0])
    @pytest.mark.parametrize(
        "behaviour", [failing, failing_later, failing_on_one_route, slow]
    )
    def test_bad_version_is_rolled_back(
        self, behaviour: object, rate_per_s: float
    ) -> None:
        fleet = started(Fleet(rate_per_s=rate_per_s))
        fleet.behaviour = behaviour  # type: ignore[assignment]
        assert decide(fleet) == "rolled_back"
        assert fleet.largest_excess() <= SLACK
        fleet.run(6.0)
        assert not fleet.late_requests()
        last = max(one.at for one in fleet.sent_to("2"))
        assert fleet.now - last > 4.0

    def test_gateways_stop_while_the_store_is_away(self) -> None:
        """Guards against a verdict that nobody can write or hear."""
        fleet = started(Fleet())
        fleet.run(4.0)
        fleet.store.silent = True
        fleet.behaviour = failing
        fleet.run(12.0)
        assert not [one for one in fleet.sent_to("2") if one.at > fleet.now - 8.0]
        fleet.store.silent = False
        assert decide(fleet) == "rolled_back"
        assert not fleet.late_requests()

    def test_gateways_cut_off_from_the_store_stop_too(self) -> None:
        fleet = started(Fleet())
        fleet.run(4.0)
        for name in ("g-1", "g-3", "g-5"):
            fleet.gateways[name].cut_off = True
        fleet.behaviour = failing
        assert decide(fleet) == "rolled_back"
        fleet.run(8.0)
        assert fleet.largest_excess() <= SLACK
        assert not [one for one in fleet.sent_to("2") if one.at > fleet.now - 4.0]


class TestLeader:
    """Guards against rollouts that stand still when gateways fail."""

    def test_another_holder_leads_after_the_leader_is_killed(self) -> None:
        fleet = started(Fleet())
        fleet.run(8.0)
        for name in ("g-0", "g-1"):
            fleet.gateways[name].kill()
        assert decide(fleet) == "completed"

    def test_own_counts_of_a_gateway_suffice_without_a_holder(self) -> None:
        fleet = started(Fleet(gateways=3))
        fleet.run(4.0)
        for gateway in fleet.gateways.values():
            gateway.ledger.holder = False
        fleet.behaviour = failing
        assert decide(fleet) == "rolled_back"
        assert not fleet.late_requests()

    def test_two_leaders_do_not_overwrite_each_other(self) -> None:
        """Holders that do not hear each other all take themselves for the leader."""
        fleet = started(Fleet())
        for gateway in fleet.gateways.values():
            gateway.rollouts.decisions.election.is_leader = (  # type: ignore[method-assign]
                lambda *_: True
            )
        assert decide(fleet) == "completed"
        serials = [
            item.revision for item in fleet.store.events if item.key == STATUS_KEY
        ]
        assert len(serials) == 2

    def test_lost_answer_to_a_write_is_not_taken_for_a_failure(self) -> None:
        fleet = started(Fleet())
        fleet.run(10.0)
        deliver = fleet.store.deliver
        fleet.store.deliver = lambda call, result: None  # type: ignore[method-assign]
        fleet.run(1.5)
        fleet.store.deliver = deliver  # type: ignore[method-assign]
        assert decide(fleet) == "completed"

    def test_lost_status_is_written_again(self) -> None:
        fleet = started(Fleet())
        assert decide(fleet) == "completed"
        fleet.store.write(STATUS_KEY, None)
        fleet.run(4.0)
        assert fleet.status() == "completed"

    def test_store_that_came_back_older_gets_the_state_again(self) -> None:
        fleet = started(Fleet())
        fleet.run(3.0)
        older = fleet.store.items[STATE_KEY].value
        assert decide(fleet) == "completed"
        fleet.store.write(STATE_KEY, older)
        fleet.store.write(STATUS_KEY, None)
        fleet.run(4.0)
        assert fleet.status() == "completed"
        assert fleet.state()["phase"] == Phase.COMPLETED


class TestOrders:
    """Guards against orders that are mixed up with each other, or forgotten."""

    def test_without_an_order_nothing_runs(self) -> None:
        fleet = Fleet()
        calls = fleet.store.calls
        fleet.run(3.0)
        assert fleet.store.calls == calls
        assert not any(one.rollouts.running for one in fleet.gateways.values())
        counts = [len(fleet.sent_to(version)) for version in ("1", "2")]
        assert min(counts) > 0.25 * sum(counts)

    def test_withdrawn_order_is_rolled_back(self) -> None:
        fleet = started(Fleet())
        fleet.run(5.0)
        fleet.store.write(ORDER_KEY, None)
        assert decide(fleet, 15.0) == "rolled_back"
        assert not [one for one in fleet.sent_to("2") if one.at > fleet.now - 8.0]

    def test_order_that_an_older_store_has_lost_goes_on(self) -> None:
        fleet = started(Fleet())
        fleet.run(5.0)
        value = fleet.store.items[ORDER_KEY].value
        fleet.store.write(ORDER_KEY, None)
        fleet.run(3.0)
        fleet.store.write(ORDER_KEY, value)
        assert decide(fleet) == "completed"
        assert fleet.state()["round_number"] == 1

    def test_changed_order_begins_anew(self) -> None:
        fleet = started(Fleet())
        fleet.behaviour = failing
        assert decide(fleet) == "rolled_back"
        fleet.behaviour = good
        fleet.remove_replicas("2")
        for number in range(6, 9):
            fleet.add_replica(number, "3")
        for gateway in fleet.gateways.values():
            for entry in fleet.replicas.values():
                gateway.directory.put(entry, fleet.now)
        fleet.order("3")
        fleet.run(2.0)
        assert fleet.status() == "running"
        assert decide(fleet) == "completed"
        assert fleet.state()["target_version"] == "3"

    def test_second_order_for_another_service_is_independent(self) -> None:
        fleet = started(Fleet())
        value = b'{"Service":"till","TargetVersion":"9","DurationS":20}'
        fleet.store.write("op/rollout/till", value)
        assert decide(fleet) == "completed"
        item = fleet.store.items["status/rollout/till"]
        assert b"rolled_back" in (item.value or b"")


class TestMissingReplicas:
    def test_without_new_replicas_the_old_ones_serve(self) -> None:
        fleet = Fleet()
        fleet.remove_replicas("2")
        fleet.order()
        assert decide(fleet) == "rolled_back"
        assert not fleet.unserved

    def test_without_old_replicas_the_new_ones_serve(self) -> None:
        fleet = started(Fleet())
        fleet.run(5.0)
        fleet.remove_replicas("1")
        fleet.run(3.0)
        assert not fleet.unserved

    def test_bad_version_does_not_serve_for_old_replicas_that_died(self) -> None:
        fleet = started(Fleet())
        fleet.behaviour = failing
        assert decide(fleet) == "rolled_back"
        fleet.run(1.0)
        fleet.remove_replicas("1")
        count = len(fleet.sent_to("2"))
        fleet.run(2.0)
        assert len(fleet.sent_to("2")) == count


class TestPowerLoss:
    """Guards against a fleet that forgets the rollout, or its age, with its power."""

    def test_rollout_goes_on_after_all_gateways_restarted(self) -> None:
        fleet = started(Fleet())
        fleet.run(10.0)
        for name in list(fleet.gateways):
            fleet.restart(name)
        assert decide(fleet) == "completed"
        assert fleet.now - fleet.ordered_at < 60.0

    def test_evidence_outlives_a_restart_of_all_gateways(self) -> None:
        """Guards against a good version that goes back, as its answers were forgotten.

        At 6 requests a second there is no time to gather them a second time.
        """
        fleet = started(Fleet(rate_per_s=6.0))
        fleet.run(22.0)
        for name in list(fleet.gateways):
            fleet.restart(name)
        assert decide(fleet) == "completed"

    def test_repeated_restarts_do_not_exceed_the_share(self) -> None:
        fleet = started(Fleet(gateways=30, rate_per_s=40.0))
        for _ in range(6):
            fleet.run(3.5)
            for name in list(fleet.gateways):
                fleet.restart(name)
        assert fleet.largest_excess() <= SLACK

    def test_order_read_after_its_deadline_is_rolled_back(self) -> None:
        fleet = started(Fleet())
        fleet.run(5.0)
        for gateway in fleet.gateways.values():
            gateway.kill()
        fleet.reactor.advance(70.0)
        for name in list(fleet.gateways):
            fleet.start_gateway(name)
        assert decide(fleet, 5.0) == "rolled_back"
