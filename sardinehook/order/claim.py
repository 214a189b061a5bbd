"""The claim on an order key, as stored in the platform's store, and its states."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import StrEnum
from hashlib import sha256
from typing import NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from sardinehook.decoding import DECODE_ERRORS
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
    """A caller's non-idempotent request.

    ``key`` is the caller's idempotency key, unique in the environment. ``replica``
    is the only target that may receive the order. ``deadline_ms`` is the time left.
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
        """SHA-256 of the workload, service and body, which a repeat must not change."""
        text = f"{self.workload}\0{self.service}\0".encode()
        return sha256(text + self.body).hexdigest()


class Claimant(NamedTuple):
    """Identity of the process that claims order keys."""

    node: str
    incarnation: str


class ClaimState(StrEnum):
    """State of the attempt that holds a key, as last recorded by its claimant."""

    CLAIMED = "claimed"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class OrderClaim:
    """An attempt's exclusive claim on an order key.

    Only the claimant changes its claim, with one exception: once it has marked the
    claim ``NOT_RUN``, another attempt may replace it. A claimant marks a claim
    ``NOT_RUN`` only if it has sent nothing and never will, or if the target or its
    owner reported that the order did not begin. So at most one attempt may send at
    any time, and this does not depend on clocks.

    ``claimed_at_ms`` is read from the claimant's wall clock. A claim that has no
    outcome after ``valid_ms`` and a grace period counts as abandoned. Both serve
    only to distinguish "in progress" from "unknown".
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
        """Return the claim as done; an answer over the size limit is not kept."""
        kept = len(body) <= MAX_RECORDED_BODY_BYTES
        return replace(
            self,
            state=ClaimState.DONE,
            detail="",
            body=body if kept else b"",
            body_kept=kept,
        )

    def done_without_answer(self) -> OrderClaim:
        """Return the claim as done for an order that ran but whose answer was lost."""
        return replace(self, state=ClaimState.DONE, detail="", body_kept=False)

    def not_run(self, problem: Problem) -> OrderClaim:
        """Return the claim as not run.

        Raises ``ValueError`` if the kind of the problem does not imply "not run".
        """
        if not problem.response.not_run:
            raise ValueError(
                f"{problem.kind} does not imply that the order was not run"
            )
        return self._with_outcome(ClaimState.NOT_RUN, problem)

    def unknown(self, problem: Problem) -> OrderClaim:
        """Return the claim as one whose outcome is unknown."""
        return self._with_outcome(ClaimState.UNKNOWN, problem)

    def _with_outcome(self, state: ClaimState, problem: Problem) -> OrderClaim:
        detail = problem.detail[:MAX_DETAIL_CHARACTERS]
        return replace(self, state=state, kind=problem.kind, detail=detail)

    def is_abandoned(self, wall_ms: int) -> bool:
        """Return whether ``valid_ms`` and the grace period have passed."""
        return wall_ms > self.claimed_at_ms + self.valid_ms + ABANDONED_GRACE_MS

    def result(self, wall_ms: int) -> Result[OrderClaim, Problem]:
        """Return the claim if the order ran, else the problem to report to a repeat."""
        match self.state:
            case ClaimState.DONE:
                return Success(self)
            case ClaimState.NOT_RUN:
                return Failure(Problem(self.kind, self.detail))
            case ClaimState.UNKNOWN:
                return Failure(Problem(ErrorKind.OUTCOME_UNKNOWN, self.detail))
            case ClaimState.CLAIMED if self.is_abandoned(wall_ms):
                detail = f"{self.claimant} claimed the key but recorded no outcome"
                return Failure(Problem(ErrorKind.OUTCOME_UNKNOWN, detail))
            case ClaimState.CLAIMED:
                detail = f"{self.claimant} is processing the order"
                return Failure(Problem(ErrorKind.ORDER_IN_PROGRESS, detail))


def new_claim(
    request: OrderRequest, claimant: Claimant, attempt: str, wall_ms: int
) -> OrderClaim:
    """Return the claim that an attempt writes first, in state ``CLAIMED``."""
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
    """Return the claim with the outcome that a reply proves.

    Only a reply which rules out that any target began proves "not run"; every
    other failure leaves the outcome unknown.
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
    """Return the key in the platform's store for a caller's order key.

    >>> store_key("prod", "A-1")
    'prod/orders/bc4e7be982ab79ec4fb6388a6153e03b'
    """
    digest = sha256(key.encode()).hexdigest()
    return f"{environment}/orders/{digest[:32]}"


def encode_claim(claim: OrderClaim) -> bytes:
    """Encode a claim as the JSON value to store."""
    return msgspec.json.encode(claim)


def decode_claim(value: bytes) -> Result[OrderClaim, Problem]:
    """Decode a stored claim; fails with ``OUTCOME_UNKNOWN`` if it is malformed."""
    try:
        return Success(msgspec.json.decode(value, type=OrderClaim))
    except DECODE_ERRORS as error:
        detail = f"stored claim of the order cannot be decoded: {error}"
        return Failure(Problem(ErrorKind.OUTCOME_UNKNOWN, detail))
