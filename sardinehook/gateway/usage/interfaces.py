"""Interface of the usage ledger to the parts that share a limit of the fleet."""

from __future__ import annotations

from typing import Protocol

__all__ = ["Marks", "UsageLedger"]

# The first slot that was not read yet, by the name and incarnation of an origin.
Marks = dict[tuple[str, int], int]


class UsageLedger(Protocol):
    """Counts the use of subjects by all gateways, over a few seconds.

    A subject is a string such as ``quota/NAME``. The counts of other gateways are known
    with a short delay, and only at holders of the ledger.
    """

    def record(self, subject: str, amount: float, now: float) -> None:
        """Count this gateway's own use; a negative amount gives use back."""
        ...

    def total(self, subject: str, window_s: float, now: float) -> float:
        """Return the use of the fleet in the last ``window_s``, as far as known."""
        ...

    def take(
        self, prefix: str, marks: Marks, since: float, until: float
    ) -> dict[str, float]:
        """Return the use between two times, by the subjects that begin with a prefix.

        Use that an earlier call with the same ``marks`` has returned is left out. The
        result may have further subjects that are too long to be kept as they are.
        """
        ...

    def is_holder(self) -> bool:
        """Return whether this gateway receives the counts of all gateways."""
        ...

    def silent_share(self, subject: str, now: float) -> float:
        """Return the share of recent use counted by holders that are silent now."""
        ...
