"""What gateways know of the age of their keys, where revocation is strict.

``FleetSimulation`` has the store, its silences, readers and those that poll them.
"""

from __future__ import annotations

from random import Random

import msgspec
import pytest
from returns.result import Success
from structlog.testing import capture_logs

from bench.store_simulation import FleetSimulation
from sardinehook.gateway.organisations.confirmation import Confirmation
from sardinehook.gateway.organisations.confirmation_log import ConfirmationLog
from sardinehook.gateway.relay import ChangeRelay, read_confirmation
from sardinehook.gateway.settings import Bounds
from sardinehook.gateway.store import Changes, Item
from sardinehook.gateway.watch_cache import StateUpdate, WatchCache
from tests.gateway.fake_transport import RecordingReactor
from tests.gateway.test_first_second import ROUTE, SERVICES, StartRig
from tests.gateway.test_follower import FollowerRig, ScriptedPeers
from tests.gateway.test_process import SETTINGS
from tests.gateway.test_readers import registration

SIZES = {"a": 7, "b": 6}
REVOCATION_S = 5.0
STEP_S = 0.05
STRICT = Bounds(revocation_strict=True, revocation_s=REVOCATION_S)


def strict_fleet(seed: int = 1, shortest_s: float = 3.0) -> FleetSimulation:
    """Return a fleet whose settings ask for strict revocation."""
    bounds = Bounds(
        drain_s=shortest_s,
        configuration_s=5.0,
        revocation_strict=True,
        revocation_s=REVOCATION_S,
    )
    return FleetSimulation(SIZES, seed, bounds)


def ages_s(fleet: FleetSimulation) -> list[float]:
    """Return the ages of the confirmations of all gateways."""
    now = fleet.reactor.seconds()
    return [
        gateway.follower.state.confirmation.age_s(now)
        for gateway in fleet.gateways.values()
    ]


class TestHealthyFleet:
    """Guards against refusals while the store answers, as after too long watches."""

    @pytest.mark.parametrize("shortest_s", [3.0, 5.0])
    @pytest.mark.parametrize("change_every_s", [0.4, 1.3, 60.0])
    def test_keys_stay_confirmed(
        self, shortest_s: float, change_every_s: float
    ) -> None:
        fleet = strict_fleet(shortest_s=shortest_s)
        fleet.pass_time(4.0)
        oldest_s, changed_at = 0.0, fleet.reactor.seconds()
        for _ in range(round(20.0 / STEP_S)):
            if fleet.reactor.seconds() >= changed_at + change_every_s:
                changed_at = fleet.reactor.seconds()
                fleet.change()
            fleet.pass_time(STEP_S)
            oldest_s = max(oldest_s, *ages_s(fleet))
        assert oldest_s <= 0.9 * REVOCATION_S

    def test_they_stay_confirmed_while_the_readers_of_one_side_lose_the_store(
        self,
    ) -> None:
        """Guards against refusals where a reader in contact is within reach."""
        fleet = strict_fleet()
        fleet.pass_time(4.0)
        for _ in range(12):
            fleet.lose_watches(*[name for name in fleet.gateways if name[0] == "a"])
            fleet.pass_time(1.0)
            assert max(ages_s(fleet)) <= REVOCATION_S


class TestSilentStore:
    def test_no_gateway_is_confirmed_after_the_bound_until_the_store_answers(
        self,
    ) -> None:
        """Guards against gateways that confirm each other in a circle."""
        fleet = strict_fleet()
        fleet.pass_time(4.0)
        fleet.store.silent = True
        fleet.pass_time(REVOCATION_S + 2 * STEP_S)
        assert min(ages_s(fleet)) > REVOCATION_S
        fleet.pass_time(10.0)
        assert min(ages_s(fleet)) > REVOCATION_S
        fleet.store.silent = False
        fleet.pass_time(4.0)
        assert max(ages_s(fleet)) <= REVOCATION_S

    @pytest.mark.parametrize("seed", range(8))
    def test_no_confirmation_is_later_than_an_unknown_change(self, seed: int) -> None:
        """Guards against an age that is too small: the key may be withdrawn since."""
        rng = Random(seed)
        fleet = strict_fleet(seed)
        written_at = {1: 0.0}
        for _ in range(120):
            action = rng.random()
            if action < 0.2:
                written_at[fleet.change()] = fleet.reactor.seconds()
            elif action < 0.3:
                fleet.store.silent = not fleet.store.silent
            elif action < 0.4:
                fleet.lose_watches(*rng.sample(sorted(fleet.gateways), 4))
            elif action < 0.45:
                fleet.restart(*rng.sample(sorted(fleet.gateways), 3))
            fleet.pass_time(rng.uniform(0.05, 0.8))
            for gateway in fleet.gateways.values():
                if gateway.version not in (-1, fleet.last_version):
                    confirmed_at = gateway.follower.state.confirmation.confirmed_at
                    assert confirmed_at <= written_at[gateway.version + 1]


class TestStatedAge:
    """Guards against ages that leave out how long a call was held or under way."""

    def test_a_held_call_counts_from_its_arrival(self) -> None:
        clock, cache, confirmation = RecordingReactor(), WatchCache(), Confirmation()
        clock.advance(100.0)
        cache.replace(Changes((), 5))
        confirmation.confirm(99.5)
        relay = ChangeRelay(clock, cache, confirmation)
        relay.set_current(True)
        stated: list[bytes] = []
        relay.answer(
            b"after=5&wait_ms=1000", lambda answer: stated.append(answer.headers[0][1])
        )
        clock.advance(0.5)
        confirmation.confirm(100.25)
        clock.advance(0.5)
        assert [read_confirmation(value) for value in stated] == [-0.25]

    def test_only_a_state_as_new_as_the_other_is_confirmed(self) -> None:
        state = FollowerRig(starts=False).follower.state
        state.apply_changes(Changes((), 5), True)
        now = state.reactor.seconds()
        newer = StateUpdate(Changes((Item("a", b"", 7),), 7), False, True, (), 0.5)
        state.confirm_through(newer, now)
        assert state.confirmation.age_s(now) == float("inf")
        state.apply_update(newer)
        state.confirm_through(newer, now)
        assert state.confirmation.age_s(now) == 0.5

    def test_an_age_from_the_future_confirms_no_later_than_now(self) -> None:
        state = FollowerRig(starts=False).follower.state
        state.apply_changes(Changes((), 5), True)
        now = state.reactor.seconds()
        state.confirm_through(StateUpdate(Changes((), 5), False, True, (), -1e9), now)
        assert state.confirmation.age_s(now) == 0.0

    def test_gateways_of_earlier_versions_state_none(self) -> None:
        state = FollowerRig(starts=False).follower.state
        state.apply_changes(Changes((), 5), True)
        state.confirm_through(StateUpdate(Changes((), 5), False, True), 100.0)
        assert state.confirmation.age_s(100.0) == float("inf")


class StalePeers(ScriptedPeers):
    """Readers without contact, which have an old state."""

    async def fetch(self, address: str, *_rest: object) -> object:  # type: ignore[override]
        """Answer with the old state."""
        self.asked.append(address)
        return Success(StateUpdate(Changes((Item("a", b"", 3),), 3), True, False))


class TestRestart:
    def test_a_restarted_gateway_takes_no_old_state_while_the_store_answers(
        self,
    ) -> None:
        """Guards against withdrawn keys that are valid again after a restart."""
        registered = tuple(registration(f"g-{n}", n + 1) for n in range(12))
        rigs = (
            FollowerRig(node=f"g-{n}", peers=StalePeers(), registered=registered)
            for n in range(12)
        )
        rig = next(r for r in rigs if not r.follower.reader_selector.is_reader)
        rig.pass_pauses()
        assert rig.peers.asked
        assert not rig.follower.state.loaded
        assert rig.store.calls == ["read_all"]


class TestProcess:
    """Guards against a process whose parts do not know of each other's confirmation."""

    def test_the_store_s_answers_decide_over_keys_and_gauges(self) -> None:
        rig = StartRig()
        rig.process.settings = SETTINGS._replace(bounds=STRICT)
        rig.process.policy.configure(STRICT)
        rig.process.follower.configure(STRICT)
        tenants = [{"Name": "desk", "ApiKeys": ["k1", "k2"]}]
        document = {
            "Version": 1,
            "Routes": [ROUTE],
            "Services": SERVICES,
            "Tenants": tenants,
        }
        rig.store.answer(5, Item("op/config", msgspec.json.encode(document), 5))
        rig.ask()
        assert [answer.status for answer in rig.answers] == [401]
        with capture_logs() as lines:
            rig.reactor.pump([0.5] * 20)
        rig.ask()
        assert [answer.status for answer in rig.answers] == [401, 503]
        states = [line["state"] for line in lines if line["event"] == "keys_state"]
        assert states == ["not confirmed"]
        # The first watch was sent long ago, and confirms nothing about now.
        for expected in (503, 401):
            rig.store.answer(5)
            rig.reactor.advance(0.01)
            rig.ask()
            assert rig.answers[-1].status == expected
        page = rig.process.metrics.render().decode()
        assert "sardinehook_keys 2.0" in page
        assert "sardinehook_organisations 1.0" in page


class TestLog:
    def test_each_change_is_logged_once(self) -> None:
        log = ConfirmationLog(Confirmation())
        strict = Bounds(revocation_strict=True)
        log.confirmation.confirm(100.0)
        with capture_logs() as lines:
            for now in (101.0, 104.0, 106.0, 107.0):
                log.observe(strict, now)
            log.confirmation.confirm(107.0)
            log.observe(strict, 107.5)
        assert [line["state"] for line in lines] == ["not confirmed", "confirmed"]
