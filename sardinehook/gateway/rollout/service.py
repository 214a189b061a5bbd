"""What one gateway knows of the rollout of one service."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from sardinehook.gateway.rollout.exposure import Exposure, prefer
from sardinehook.gateway.rollout.orders import (
    Phase,
    RolloutOrder,
    RolloutState,
    RolloutStatus,
    newer_state,
    status_of,
)

if TYPE_CHECKING:
    from sardinehook.gateway.dispatch import Exchange
    from sardinehook.gateway.replica import Replica

__all__ = ["WITHDRAWN_GRACE_S", "ServiceRollout"]

# An order that an older store has lost is written again by then. Meanwhile nothing goes
# to an undecided version.
WITHDRAWN_GRACE_S = 10.0
UNKNOWN_AGE_RATIO = 0.1  # of the duration: the age assumed of an order found at a start
# How long the decision on a withdrawn order is kept: bad replicas may still drain.
RETENTION_S = 30.0


class ServiceRollout:
    """The order for a service, the shared state, and this gateway's part.

    The revisions are those of the keys in the store, 0 if they do not exist.
    ``own_verdict`` is set once this gateway's own counts show a bad version.
    """

    def __init__(self, service: str, first_credit: float) -> None:
        self.service = service
        self.first_credit = first_credit
        self.order: RolloutOrder | None = None
        self.order_revision = 0
        self.ordered_at = 0.0
        self.withdrawn_at: float | None = None
        self.state: RolloutState | None = None
        self.stored_state: RolloutState | None = None
        self.state_revision = 0
        self.state_since = 0.0
        self.status: RolloutStatus | None = None
        self.status_revision = 0
        self.gets_extra = False
        self.most_gateways = 1  # known at once since the order
        self.exposure = Exposure(first_credit)
        self.in_flight: dict[Exchange, bool] = {}
        self.own_verdict = ""
        self.paused = False
        self.closed_round = 0
        self.last_answer_at = float("-inf")

    def begin(
        self, order: RolloutOrder, revision: int, is_new: bool, now: float
    ) -> None:
        """Begin a rollout; ``is_new`` if this gateway ran before the order came."""
        self.order = order
        self.order_revision = revision
        # A process that found the order at its start does not know how old it is.
        self.ordered_at = now - (
            0.0 if is_new else UNKNOWN_AGE_RATIO * order.duration_s
        )
        self.withdrawn_at = None
        self.exposure = Exposure(self.first_credit)
        self.gets_extra = is_new
        self.most_gateways = 1
        self.own_verdict = ""
        self.state = None
        if is_new and self.stored_state and self.state_revision < revision:
            # An earlier order, which may be equal to this one.
            self.closed_round = self.stored_state.round_number

    def is_repeated(self, order: RolloutOrder, now: float) -> bool:
        """Return whether ``order`` is the known one, written again.

        An equal one after the deadline of a rollout that was decided is a new order.
        """
        if self.order != order:
            return False
        if self.withdrawn_at is not None:
            return now < self.withdrawn_at + WITHDRAWN_GRACE_S
        return not self.is_decided or self.age_s(now) < order.duration_s

    @property
    def is_decided(self) -> bool:
        """Whether the rollout has ended."""
        return self.state is not None and self.state.phase.is_final

    def is_active(self, now: float) -> bool:
        """Return whether versions make a difference for this service."""
        if self.order is None:
            return False
        if self.withdrawn_at is None:
            return True
        return now < self.withdrawn_at + RETENTION_S

    def age_s(self, now: float) -> float:
        """Return the age of the order."""
        return now - self.ordered_at

    def withdraw(self, now: float) -> None:
        """Record that the order is no longer in the store."""
        if self.withdrawn_at is None:
            self.withdrawn_at = now

    def is_withdrawn(self, now: float) -> bool:
        """Return whether the order was withdrawn, and not just lost for a moment."""
        withdrawn_at = self.withdrawn_at
        return withdrawn_at is not None and now >= withdrawn_at + WITHDRAWN_GRACE_S

    def take_state(self, state: RolloutState, now: float, age_s: float) -> bool:
        """Use a state if it is later than the known one; return whether it was.

        ``age_s`` is the age of the order at least.
        """
        known, order = self.state, self.order
        if order is None or not state.belongs_to(order):
            return False
        if state.round_number <= self.closed_round:
            return False
        if newer_state(known, state) is known:
            return False
        self.state = state
        self.state_since = now
        self.ordered_at = min(self.ordered_at, now - age_s)
        return True

    def update_share(self, gateways: int, now: float) -> None:
        """Apply the share of the state, and this gateway's part of the extra ones.

        The part does not grow when registrations end: gateways that are cut off have
        used theirs.
        """
        state = self.state
        if state is None:
            return
        self.most_gateways = max(self.most_gateways, gateways)
        extra = state.extra / self.most_gateways if self.gets_extra else 0.0
        self.exposure.set_share(state.share, extra)

    def is_new(self, replica: Replica) -> bool:
        """Return whether a replica has the version that is rolled out."""
        order = self.order
        return order is not None and replica.entry.version == order.target_version

    @property
    def is_stopped(self) -> bool:
        """Whether this gateway sends nothing to the version while it is undecided."""
        if self.own_verdict or self.withdrawn_at is not None:
            return True
        # Beyond the last step the new version serves whoever is cut off.
        draining = self.state is not None and self.state.phase is Phase.DRAINING_OLD
        return self.paused and not draining

    def groups(
        self, replicas: Sequence[Replica], registered: Sequence[Replica]
    ) -> list[list[Replica]]:
        """Divide replicas into those to choose from first, and those after them.

        ``registered`` are all replicas that may serve, also if not at this moment.
        """
        usable = [one for one in registered if not one.pool.is_failing]
        preference = prefer(
            self.state,
            self.exposure,
            any(not self.is_new(one) for one in usable),
            any(self.is_new(one) for one in usable),
            self.is_stopped,
        )
        preferred = [one for one in replicas if self.is_new(one) is preference.new]
        if not preference.may_use_other:
            return [preferred]
        others = [one for one in replicas if self.is_new(one) is not preference.new]
        return [preferred, others]

    def record_stored(self, state: RolloutState | None, revision: int) -> None:
        """Record the state in the store, ``None`` if there is none."""
        self.stored_state = state
        self.state_revision = revision

    @property
    def must_write(self) -> bool:
        """Whether the store lacks the known state, or its status."""
        state = self.state
        if state is None:
            return False
        stored = self.stored_state
        if stored is None or newer_state(stored, state) is not stored:
            return stored != state
        return self.status != status_of(stored) and stored == state
