"""Orders to roll out a version, their public status, and the state between gateways."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta
from returns.result import Failure, Result, Success

from sardinehook.decoding import DECODE_ERRORS, Measure, Number

__all__ = [
    "STATE_PREFIX",
    "Phase",
    "RolloutOrder",
    "RolloutState",
    "RolloutStatus",
    "StatusState",
    "decode_state",
    "encode_state",
    "newer_state",
    "status_of",
]

Score = Annotated[float, Meta(ge=-1000.0, le=1000.0)]
Scores = tuple[Score, Score]
STATE_PREFIX = "sardinehook/rollouts/"


class RolloutOrder(NamedTuple):
    """An operator's order to move a service to ``target_version``."""

    service: str
    target_version: str
    duration_s: float


class StatusState(StrEnum):
    """What operators and replicas read of a rollout."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class RolloutStatus(NamedTuple):
    """The public status of a rollout."""

    state: StatusState
    target_version: str


class Phase(StrEnum):
    """How far a rollout has come.

    Up to ``CANARY`` the version is not found good and its share is limited. In
    ``DRAINING_OLD`` all requests go to the new version while the old replicas finish.
    """

    CANARY = "canary"
    RAMP = "ramp"
    DRAINING_OLD = "draining_old"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    @property
    def is_final(self) -> bool:
        """Whether the rollout has ended."""
        return self in (Phase.COMPLETED, Phase.ROLLED_BACK)


class RolloutState(msgspec.Struct, frozen=True):
    """The state of a rollout that the gateways share.

    ``serial`` counts the states of one order, ``round_number`` the orders for the
    service, of which two may be equal. ``share`` of the requests and ``extra``
    more in the whole fleet go to the new version. ``age_s`` is the age of the order at
    the write, ``ordered_at`` the time of day at which it was first read. ``is_bad`` is
    set if answers of the version decided against it. ``answers`` and ``scores``, of the
    tests of failures and of slow answers, let a holder go on after a restart.
    """

    target_version: str
    duration_s: Measure
    serial: Number
    phase: Phase
    share: Annotated[float, Meta(ge=0.0, le=1.0)] = 0.0
    extra: Measure = 0.0
    step: Number = 0
    age_s: Measure = 0.0
    ordered_at: float = 0.0
    is_bad: bool = False
    reason: str = ""
    round_number: Number = 1
    answers: Number = 0
    scores: Scores = (0.0, 0.0)

    def belongs_to(self, order: RolloutOrder) -> bool:
        """Return whether this is a state of ``order``."""
        return (self.target_version, self.duration_s) == (
            order.target_version,
            order.duration_s,
        )


def encode_state(state: RolloutState) -> bytes:
    """Encode a state as JSON, which operators can read in the store."""
    return msgspec.json.encode(state)


def decode_state(value: bytes) -> Result[RolloutState, str]:
    """Decode a state; a failure says why it is malformed.

    >>> state = RolloutState("2", 60.0, 3, Phase.RAMP, 0.3)
    >>> decode_state(encode_state(state)).unwrap() == state
    True
    >>> decode_state(b"{}").failure()
    'Object missing required field `target_version`'
    """
    try:
        return Success(msgspec.json.decode(value, type=RolloutState))
    except DECODE_ERRORS as error:
        return Failure(str(error))


def newer_state(
    known: RolloutState | None, other: RolloutState | None
) -> RolloutState | None:
    """Return the later of two states of a service.

    Of one order, a final state is later than any other one, and ``completed`` than
    ``rolled_back``: the old replicas stop as soon as it is readable.

    >>> ramp = RolloutState("2", 60.0, 3, Phase.RAMP)
    >>> bad = RolloutState("2", 60.0, 2, Phase.ROLLED_BACK)
    >>> newer_state(ramp, bad).phase, newer_state(None, ramp).phase
    (<Phase.ROLLED_BACK: 'rolled_back'>, <Phase.RAMP: 'ramp'>)
    """
    if known is None or other is None:
        return known or other

    def rank(state: RolloutState) -> tuple[int, bool, bool, int]:
        completed = state.phase is Phase.COMPLETED
        return (state.round_number, completed, state.phase.is_final, state.serial)

    return max(known, other, key=rank)


def status_of(state: RolloutState) -> RolloutStatus:
    """Return the public status for a state.

    >>> status_of(RolloutState("2", 60.0, 3, Phase.DRAINING_OLD)).state.value
    'running'
    """
    match state.phase:
        case Phase.COMPLETED:
            public = StatusState.COMPLETED
        case Phase.ROLLED_BACK:
            public = StatusState.ROLLED_BACK
        case _:
            public = StatusState.RUNNING
    return RolloutStatus(public, state.target_version)
