"""Evaluates rollouts, stops what is bad here, and decides where this gateway leads."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

import structlog

from sardinehook.gateway.directory import Directory
from sardinehook.gateway.interfaces import StoreSchema
from sardinehook.gateway.metrics import GatewayMetrics
from sardinehook.gateway.reactor import GatewayReactor
from sardinehook.gateway.rollout.evaluation import Evaluation, routes_to
from sardinehook.gateway.rollout.items import RolloutItems, RolloutSite
from sardinehook.gateway.rollout.leader import LeaderElection, StateWriter
from sardinehook.gateway.rollout.orders import RolloutOrder, RolloutState
from sardinehook.gateway.rollout.plan import (
    Situation,
    first_state,
    next_state,
    roll_back,
)
from sardinehook.gateway.rollout.service import ServiceRollout
from sardinehook.gateway.rollout.verdict import ERROR_RATE, Bad, Undecided, Verdict
from sardinehook.gateway.settings import Bounds
from sardinehook.gateway.store import GatewayStore, Item
from sardinehook.gateway.usage.interfaces import UsageLedger
from sardinehook.observe.events import EventName, log_event

__all__ = ["RolloutDecisions", "open_subject"]

logger = structlog.get_logger(__name__)

PAUSE_RATIO = 0.6  # of the time to roll back: a verdict may come that much later
OWN_VERDICT_DELAY_S = 0.5  # spreads the writes of gateways with a verdict of their own
OWN_EVIDENCE_S = 2.0  # after an answer, its counts have been read
IDLE_WINDOW_S = 1.5  # without requests at old replicas before they count as idle


class RolloutDecisions:
    """The evidence on all rollouts, and the decisions of this gateway.

    ``own_ledger`` has the counts of this gateway only.
    """

    def __init__(
        self,
        reactor: GatewayReactor,
        directory: Directory,
        store: GatewayStore,
        schema: StoreSchema,
        ledger: UsageLedger,
        own_ledger: UsageLedger,
        items: RolloutItems,
        site: RolloutSite,
        metrics: GatewayMetrics,
        random: Random,
    ) -> None:
        self.directory = directory
        self.ledger = ledger
        self.own_ledger = own_ledger
        self.items = items
        self.site = site
        self.metrics = metrics
        self.random = random
        self.bounds = Bounds()
        self.fleet_evaluations: dict[str, Evaluation] = {}
        self.own_evaluations: dict[str, Evaluation] = {}
        self.own_verdict_at: dict[str, float] = {}
        self.election = LeaderElection(ledger, site.node)
        self.writer = StateWriter(
            reactor, store, schema, self.apply_items, self.record_written
        )

    def begin(self, rollout: ServiceRollout, order: RolloutOrder, now: float) -> None:
        """Begin to evaluate a rollout, with no evidence."""
        service = rollout.service
        self.fleet_evaluations[service] = Evaluation(
            self.ledger, order, ERROR_RATE, now
        )
        gateways = max(1, len(self.site.names()))
        self.own_evaluations[service] = Evaluation(
            self.own_ledger, order, ERROR_RATE / gateways, now
        )
        self.own_verdict_at.pop(service, None)

    def apply_items(self, rollout: ServiceRollout, items: Sequence[Item]) -> None:
        """Apply what the store has instead of what this gateway wanted to write."""
        for item in items:
            self.items.apply_item(item)

    def record_written(
        self, rollout: ServiceRollout, state: RolloutState, revision: int
    ) -> None:
        """Use a state that this gateway has written."""
        if state.phase.is_final and rollout.state != state:
            self.metrics.rollout_decisions.labels(str(state.phase)).inc()
        self.items.take_state(rollout, state)

    def update(self, rollout: ServiceRollout, now: float) -> None:
        """Update one rollout."""
        service = rollout.service
        self.update_pause(rollout)
        rollout.update_share(len(self.site.names()), now)
        running_old = sum(not is_new for is_new in rollout.in_flight.values())
        if running_old and not rollout.is_decided:
            self.record_open(rollout, running_old, now)
        if not rollout.is_decided and now < rollout.last_answer_at + OWN_EVIDENCE_S:
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
            if rollout.state is not None and not rollout.gets_extra:
                evaluation.restore(rollout.state)
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
        trial = self.fleet_evaluations[rollout.service].trial
        has_new = any(
            rollout.is_new(replica) and not replica.pool.is_failing
            for replica in self.directory.replicas_of(rollout.service)
        )
        return Situation(
            rollout.age_s(now),
            now - rollout.state_since,
            verdict,
            trial.answers,
            trial.scores,
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
