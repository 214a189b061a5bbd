"""A usage ledger that knows the use of this gateway only."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from math import ceil

from sardinehook.gateway.usage.interfaces import Marks

__all__ = ["OWN", "LocalLedger"]

SLOT_S = 0.1
RETENTION_S = 6.0
TOLERANCE = 1e-6  # of a slot, for times at the border of two
OWN = ("", 0)  # the only origin
MAX_SUBJECTS = 4096  # bounds the memory; the oldest subject is forgotten first


class LocalLedger:
    """Counts this gateway's own use in slots, as ``UsageLedger`` does for the fleet.

    >>> ledger = LocalLedger()
    >>> ledger.record("a", 2.0, 10.0)
    >>> ledger.total("a", 1.0, 10.5), ledger.total("a", 1.0, 11.5)
    (2.0, 0.0)
    """

    def __init__(self, is_holder: Callable[[], bool] = lambda: True) -> None:
        self.holds = is_holder
        self.slots: dict[str, deque[list[float]]] = {}

    def record(self, subject: str, amount: float, now: float) -> None:
        """Count use in the slot of ``now``."""
        slots = self.slots.pop(subject, None)
        if slots is None:
            slots = deque()
        self.slots[subject] = slots
        number = now // SLOT_S
        if slots and slots[-1][0] == number:
            slots[-1][1] += amount
        else:
            slots.append([number, amount])
        while slots[0][0] < number - RETENTION_S / SLOT_S:
            slots.popleft()
        if len(self.slots) > MAX_SUBJECTS:
            del self.slots[next(iter(self.slots))]

    def total(self, subject: str, window_s: float, now: float) -> float:
        """Return the use in the last ``window_s``, in whole slots."""
        oldest = round((now - window_s) / SLOT_S, 6)
        return sum(
            (
                amount
                for number, amount in self.slots.get(subject, ())
                if number >= oldest
            ),
            0.0,
        )

    def take(
        self, prefix: str, marks: Marks, since: float, until: float
    ) -> dict[str, float]:
        """Return the use between two times, each slot once."""
        first = max(marks.get(OWN, 0), ceil(since / SLOT_S - TOLERANCE))
        end = ceil(until / SLOT_S - TOLERANCE)
        if end <= first:
            return {}
        marks[OWN] = end
        taken: dict[str, float] = {}
        for subject, slots in self.slots.items():
            for number, amount in slots:
                if first <= number < end:
                    taken[subject] = taken.get(subject, 0.0) + amount
        return taken

    def is_holder(self) -> bool:
        """Return whether this gateway is the one that decides."""
        return self.holds()

    def silent_share(self, subject: str, now: float) -> float:
        """Return 1: the use of all other gateways is unknown."""
        return 1.0
