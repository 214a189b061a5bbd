"""Test case with a fake platform on loopback, for tests that need real sockets."""

from __future__ import annotations

from typing import TypeVar, cast

from returns.result import Result
from twisted.internet import reactor as default_reactor
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater
from twisted.trial.unittest import TestCase

from bench.http_server import ListeningReactor, abort_connection, listen
from bench.platform import Platform
from sardinehook.store.http_store import HttpStore

__all__ = ["PlatformCase", "expect_success"]

Value = TypeVar("Value")

TIMEOUT_MS = 300


def expect_success(result: Result[Value, object]) -> Value:
    """Return the value of a result that must be a success."""
    return result.unwrap()


class PlatformCase(TestCase):
    """Starts a fake platform and a store client connected to it."""

    def setUp(self) -> None:
        self.reactor = cast(ListeningReactor, default_reactor)
        self.platform = Platform(self.reactor)
        self.platform.start()
        self.port = listen(self.reactor, self.platform)
        self.address = f"127.0.0.1:{self.port.getHost().port}"
        self.store = HttpStore(self.reactor, self.address, TIMEOUT_MS)

    def tearDown(self) -> Deferred[None]:  # type: ignore[override]
        return Deferred.fromCoroutine(self.close())

    async def close(self) -> None:
        self.platform.stop()
        await self.store.close()
        for watch in self.platform.watches:
            abort_connection(watch.request)
        await cast("Deferred[None]", self.port.stopListening())

    def sleep(self, delay_s: float) -> Deferred[None]:
        """Return a ``Deferred`` that fires after ``delay_s`` seconds."""
        return deferLater(cast(IReactorTime, self.reactor), delay_s)

    async def unused_address(self) -> str:
        """Return an address at which nothing listens."""
        port = listen(self.reactor, self.platform)
        address = f"127.0.0.1:{port.getHost().port}"
        await cast("Deferred[None]", port.stopListening())
        return address
