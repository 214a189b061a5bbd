"""Memory of the state that gateways keep, and of records while they are merged."""

from __future__ import annotations

import tracemalloc

import msgspec
from returns.result import Failure, Success

from sardinehook.gateway.records import split_records
from sardinehook.gateway.store import Changes, Item
from sardinehook.gateway.watch_cache import MAX_LOGGED_BYTES, WatchCache
from sardinehook.platform.kv_store import MAX_LISTING_BYTES, PlatformStore
from sardinehook.store.port import StoreUnavailable
from sardinehook.transport.connection import Reply
from sardinehook.transport.tasks import start_task
from tests.gateway.fake_transport import RecordingReactor
from tests.transport.test_connection import traced_growth

VALUE_BYTES = 1024 * 1024  # the platform's limit


class TestLoggedChanges:
    """Guards against gateways that keep thousands of large configurations."""

    def test_large_values_hold_no_more_than_the_limit(self) -> None:
        cache = WatchCache()
        cache.replace(Changes((), 1))

        def change() -> None:
            for revision in range(2, 80):
                value = bytes([revision]) * VALUE_BYTES
                cache.apply(Changes((Item("op/config", value, revision),), revision))

        assert traced_growth(change) <= MAX_LOGGED_BYTES + 2 * VALUE_BYTES
        assert cache.changes_after(78) is not None
        assert cache.changes_after(2) is None

    def test_a_listing_clears_the_count(self) -> None:
        cache = WatchCache()
        cache.replace(Changes((), 1))
        cache.apply(Changes((Item("a", b"x", 2),), 2))
        cache.replace(Changes((), 3))
        assert cache.logged_bytes == 0


class TestRecords:
    def test_the_greatest_records_of_a_large_body(self) -> None:
        body = b"".join(n.to_bytes(16, "big") for n in range(100_000))
        tracemalloc.start()
        records = split_records(body, 5)
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        assert records == [n.to_bytes(16, "big") for n in range(99_999, 99_994, -1)]
        assert peak <= 64 * 1024


class ListingStore(PlatformStore):
    """A store that always reports one more page of large items."""

    pages = 0

    async def call(self, *_arguments: object) -> object:  # type: ignore[override]
        """Return the next page."""
        self.pages += 1
        item = {"Key": f"k{self.pages}", "Value": "A" * VALUE_BYTES, "Revision": 1}
        page = {"items": [item] * 4, "AsOf": 1, "HasMore": True}
        return Success(Reply(200, (), msgspec.json.encode(page)))


class TestListings:
    def test_a_listing_without_end_is_given_up_at_the_limit(self) -> None:
        store = ListingStore(RecordingReactor(), "127.0.0.1:1", lambda _o, _s: None)
        results: list[object] = []

        async def read() -> None:
            results.append(await store.read_all(""))

        start_task(read(), results.append)
        (result,) = results
        assert isinstance(result, Failure)
        assert isinstance(result.failure(), StoreUnavailable)
        assert store.pages <= MAX_LISTING_BYTES // (4 * VALUE_BYTES) + 1
