"""Tests of the key-value and VM list adapters against the fake platform."""

from __future__ import annotations

import random
from typing import cast
from unittest import mock

import pytest
from returns.result import Failure, Result, Success
from twisted.internet.defer import CancelledError, Deferred

from bench.platform import Reply
from bench.platform_faults import Outage, VmRecord
from sardinehook.environment.revision import Revision
from sardinehook.environment.store_watch import StoreWatch
from sardinehook.store.http_store import HttpStore
from sardinehook.store.port import (
    CREATE,
    Conflict,
    Entry,
    StoreFailure,
    StoreUnavailable,
)
from sardinehook.store.vm_list import HttpVmList, Vm, VmState
from tests.store.platform_case import PlatformCase, expect_success


def may_have_taken_effect(result: Result[object, StoreFailure]) -> bool:
    """Return ``may_have_taken_effect`` of a result that must be a failure."""
    failure = result.failure()
    assert isinstance(failure, StoreUnavailable)
    return failure.may_have_taken_effect


class TestCompareAndSwap(PlatformCase):
    async def test_create_read_replace_delete(self) -> None:
        created = expect_success(await self.store.put("a/b c", b"\x00one", CREATE))
        assert expect_success(await self.store.get("a/b c")) == created
        replaced = expect_success(
            await self.store.put("a/b c", b"two", created.revision)
        )
        assert replaced.revision > created.revision
        expect_success(await self.store.delete("a/b c", replaced.revision))
        assert expect_success(await self.store.get("a/b c")) is None

    async def test_conflict_carries_current_entry(self) -> None:
        created = expect_success(await self.store.put("a", b"one", CREATE))
        result = await self.store.put("a", b"two", CREATE)
        assert result == Failure(Conflict(created))
        assert await self.store.delete("a", 99) == Failure(Conflict(created))
        assert await self.store.put("b", b"", 7) == Failure(Conflict(None))

    async def test_scan_is_sorted(self) -> None:
        for key in ("p/2", "p/1", "q/1"):
            expect_success(await self.store.put(key, b"", CREATE))
        found = expect_success(await self.store.scan("p/"))
        assert [entry.key for entry in found] == ["p/1", "p/2"]


class TestWatch(PlatformCase):
    async def test_watch_returns_changed_entry(self) -> None:
        created = expect_success(await self.store.put("a", b"one", CREATE))
        watch = Deferred.fromCoroutine(self.store.watch("a", created.revision, 5_000))
        await self.sleep(0.02)
        current = expect_success(await self.store.put("a", b"two", created.revision))
        assert await watch == Success(current)

    async def test_watch_returns_none_if_nothing_changes(self) -> None:
        assert await self.store.watch("a", 0, 30) == Success(None)

    async def test_cancelled_watch_raises_cancelled_error(self) -> None:
        watch = Deferred.fromCoroutine(self.store.watch("a", 0, 5_000))
        await self.sleep(0.03)
        watch.cancel()
        with pytest.raises(CancelledError):
            await watch

    async def test_stopped_watcher_makes_no_more_calls(self) -> None:
        def offer(_revision: Revision) -> None:
            raise AssertionError

        watcher = StoreWatch(self.reactor, self.store, "trial", offer, random.Random(1))
        watcher.start()
        await self.sleep(0.03)
        watcher.stop()
        await self.sleep(1.0)
        assert self.platform.counts.calls["GET watch"] == 1
        assert watcher.counts.failures == 0


class TestLease(PlatformCase):
    async def test_expired_lease_deletes_its_keys(self) -> None:
        lease = expect_success(await self.store.grant_lease(60))
        expect_success(await self.store.put("a", b"", CREATE, lease))
        expect_success(await self.store.renew_lease(lease))
        await self.sleep(0.15)
        assert expect_success(await self.store.get("a")) is None
        assert await self.store.renew_lease(lease) == Failure(Conflict(None))
        put = await self.store.put("a", b"", CREATE, lease)
        assert put == Failure(Conflict(None))

    async def test_revoked_lease_deletes_its_keys(self) -> None:
        lease = expect_success(await self.store.grant_lease(60_000))
        expect_success(await self.store.put("a", b"", CREATE, lease))
        expect_success(await self.store.revoke_lease(lease))
        assert expect_success(await self.store.get("a")) is None


class TestFaults(PlatformCase):
    async def test_write_with_lost_reply_is_not_retried(self) -> None:
        self.platform.control({"lose_replies": 1})
        result = await self.store.put("a", b"one", CREATE)
        assert may_have_taken_effect(result)
        assert expect_success(await self.store.get("a")) == Entry("a", b"one", 1, "")
        assert self.platform.counts.calls["PUT kv"] == 1

    async def test_delete_with_lost_reply_is_not_retried(self) -> None:
        created = expect_success(await self.store.put("a", b"one", CREATE))
        self.platform.control({"lose_replies": 1})
        result = await self.store.delete("a", created.revision)
        assert may_have_taken_effect(result)
        assert self.platform.counts.calls["DELETE kv"] == 1

    async def test_hanging_write_may_have_taken_effect(self) -> None:
        self.platform.control({"outage": Outage.HANG})
        result = await self.store.put("a", b"one", CREATE)
        assert may_have_taken_effect(result)

    async def test_refused_connection_changed_nothing(self) -> None:
        unreachable = HttpStore(self.reactor, await self.unused_address(), 300)
        assert not may_have_taken_effect(await unreachable.put("a", b"", CREATE))

    async def test_write_above_rate_limit_changes_nothing(self) -> None:
        self.platform.control({"writes_per_s": 1.0})
        expect_success(await self.store.put("a", b"", CREATE))
        result = await self.store.put("b", b"", CREATE)
        assert result == Failure(StoreUnavailable("rate exceeded", False))
        assert expect_success(await self.store.get("b")) is None

    async def test_writes_are_current_while_reads_are_stale(self) -> None:
        old = expect_success(await self.store.put("a", b"old", CREATE))
        self.platform.control({"stale": True})
        new = expect_success(await self.store.put("a", b"new", old.revision))
        assert expect_success(await self.store.get("a")) == old
        self.platform.control({"stale": False})
        assert expect_success(await self.store.get("a")) == new

    async def test_malformed_reply_is_a_failure(self) -> None:
        with mock.patch.object(self.platform, "get", return_value=Reply(200, [1])):
            result = await self.store.get("a")
        assert not may_have_taken_effect(result)


class TestVmList(PlatformCase):
    async def test_list_lags_behind_changes(self) -> None:
        lister = HttpVmList(self.reactor, self.address, 300)
        vm = Vm("entry-1", "szolnok-b", "127.0.0.1:9", 3, VmState.LEAVING)
        record = cast(VmRecord, vm._asdict())
        self.platform.control({"vm_lag_ms": 100, "upsert_vms": [record]})
        assert expect_success(await lister.fetch()).vms == ()
        await self.sleep(0.15)
        assert expect_success(await lister.fetch()).vms == (vm,)
        await lister.close()
