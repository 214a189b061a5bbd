"""Changes of the states of replicas, for the log."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import structlog

from sardinehook.gateway.interfaces import ReplicaEntry
from sardinehook.gateway.replica import Replica
from sardinehook.observe.events import EventName, log_event, log_names

__all__ = ["is_other_process", "log_state_changes"]

logger = structlog.get_logger(__name__)

MAX_DETAILED_CHANGES = 8  # more changes at once share lines, without their details


def log_state_changes(changes: Mapping[str, Sequence[Replica]]) -> None:
    """Log the replicas that have changed to each state.

    Listings, outages of the store and new shards change many replicas at once. A line
    for each would use up the budget of log lines that requests need.
    """
    for state, replicas in changes.items():
        if len(replicas) > MAX_DETAILED_CHANGES:
            names = [replica.replica_id for replica in replicas]
            log_names(logger, EventName.TARGET_STATE, state, names)
            continue
        for replica in replicas:
            log_event(
                logger,
                EventName.TARGET_STATE,
                target=replica.replica_id,
                service=replica.entry.service,
                address=replica.entry.address,
                state=state,
                incarnation=str(replica.entry.started_ms),
            )


def is_other_process(known: ReplicaEntry, new: ReplicaEntry) -> bool:
    """Return whether two entries of one id come from different processes."""
    return (known.started_ms, known.address, known.service) != (
        new.started_ms,
        new.address,
        new.service,
    )
