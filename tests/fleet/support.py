"""Helpers for tests on the real reactor."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet import reactor as global_reactor
from twisted.internet.task import deferLater

reactor: Any = global_reactor

POLL_S = 0.005
TIMEOUT_S = 10.0


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds; fail after ``TIMEOUT_S``."""
    started = reactor.seconds()
    while not condition():
        assert reactor.seconds() - started < TIMEOUT_S, "condition not met"
        await deferLater(reactor, POLL_S)


async def run_turns(count: int = 20) -> None:
    """Let the reactor run for a number of turns."""
    for _ in range(count):
        await deferLater(reactor, 0.001)
