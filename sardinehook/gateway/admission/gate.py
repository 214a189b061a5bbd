"""Connects the scheduler of admissions to the requests and the event loop."""

from __future__ import annotations

from collections import Counter
from typing import assert_never

import structlog

from sardinehook.errors import ErrorKind, Problem
from sardinehook.gateway.admission.congestion import was_held_up
from sardinehook.gateway.admission.retry_delay import retry_delay_s
from sardinehook.gateway.admission.scheduler import Scheduler
from sardinehook.gateway.admission.ticket import (
    Decision,
    RefusalReason,
    Refused,
    Started,
    Ticket,
    Waiting,
)
from sardinehook.gateway.admission.ticket_maker import TicketMaker
from sardinehook.gateway.answer import CallerAnswer, error_answer
from sardinehook.gateway.gather import Gather
from sardinehook.gateway.metrics import GatewayMetrics
from sardinehook.gateway.policy import RequestPolicy
from sardinehook.gateway.single import SingleCall
from sardinehook.gateway.unexpected import call_logged
from sardinehook.observe.events import EventName, log_event
from sardinehook.transport.reactor import Timer

__all__ = ["AdmissionGate"]

logger = structlog.get_logger(__name__)

LOG_INTERVAL_S = 1.0  # decisions of this time share a line
DETAILS = {
    RefusalReason.QUEUE: "too many requests wait for the same services",
    RefusalReason.OBJECTIVE: "no answer within the objective after waiting",
    RefusalReason.FULL: "too many requests wait in this gateway",
    RefusalReason.STOPPING: "the gateway stops before the request is started",
}

Work = Gather | SingleCall


class AdmissionGate:
    """Starts the requests that this gateway gathers, in the order of the scheduler.

    Where the deployment does not adapt to load, each request starts at once.
    """

    def __init__(self, policy: RequestPolicy, metrics: GatewayMetrics) -> None:
        self.policy = policy
        self.reactor = policy.reactor
        self.metrics = metrics
        self.scheduler = Scheduler()
        self.tickets = TicketMaker(policy)
        self.works: dict[Ticket, Work] = {}
        self.by_work: dict[Work, Ticket] = {}
        self.timer: Timer | None = None
        self.timer_at = float("inf")
        self.decided: Counter[str] = Counter()
        self.log_timer: Timer | None = None

    def submit(self, work: Work, begun: bool) -> None:
        """Start a request, let it wait or refuse it.

        ``begun`` is set if another gateway has handed it over.
        """
        if not self.policy.directory.adapts_to_load:
            work.start()
            return
        now = self.reactor.seconds()
        ticket = self.tickets.make(work, begun, now)
        self.works[ticket] = work
        self.by_work[work] = ticket
        finish = work.finish

        def finish_and_release(answer: CallerAnswer) -> None:
            try:
                finish(answer)
            finally:
                self.release(work, answer)

        work.finish = finish_and_release
        self.apply(self.scheduler.offer(ticket, now), now)

    def apply(self, decisions: list[Decision], now: float) -> None:
        """Carry out decisions; an error in one request does not affect the others."""
        for decision in decisions:
            work = self.works.get(decision.ticket)
            if work is None:
                continue
            match decision:
                case Started(_, waited_s):
                    self.start(work, waited_s, now)
                case Refused(ticket, reason):
                    self.refuse(work, ticket, reason)
                case Waiting():
                    self.count("waited")
                case _:
                    assert_never(decision)
        self.metrics.admission_waiting.set(self.scheduler.waiting)
        self.schedule(now)

    def start(self, work: Work, waited_s: float, now: float) -> None:
        """Start a request, which may have waited."""
        if waited_s:
            self.metrics.admission_started_late.inc()
            self.count("started_late")
            if isinstance(work, SingleCall):
                work.hedge_at = now + work.hedge_delay_s
        call_logged(work.start)

    def refuse(self, work: Work, ticket: Ticket, reason: RefusalReason) -> None:
        """Answer a request that has not run, with a spread Retry-After."""
        self.metrics.admission_refused.labels(reason.value).inc()
        self.count(f"refused_{reason.value}")
        patience_s = work.deadline_at - work.request.received_at
        random = self.policy.selector.random
        delay_s = retry_delay_s(ticket.priority, patience_s, random)
        kind = ErrorKind.OVERLOADED
        if reason is RefusalReason.STOPPING:
            kind = ErrorKind.STOPPING
        answer = error_answer(Problem(kind, DETAILS[reason]), delay_s)
        call_logged(lambda: work.complete(answer))

    def release(self, work: Work, answer: CallerAnswer | None = None) -> None:
        """Record that a request has ended or its caller has disconnected.

        ``answer`` is ``None`` if there was none. The next ones start in a later turn of
        the event loop, after this answer.
        """
        ticket = self.by_work.pop(work, None)
        if ticket is None:
            return
        del self.works[ticket]
        now = self.reactor.seconds()
        if not self.scheduler.withdraw(ticket) and ticket.started_at:
            service_s = self.tickets.service_s(work.route, ticket.key)
            held_up = was_held_up(work, ticket.started_at, service_s)
            if answer is not None and answer.outcome == ErrorKind.OVERLOADED.value:
                held_up = True
            self.scheduler.end(ticket, held_up, now)
        if self.scheduler.waiting:
            self.set_timer(now, now)
        self.metrics.admission_waiting.set(self.scheduler.waiting)

    def advance(self) -> None:
        """Start and refuse what is due."""
        self.timer = None
        self.timer_at = float("inf")
        now = self.reactor.seconds()
        self.apply(self.scheduler.advance(now), now)

    def schedule(self, now: float) -> None:
        """Set the timer to when the first waiting request is too late."""
        due_at = self.scheduler.next_due()
        if due_at is not None:
            self.set_timer(due_at, now)

    def set_timer(self, due_at: float, now: float) -> None:
        """Call ``advance`` at ``due_at`` or earlier."""
        if self.timer is not None and self.timer.active():
            if due_at >= self.timer_at:
                return
            self.timer.cancel()
        self.timer_at = due_at
        self.timer = self.reactor.callLater(max(0.0, due_at - now), self.advance)

    def stop(self) -> None:
        """Refuse all requests that still wait; they have not run."""
        now = self.reactor.seconds()
        self.apply(self.scheduler.refuse_all(), now)

    def count(self, decision: str) -> None:
        """Count a decision, which is logged with those of ``LOG_INTERVAL_S``."""
        self.decided[decision] += 1
        if self.log_timer is None:
            self.log_timer = self.reactor.callLater(LOG_INTERVAL_S, self.log_decisions)

    def log_decisions(self) -> None:
        """Log the counts of the last decisions in one line."""
        self.log_timer = None
        counts = " ".join(f"{name}={n}" for name, n in sorted(self.decided.items()))
        self.decided.clear()
        log_event(
            logger,
            EventName.ADMISSION_CONTENDED,
            count=self.scheduler.waiting,
            detail=counts,
        )
