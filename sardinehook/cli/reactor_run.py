"""Runs one coroutine on the reactor and returns when it is done."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Protocol, TypeVar, cast

import typer
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from sardinehook.transport.reactor import Timers

__all__ = ["run_until_done"]

EXIT_INTERRUPTED = 130

Value = TypeVar("Value")


class RunningReactor(Timers, Protocol):
    """A reactor that can be run and stopped."""

    running: bool

    def run(self) -> None:
        """Run the event loop until ``stop`` is called."""
        ...

    def stop(self) -> None:
        """Stop the event loop."""
        ...


def run_until_done(
    create: Callable[[Timers], Coroutine[Deferred[object], object, Value]],
) -> Value:
    """Run the coroutine that ``create`` returns for the reactor; return its value.

    Raises its exception if it fails; exits with 130 if the reactor was interrupted.
    """
    from twisted.internet import reactor as default_reactor

    reactor = cast(RunningReactor, default_reactor)
    values: list[Value] = []
    failures: list[Failure] = []

    def start() -> None:
        done = Deferred.fromCoroutine(create(reactor))
        done.addCallbacks(values.append, failures.append)
        done.addBoth(stop)

    def stop(_result: object) -> None:
        if reactor.running:
            reactor.stop()

    reactor.callLater(0.0, start)
    reactor.run()
    for failure in failures:
        failure.raiseException()
    if not values:
        raise typer.Exit(EXIT_INTERRUPTED)
    return values[0]
