"""In-memory key-value store with fault injection, for tests without sockets."""

from __future__ import annotations

from collections.abc import Callable

from returns.result import Failure, Result, Success
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from bench.platform_state import Held, KeyValues, Refused
from sardinehook.store.port import (
    Conflict,
    Entry,
    StoreFailure,
    StoreUnavailable,
)

__all__ = ["FakeStore"]

CALL_S = 0.001
DOWN = StoreUnavailable("down", may_have_taken_effect=False)
LOST = StoreUnavailable("reply lost", may_have_taken_effect=True)


class FakeStore:
    """Implements ``Store``; each call takes ``CALL_S`` on the clock.

    While ``down`` is set, all calls fail. The replies to the next ``lose_replies``
    writes of a head key are lost. ``before_write`` is called once before the next write
    of a head key, to simulate a concurrent writer. If ``frozen`` is set, reads return
    this older state.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.state = KeyValues()
        self.frozen: dict[str, Held] | None = None
        self.down = False
        self.lose_replies = 0
        self.before_write: Callable[[], None] | None = None
        self.calls: list[str] = []

    def freeze(self) -> None:
        """Answer all further reads from the current state."""
        self.frozen = dict(self.state.held)

    def held(self, key: str) -> Entry | None:
        """Return the entry that a read returns."""
        held = (self.state.held if self.frozen is None else self.frozen).get(key)
        return Entry(*held) if held else None

    def pause(self) -> Deferred[None]:
        """Wait for the duration of a call."""
        waited: Deferred[None] = Deferred()
        self.clock.callLater(CALL_S, waited.callback, None)
        return waited

    async def get(self, key: str) -> Result[Entry | None, StoreFailure]:
        self.calls.append(f"get {key}")
        await self.pause()
        return Failure(DOWN) if self.down else Success(self.held(key))

    async def put(
        self, key: str, value: bytes, expect: int, lease: str = ""
    ) -> Result[Entry, StoreFailure]:
        self.calls.append(f"put {key}")
        await self.pause()
        if self.down:
            return Failure(DOWN)
        if self.before_write is not None and key.endswith("/head"):
            race, self.before_write = self.before_write, None
            race()
        written = self.state.put(key, value, expect, lease)
        if key.endswith("/head") and self.lose_replies > 0:
            self.lose_replies -= 1
            return Failure(LOST)
        if isinstance(written, Refused):
            current = written.current
            return Failure(Conflict(Entry(*current) if current else None))
        return Success(Entry(*written))

    async def delete(self, key: str, expect: int) -> Result[None, StoreFailure]:
        raise NotImplementedError

    async def scan(self, prefix: str) -> Result[list[Entry], StoreFailure]:
        raise NotImplementedError

    async def watch(
        self, key: str, after: int, wait_ms: float
    ) -> Result[Entry | None, StoreFailure]:
        self.calls.append(f"watch {key}")
        until = self.clock.seconds() + wait_ms / 1000
        while True:
            await self.pause()
            if self.down:
                return Failure(DOWN)
            entry = self.held(key)
            if entry is not None and entry.revision > after:
                return Success(entry)
            if self.clock.seconds() >= until:
                return Success(None)

    async def grant_lease(self, ttl_ms: float) -> Result[str, StoreFailure]:
        raise NotImplementedError

    async def renew_lease(self, lease: str) -> Result[None, StoreFailure]:
        raise NotImplementedError

    async def revoke_lease(self, lease: str) -> Result[None, StoreFailure]:
        raise NotImplementedError
