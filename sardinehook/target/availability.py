"""Whether a replica takes new work, by the evidence its owner has."""

from __future__ import annotations

from sardinehook.messages import TargetState
from sardinehook.target.concurrency_limit import ConcurrencyLimit

__all__ = ["Availability"]

DRAIN_HOLD_S = 10.0
DRAIN_END_STATUSES = 3


class Availability:
    """The state of one replica.

    Leaving is believed from whichever source tells first: the replica's own drain
    signal, a connection that it refuses, or the platform's list. A replica that
    comes back is unknown and ramps up again.
    """

    def __init__(self, concurrency: ConcurrencyLimit) -> None:
        self.concurrency = concurrency
        self.draining = False
        self.gone = False
        self.listed = TargetState.UNKNOWN
        self.incarnation = ""
        self.drain_hold_until = 0.0
        self.statuses_without_drain = 0

    @property
    def state(self) -> TargetState:
        """The state that all evidence together gives."""
        if self.gone or self.listed is TargetState.GONE:
            return TargetState.GONE
        if self.draining or self.listed is TargetState.DRAINING:
            return TargetState.DRAINING
        return self.concurrency.state

    @property
    def cause(self) -> str:
        """What the present state was concluded from, for people."""
        if self.gone:
            return "it cannot be connected to"
        if self.listed is not TargetState.UNKNOWN:
            return "the list of VMs"
        if self.draining:
            return "its drain signal"
        return (
            self.concurrency.cause if self.concurrency.state is TargetState.COLD else ""
        )

    def accepts_work(self, may_serve_cold: bool) -> bool:
        """Tell whether new work may be sent."""
        if self.leaving:
            return False
        return may_serve_cold or self.concurrency.state is TargetState.WARM

    @property
    def leaving(self) -> bool:
        """Whether any source says that the replica leaves or has left."""
        return self.gone or self.draining or self.listed is not TargetState.UNKNOWN

    def connect_failed(self) -> None:
        """Note that the replica cannot be reached."""
        self.gone = True
        self.concurrency.reset_to_unknown()

    def connected(self) -> None:
        """Note a new connection; after an absence the replica is unknown."""
        if self.gone:
            self.gone = False
            self.draining = False
            self.concurrency.reset_to_unknown()

    def record_reply_state(self, reported_state: TargetState, now: float) -> None:
        """Take the state that stands in a reply."""
        if reported_state is TargetState.DRAINING:
            self.draining = True
            self.drain_hold_until = now + DRAIN_HOLD_S
            self.statuses_without_drain = 0
        elif reported_state is TargetState.COLD:
            self.concurrency.reset_to_cold("a reply says so")

    def record_status(self, draining: bool, now: float) -> None:
        """Take the status endpoint's word on whether the replica drains.

        Since it lags or misleads, it begins no drain. It ends one only when several
        polls in a row, all of them long after the last sign of the drain, say that
        there is none.
        """
        if draining:
            self.statuses_without_drain = 0
        elif self.draining and now >= self.drain_hold_until:
            self.statuses_without_drain += 1
            if self.statuses_without_drain >= DRAIN_END_STATUSES:
                self.draining = False
                self.concurrency.reset_to_unknown()

    def update_vm_state(self, listed: TargetState, incarnation: str) -> None:
        """Take what the platform's list of VMs says.

        ``listed`` is ``DRAINING``, ``GONE`` or ``UNKNOWN`` for nothing against it.
        """
        if self.listed is not TargetState.UNKNOWN and listed is TargetState.UNKNOWN:
            self.concurrency.reset_to_unknown()
        self.listed = listed
        if incarnation == self.incarnation:
            return
        if self.incarnation:
            self.draining = False
            self.concurrency.reset_to_unknown()
        self.incarnation = incarnation
