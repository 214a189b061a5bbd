"""Whether a replica takes new work, by the evidence its owner has."""

from __future__ import annotations

from sardinehook.messages import TargetState
from sardinehook.target.cold_start import ColdStart

__all__ = ["Standing"]


class Standing:
    """The state of one replica.

    Leaving is believed from whichever source tells first: the replica's own drain
    signal, a connection that it refuses, or the platform's list. A replica that
    comes back is unknown and ramps up again.
    """

    def __init__(self, ramp: ColdStart) -> None:
        self.ramp = ramp
        self.draining = False
        self.gone = False
        self.listed = TargetState.UNKNOWN
        self.incarnation = ""

    @property
    def state(self) -> TargetState:
        """The state that all evidence together gives."""
        if self.gone or self.listed is TargetState.GONE:
            return TargetState.GONE
        if self.draining or self.listed is TargetState.DRAINING:
            return TargetState.DRAINING
        return self.ramp.state

    def takes_work(self, may_serve_cold: bool) -> bool:
        """Tell whether new work may be sent."""
        match self.state:
            case TargetState.WARM:
                return True
            case TargetState.COLD | TargetState.UNKNOWN:
                return may_serve_cold
            case _:
                return False

    def connect_failed(self) -> None:
        """Note that the replica cannot be reached."""
        self.gone = True
        self.ramp.forget()

    def connected(self) -> None:
        """Note a new connection; after an absence the replica is unknown."""
        if self.gone:
            self.gone = False
            self.draining = False
            self.ramp.forget()

    def reply_said(self, said: TargetState) -> None:
        """Take the state that stands in a reply."""
        if said is TargetState.DRAINING:
            self.draining = True
        elif said is TargetState.COLD:
            self.ramp.setback()

    def note_vm(self, listed: TargetState, incarnation: str) -> None:
        """Take what the platform's list of VMs says.

        ``listed`` is ``DRAINING``, ``GONE`` or ``UNKNOWN`` for nothing against it.
        """
        self.listed = listed
        if incarnation == self.incarnation:
            return
        if self.incarnation:
            self.draining = False
            self.ramp.forget()
        self.incarnation = incarnation
