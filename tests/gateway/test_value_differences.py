"""Large values that gateways send each other as differences."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.pipeline import is_successful
from returns.result import Failure, Result

from sardinehook.gateway.answer import CallerAnswer
from sardinehook.gateway.http_server import encode_answer
from sardinehook.gateway.peers import OTHER_BASE, PeerClient, read_update
from sardinehook.gateway.relay import ChangeRelay
from sardinehook.gateway.store import Changes, Item
from sardinehook.gateway.value_difference import (
    LARGE_VALUE_BYTES,
    apply_difference,
    compare_items,
    compare_values,
    join_parts,
)
from sardinehook.gateway.watch_cache import (
    MAX_BASE_BYTES,
    StateUpdate,
    WatchCache,
    decode_update,
    encode_update,
)
from sardinehook.transport.connection import Reply
from sardinehook.transport.tasks import start_task
from tests.gateway.fake_transport import RecordingReactor

KEY = "op/config"
FIRST = Random(1).randbytes(2 * LARGE_VALUE_BYTES)


def edited(value: bytes, *places: int, new: bytes = b"a new key") -> bytes:
    """Return a value with some bytes replaced at several places."""
    for place in places:
        value = value[:place] + new + value[place + 5 :]
    return value


def cache_of(*values: bytes, at: int = 3) -> WatchCache:
    """Return a cache that has seen values of one key at subsequent revisions."""
    cache = WatchCache()
    cache.replace(Changes((Item(KEY, values[0], at),), at))
    for revision, value in enumerate(values[1:], at + 1):
        cache.apply(Changes((Item(KEY, value, revision),), revision))
    return cache


def answer_of(cache: WatchCache, after: int, differences: bool = True) -> bytes:
    """Return the answer of a gateway to a call for changes."""
    answers: list[CallerAnswer] = []
    query = b"after=%d&differences=%d" % (after, differences)
    ChangeRelay(RecordingReactor(), cache).answer(query, answers.append)
    return answers[0].body


class TestComparison:
    """Guards against values that arrive other than they were sent."""

    @given(st.lists(st.tuples(st.integers(0, 40), st.binary(max_size=400))), st.data())
    def test_parts_give_the_value(
        self, edits: list[tuple[int, bytes]], data: st.DataObject
    ) -> None:
        base = data.draw(st.sampled_from([FIRST[:9000], b"abcdefgh" * 900, b""]))
        value = base
        for place, new in edits:
            value = value[: place * 200] + new + value[place * 220 :]
        parts = compare_values(base, value)
        assert parts is None or join_parts(base, parts) == value

    def test_two_distant_changes_are_small(self) -> None:
        """Guards against sending all from the version number to the changed key."""
        value = edited(FIRST, 11, 50_000)
        parts = compare_values(FIRST, value)
        assert parts is not None
        assert sum(len(part) for part in parts if isinstance(part, bytes)) < 40

    def test_another_value_is_given_up(self) -> None:
        """Guards against seconds of comparison on a small machine."""
        assert compare_values(FIRST, Random(2).randbytes(4 * len(FIRST))) is None

    @pytest.mark.parametrize(
        "base",
        [
            None,
            Item(KEY, None, 3),
            Item(KEY, FIRST, 4),
            Item(KEY, edited(FIRST, 1), 3),
        ],
    )
    def test_another_base_is_noticed(self, base: Item | None) -> None:
        difference = compare_items(Item(KEY, FIRST, 3), Item(KEY, edited(FIRST, 99), 5))
        assert difference is not None
        with pytest.raises(ValueError, match=KEY):
            apply_difference(base, difference)

    @pytest.mark.parametrize("part", [(-1, 5), (0, 2**40), (0, 10), b"x"])
    def test_malformed_parts_are_noticed(self, part: bytes | tuple[int, int]) -> None:
        base = Item(KEY, FIRST, 3)
        difference = compare_items(base, Item(KEY, edited(FIRST, 99), 5))
        assert difference is not None
        broken = difference._replace(parts=(*difference.parts, part))
        with pytest.raises(ValueError):  # noqa: PT011
            apply_difference(base, broken)


class TestRoundTrip:
    """Guards against changes that are lost, or sent whole, between two gateways."""

    def test_a_change_is_sent_as_a_difference(self) -> None:
        sender = cache_of(FIRST, edited(FIRST, 11, 50_000))
        receiver = cache_of(FIRST)
        body = answer_of(sender, after=3)
        assert len(body) < 500
        update = receiver.restore(decode_update(body).unwrap()).unwrap()
        receiver.apply(update.changes)
        assert receiver.items == sender.items

    def test_each_version_in_the_log_can_be_the_base(self) -> None:
        values = [edited(FIRST, 1000, new=b"%d" % n) for n in range(6)]
        sender = cache_of(*values)
        sender.apply(Changes((Item("a", b"1", 20),), 20))
        for known in range(5):
            receiver = cache_of(*values[: known + 1])
            body = answer_of(sender, after=3 + known)
            assert len(body) < 500
            update = receiver.restore(decode_update(body).unwrap()).unwrap()
            receiver.apply(update.changes)
            assert receiver.items == sender.items
            assert [item.revision for item in update.changes.items] == [8, 20]

    @pytest.mark.parametrize("after", [-1, 2])
    def test_without_the_base_a_listing_is_sent(self, after: int) -> None:
        sender = cache_of(FIRST, edited(FIRST, 11))
        update = decode_update(answer_of(sender, after)).unwrap()
        assert update.whole
        assert update.changes == sender.listing()

    def test_gateways_that_do_not_ask_for_differences_get_values(self) -> None:
        """Guards against deletions at gateways of an earlier version."""
        sender = cache_of(FIRST, edited(FIRST, 11))
        update = decode_update(answer_of(sender, 3, differences=False)).unwrap()
        assert update.changes.items == tuple(sender.items.values())

    def test_small_values_are_sent_as_before(self) -> None:
        sender = cache_of(b"small", b"other")
        assert answer_of(sender, 3) == answer_of(sender, 3, differences=False)

    def test_a_mutilated_update_is_refused(self) -> None:
        sender = cache_of(FIRST, edited(FIRST, 11))
        update = decode_update(answer_of(sender, 3)).unwrap()
        (difference,) = update.differences
        broken = update._replace(differences=(difference._replace(checksum=1),))
        decoded = decode_update(encode_update(broken)).unwrap()
        assert not is_successful(cache_of(FIRST).restore(decoded))

    def test_bases_from_before_the_log_are_bounded(self) -> None:
        cache = WatchCache()
        large = bytes(MAX_BASE_BYTES // 4)
        items = tuple(Item(f"k{n}", large, 1) for n in range(9))
        cache.replace(Changes(items, 1))
        for revision, item in enumerate(items, 2):
            cache.apply(Changes((Item(item.key, b"small", revision),), revision))
        assert len(cache.bases) == 4

    def test_a_base_that_was_not_kept_is_not_replaced_by_a_later_one(self) -> None:
        cache = cache_of(b"small", FIRST, edited(FIRST, 1))
        assert cache.version_at(KEY, 3) is None
        found = cache.version_at(KEY, 4)
        assert found is not None and found.value == FIRST


class RelayedClient(PeerClient):
    """A client whose calls are answered by the relay of a cache."""

    def __init__(self, sender: WatchCache, receiver: WatchCache) -> None:
        self.counted: list[str] = []
        self.queries: list[bytes] = []
        super().__init__(
            RecordingReactor(), Random(1), self.counted.append, receiver.restore
        )
        self.relay = ChangeRelay(RecordingReactor(), sender)

    async def call(
        self, address: str, query: bytes, wait_s: float
    ) -> Result[StateUpdate, str]:
        """Answer a call."""
        self.queries.append(query)
        answers: list[CallerAnswer] = []
        self.relay.answer(query.partition(b"?")[2], answers.append)
        headers = tuple((name.lower(), value) for name, value in answers[0].headers)
        return read_update(Reply(200, headers, answers[0].body))

    def get(self, after: int) -> StateUpdate:
        """Return the changes after a revision."""
        results: list[Result[StateUpdate, str]] = []

        async def fetch() -> None:
            results.append(await self.fetch("g-2", after, 0.0))

        start_task(fetch(), lambda error: results.append(Failure(str(error))))
        return results[0].unwrap()


class TestFallback:
    """Guards against gateways that never get a change, as their value is another."""

    def test_values_are_fetched_if_the_base_differs(self) -> None:
        sender = cache_of(FIRST, edited(FIRST, 11))
        receiver = cache_of(edited(FIRST, 70))
        client = RelayedClient(sender, receiver)
        update = client.get(after=3)
        assert update.changes.items == tuple(sender.items.values())
        assert client.counted == [OTHER_BASE]
        assert [query.endswith(b"&differences=1") for query in client.queries] == [
            True,
            False,
        ]

    def test_one_call_is_enough_if_it_is_the_same(self) -> None:
        sender = cache_of(FIRST, edited(FIRST, 11))
        client = RelayedClient(sender, cache_of(FIRST))
        assert client.get(after=3).changes.items == tuple(sender.items.values())
        assert len(client.queries) == 1

    def test_the_time_of_the_confirmation_arrives(self) -> None:
        client = RelayedClient(cache_of(b"small"), cache_of(b"small"))
        client.relay.confirmation.confirm(-0.25)
        assert client.get(after=3).confirmed_s == 0.25
        head = encode_answer(client_answer(client.relay), False, True)
        assert b"\r\nConfirmed-Before-Ms: 250\r\n" in head


def client_answer(relay: ChangeRelay) -> CallerAnswer:
    """Return the answer of a relay to a call without a wait."""
    answers: list[CallerAnswer] = []
    relay.answer(b"after=3", answers.append)
    return answers[0]
