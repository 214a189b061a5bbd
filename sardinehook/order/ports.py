"""Dependencies of order attempts."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple

from structlog import get_logger
from structlog.typing import FilteringBoundLogger
from twisted.internet.defer import Deferred

from sardinehook.errors import ErrorKind, Problem
from sardinehook.messages import SubQuery, SubReply
from sardinehook.observe.events import EventName, log_event
from sardinehook.order.claim import Claimant, OrderClaim
from sardinehook.order.claim_store import ClaimStore
from sardinehook.order.recorder import Recorder
from sardinehook.transport.reactor import Timers

__all__ = ["AskTarget", "AttemptPorts", "SendSubQuery", "key_conflict", "target_ran"]

MS_PER_SECOND = 1000.0

logger: FilteringBoundLogger = get_logger()

SendSubQuery = Callable[[SubQuery], Deferred[SubReply]]
AskTarget = Callable[[str, str], Deferred[bool]]


class AttemptPorts(NamedTuple):
    """Dependencies that all attempts of a process share.

    ``wall_clock`` returns seconds since the epoch. ``send`` sends a sub-query and
    fires with its reply, or fails if the outcome cannot be learned. ``ask_target``
    asks a replica whether it ran an order key.
    """

    claims: ClaimStore
    recorder: Recorder
    claimant: Claimant
    timers: Timers
    wall_clock: Callable[[], float]
    send: SendSubQuery
    sub_query_ids: Iterator[int]
    new_attempt: Callable[[], str]
    ask_target: AskTarget | None

    def wall_ms(self) -> int:
        """Return the wall clock in milliseconds since the epoch."""
        return int(self.wall_clock() * MS_PER_SECOND)


async def target_ran(ask_target: AskTarget | None, claim: OrderClaim) -> bool:
    """Ask the claim's target whether the order ran; false if it cannot tell."""
    if ask_target is None:
        return False
    try:
        return await ask_target(claim.replica, claim.key)
    except Exception as error:  # any failure of the port means unknown
        detail = f"could not ask the target whether the order ran: {error}"
        log_event(logger, EventName.ORDER_REPEATED, order=claim.key, detail=detail)
        return False


def key_conflict(key: str) -> Problem:
    """Return the problem of a key that is in use for a different order."""
    return Problem(
        ErrorKind.CONFLICT, f"order key {key} was already used for a different order"
    )
