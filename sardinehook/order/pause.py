"""A delay on the reactor's clock."""

from __future__ import annotations

from twisted.internet.defer import Deferred

from sardinehook.transport.reactor import Timers

__all__ = ["pause"]


def pause(timers: Timers, seconds: float) -> Deferred[None]:
    """Return a Deferred that fires with None after ``seconds``."""
    done: Deferred[None] = Deferred()
    timers.callLater(seconds, done.callback, None)
    return done
