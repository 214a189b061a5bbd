"""Decides for each request of an organisation whether its quota allows it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from random import Random

from sardinehook.errors import ERROR_RESPONSES, ErrorKind
from sardinehook.gateway.answer import CallerAnswer
from sardinehook.gateway.http_server import Cancellable
from sardinehook.gateway.metrics import GatewayMetrics
from sardinehook.gateway.organisations.organisation import (
    Organisation,
    Organisations,
)
from sardinehook.gateway.quota.admission import QuotaAdmission, quota_subject
from sardinehook.gateway.quota.asking import AskedDecision, QuotaAsker
from sardinehook.gateway.quota.fallback import FallbackShares
from sardinehook.gateway.quota.granting import GrantDesk
from sardinehook.gateway.reactor import GatewayReactor
from sardinehook.gateway.settings import Bounds
from sardinehook.gateway.usage.exchange import UsageExchange
from sardinehook.gateway.usage.messages import MAX_ASKED_NAME

__all__ = ["UNCOUNTED", "Admitted", "Decision", "QuotaGate", "Receipt", "Refused"]

UNKNOWN_RETRY_S = 0.2  # a holder that restarts or was busy answers by then


class Receipt:
    """What an admitted request has used; it is given back once at most."""

    def __init__(self, take_back: Callable[[], object] | None = None) -> None:
        self.take_back = take_back

    @property
    def is_counted(self) -> bool:
        """Whether the request has used quota that it has not given back."""
        return self.take_back is not None

    def give_back(self) -> None:
        """Give the quota of a request back that did not run."""
        take_back, self.take_back = self.take_back, None
        if take_back is not None:
            take_back()

    def settle(self, answer: CallerAnswer) -> None:
        """Give the quota back if an answer shows that nothing ran."""
        if is_not_run(answer):
            self.give_back()


UNCOUNTED = Receipt()


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request may begin."""

    receipt: Receipt


@dataclass(frozen=True, slots=True)
class Refused:
    """The request may not begin.

    ``is_over`` is set if the quota is used up, and not if that is unknown here.
    """

    retry_after_s: float
    is_over: bool
    detail: str = ""


Decision = Admitted | Refused
Finish = Callable[[Decision], None]


class QuotaGate:
    """Admits the requests of organisations within their quotas.

    A holder of the usage ledger decides at once; another gateway asks one. Without an
    answer, a gateway admits the few requests that its fallback share allows.
    """

    def __init__(
        self,
        reactor: GatewayReactor,
        exchange: UsageExchange,
        bounds: Bounds,
        metrics: GatewayMetrics,
        random: Random,
    ) -> None:
        self.reactor = reactor
        self.exchange = exchange
        self.ledger = exchange.ledger
        self.metrics = metrics
        self.random = random
        self.admission = QuotaAdmission(self.ledger, bounds)
        self.fallback = FallbackShares(self.ledger.node, bounds)
        self.desk = GrantDesk(self.admission)
        incarnation = self.ledger.table.own.incarnation
        self.asker = QuotaAsker(reactor, exchange, incarnation)
        exchange.on_ask = self.desk.answer
        exchange.on_grant = self.asker.receive
        exchange.on_give_back = self.desk.take_back

    def configure_bounds(self, bounds: Bounds) -> None:
        """Use the bounds of the deployment."""
        if bounds != self.admission.bounds:
            self.admission.bounds = bounds
            self.fallback.configure(bounds)
            self.ledger.configure(bounds.quota_window_s)

    def configure(self, organisations: Organisations | None) -> bool:
        """Use the quotas of the configuration in force; return if there are any."""
        by_name = organisations.by_name if organisations else {}
        self.desk.organisations = by_name
        return any(one.rate_per_s > 0.0 for one in by_name.values())

    def find(self, name: str) -> Organisation | None:
        """Return the organisation of a name if it has a quota now."""
        organisation = self.desk.organisations.get(name)
        if organisation is None or organisation.rate_per_s <= 0.0:
            return None
        return organisation

    def sweep(self) -> None:
        """Remove expired counts."""
        self.fallback.sweep(self.reactor.seconds())

    def admit(self, organisation: Organisation, finish: Finish) -> Cancellable | None:
        """Decide about a request; ``finish`` may be called before this returns.

        A request that waits for an answer can be cancelled; ``finish`` is not called
        then.
        """
        if organisation.rate_per_s <= 0.0:
            finish(Admitted(UNCOUNTED))
            return None
        if self.ledger.is_holder():
            finish(self.decide_here(organisation))
            return None
        holders = self.asker.candidates(quota_subject(organisation.name))
        is_askable = len(organisation.name) <= MAX_ASKED_NAME and self.asker.has_room
        if not (holders and is_askable and self.exchange.has_port):
            finish(self.decide_alone(organisation))
            return None

        def decided(decision: AskedDecision) -> None:
            finish(self.read_decision(organisation, decision))

        return self.asker.ask(organisation, holders, decided)

    def decide_here(self, organisation: Organisation) -> Decision:
        """Decide as a holder."""
        now = self.reactor.seconds()
        verdict = self.admission.decide(organisation, 1.0, now)
        self.count("held", verdict.granted)
        if not verdict.granted:
            return Refused(verdict.retry_after_s, True, verdict.detail)
        subject = quota_subject(organisation.name)
        return Admitted(Receipt(partial(self.take_back_here, subject, now)))

    def read_decision(
        self, organisation: Organisation, decision: AskedDecision
    ) -> Decision:
        """Return the decision of a holder, or decide if none has answered."""
        if not decision.holder:
            return self.decide_alone(organisation)
        self.count("asked", decision.granted)
        if not decision.granted:
            detail = f"{organisation.name}: refused by {decision.holder}"
            return Refused(decision.retry_after_s, True, detail)
        return Admitted(
            Receipt(partial(self.take_back_from, decision.ask_id, decision.holder))
        )

    def decide_alone(self, organisation: Organisation) -> Decision:
        """Decide by the fallback share of this gateway."""
        now = self.reactor.seconds()
        gateways = {*self.exchange.records(), self.ledger.node}
        granted = self.fallback.take(organisation, gateways, now)
        self.count("fallback", granted)
        if not granted:
            retry_after_s = UNKNOWN_RETRY_S * (1.0 + self.random.random())
            detail = f"{organisation.name}: no holder of its quota answers"
            return Refused(retry_after_s, False, detail)
        subject = quota_subject(organisation.name)
        self.ledger.record(subject, 1.0, now)
        return Admitted(Receipt(partial(self.take_back_here, subject, now)))

    def take_back_here(self, subject: str, used_at: float) -> None:
        """Take back a request that this gateway has counted."""
        self.metrics.quota_given_back.inc()
        self.ledger.give_back(subject, 1.0, used_at, self.reactor.seconds())

    def take_back_from(self, ask_id: int, holder: str) -> None:
        """Give back what a holder has granted."""
        self.metrics.quota_given_back.inc()
        self.asker.give_back(ask_id, holder)

    def count(self, place: str, granted: bool) -> None:
        """Count a decision by where it was made."""
        outcome = "admitted" if granted else "refused"
        self.metrics.quota_decisions.labels(place, outcome).inc()


def is_not_run(answer: CallerAnswer) -> bool:
    """Return whether an answer is a gateway's error that states that nothing ran.

    >>> is_not_run(CallerAnswer(503, (), b"", "overloaded"))
    True
    >>> is_not_run(CallerAnswer(503, (), b"", "answered"))
    False
    """
    try:
        kind = ErrorKind(answer.outcome)
    except ValueError:
        return False
    return ERROR_RESPONSES[kind].not_run
