"""Logs whether the store confirms the keys in force, where revocation is strict."""

from __future__ import annotations

import structlog

from sardinehook.gateway.organisations.confirmation import Confirmation, accepts_keys
from sardinehook.gateway.settings import Bounds
from sardinehook.observe.events import EventName, log_event

__all__ = ["ConfirmationLog"]

logger = structlog.get_logger(__name__)

CONFIRMED = "confirmed"
NOT_CONFIRMED = "not confirmed"


class ConfirmationLog:
    """Logs each change between confirmed keys and keys that are not accepted."""

    def __init__(self, confirmation: Confirmation) -> None:
        self.confirmation = confirmation
        self.state = CONFIRMED

    def observe(self, bounds: Bounds, now: float) -> None:
        """Log the state as of ``now`` if it has changed."""
        age_s = self.confirmation.age_s(now)
        state = CONFIRMED if accepts_keys(bounds, age_s) else NOT_CONFIRMED
        if state == self.state:
            return
        self.state = state
        log_event(
            logger,
            EventName.KEYS_STATE,
            state=state,
            detail=f"last confirmed {age_s:.1f} s ago",
        )
