"""Rollouts of services to another version, as one gateway takes part in them."""

from __future__ import annotations

import time
from collections.abc import Callable, Collection, Sequence
from functools import partial
from random import Random
from typing import NamedTuple

import structlog
from returns.result import Failure, Success

from sardinehook.gateway.directory import Directory
from sardinehook.gateway.dispatch import Exchange, ExchangeOutcome
from sardinehook.gateway.interfaces import StoreSchema
from sardinehook.gateway.metrics import GatewayMetrics
from sardinehook.gateway.reactor import GatewayReactor
from sardinehook.gateway.replica import Replica
from sardinehook.gateway.rollout.evaluation import Evaluation, routes_to
from sardinehook.gateway.rollout.evidence import NEW, OLD
from sardinehook.gateway.rollout.leader import LeaderElection, StateWriter
from sardinehook.gateway.rollout.local_ledger import LocalLedger
from sardinehook.gateway.rollout.orders import (
    STATE_PREFIX,
    Phase,
    RolloutOrder,
    RolloutState,
    decode_state,
)
from sardinehook.gateway.rollout.plan import (
    Situation,
    first_state,
    next_state,
    roll_back,
)
from sardinehook.gateway.rollout.recorder import RolloutRecorder
from sardinehook.gateway.rollout.service import ServiceRollout
from sardinehook.gateway.rollout.verdict import ERROR_RATE, Bad, Undecided, Verdict
from sardinehook.gateway.settings import Bounds
from sardinehook.gateway.store import GatewayStore, Item
from sardinehook.gateway.unexpected import call_logged
from sardinehook.gateway.usage.interfaces import UsageLedger
from sardinehook.observe.events import EventName, log_event
from sardinehook.transport.tasks import RepeatingCall

__all__ = ["RolloutController", "RolloutSite"]

logger = structlog.get_logger(__name__)

TICK_S = 0.25  # the interval of reading evidence and of marks of holders
PAUSE_RATIO = 0.6  # of the time to roll back: a verdict may come that much later
OWN_VERDICT_DELAY_S = 0.5  # spreads the writes of gateways with a verdict of their own
IDLE_WINDOW_S = 1.5  # without requests at old replicas before they count as idle


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


class RolloutController:
    """Follows the orders for all services, and decides where this gateway leads.

    Nothing runs, and no request is treated in another way, until an order is read.
    """

    def __init__(
        self,
        reactor: GatewayReactor,
        directory: Directory,
        store: GatewayStore,
        schema: StoreSchema,
        ledger: UsageLedger,
        site: RolloutSite,
        metrics: GatewayMetrics,
        random: Random | None = None,
    ) -> None:
        self.reactor = reactor
        self.directory = directory
        self.schema = schema
        self.ledger = ledger
        self.site = site
        self.metrics = metrics
        # Not seeded by the node: rounding must not repeat itself after a restart.
        self.random = random or Random()
        self.bounds = Bounds()
        self.services: dict[str, ServiceRollout] = {}
        self.own_ledger = ledger if isinstance(ledger, LocalLedger) else LocalLedger()
        self.fleet_evaluations: dict[str, Evaluation] = {}
        self.own_evaluations: dict[str, Evaluation] = {}
        self.own_verdict_at: dict[str, float] = {}
        self.election = LeaderElection(ledger, site.node)
        self.writer = StateWriter(
            reactor, store, schema, self.apply_items, self.record_written
        )
        self.recorder = RolloutRecorder(
            directory, site.data_centre, ledger, self.own_ledger, self.count_answer
        )
        self.loop = RepeatingCall(reactor, TICK_S, self.tick)
        self.running = False
        self.initial_listing = False

    def count_answer(self, version: str, outcome: str) -> None:
        """Count an answer by the class of its version."""
        self.metrics.rollout_answers.labels(version, outcome).inc()

    # Items of the store

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

    def apply_items(self, rollout: ServiceRollout, items: Sequence[Item]) -> None:
        """Apply what the store has instead of what this gateway wanted to write."""
        for item in items:
            self.apply_item(item)

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
        service = rollout.service
        self.fleet_evaluations[service] = Evaluation(
            self.ledger, order, ERROR_RATE, now
        )
        gateways = max(1, len(self.site.names()))
        self.own_evaluations[service] = Evaluation(
            self.own_ledger, order, ERROR_RATE / gateways, now
        )
        self.own_verdict_at.pop(service, None)
        self.log_order(order, "ordered")
        if not self.running:
            self.running = True
            self.loop.start()

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

    def record_written(
        self, rollout: ServiceRollout, state: RolloutState, revision: int
    ) -> None:
        """Use a state that this gateway has written."""
        if state.phase.is_final and rollout.state != state:
            self.metrics.rollout_decisions.labels(str(state.phase)).inc()
        self.take_state(rollout, state)

    def apply_status(self, service: str, item: Item) -> None:
        """Apply the public status, or that it is gone."""
        rollout = self.rollout_of(service)
        rollout.status = None
        rollout.status_revision = item.revision if item.value is not None else 0
        if item.value is not None:
            read = self.schema.read_rollout_status(item.value)
            rollout.status = read.value_or(None)

    # Requests

    def groups(
        self, service: str, replicas: Sequence[Replica], now: float
    ) -> Sequence[Sequence[Replica]]:
        """Return the replicas of a service to choose from, in order of preference."""
        rollout = self.services.get(service)
        if rollout is None or not rollout.is_active(now):
            return (replicas,)
        registered = [
            replica
            for replica in self.directory.by_service.get(service, ())
            if self.directory.is_listed(replica, now)
        ]
        return rollout.groups(replicas, registered)

    def started(self, exchange: Exchange) -> None:
        """Count a request as one of the version that it goes to."""
        rollout = self.active_rollout(exchange)
        if rollout is None:
            return
        is_new = rollout.is_new(exchange.replica)
        rollout.in_flight[exchange] = is_new
        rollout.exposure.record(is_new)
        self.metrics.rollout_sends.labels(NEW if is_new else OLD).inc()
        state = rollout.state
        if not is_new and state is not None and state.phase is Phase.DRAINING_OLD:
            self.record_open(rollout, 1, self.reactor.seconds())

    def active_rollout(self, exchange: Exchange) -> ServiceRollout | None:
        """Return the rollout that an exchange belongs to, ``None`` if there is none."""
        rollout = self.services.get(exchange.replica.entry.service)
        if rollout is None or not rollout.is_active(self.reactor.seconds()):
            return None
        return rollout

    def ended(self, exchange: Exchange, outcome: ExchangeOutcome) -> None:
        """Record how an exchange ended; one that was not sent is counted back."""
        rollout = self.services.get(exchange.replica.entry.service)
        is_new = rollout.in_flight.pop(exchange, None) if rollout else None
        if rollout is None or is_new is None:
            return
        if not exchange.sent_at:
            rollout.exposure.give_back(is_new)
        else:
            now = self.reactor.seconds()
            self.recorder.record_end(rollout, exchange, outcome, now)

    def abandoned(self, exchange: Exchange) -> None:
        """Record that the reply of an exchange is not waited for any longer."""
        rollout = self.services.get(exchange.replica.entry.service)
        is_new = rollout.in_flight.pop(exchange, None) if rollout else None
        if rollout is None or is_new is None:
            return
        if not exchange.sent_at:
            rollout.exposure.give_back(is_new)
        else:
            now = self.reactor.seconds()
            self.recorder.record_abandoned(rollout, exchange, now)

    # Decisions

    def tick(self) -> None:
        """Read evidence, stop what is bad, and write what this gateway decides."""
        now = self.reactor.seconds()
        active = [one for one in self.services.values() if one.is_active(now)]
        if not active:
            self.running = False
            self.loop.stop()
            return
        for rollout in active:
            call_logged(partial(self.update, rollout, now))

    def update(self, rollout: ServiceRollout, now: float) -> None:
        """Update one rollout."""
        service = rollout.service
        self.update_pause(rollout)
        rollout.update_share(len(self.site.names()), now)
        running_old = sum(not is_new for is_new in rollout.in_flight.values())
        if running_old and not rollout.is_decided:
            self.record_open(rollout, running_old, now)
        if not rollout.is_decided:
            self.update_own_verdict(rollout, now)
        if self.needs_decision(rollout, now):
            self.decide(rollout, now)
        else:
            self.election.end(service)

    def update_pause(self, rollout: ServiceRollout) -> None:
        """Pause the new version while a verdict on it could not be heard."""
        paused = self.site.contact_age_s() > PAUSE_RATIO * self.bounds.rollback_s
        if paused != rollout.paused and not rollout.is_decided:
            log_event(
                logger,
                EventName.ROLLOUT_PAUSED,
                service=rollout.service,
                state="no contact with the store" if paused else "goes on",
            )
        rollout.paused = paused

    def update_own_verdict(self, rollout: ServiceRollout, now: float) -> None:
        """Stop at once if this gateway's own counts show a bad version."""
        verdict = self.evaluate(self.own_evaluations[rollout.service], rollout, now)
        if isinstance(verdict, Bad) and not rollout.own_verdict:
            rollout.own_verdict = verdict.figures
            delay_s = OWN_VERDICT_DELAY_S * self.random.random()
            self.own_verdict_at[rollout.service] = now + delay_s
            self.log_verdict(rollout, "bad by own counts", verdict.figures)

    def evaluate(
        self, evaluation: Evaluation, rollout: ServiceRollout, now: float
    ) -> Verdict:
        """Add the evidence since the last call, and return the verdict."""
        routes = routes_to(self.directory.configuration, rollout.service)
        replicas = self.directory.by_service.get(rollout.service, ())
        evaluation.update(routes, replicas, now)
        return evaluation.verdict(rollout.age_s(now))

    def log_verdict(self, rollout: ServiceRollout, state: str, figures: str) -> None:
        """Log a verdict with the figures that decided."""
        log_event(
            logger,
            EventName.ROLLOUT_VERDICT,
            service=rollout.service,
            state=state,
            detail=figures,
        )

    def needs_decision(self, rollout: ServiceRollout, now: float) -> bool:
        """Return whether a leader has to evaluate a rollout, or to write its state."""
        return not rollout.is_decided or rollout.must_write

    def decide(self, rollout: ServiceRollout, now: float) -> None:
        """Evaluate the evidence of the fleet, and write the next state as leader."""
        service = rollout.service
        is_holder = self.ledger.is_holder()
        verdict: Verdict = Undecided("not evaluated here", False)
        if is_holder and not rollout.is_decided:
            evaluation = self.fleet_evaluations[service]
            known = evaluation.bad
            verdict = self.evaluate(evaluation, rollout, now)
            if isinstance(verdict, Bad) and known is None:
                # Holders stop before the state is written; the store may be away.
                rollout.own_verdict = rollout.own_verdict or verdict.figures
                self.log_verdict(rollout, "bad", verdict.figures)
        leads = is_holder and self.election.is_leader(service, self.site.names(), now)
        if not leads:
            due_at = self.own_verdict_at.get(service, float("inf"))
            if rollout.is_decided or now < due_at:
                return
            verdict = Bad(rollout.own_verdict)
        if not self.writer.may_write(service, now):
            return
        following = self.following_state(rollout, verdict, now)
        if following is not None:
            self.writer.write(rollout, following)

    def following_state(
        self, rollout: ServiceRollout, verdict: Verdict, now: float
    ) -> RolloutState | None:
        """Return the state to write, ``None`` if the store has what it should."""
        completed = self.writer.may_be_completed(rollout)
        if completed is not None:
            return completed
        order, state = rollout.order, rollout.state
        if order is None:
            return None
        bounds = self.bounds
        if state is None:
            if rollout.withdrawn_at is not None:
                return None
            age_s = rollout.age_s(now)
            ordered_at = self.site.time_of_day() - age_s
            stored = rollout.stored_state
            number = 1 if stored is None else stored.round_number + 1
            return first_state(
                order,
                bounds.canary_share,
                bounds.canary_slack,
                ordered_at,
                number,
                age_s,
            )
        if rollout.own_verdict and not isinstance(verdict, Bad):
            verdict = Bad(rollout.own_verdict)
        situation = self.situation(rollout, verdict, now)
        if rollout.is_withdrawn(now) and not state.phase.is_final:
            return roll_back(state, situation, "the order was withdrawn", False)
        following = next_state(state, situation)
        if following is None and rollout.must_write:
            return state
        return following

    def situation(
        self, rollout: ServiceRollout, verdict: Verdict, now: float
    ) -> Situation:
        """Return what the next state depends on."""
        routes = routes_to(self.directory.configuration, rollout.service)
        has_new = any(
            rollout.is_new(replica) and not replica.pool.is_failing
            for replica in self.directory.replicas_of(rollout.service)
        )
        return Situation(
            rollout.age_s(now),
            now - rollout.state_since,
            verdict,
            self.fleet_evaluations[rollout.service].trial.answers,
            has_new,
            self.old_is_idle(rollout, now),
            self.bounds.configuration_s,
            max((route.timeout_s for route in routes), default=0.0),
            self.bounds.canary_share,
            self.bounds.canary_slack,
        )

    def record_open(self, rollout: ServiceRollout, count: int, now: float) -> None:
        """Tell the leader that requests run at old replicas."""
        subject = open_subject(rollout)
        self.ledger.record(subject, float(count), now)

    def old_is_idle(self, rollout: ServiceRollout, now: float) -> bool:
        """Return whether the ledger shows that nothing runs at old replicas.

        It shows nothing while it misses the counts of some gateways.
        """
        subject = open_subject(rollout)
        if self.ledger.silent_share(subject, now) > 0.0:
            return False
        return self.ledger.total(subject, IDLE_WINDOW_S, now) <= 0.0


def open_subject(rollout: ServiceRollout) -> str:
    """Return the subject of the requests that run at old replicas."""
    version = rollout.order.target_version if rollout.order else ""
    return f"rollout/{rollout.service}/{version}/-/open"
