"""Eras of the store: it enters a new one when it comes back from an older copy.

Revisions are given out again in a new era, so they compare only within one.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

__all__ = ["EraVerdict", "Position", "StoreEra"]

# An answer of an earlier era is at first taken for a delayed one or for one of a server
# that lags. A store that states nothing else for this long did go back, for example
# after one garbled answer with a figure that is far too high.
EARLIER_ERA_TIMEOUT_S = 10.0


class Position(NamedTuple):
    """A state of the store; the greater one is the later one.

    >>> Position(2, 5) > Position(1, 900) > Position(1, 7)
    True
    """

    era: int
    revision: int


class EraVerdict(Enum):
    """What an answer that states an era means for the state that is held."""

    SAME = "same"
    NEW = "new"
    EARLIER = "earlier"


class StoreEra:
    """Decides from the stated eras which one is in force.

    A store that states no era is in era 0. An answer without an era, of a store that
    has stated one, belongs to the era in force. ``known`` is the era in force, ``None``
    before the first answer. The first one is no new era: nothing is held that could be
    of an earlier one.

    >>> era = StoreEra()
    >>> [era.observe_store(stated, 0.0).value for stated in (1, 0, 1, 3, 2)]
    ['same', 'same', 'same', 'new', 'earlier']
    >>> era.known
    3
    """

    def __init__(self) -> None:
        self.known: int | None = None
        self.earlier_since: float | None = None
        self.abandoned = 0

    def observe_store(self, stated: int, now: float) -> EraVerdict:
        """Record the era of an answer of the store, 0 if it states none."""
        if self.known is None:
            self.known = stated
        if stated == 0:
            return EraVerdict.SAME
        if stated == self.known:
            self.earlier_since = None
            return EraVerdict.SAME
        if stated < self.known:
            if self.earlier_since is None:
                self.earlier_since = now
            if now < self.earlier_since + EARLIER_ERA_TIMEOUT_S:
                return EraVerdict.EARLIER
            # Other gateways may still state the era that turned out to be wrong.
            self.abandoned = self.known
        self.known = stated
        self.earlier_since = None
        return EraVerdict.NEW

    def observe_peer(self, stated: int) -> EraVerdict:
        """Record the era of the state that another gateway holds.

        It may lag behind for long, and it may hold an era that the store has gone back
        from; neither says anything of the store.
        """
        if self.known is None:
            self.known = stated
        if stated == self.known:
            return EraVerdict.SAME
        if stated <= max(self.known, self.abandoned):
            return EraVerdict.EARLIER
        self.known = stated
        self.earlier_since = None
        return EraVerdict.NEW
