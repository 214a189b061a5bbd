"""Support for tests that need the real reactor."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet import reactor as global_reactor
from twisted.internet.task import deferLater

reactor: Any = global_reactor

POLL_S = 0.005
GIVE_UP_S = 10.0


async def until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds; fail after a generous time."""
    started = reactor.seconds()
    while not condition():
        assert reactor.seconds() - started < GIVE_UP_S, "the condition never held"
        await deferLater(reactor, POLL_S)


async def turns(count: int = 20) -> None:
    """Let the reactor turn some times."""
    for _ in range(count):
        await deferLater(reactor, 0.001)
