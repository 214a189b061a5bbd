"""Gateways that know different eras of the store, and those that state none.

Guards against changes that are lost, or state that goes back, since revisions were
given out again.
"""

from __future__ import annotations

from random import Random

import msgspec
import pytest
from returns.result import Failure, Result

from sardinehook.gateway.answer import CallerAnswer
from sardinehook.gateway.peers import PeerClient
from sardinehook.gateway.relay import changes_query, read_query
from sardinehook.gateway.store import Changes, Item
from sardinehook.gateway.watch_cache import (
    StateUpdate,
    WireItem,
    decode_update,
    encode_update,
)
from sardinehook.transport.tasks import start_task
from tests.gateway.fake_transport import RecordingReactor
from tests.gateway.test_follower import (
    FollowerRig,
    replica,
)
from tests.gateway.test_store_eras import answer, enter_era, usable


class TestGatewaysOfDifferentEras:
    """Two gateways that know different eras, with revisions that say the opposite."""

    def rigs(self) -> tuple[FollowerRig, FollowerRig]:
        """Return a gateway in era 1 and one in era 2."""
        earlier, later = FollowerRig(node="g-1"), FollowerRig(node="g-2")
        answer(earlier, 1, 100, replica("a", 90))
        answer(later, 2, 60, replica("b", 50, port=81))
        return earlier, later

    def fetch(self, caller: FollowerRig, called: FollowerRig) -> StateUpdate:
        """Return what one gateway answers the other."""
        cache = caller.follower.state.cache
        query = changes_query(cache.revision, 0.0, era=cache.era).partition(b"?")[2]
        answers: list[CallerAnswer] = []
        called.follower.relay.answer(query, answers.append)
        return decode_update(answers[0].body).unwrap()

    def test_the_earlier_one_gets_a_listing(self) -> None:
        earlier, later = self.rigs()
        update = self.fetch(earlier, later)
        assert update.whole
        told: list[int] = []
        earlier.follower.state.on_era.append(told.append)
        assert earlier.follower.state.apply_update(update)
        assert earlier.follower.state.cache.position == (2, 60)
        assert told == [2]

    def test_the_later_one_gets_nothing(self) -> None:
        earlier, later = self.rigs()
        update = self.fetch(later, earlier)
        assert (update.whole, update.changes.items) == (False, ())
        assert not later.follower.state.apply_update(update)
        assert usable(later) == ["b"]

    def test_a_listing_of_an_earlier_era_is_not_newer(self) -> None:
        earlier, later = self.rigs()
        listing = earlier.follower.relay.update_since(-1)
        assert listing.whole
        assert not later.follower.state.apply_update(listing)

    def test_a_call_of_the_later_one_waits_for_the_new_era(self) -> None:
        earlier, later = self.rigs()
        answers: list[CallerAnswer] = []
        earlier.follower.relay.answer(b"after=60&wait_ms=9000&era=2", answers.append)
        assert answers == []
        enter_era(earlier, 2, 70, replica("c", 70, port=82))
        update = decode_update(answers[0].body).unwrap()
        assert later.follower.state.apply_update(update)
        assert "c" in usable(later)

    def test_changes_within_an_era_are_no_listing(self) -> None:
        earlier, later = self.rigs()
        earlier.follower.state.apply_update(self.fetch(earlier, later))
        answer(later, 2, 61, replica("c", 61, port=82))
        update = self.fetch(earlier, later)
        assert not update.whole and len(update.changes.items) == 1
        assert earlier.follower.state.apply_update(update)

    def test_a_gateway_confirms_the_state_of_its_own_era_alone(self) -> None:
        earlier, later = self.rigs()
        update = later.follower.relay.update_since(-1)._replace(confirmed_s=0.1)
        now = earlier.reactor.seconds()
        before = earlier.follower.state.confirmation.age_s(now)
        earlier.follower.state.confirm_through(update, now)
        assert earlier.follower.state.confirmation.age_s(now) == before


class TestEarlierVersions:
    """Gateways of an earlier version of this software state no era."""

    def test_a_call_without_an_era_is_answered_by_revision(self) -> None:
        rig = FollowerRig()
        answer(rig, 2, 60, replica("a", 3))
        answers: list[CallerAnswer] = []
        assert read_query(b"after=60&wait_ms=0").era is None
        rig.follower.relay.answer(b"after=60&wait_ms=0", answers.append)
        assert not decode_update(answers[0].body).unwrap().whole

    def test_an_answer_without_an_era_is_of_era_0(self) -> None:
        items = [WireItem("a", b"1", 4)]
        body = b"m" + msgspec.msgpack.encode([5, True, True, items])
        update = decode_update(body).unwrap()
        assert update.changes == Changes((Item("a", b"1", 4),), 5, 0)

    def test_they_can_read_an_answer_with_an_era(self) -> None:
        class EarlierUpdate(msgspec.Struct, array_like=True):
            revision: int
            whole: bool
            current: bool
            items: list[WireItem]

        update = StateUpdate(Changes((), 5, 2), True, True)
        body = encode_update(update)[1:]
        assert msgspec.msgpack.decode(body, type=EarlierUpdate).revision == 5

    @pytest.mark.parametrize("era", [b"-1", b"x", b"9" * 30, b""])
    def test_a_malformed_era_is_none(self, era: bytes) -> None:
        assert read_query(b"after=5&era=" + era) == read_query(b"after=5")


class ChangingPeers(PeerClient):
    """Records the queries; the era in force changes during the first call."""

    def __init__(self, held: list[int]) -> None:
        super().__init__(
            RecordingReactor(), Random(1), lambda _: None, None, lambda: held[0]
        )
        self.held = held
        self.queries: list[bytes] = []

    async def call(
        self, address: str, query: bytes, wait_s: float
    ) -> Result[StateUpdate, str]:
        """Fail, and change the era."""
        self.queries.append(query)
        self.held[0] += 1
        return Failure("no answer")


class TestCallsToGateways:
    def test_a_revision_is_sent_with_its_own_era(self) -> None:
        """With a later era, the changes between would never be sent."""
        peers = ChangingPeers([1])

        async def fetch() -> None:
            await peers.fetch_from_any(["10.0.0.1:1", "10.0.0.2:1"], 100)

        start_task(fetch(), print)
        assert [query.partition(b"era=")[2] for query in peers.queries] == [b"1", b"1"]
