"""Structured event log: one line of key=value pairs (logfmt) for each event."""

from __future__ import annotations

import logging
from collections.abc import Sequence
from enum import StrEnum
from typing import TextIO, TypedDict, Unpack

import structlog
from structlog.processors import LogfmtRenderer, add_log_level
from structlog.typing import EventDict, FilteringBoundLogger, WrappedLogger

from sardinehook.observe.clock import HybridClock, stamp_seconds

__all__ = ["EventFields", "EventName", "configure_logging", "log_event", "log_names"]

MAX_VALUE_CHARACTERS = 512
MAX_NAMES_PER_LINE = 24  # up to 20 characters each, within MAX_VALUE_CHARACTERS
LEADING_KEYS = ["stamp", "time", "level", "event", "process", "data_centre"]


class EventName(StrEnum):
    """The names of all events in the event log."""

    PROCESS_STARTED = "process_started"
    PROCESS_FAILED = "process_failed"
    PROCESS_STOPPING = "process_stopping"
    PROCESS_STOPPED = "process_stopped"
    READINESS = "readiness"
    SETTINGS_RELOADED = "settings_reloaded"
    SETTINGS_REFUSED = "settings_refused"
    UNHANDLED_ERROR = "unhandled_error"
    QUERY_RECEIVED = "query_received"
    QUERY_PLANNED = "query_planned"
    ADMISSION_CONTENDED = "admission_contended"
    QUERY_REFUSED = "query_refused"
    REQUESTS_RELEASED = "requests_released"
    QUERY_ANSWERED = "query_answered"
    QUERY_FAILED = "query_failed"
    QUERY_CANCELLED = "query_cancelled"
    SUB_QUERY_SENT = "sub_query_sent"
    SUB_QUERY_HEDGED = "sub_query_hedged"
    SUB_QUERY_RETRIED = "sub_query_retried"
    SUB_QUERY_ENDED = "sub_query_ended"
    SUB_QUERY_CANCELLED = "sub_query_cancelled"
    SUB_REPLY_DROPPED = "sub_reply_dropped"
    OWNER_QUEUED = "owner_queued"
    OWNER_STARTED = "owner_started"
    OWNER_REFUSED = "owner_refused"
    ORDER_RECEIVED = "order_received"
    ORDER_CLAIMED = "order_claimed"
    ORDER_SENT = "order_sent"
    ORDER_ENDED = "order_ended"
    ORDER_REPEATED = "order_repeated"
    ORDER_REFUSED = "order_refused"
    ORDER_RECORD_FAILED = "order_record_failed"
    ORDER_WITHDRAWN = "order_withdrawn"
    TARGET_STATE = "target_state"
    TARGET_ACQUIRED = "target_acquired"
    TARGET_RELEASED = "target_released"
    CONNECTION_OPENED = "connection_opened"
    CONNECTION_LOST = "connection_lost"
    CONNECTION_SILENT = "connection_silent"
    LINK_UP = "link_up"
    LINK_DOWN = "link_down"
    MEMBER_STATE = "member_state"
    ROSTER_CHANGED = "roster_changed"
    OWNERSHIP_CHANGED = "ownership_changed"
    LEASE_GRANTED = "lease_granted"
    LEASE_RENEWED = "lease_renewed"
    LEASE_LAPSED = "lease_lapsed"
    LEASE_NOT_RENEWED = "lease_not_renewed"
    REVISION_ACCEPTED = "revision_accepted"
    REVISION_REFUSED = "revision_refused"
    REVISION_RECEIVED = "revision_received"
    REVISION_IN_FORCE = "revision_in_force"
    DATA_CENTRE_STATE = "data_centre_state"
    STORE_DOWN = "store_down"
    STORE_UP = "store_up"
    STORE_WATCH = "store_watch"
    STORE_ERA = "store_era"
    STATE_FROM_PEER = "state_from_peer"
    WATCH_COMPARED = "watch_compared"
    READER_STATE = "reader_state"
    KEYS_STATE = "keys_state"
    USAGE_HOLDER = "usage_holder"
    ROLLOUT_ORDER = "rollout_order"
    ROLLOUT_PHASE = "rollout_phase"
    ROLLOUT_VERDICT = "rollout_verdict"
    ROLLOUT_WRITE = "rollout_write"
    ROLLOUT_PAUSED = "rollout_paused"


class EventFields(TypedDict, total=False):
    """The optional fields of an event; fields ending in ``_ms`` are milliseconds.

    ``stamp`` is set only if the event is written later than it happened. ``cause``
    names what led to the event, for example the request or the peer.
    """

    stamp: int
    request: str
    sub_query: int
    service: str
    target: str
    workload: str
    caller: str
    order: str
    attempt: str
    kind: str
    outcome: str
    state: str
    previous: str
    detail: str
    cause: str
    revision: int
    index_version: int
    partitioning: int
    epoch: int
    member: str
    incarnation: str
    peer: str
    address: str
    lease: str
    key: str
    count: int
    size_bytes: int
    asked: int
    answered: int
    coverage: float
    hedges: int
    retries: int
    dropped: int
    took_ms: float
    queued_ms: float
    service_ms: float
    deadline_ms: float


WARNING_EVENTS = frozenset(
    {
        EventName.UNHANDLED_ERROR,
        EventName.QUERY_FAILED,
        EventName.ORDER_RECORD_FAILED,
        EventName.CONNECTION_SILENT,
        EventName.LEASE_LAPSED,
        EventName.LEASE_NOT_RENEWED,
        EventName.REVISION_REFUSED,
        EventName.STORE_DOWN,
    }
)


def log_event(
    logger: FilteringBoundLogger, event: EventName, **fields: Unpack[EventFields]
) -> None:
    """Log an event, at level warning if in ``WARNING_EVENTS``, otherwise at info."""
    if event in WARNING_EVENTS:
        logger.warning(event, **fields)
    else:
        logger.info(event, **fields)


def log_names(
    logger: FilteringBoundLogger, event: EventName, state: str, names: Sequence[str]
) -> None:
    """Log an event for many names, ``MAX_NAMES_PER_LINE`` names in each line."""
    for first in range(0, len(names), MAX_NAMES_PER_LINE):
        batch = names[first : first + MAX_NAMES_PER_LINE]
        log_event(logger, event, state=state, count=len(batch), detail=" ".join(batch))


def configure_logging(
    stream: TextIO, process: str, data_centre: str, clock: HybridClock
) -> None:
    """Configure structlog to write this process's events to ``stream``.

    Each event is one line, which starts with the hybrid logical stamp, the wall
    clock time in seconds, the level, the event, the process and the data centre.
    """
    structlog.configure(
        processors=[
            add_log_level,
            _HeaderProcessor(process, data_centre, clock),
            _limit_values,
            LogfmtRenderer(key_order=LEADING_KEYS, bool_as_flag=False),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.WriteLoggerFactory(stream),
        cache_logger_on_first_use=False,
    )


class _HeaderProcessor:
    """Log processor that adds stamp, time, process and data centre to an event."""

    def __init__(self, process: str, data_centre: str, clock: HybridClock) -> None:
        self.process = process
        self.data_centre = data_centre
        self.clock = clock

    def __call__(
        self, _logger: WrappedLogger, _method: str, event: EventDict
    ) -> EventDict:
        stamp = event.get("stamp")
        if stamp is None:
            stamp = event["stamp"] = self.clock.tick()
        event["time"] = f"{stamp_seconds(stamp):.3f}"
        event["process"] = self.process
        event["data_centre"] = self.data_centre
        return event


def _limit_values(_logger: WrappedLogger, _method: str, event: EventDict) -> EventDict:
    for key, value in event.items():
        if isinstance(value, str):
            event[key] = printable(value)
        elif isinstance(value, float):
            event[key] = round(value, 3)
    return event


def printable(value: str) -> str:
    r"""Truncate untrusted text and escape characters that could forge a log line.

    >>> print(printable("a" + chr(10) + "stamp=1"))
    a\nstamp=1
    """
    if len(value) > MAX_VALUE_CHARACTERS:
        value = value[:MAX_VALUE_CHARACTERS] + "..."
    if value.isprintable():
        return value
    return "".join(c if c.isprintable() else _escaped(c) for c in value)


def _escaped(character: str) -> str:
    return character.encode("unicode_escape").decode("ascii")
