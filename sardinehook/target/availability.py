"""Whether a replica accepts new sub-queries."""

from __future__ import annotations

from sardinehook.messages import TargetState
from sardinehook.target.concurrency_limit import ConcurrencyLimit

__all__ = ["Availability"]

DRAIN_HOLD_S = 10.0  # status polls sooner after a drain signal do not count
DRAIN_END_STATUSES = 3


class Availability:
    """The state of one replica, combined from several sources.

    Any one source suffices to stop new sub-queries: the replica's drain signal, a
    refused connection or the platform's list of VMs. A replica that returns is in
    unknown state and warms up again.
    """

    def __init__(self, ramp: ConcurrencyLimit) -> None:
        self.ramp = ramp
        self.draining = False
        self.gone = False
        self.listed = TargetState.UNKNOWN
        self.incarnation = ""
        self.drain_hold_until = 0.0
        self.statuses_without_drain = 0

    @property
    def state(self) -> TargetState:
        """The state by all sources; ``GONE`` and ``DRAINING`` take precedence."""
        if self.gone or self.listed is TargetState.GONE:
            return TargetState.GONE
        if self.draining or self.listed is TargetState.DRAINING:
            return TargetState.DRAINING
        return self.ramp.state

    @property
    def cause(self) -> str:
        """The source of the present state, for the log."""
        if self.gone:
            return "connection failed"
        if self.listed is not TargetState.UNKNOWN:
            return "the list of VMs"
        if self.draining:
            return "its drain signal"
        return self.ramp.cause if self.ramp.state is TargetState.COLD else ""

    def accepts_work(self, may_serve_cold: bool) -> bool:
        """Tell whether new sub-queries may be sent."""
        if self.leaving:
            return False
        return may_serve_cold or self.ramp.state is TargetState.WARM

    @property
    def leaving(self) -> bool:
        """Whether any source reports that the replica leaves or has left."""
        return self.gone or self.draining or self.listed is not TargetState.UNKNOWN

    def connect_failed(self) -> None:
        """Record that the replica cannot be reached."""
        self.gone = True
        self.ramp.reset_to_unknown()

    def connected(self) -> None:
        """Record a new connection; a replica that was gone is in unknown state."""
        if self.gone:
            self.gone = False
            self.draining = False
            self.ramp.reset_to_unknown()

    def record_reply_state(self, reported_state: TargetState, now: float) -> None:
        """Record the state reported in the headers of a reply."""
        if reported_state is TargetState.DRAINING:
            self.draining = True
            self.drain_hold_until = now + DRAIN_HOLD_S
            self.statuses_without_drain = 0
        elif reported_state is TargetState.COLD:
            self.ramp.reset_to_cold("a reply reported a cold target")

    def record_status(self, draining: bool, now: float) -> None:
        """Record whether the status endpoint reports a drain.

        The endpoint may lag or be wrong, so it never starts a drain. It ends one
        only after several polls in a row without a drain, all of them at least
        ``DRAIN_HOLD_S`` after the last reply that signalled one.
        """
        if draining:
            self.statuses_without_drain = 0
        elif self.draining and now >= self.drain_hold_until:
            self.statuses_without_drain += 1
            if self.statuses_without_drain >= DRAIN_END_STATUSES:
                self.draining = False
                self.ramp.reset_to_unknown()

    def update_vm_state(self, listed: TargetState, incarnation: str) -> None:
        """Apply the VM's state and incarnation from the platform's list of VMs.

        ``listed`` is ``DRAINING``, ``GONE`` or, for a VM that stays, ``UNKNOWN``.
        """
        if self.listed is not TargetState.UNKNOWN and listed is TargetState.UNKNOWN:
            self.ramp.reset_to_unknown()
        self.listed = listed
        if incarnation == self.incarnation:
            return
        if self.incarnation:
            self.draining = False
            self.ramp.reset_to_unknown()
        self.incarnation = incarnation
