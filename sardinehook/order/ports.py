"""What attempts at orders work with."""

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

__all__ = ["AskTarget", "AttemptPorts", "Send", "conflict", "target_ran"]

MS_PER_SECOND = 1000.0

logger: FilteringBoundLogger = get_logger()

Send = Callable[[SubQuery], Deferred[SubReply]]
AskTarget = Callable[[str, str], Deferred[bool]]


class AttemptPorts(NamedTuple):
    """What attempts work with.

    ``wall`` returns seconds since the epoch. ``send`` sends a sub-query and fires
    with its end, or fails if that cannot be learned. ``ask_target`` asks a replica
    whether it ran an order key.
    """

    claims: ClaimStore
    recorder: Recorder
    claimant: Claimant
    timers: Timers
    wall: Callable[[], float]
    send: Send
    sub_query_ids: Iterator[int]
    new_attempt: Callable[[], str]
    ask_target: AskTarget | None

    def wall_ms(self) -> int:
        """Return the wall clock in milliseconds since the epoch."""
        return int(self.wall() * MS_PER_SECOND)


async def target_ran(ask_target: AskTarget | None, claim: OrderClaim) -> bool:
    """Ask the target of a claim whether it ran; false if it cannot be asked."""
    if ask_target is None:
        return False
    try:
        return await ask_target(claim.replica, claim.key)
    except Exception as error:  # the port may fail in any way; then nothing is known
        detail = f"the target could not be asked: {error}"
        log_event(logger, EventName.ORDER_REPEATED, order=claim.key, detail=detail)
        return False


def conflict(key: str) -> Problem:
    """Return the problem of a key that stands for another order."""
    return Problem(ErrorKind.CONFLICT, f"key {key} was used for another order")
