"""Run one coroutine on the reactor for a command that ends."""

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
    """A reactor that runs until it is stopped."""

    running: bool

    def run(self) -> None:
        """Run until stopped."""
        ...

    def stop(self) -> None:
        """Stop running."""
        ...


def run_until_done(
    make: Callable[[Timers], Coroutine[Deferred[object], object, Value]],
) -> Value:
    """Run the coroutine that ``make`` gives for the reactor, and return its value."""
    from twisted.internet import reactor as default_reactor

    reactor = cast(RunningReactor, default_reactor)
    values: list[Value] = []
    failures: list[Failure] = []

    def begin() -> None:
        done = Deferred.fromCoroutine(make(reactor))
        done.addCallbacks(values.append, failures.append)
        done.addBoth(end)

    def end(_result: object) -> None:
        if reactor.running:
            reactor.stop()

    reactor.callLater(0.0, begin)
    reactor.run()
    for failure in failures:
        failure.raiseException()
    if not values:
        raise typer.Exit(EXIT_INTERRUPTED)
    return values[0]
