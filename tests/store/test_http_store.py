"""Tests of the key-value service's adapter against the stand-in."""

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
    """What a call that must have failed tells of its effect."""
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

    async def test_loser_is_told_what_is_held(self) -> None:
        created = expect_success(await self.store.put("a", b"one", CREATE))
        lost = await self.store.put("a", b"two", CREATE)
        assert lost == Failure(Conflict(created))
        assert await self.store.delete("a", 99) == Failure(Conflict(created))
        assert await self.store.put("b", b"", 7) == Failure(Conflict(None))

    async def test_scan_is_sorted(self) -> None:
        for key in ("p/2", "p/1", "q/1"):
            expect_success(await self.store.put(key, b"", CREATE))
        found = expect_success(await self.store.scan("p/"))
        assert [entry.key for entry in found] == ["p/1", "p/2"]


class TestWatch(PlatformCase):
    async def test_change_ends_the_wait(self) -> None:
        created = expect_success(await self.store.put("a", b"one", CREATE))
        waiting = Deferred.fromCoroutine(self.store.watch("a", created.revision, 5_000))
        await self.sleep(0.02)
        changed = expect_success(await self.store.put("a", b"two", created.revision))
        assert await waiting == Success(changed)

    async def test_wait_ends_without_a_change(self) -> None:
        assert await self.store.watch("a", 0, 30) == Success(None)

    async def test_watch_that_is_given_up_ends_as_cancelled(self) -> None:
        waiting = Deferred.fromCoroutine(self.store.watch("a", 0, 5_000))
        await self.sleep(0.03)
        waiting.cancel()
        with pytest.raises(CancelledError):
            await waiting

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
    async def test_lapsed_lease_deletes_its_keys(self) -> None:
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
    async def test_lost_reply_took_effect_and_is_not_repeated(self) -> None:
        self.platform.control({"lose_replies": 1})
        lost = await self.store.put("a", b"one", CREATE)
        assert may_have_taken_effect(lost)
        assert expect_success(await self.store.get("a")) == Entry("a", b"one", 1, "")
        assert self.platform.counts.calls["PUT kv"] == 1

    async def test_lost_reply_to_a_delete_is_not_repeated(self) -> None:
        created = expect_success(await self.store.put("a", b"one", CREATE))
        self.platform.control({"lose_replies": 1})
        lost = await self.store.delete("a", created.revision)
        assert may_have_taken_effect(lost)
        assert self.platform.counts.calls["DELETE kv"] == 1

    async def test_hanging_write_may_have_taken_effect(self) -> None:
        self.platform.control({"outage": Outage.HANG})
        hung = await self.store.put("a", b"one", CREATE)
        assert may_have_taken_effect(hung)

    async def test_refused_connection_changed_nothing(self) -> None:
        nobody = HttpStore(self.reactor, await self.unused_address(), 300)
        assert not may_have_taken_effect(await nobody.put("a", b"", CREATE))

    async def test_rate_cap_refuses_before_any_effect(self) -> None:
        self.platform.control({"writes_per_s": 1.0})
        expect_success(await self.store.put("a", b"", CREATE))
        refused = await self.store.put("b", b"", CREATE)
        assert refused == Failure(StoreUnavailable("rate exceeded", False))
        assert expect_success(await self.store.get("b")) is None

    async def test_stale_reads_beside_true_writes(self) -> None:
        old = expect_success(await self.store.put("a", b"old", CREATE))
        self.platform.control({"stale": True})
        new = expect_success(await self.store.put("a", b"new", old.revision))
        assert expect_success(await self.store.get("a")) == old
        self.platform.control({"stale": False})
        assert expect_success(await self.store.get("a")) == new

    async def test_garbled_reply_is_a_failure(self) -> None:
        with mock.patch.object(self.platform, "get", return_value=Reply(200, [1])):
            garbled = await self.store.get("a")
        assert not may_have_taken_effect(garbled)


class TestVmList(PlatformCase):
    async def test_list_lags(self) -> None:
        lister = HttpVmList(self.reactor, self.address, 300)
        vm = Vm("entry-1", "szolnok-b", "127.0.0.1:9", 3, VmState.LEAVING)
        record = cast(VmRecord, vm._asdict())
        self.platform.control({"vm_lag_ms": 100, "upsert_vms": [record]})
        assert expect_success(await lister.fetch()).vms == ()
        await self.sleep(0.15)
        assert expect_success(await lister.fetch()).vms == (vm,)
        await lister.close()
