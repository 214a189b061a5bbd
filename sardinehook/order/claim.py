"""The record of an order's key in the platform's service, and its transitions."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import StrEnum
from hashlib import sha256
from typing import NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from sardinehook.errors import ErrorKind, Problem
from sardinehook.messages import Outcome, SubReply

__all__ = [
    "MAX_KEY_CHARACTERS",
    "MAX_RECORDED_BODY_BYTES",
    "ClaimState",
    "Claimant",
    "OrderClaim",
    "OrderRequest",
    "apply_reply",
    "decode_claim",
    "encode_claim",
    "new_claim",
    "store_key",
]

MAX_KEY_CHARACTERS = 128
MAX_RECORDED_BODY_BYTES = 65_536
MAX_DETAIL_CHARACTERS = 200
ABANDONED_GRACE_MS = 5_000
NOT_STARTED_OUTCOMES = frozenset(
    {
        Outcome.NOT_RUN,
        Outcome.SHED,
        Outcome.WRONG_VERSION,
        Outcome.CANCELLED,
        Outcome.CONNECTION_LOST,
    }
)


class OrderRequest(NamedTuple):
    """A non-idempotent request of a caller.

    ``key`` is the caller's idempotency key, unique in the environment. ``replica``
    is the one target that the order may go to. ``deadline_ms`` is the time left.
    """

    request_id: str
    workload: str
    key: str
    service: str
    replica: str
    deadline_ms: float
    priority: int
    body: bytes

    @property
    def digest(self) -> str:
        """Digest of what is ordered, without what a repetition may change."""
        text = f"{self.workload}\0{self.service}\0".encode()
        return sha256(text + self.body).hexdigest()


class Claimant(NamedTuple):
    """The process that claims orders."""

    node: str
    incarnation: str


class ClaimState(StrEnum):
    """How far the attempt that holds a key has come, as its claimant knows."""

    CLAIMED = "claimed"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class OrderClaim:
    """An attempt's hold on an order's key.

    Only the claimant changes its claim, with one exception: a claim that it has
    itself marked ``NOT_RUN`` may be replaced by another attempt's. A claimant
    marks a claim so only when it has sent nothing and never will, or when the
    target or its owner said that it did not begin. So at any time at most one
    attempt may send, and no clock is needed for that.

    ``claimed_at_ms`` is the claimant's wall clock and ``valid_ms`` the time after
    which a claim without an outcome counts as abandoned; both serve only to tell
    "in progress" from "unknown".
    """

    workload: str
    key: str
    digest: str
    claimant: str
    incarnation: str
    attempt: str
    replica: str
    claimed_at_ms: int
    valid_ms: int
    state: ClaimState = ClaimState.CLAIMED
    kind: ErrorKind = ErrorKind.INTERNAL
    detail: str = ""
    body: bytes = b""
    body_kept: bool = True

    def done(self, body: bytes) -> OrderClaim:
        """Return the claim with the target's answer, if that is small enough."""
        kept = len(body) <= MAX_RECORDED_BODY_BYTES
        return replace(
            self,
            state=ClaimState.DONE,
            detail="",
            body=body if kept else b"",
            body_kept=kept,
        )

    def done_without_answer(self) -> OrderClaim:
        """Return the claim of an order that a target ran, its answer lost."""
        return replace(self, state=ClaimState.DONE, detail="", body_kept=False)

    def not_run(self, problem: Problem) -> OrderClaim:
        """Return the claim given up; the problem must be one of kind not run."""
        if not problem.response.not_run:
            raise ValueError(f"{problem.kind} does not promise that nothing ran")
        return self._with_outcome(ClaimState.NOT_RUN, problem)

    def unknown(self, problem: Problem) -> OrderClaim:
        """Return the claim with an outcome that nobody knows yet."""
        return self._with_outcome(ClaimState.UNKNOWN, problem)

    def _with_outcome(self, state: ClaimState, problem: Problem) -> OrderClaim:
        detail = problem.detail[:MAX_DETAIL_CHARACTERS]
        return replace(self, state=state, kind=problem.kind, detail=detail)

    def is_abandoned(self, wall_ms: int) -> bool:
        """Tell whether a claim without an outcome is past its time."""
        return wall_ms > self.claimed_at_ms + self.valid_ms + ABANDONED_GRACE_MS

    def result(self, wall_ms: int) -> Result[OrderClaim, Problem]:
        """Return the claim if the order ran, or the problem to tell a repetition."""
        match self.state:
            case ClaimState.DONE:
                return Success(self)
            case ClaimState.NOT_RUN:
                return Failure(Problem(self.kind, self.detail))
            case ClaimState.UNKNOWN:
                return Failure(Problem(ErrorKind.OUTCOME_UNKNOWN, self.detail))
            case ClaimState.CLAIMED if self.is_abandoned(wall_ms):
                detail = f"{self.claimant} claimed the key and recorded no outcome"
                return Failure(Problem(ErrorKind.OUTCOME_UNKNOWN, detail))
            case ClaimState.CLAIMED:
                detail = f"{self.claimant} is at work on it"
                return Failure(Problem(ErrorKind.ORDER_IN_PROGRESS, detail))


def new_claim(
    request: OrderRequest, claimant: Claimant, attempt: str, wall_ms: int
) -> OrderClaim:
    """Return the claim with which an attempt begins."""
    return OrderClaim(
        workload=request.workload,
        key=request.key,
        digest=request.digest,
        claimant=claimant.node,
        incarnation=claimant.incarnation,
        attempt=attempt,
        replica=request.replica,
        claimed_at_ms=wall_ms,
        valid_ms=int(request.deadline_ms),
    )


def apply_reply(claim: OrderClaim, reply: SubReply) -> OrderClaim:
    """Return the claim with the outcome that a reply proves, and no more.

    Only a reply that says that no target can have begun proves "not run".
    """
    if reply.outcome is Outcome.ANSWERED:
        return claim.done(reply.body)
    if reply.outcome in NOT_STARTED_OUTCOMES and not reply.began:
        kind = ErrorKind.TARGET_UNAVAILABLE
        if reply.outcome is Outcome.SHED:
            kind = ErrorKind.OVERLOADED
        return claim.not_run(Problem(kind, reply.detail))
    detail = f"{reply.outcome.name.lower()}: {reply.detail}"
    return claim.unknown(Problem(ErrorKind.OUTCOME_UNKNOWN, detail))


def store_key(environment: str, key: str) -> str:
    """Return the key in the platform's service for a caller's order key.

    >>> store_key("prod", "A-1")
    'prod/orders/bc4e7be982ab79ec4fb6388a6153e03b'
    """
    digest = sha256(key.encode()).hexdigest()
    return f"{environment}/orders/{digest[:32]}"


def encode_claim(claim: OrderClaim) -> bytes:
    """Encode a claim as the JSON value that is stored."""
    return msgspec.json.encode(claim)


def decode_claim(value: bytes) -> Result[OrderClaim, Problem]:
    """Decode a stored value; one that is unreadable leaves the outcome unknown."""
    try:
        return Success(msgspec.json.decode(value, type=OrderClaim))
    except msgspec.MsgspecError as error:
        detail = f"the order's record cannot be read: {error}"
        return Failure(Problem(ErrorKind.OUTCOME_UNKNOWN, detail))
