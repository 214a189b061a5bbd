"""The part of a reactor that keeps time."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

__all__ = ["Timer", "Timers"]


class Timer(Protocol):
    """A call that is due later."""

    def active(self) -> bool:
        """Whether the call is still due."""
        ...

    def cancel(self) -> None:
        """Don't make the call."""
        ...


class Timers(Protocol):
    """What the reactor and ``twisted.internet.task.Clock`` have in common."""

    def seconds(self) -> float:
        """Monotonic time in seconds."""
        ...

    def callLater(
        self,
        delay: float,
        callable: Callable[..., object],
        *args: object,
        **kw: object,
    ) -> Timer:
        """Call ``callable`` after ``delay`` seconds."""
        ...
