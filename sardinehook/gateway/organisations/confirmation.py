"""How long ago the store confirmed the configuration of this gateway."""

from __future__ import annotations

from sardinehook.gateway.settings import Bounds

__all__ = ["Confirmation", "accepts_keys"]


def accepts_keys(bounds: Bounds, confirmed_s: float) -> bool:
    """Return whether keys count that were confirmed ``confirmed_s`` ago.

    >>> strict = Bounds(revocation_strict=True, revocation_s=5.0)
    >>> accepts_keys(strict, 5.0), accepts_keys(strict, 5.1)
    (True, False)
    >>> accepts_keys(Bounds(), float("inf"))
    True
    """
    return not bounds.revocation_strict or confirmed_s <= bounds.revocation_s


class Confirmation:
    """The latest time as of which this gateway knows all changes of the store.

    An answer of the store confirms the state as of the moment at which the call was
    sent: the store may have answered at once, and the answer have been on its way
    since. Another gateway states the age of its own confirmation when it answers. That
    is counted from the moment at which it was called, as the answer was written later.
    Both are lower bounds, so that the stated age is never too small. Times are those of
    the monotonic clock of this machine.

    >>> confirmation = Confirmation()
    >>> confirmation.age_s(10.0)
    inf
    >>> confirmation.confirm(9.0)
    >>> confirmation.confirm(8.5)
    >>> confirmation.age_s(10.0)
    1.0
    """

    def __init__(self) -> None:
        self.confirmed_at = float("-inf")

    def confirm(self, at: float) -> None:
        """Record that all changes before ``at`` are known; an earlier time is ignored.

        The caller has applied these changes.
        """
        self.confirmed_at = max(self.confirmed_at, at)

    def age_s(self, now: float) -> float:
        """Return the time since the last confirmation, infinite if there was none."""
        return now - self.confirmed_at
