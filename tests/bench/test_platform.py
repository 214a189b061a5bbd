"""Tests of the simulated platform and its injected faults."""

from __future__ import annotations

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from returns.result import Result, Success
from twisted.internet.defer import Deferred

from bench.platform_faults import Outage, VmTable
from bench.platform_state import Held, KeyValues, Refused
from sardinehook.store.http_client import HttpClient
from sardinehook.store.port import CREATE, Entry, StoreFailure, StoreUnavailable
from tests.store.platform_case import PlatformCase, expect_success


class TestControl(PlatformCase):
    async def exchange(self, method: str, path: str, body: bytes = b"") -> bytes:
        caller = HttpClient(self.reactor, self.address, 300)
        if method == "GET":
            reply = expect_success(await caller.read(path))
        else:
            reply = expect_success(await caller.write(method, path, body))
        await caller.close()
        return reply.body

    async def test_calls_and_bytes_are_counted(self) -> None:
        expect_success(await self.store.put("orders/1", b"12345", CREATE))
        expect_success(await self.store.get("orders/1"))
        counts = msgspec.json.decode(await self.exchange("GET", "/counts"))
        assert counts["calls"] == {"PUT kv": 1, "GET kv": 1}
        assert counts["prefixes"] == {"orders": 2}
        assert counts["bytes_in"] >= 5
        await self.exchange("POST", "/control", b'{"reset_counts": true}')
        assert msgspec.json.decode(await self.exchange("GET", "/counts"))["calls"] == {}

    async def test_invalid_control_request_changes_nothing(self) -> None:
        for body in (b"", b"[]", b'{"outage":"x"}', b'{"stale":1}', b'{"oops":1}'):
            assert b"detail" in await self.exchange("POST", "/control", body)
        assert self.platform.faults.outage is Outage.NONE

    async def test_invalid_query_argument_is_refused(self) -> None:
        assert b"detail" in await self.exchange("PUT", "/kv/a?expect=x", b"1")
        assert b"detail" in await self.exchange("POST", "/lease?ttl_ms=x")

    async def test_history_records_every_change(self) -> None:
        written = expect_success(await self.store.put("a", b"", CREATE))
        expect_success(await self.store.delete("a", written.revision))
        history = msgspec.json.decode(await self.exchange("GET", "/history"))
        assert [(c["key"], c["deleted"]) for c in history] == [
            ("a", False),
            ("a", True),
        ]

    async def test_outage_ends_pending_watches(self) -> None:
        for outage in (Outage.CUT, Outage.REFUSE):
            watch = Deferred.fromCoroutine(self.store.watch("a", 0, 10_000))
            await self.sleep(0.05)
            self.platform.control({"outage": outage})
            failure = (await watch).failure()
            assert isinstance(failure, StoreUnavailable)
            assert not value_or_none(await self.store.get("a"))
            self.platform.control({"outage": Outage.NONE})
            assert await self.store.get("a") == Success(None)

    async def test_injected_delay_applies_to_calls(self) -> None:
        self.platform.control({"delay_ms": 120.0})
        began = self.reactor.seconds()
        expect_success(await self.store.get("a"))
        assert self.reactor.seconds() - began >= 0.12


def value_or_none(result: Result[Entry | None, StoreFailure]) -> object:
    """Return the value of a success, None for a failure."""
    return result.value_or(None)


class TestVmTable:
    @given(st.lists(st.floats(0.0, 2.0), max_size=8), st.floats(0.0, 3.0))
    def test_readers_see_the_list_of_a_while_ago(
        self, steps: list[float], lag_s: float
    ) -> None:
        table = VmTable()
        table.lag_s = lag_s
        now = 0.0
        changed = [0.0]
        for step in steps:
            now += step
            table.change(now, [], [])
            changed.append(now)
            as_of, _ = table.seen(now)
            latest = max((at for at in changed if at <= as_of), default=0.0)
            assert table.states[0][0] == latest


class KeyValuesMachine(RuleBasedStateMachine):
    """Compare-and-swap against a plain mapping."""

    def __init__(self) -> None:
        super().__init__()
        self.store = KeyValues()
        self.model: dict[str, tuple[bytes, int]] = {}

    @rule(key=st.sampled_from("ab"), value=st.binary(max_size=2), off=st.booleans())
    def put(self, key: str, value: bytes, off: bool) -> None:
        revision = self.model.get(key, (b"", 0))[1]
        written = self.store.put(key, value, revision + off, "")
        assert isinstance(written, Refused) == off
        if isinstance(written, Held):
            assert written.revision > revision
            self.model[key] = (value, written.revision)

    @rule(key=st.sampled_from("ab"), off=st.booleans())
    def delete(self, key: str, off: bool) -> None:
        revision = self.model.get(key, (b"", 0))[1]
        refused = self.store.delete(key, revision + off)
        assert (refused is None) == (key in self.model and not off)
        if refused is None:
            del self.model[key]

    @invariant()
    def same(self) -> None:
        held = {h.key: (h.value, h.revision) for h in self.store.scan("")}
        assert held == self.model


TestKeyValues = KeyValuesMachine.TestCase
