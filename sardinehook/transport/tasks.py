"""Coroutines driven by timers, without an event loop of their own.

They run on any clock with delayed calls: that of the event loop, and the simulated
clock of tests, on which each step happens at a known time.
"""

from __future__ import annotations

from collections.abc import Callable, Coroutine, Generator
from typing import Any, Generic, TypeVar

from sardinehook.transport.reactor import Timer, Timers

__all__ = ["Promise", "RepeatingCall", "sleep", "start_task"]

Value = TypeVar("Value")
OnError = Callable[[Exception], object]


class Promise(Generic[Value]):
    """A value that becomes known later, and for which coroutines wait.

    >>> promise = Promise[int]()
    >>> async def show() -> None:
    ...     print(await promise)
    >>> start_task(show(), print)
    >>> promise.resolve(3)
    3
    """

    __slots__ = ("is_resolved", "value", "waiting")

    def __init__(self) -> None:
        self.is_resolved = False
        self.value: Value | None = None
        self.waiting: list[Callable[[], None]] = []

    def resolve(self, value: Value) -> None:
        """Set the value and resume the coroutines that wait for it.

        Raises ``RuntimeError`` if the value is known already.
        """
        if self.is_resolved:
            raise RuntimeError("the value of this promise is known already")
        self.is_resolved = True
        self.value = value
        waiting, self.waiting = self.waiting, []
        for resume in waiting:
            resume()

    def __await__(self) -> Generator[Promise[Value], None, Value]:
        """Wait for the value and return it."""
        if not self.is_resolved:
            yield self
        value: Any = self.value
        return value  # type: ignore[no-any-return]


def start_task(coroutine: Coroutine[Any, Any, object], on_error: OnError) -> None:
    """Run a coroutine that awaits promises; ``on_error`` gets what it raises."""

    def step() -> None:
        try:
            awaited: Promise[Any] = coroutine.send(None)
        except StopIteration:
            return
        except Exception as error:
            on_error(error)
            return
        awaited.waiting.append(step)

    step()


def sleep(timers: Timers, delay_s: float) -> Promise[None]:
    """Return a promise that is resolved after ``delay_s`` seconds."""
    promise: Promise[None] = Promise()
    timers.callLater(delay_s, promise.resolve, None)
    return promise


class RepeatingCall:
    """Calls a function at regular intervals, also after it has raised an error."""

    def __init__(
        self, timers: Timers, interval_s: float, function: Callable[[], object]
    ) -> None:
        self.timers = timers
        self.interval_s = interval_s
        self.function = function
        self.timer: Timer | None = None

    def start(self) -> None:
        """Schedule the first call, one interval from now."""
        self.timer = self.timers.callLater(self.interval_s, self.run)

    def run(self) -> None:
        """Schedule the next call, and call the function."""
        self.start()
        self.function()

    def stop(self) -> None:
        """Cancel the next call."""
        timer, self.timer = self.timer, None
        if timer is not None and timer.active():
            timer.cancel()
