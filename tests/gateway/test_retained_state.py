"""State in force when the store comes back from an older copy.

Guards against configurations, drains and evacuations that are undone because the copy
is from before them.
"""

from __future__ import annotations

from collections.abc import Collection

import msgspec
import pytest
from returns.result import Result, Success

from sardinehook.gateway.fleet import (
    GATEWAY_PREFIX,
    GatewayRecord,
)
from sardinehook.gateway.follower import MAX_CONFIGURATION_WAIT_S
from sardinehook.gateway.retained_state import (
    EVACUATION_RETENTION_S,
    MAX_REMOVED,
    RECORD_RETENTION_S,
    RetainedState,
)
from sardinehook.gateway.store import Changes, Item
from sardinehook.gateway.watch_cache import StateUpdate
from sardinehook.platform.discovery import PlatformKeys
from sardinehook.transport.tasks import Promise
from tests.gateway.test_follower import (
    FollowerRig,
    ScriptedPeers,
    peer_address,
    replica,
    version,
)
from tests.gateway.test_store_eras import answer, enter_era, usable

EVACUATION = Item("op/evacuate/here", b"{}", 8)
ORDER = Item("op/rollout/desk", b"{}", 8)


class RecordedOrders:
    """The keys of orders for rollouts that are in force."""

    def __init__(self) -> None:
        self.orders: set[str] = set()

    def set_initial_listing(self, initial: bool) -> None:
        """Take no notice of which listing is applied."""

    def apply_item(self, item: Item) -> None:
        """Record an order, or that it is gone."""
        if item.value is None:
            self.orders.discard(item.key)
        else:
            self.orders.add(item.key)

    def retain(self, names: Collection[str]) -> None:
        """Record that all other orders are gone."""
        self.orders &= set(names)


class TestStateInForce:
    """What an older copy lacks, or has from before, does not undo what is in force."""

    def test_a_configuration_with_a_lower_version_stays_out(self) -> None:
        rig = FollowerRig()
        answer(rig, 1, 100, version(7, 90))
        enter_era(rig, 2, 60, version(6, 50))
        assert rig.versions == [7]
        answer(rig, 2, 61, version(8, 61))
        assert rig.versions == [7, 8]

    @pytest.mark.parametrize("listed", [(), (version(6, 50),)])
    def test_others_get_the_configuration_in_force(
        self, listed: tuple[Item, ...]
    ) -> None:
        """A gateway that starts would otherwise accept keys that are withdrawn."""
        rig, fresh = FollowerRig(), FollowerRig()
        answer(rig, 1, 100, version(7, 90))
        enter_era(rig, 2, 60, *listed)
        fresh.follower.state.apply_update(rig.follower.relay.update_since(-1))
        assert fresh.versions == [7]

    def test_a_gateway_that_starts_asks_another_for_the_configuration(self) -> None:
        peers = ScriptedPeers()
        first = FollowerRig(node="g-1", peers=peers)
        answer(first, 1, 100, version(7, 90))
        enter_era(first, 2, 60, version(6, 50))
        record = msgspec.json.encode(GatewayRecord(peer_address("g-1"), "there"))
        registered = Item(GATEWAY_PREFIX + "g-1", record, 5)
        fresh = FollowerRig(node="g-2", peers=peers, registered=(registered,))
        answer(fresh, 2, 60, version(6, 50), registered)
        assert fresh.versions == [7]
        assert fresh.follower.state.cache.revision == 60

    def test_a_gateway_that_starts_does_not_wait_for_long(self) -> None:
        """All gateways may start at once, and none answers."""
        peers = ScriptedPeers()
        held: list[Promise[Result[StateUpdate, str]]] = []

        async def fetch_from_any(
            addresses: Collection[str], after: int | None
        ) -> Result[StateUpdate, str]:
            held.append(Promise())
            return await held[-1]

        peers.fetch_from_any = fetch_from_any  # type: ignore[method-assign]
        rig = FollowerRig(peers=peers)
        listing = Changes((version(6, 50),), 60, 2)
        rig.store.waiting.popleft().resolve(Success(listing))
        assert rig.versions == []
        rig.reactor.advance(MAX_CONFIGURATION_WAIT_S)
        assert rig.versions == [6]
        held[0].resolve(
            Success(StateUpdate(Changes((version(7, 90),), 100), True, True))
        )
        assert rig.versions == [6, 7]

    def test_a_replica_that_the_copy_lacks_is_believed_for_a_time(self) -> None:
        rig = FollowerRig()
        answer(rig, 1, 100, replica("a", 90))
        enter_era(rig, 2, 60)
        rig.reactor.pump([0.5] * 10)
        assert usable(rig) == ["a"]
        assert rig.directory.replicas["a"].deregistered_at is None
        rig.reactor.pump([0.5] * int(2 * RECORD_RETENTION_S))
        assert usable(rig) == []

    def test_a_replica_that_writes_again_is_not_forgotten_later(self) -> None:
        rig = FollowerRig()
        answer(rig, 1, 100, replica("a", 90))
        enter_era(rig, 2, 60)
        answer(rig, 2, 91, replica("a", 91))
        rig.reactor.pump([0.5] * int(2 * RECORD_RETENTION_S + 8))
        assert usable(rig) == ["a"]

    def test_a_drain_is_not_undone_by_an_earlier_entry(self) -> None:
        rig = FollowerRig()
        answer(rig, 1, 100, replica("a", 90, "draining"))
        enter_era(rig, 2, 60, replica("a", 50))
        rig.reactor.pump([0.5] * int(2 * RECORD_RETENTION_S + 8))
        assert usable(rig) == []
        answer(rig, 2, 101, replica("a", 101))
        assert usable(rig) == ["a"]

    def test_a_drain_stays_after_another_listing(self) -> None:
        rig = FollowerRig()
        answer(rig, 1, 100, replica("a", 90, "draining"))
        enter_era(rig, 2, 60, replica("a", 50))
        rig.follower.state.listing_needed = True
        answer(rig, 2, 60)
        answer(rig, 2, 61, replica("a", 50))
        assert usable(rig) == []

    def test_a_replica_that_had_drained_and_left_does_not_return(self) -> None:
        rig = FollowerRig()
        answer(rig, 1, 100, replica("a", 90, "draining"))
        answer(rig, 1, 101, Item("servers/a", None, 101))
        enter_era(rig, 2, 60, replica("a", 50))
        assert usable(rig) == []
        rig.reactor.pump([0.5] * int(2 * RECORD_RETENTION_S))
        assert usable(rig) == ["a"]

    def test_a_drain_stays_when_the_store_comes_back_twice(self) -> None:
        rig = FollowerRig()
        answer(rig, 1, 100, replica("a", 90, "draining"))
        enter_era(rig, 2, 60, replica("a", 50))
        enter_era(rig, 3, 60, replica("a", 50))
        assert usable(rig) == []
        enter_era(rig, 4, 40)
        enter_era(rig, 5, 60, replica("a", 50))
        assert usable(rig) == []

    def test_what_had_left_stays_away_when_the_store_comes_back_twice(self) -> None:
        rig = FollowerRig()
        answer(rig, 1, 100, replica("a", 90, "draining"))
        answer(rig, 1, 101, Item("servers/a", None, 101))
        enter_era(rig, 2, 60, replica("a", 50))
        enter_era(rig, 3, 60, replica("a", 50))
        assert usable(rig) == []

    def test_a_configuration_that_the_store_lost_is_taken_from_another_gateway(
        self,
    ) -> None:
        """One that lagged would otherwise wait until it is written again."""
        peers = ScriptedPeers()
        first = FollowerRig(node="g-1", peers=peers)
        record = msgspec.json.encode(GatewayRecord(peer_address("g-1"), "there"))
        registered = Item(GATEWAY_PREFIX + "g-1", record, 5)
        answer(first, 1, 80, version(6, 50), registered)
        lagging = FollowerRig(node="g-2", peers=peers)
        answer(lagging, 1, 80, version(6, 50), registered)
        answer(first, 1, 100, version(7, 90))
        enter_era(lagging, 2, 60, version(6, 50), registered)
        assert lagging.versions == [6, 7]
        fresh = FollowerRig(node="g-3")
        fresh.follower.state.apply_update(lagging.follower.relay.update_since(-1))
        assert fresh.versions == [7]

    def test_a_restarted_replica_counts_at_once(self) -> None:
        rig = FollowerRig()
        answer(rig, 1, 100, replica("a", 90, "draining"))
        enter_era(rig, 2, 60, replica("a", 1, born=2))
        assert usable(rig) == ["a"]

    def test_an_evacuation_stays_until_its_time_is_over(self) -> None:
        rig = FollowerRig()
        answer(rig, 1, 100, replica("a", 3), EVACUATION)
        enter_era(rig, 2, 6, replica("a", 3))
        rig.reactor.pump([0.5] * int(EVACUATION_RETENTION_S))
        assert usable(rig) == []
        rig.reactor.pump([0.5] * int(EVACUATION_RETENTION_S))
        assert usable(rig) == ["a"]

    def test_the_operators_newer_word_ends_an_evacuation(self) -> None:
        rig = FollowerRig()
        answer(rig, 1, 100, replica("a", 3), EVACUATION)
        enter_era(rig, 2, 6, replica("a", 3))
        answer(rig, 2, 7, EVACUATION._replace(revision=7))
        answer(rig, 2, 8, EVACUATION._replace(value=None, revision=8))
        assert usable(rig) == ["a"]

    def test_an_evacuation_that_had_ended_does_not_return(self) -> None:
        rig = FollowerRig()
        answer(rig, 1, 100, replica("a", 3), EVACUATION)
        answer(rig, 1, 101, Item(EVACUATION.key, None, 101))
        assert usable(rig) == ["a"]
        enter_era(rig, 2, 60, replica("a", 3), EVACUATION)
        assert usable(rig) == ["a"]

    def test_an_evacuation_that_is_written_anew_counts(self) -> None:
        rig = FollowerRig()
        answer(rig, 1, 100, replica("a", 3), EVACUATION)
        answer(rig, 1, 101, Item(EVACUATION.key, None, 101))
        enter_era(rig, 2, 61, replica("a", 3), EVACUATION._replace(revision=61))
        assert usable(rig) == []

    def test_an_order_for_a_rollout_stays_until_its_time_is_over(self) -> None:
        """Its loss would otherwise count as withdrawal, and roll a version back."""
        rig = FollowerRig()
        rollouts = RecordedOrders()
        rig.follower.state.rollouts = rollouts  # type: ignore[assignment]
        answer(rig, 1, 100, ORDER)
        enter_era(rig, 2, 6)
        rig.reactor.pump([0.5] * int(EVACUATION_RETENTION_S))
        assert rollouts.orders == {ORDER.key}
        rig.reactor.pump([0.5] * int(EVACUATION_RETENTION_S))
        assert rollouts.orders == set()

    def test_gateways_that_the_copy_lacks_stay_registered(self) -> None:
        """The readers would otherwise change while everybody needs them."""
        rig = FollowerRig()
        record = msgspec.json.encode(GatewayRecord("10.0.0.2:1", "there"))
        answer(rig, 1, 100, Item(GATEWAY_PREFIX + "g-2", record, 90))
        enter_era(rig, 2, 60)
        assert "g-2" in rig.fleet.registered_records()
        rig.reactor.pump([0.5] * int(2 * RECORD_RETENTION_S))
        assert "g-2" not in rig.fleet.registered_records()

    def test_a_second_copy_in_the_same_era_undoes_nothing(self) -> None:
        """A copy from before the last change of the era leads to the same number."""
        rig = FollowerRig()
        answer(rig, 1, 100, replica("a", 90, "draining"), version(7, 80))
        rig.follower.state.listing_needed = True
        answer(rig, 1, 100)
        answer(rig, 1, 60, replica("a", 50), version(6, 40))
        assert (usable(rig), rig.versions) == ([], [7])

    def test_the_memory_of_removed_keys_is_bounded(self) -> None:
        retained = RetainedState(PlatformKeys())
        for number in range(2 * MAX_REMOVED):
            retained.record_removal(Item(f"op/evacuate/{number}", b"{}", number))
        assert len(retained.removed) == MAX_REMOVED
