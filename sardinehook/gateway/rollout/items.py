"""What the store says of rollouts: orders, shared states and public statuses."""

from __future__ import annotations

import time
from collections.abc import Callable, Collection
from random import Random
from typing import NamedTuple

import structlog
from returns.result import Failure, Success

from sardinehook.gateway.interfaces import StoreSchema
from sardinehook.gateway.metrics import GatewayMetrics
from sardinehook.gateway.reactor import GatewayReactor
from sardinehook.gateway.rollout.orders import (
    STATE_PREFIX,
    RolloutOrder,
    RolloutState,
    decode_state,
)
from sardinehook.gateway.rollout.service import ServiceRollout
from sardinehook.gateway.store import Item
from sardinehook.observe.events import EventName, log_event

__all__ = ["RolloutItems", "RolloutSite"]

logger = structlog.get_logger(__name__)


class RolloutSite(NamedTuple):
    """Where a gateway runs, and what it asks of its other parts.

    ``names`` returns the gateways of the fleet, ``contact_age_s`` how long ago the
    store, or a reader of it, was heard.
    """

    node: str
    data_centre: str
    names: Callable[[], Collection[str]]
    contact_age_s: Callable[[], float]
    time_of_day: Callable[[], float] = time.time


class RolloutItems:
    """The rollouts of all services, kept in step with the store.

    ``on_order`` is called for each order that begins a rollout. ``initial_listing`` is
    set while the first listing of this process is applied.
    """

    def __init__(
        self,
        reactor: GatewayReactor,
        schema: StoreSchema,
        site: RolloutSite,
        metrics: GatewayMetrics,
        random: Random,
    ) -> None:
        self.reactor = reactor
        self.schema = schema
        self.site = site
        self.metrics = metrics
        self.random = random
        self.services: dict[str, ServiceRollout] = {}
        self.initial_listing = False
        self.on_order: Callable[[ServiceRollout, RolloutOrder], object] = ignore_order

    def apply_item(self, item: Item) -> bool:
        """Apply the change of a key; return whether it is one of rollouts."""
        for prefix, apply in (
            (self.schema.rollout_prefix, self.apply_order),
            (STATE_PREFIX, self.apply_state),
            (self.schema.rollout_status_prefix, self.apply_status),
        ):
            if item.key.startswith(prefix):
                apply(item.key[len(prefix) :], item)
                return True
        return False

    def retain(self, names: Collection[str]) -> None:
        """Apply that a listing of all keys has ``names`` only."""
        for service in list(self.services):
            for prefix in (
                self.schema.rollout_prefix,
                STATE_PREFIX,
                self.schema.rollout_status_prefix,
            ):
                if prefix + service not in names:
                    self.apply_item(Item(prefix + service, None, 0))

    def rollout_of(self, service: str) -> ServiceRollout:
        """Return what is known of a service, creating it if needed."""
        rollout = self.services.get(service)
        if rollout is None:
            rollout = ServiceRollout(service, self.random.random())
            self.services[service] = rollout
        return rollout

    def apply_order(self, service: str, item: Item) -> None:
        """Apply an order, or that it was withdrawn."""
        now = self.reactor.seconds()
        if item.value is None:
            rollout = self.services.get(service)
            if rollout is not None and rollout.order is not None:
                rollout.withdraw(now)
                self.log_order(rollout.order, "withdrawn")
            return
        match self.schema.read_rollout(service, item.value):
            case Success(order):
                self.take_order(self.rollout_of(service), order, item.revision, now)
            case Failure(detail):
                log_event(
                    logger,
                    EventName.ROLLOUT_ORDER,
                    service=service,
                    state="invalid",
                    detail=str(detail),
                )

    def take_order(
        self, rollout: ServiceRollout, order: RolloutOrder, revision: int, now: float
    ) -> None:
        """Begin a rollout, unless its order is known already."""
        if rollout.is_repeated(order, now):
            rollout.withdrawn_at = None
            rollout.order_revision = revision
            return
        rollout.begin(order, revision, not self.initial_listing, now)
        if rollout.stored_state is not None:
            self.take_state(rollout, rollout.stored_state)
        self.log_order(order, "ordered")
        self.on_order(rollout, order)

    def log_order(self, order: RolloutOrder, state: str) -> None:
        """Log an order, or that it was withdrawn."""
        log_event(
            logger,
            EventName.ROLLOUT_ORDER,
            service=order.service,
            state=state,
            detail=f"version {order.target_version} within {order.duration_s:g} s",
        )

    def apply_state(self, service: str, item: Item) -> None:
        """Apply the state that a leader has written, or that it is gone."""
        rollout = self.rollout_of(service)
        if item.value is None:
            rollout.record_stored(None, 0)
            return
        match decode_state(item.value):
            case Success(state):
                rollout.record_stored(state, item.revision)
                self.take_state(rollout, state)
            case Failure(detail):
                rollout.record_stored(None, item.revision)
                log_event(
                    logger,
                    EventName.ROLLOUT_PHASE,
                    service=service,
                    state="malformed",
                    detail=str(detail),
                )

    def take_state(self, rollout: ServiceRollout, state: RolloutState) -> None:
        """Use a state if it is later than the known one."""
        now = self.reactor.seconds()
        age_s = state.age_s
        if self.initial_listing and state.ordered_at:
            # How long the store had the state is known by the time of day only.
            age_s = max(age_s, self.site.time_of_day() - state.ordered_at)
        if not rollout.take_state(state, now, age_s):
            return
        rollout.update_share(len(self.site.names()), now)
        self.metrics.rollout_share.set(state.share)
        log_event(
            logger,
            EventName.ROLLOUT_PHASE,
            service=rollout.service,
            state=str(state.phase),
            detail=f"share {state.share:g}, extra {state.extra:g}; {state.reason}",
            took_ms=rollout.age_s(now) * 1000.0,
        )

    def apply_status(self, service: str, item: Item) -> None:
        """Apply the public status, or that it is gone."""
        rollout = self.rollout_of(service)
        rollout.status = None
        rollout.status_revision = item.revision if item.value is not None else 0
        if item.value is not None:
            read = self.schema.read_rollout_status(item.value)
            rollout.status = read.value_or(None)


def ignore_order(rollout: ServiceRollout, order: RolloutOrder) -> None:
    """Ignore an order."""
