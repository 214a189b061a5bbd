"""Logs state changes of one replica, each of them once."""

from __future__ import annotations

import structlog

from sardinehook.messages import TargetState
from sardinehook.observe.events import EventName, log_event
from sardinehook.target.availability import Availability
from sardinehook.target.pool import ConnectionPool

__all__ = ["ReplicaEventLog"]

logger = structlog.get_logger(__name__)


class ReplicaEventLog:
    """Logs differences between a replica's present state and the last logged one."""

    def __init__(
        self, replica: str, availability: Availability, pool: ConnectionPool
    ) -> None:
        self.replica = replica
        self.availability = availability
        self.pool = pool
        self.state = TargetState.UNKNOWN
        self.connections_abandoned = 0

    def log_allowance(self, held: bool, holds: bool) -> None:
        """Log that an allowance was acquired or released."""
        if held == holds:
            return
        event = EventName.TARGET_ACQUIRED if holds else EventName.TARGET_RELEASED
        log_event(logger, event, target=self.replica)

    def log_changes(self) -> None:
        """Log a changed state and newly abandoned connections."""
        state = self.availability.state
        if state is not self.state:
            self.log_state(state)
        if self.pool.connections_abandoned > self.connections_abandoned:
            count = self.pool.connections_abandoned - self.connections_abandoned
            self.connections_abandoned = self.pool.connections_abandoned
            name = EventName.CONNECTION_SILENT
            log_event(logger, name, target=self.replica, count=count)

    def log_state(self, state: TargetState) -> None:
        """Log a new state with its cause."""
        log_event(
            logger,
            EventName.TARGET_STATE,
            target=self.replica,
            previous=self.state.name.lower(),
            state=state.name.lower(),
            cause=self.availability.cause,
        )
        self.state = state
