"""Answers gateways that ask a holder of the usage ledger for quota."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from sardinehook.gateway.organisations.organisation import Organisation
from sardinehook.gateway.quota.admission import QuotaAdmission, quota_subject
from sardinehook.gateway.usage.messages import Ask, GiveBack, Grant

__all__ = ["GrantDesk"]

RETENTION_S = 10.0  # of answers, for repeated datagrams and for what is given back
MAX_ANSWERS = 16384

AskKey = tuple[str, int, int]


class GivenAnswer(NamedTuple):
    """An answer, and when it was given."""

    grant: Grant
    subject: str
    amount: float
    at: float


class GrantDesk:
    """Answers each ask once, and takes grants back once.

    The quota is that of the configuration in force here; the one that the ask states
    is used if the organisation is unknown here.
    """

    def __init__(self, admission: QuotaAdmission) -> None:
        self.admission = admission
        self.organisations: Mapping[str, Organisation] = {}
        self.answers: dict[AskKey, GivenAnswer] = {}

    def answer(self, ask: Ask, now: float) -> Grant | None:
        """Return the answer to an ask, ``None`` if this gateway is no holder."""
        if not self.admission.ledger.is_holder():
            return None
        key = (ask.node, ask.incarnation, ask.id)
        given = self.answers.get(key)
        if given is None:
            grant = self.decide(ask, now)
            subject = quota_subject(ask.subject)
            given = GivenAnswer(grant, subject, ask.amount, now)
            self.make_room(now)
            self.answers[key] = given
        return given.grant

    def decide(self, ask: Ask, now: float) -> Grant:
        """Decide an ask that has not been answered yet."""
        stated = Organisation(ask.subject, None, ask.rate_per_s, ask.burst)
        organisation = self.organisations.get(ask.subject, stated)
        if organisation.rate_per_s <= 0.0:
            return Grant(ask.id, True, 0.0)
        verdict = self.admission.decide(organisation, ask.amount, now)
        return Grant(ask.id, verdict.granted, verdict.retry_after_s)

    def take_back(self, message: GiveBack, now: float) -> None:
        """Take back what was granted, unless it was taken back before."""
        given = self.answers.pop((message.node, message.incarnation, message.id), None)
        if given is not None and given.grant.granted:
            self.admission.ledger.give_back(given.subject, given.amount, given.at, now)

    def make_room(self, now: float) -> None:
        """Remove the oldest answers that have expired or are too many."""
        while self.answers:
            oldest = next(iter(self.answers))
            is_expired = self.answers[oldest].at < now - RETENTION_S
            if not is_expired and len(self.answers) < MAX_ANSWERS:
                return
            del self.answers[oldest]
