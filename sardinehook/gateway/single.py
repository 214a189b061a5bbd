"""Requests to a single replica, run at most once unless idempotent."""

from __future__ import annotations

from collections.abc import Callable

from sardinehook.errors import ErrorKind, Problem
from sardinehook.gateway.answer import CallerAnswer, error_answer
from sardinehook.gateway.configuration import Route
from sardinehook.gateway.dispatch import (
    Answered,
    Exchange,
    ExchangeOutcome,
    Failed,
    NotRun,
)
from sardinehook.gateway.interfaces import CallerRequest, ReplicaReply
from sardinehook.gateway.policy import FAILOVER_AFTER_S, RequestPolicy, request_deadline
from sardinehook.gateway.replica import Replica
from sardinehook.gateway.replica_selection import SelectedReplica
from sardinehook.gateway.unexpected import answers_errors, unexpected_error_answer
from sardinehook.transport.reactor import Timer

__all__ = ["SingleCall"]

HEDGE_QUANTILE = 0.97  # of reply times: an idempotent request is hedged then
MAX_HEDGE_RATIO = 0.6  # of the objective: the latest hedge
MAX_REFUSALS = 3  # sends that did not run and don't count as attempts
MIN_TIME_RATIO = 0.3  # of the median latency must remain for another send
INTERNAL_SERVER_ERROR = 500
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})  # they promise this to callers


class SingleCall:
    """One request to a single replica; ``finish`` is called once with the answer.

    A request that is not idempotent is retried only if it certainly did not run. An
    idempotent one is also retried after a failure, and hedged when its reply is
    overdue. Either fails over to another replica if no connection is established. An
    error that states that nothing ran is returned only if that is certain.
    """

    def __init__(
        self,
        policy: RequestPolicy,
        request: CallerRequest,
        route: Route,
        service: str,
        finish: Callable[[CallerAnswer], None],
    ) -> None:
        self.policy = policy
        self.reactor = policy.reactor
        self.request = request
        self.route = route
        self.service = service
        self.priority = policy.priority_of(request, route)
        self.finish = finish
        self.settled = False
        self.attempts = 0
        self.refusals = 0
        self.repeats = 0
        self.hedges = 0
        self.may_have_run = False
        self.was_sent = False
        self.tried: list[Replica] = []
        self.open_exchanges: list[Exchange] = []
        self.reasons: list[str] = []
        self.error_reply: ReplicaReply | None = None
        self.timer: Timer | None = None
        self.deadline_at = request_deadline(request, route)
        self.median_s = policy.latency_s(route)
        quantile_s = policy.latency_s(route, HEDGE_QUANTILE)
        self.hedge_delay_s = min(quantile_s, MAX_HEDGE_RATIO * route.objective_s)
        self.hedge_at: float | None = request.received_at + self.hedge_delay_s
        self.adapts = policy.directory.adapts_to_load

    @answers_errors
    def start(self) -> None:
        """Send the request to the best replica, or refuse it if none can answer."""
        now = self.reactor.seconds()
        if now + self.median_s * MIN_TIME_RATIO > self.deadline_at:
            problem = Problem(ErrorKind.DEADLINE_TOO_SHORT, "too little time left")
            self.complete(error_answer(problem))
            return
        self.policy.budget_for(self.service).record_request(now)
        self.policy.single_requests.add(1, now)
        reachable = self.policy.directory.can_serve(self.service, now)
        choice = self.choose(now) if reachable else None
        if choice is None:
            problem = Problem(
                ErrorKind.TARGET_UNAVAILABLE,
                f"no replica available; {self.policy.explain(self.service)}",
            )
            self.complete(error_answer(problem, self.retry_after_s(now)))
            return
        self.follow_expected_end(choice, now)
        self.send(choice, now)
        if not self.settled:
            self.schedule(now)

    def follow_expected_end(self, choice: SelectedReplica, now: float) -> None:
        """Hedge when the reply of the chosen replica is overdue by its own estimate.

        The latest hedge is that of deployments that don't adapt to load.
        """
        if self.adapts:
            ratio = self.policy.overdue_ratios.overdue_ratio(self.route.name)
            latest_at = self.request.received_at + self.hedge_delay_s
            self.hedge_delay_s = min(ratio * choice.expected_s, self.hedge_delay_s)
            self.hedge_at = min(now + self.hedge_delay_s, latest_at)

    def retry_after_s(self, now: float) -> float | None:
        """Return when pauses and limits of replicas allow a request, with jitter."""
        wait_s = self.policy.wait_s(self.priority, self.service, now)
        return wait_s * (1.0 + self.policy.selector.random.random()) or None

    def choose(self, now: float) -> SelectedReplica | None:
        """Choose the best replica that was not tried yet, ``None`` if none is left."""
        left_s = self.deadline_at - now
        reserve = self.policy.rate_reserve(self.priority, self.service)
        return self.policy.selector.select(
            self.service, self.median_s, self.tried, left_s, now, reserve
        )

    def send(self, choice: SelectedReplica, now: float) -> None:
        """Send the request to the replica of a choice."""
        self.attempts += 1
        self.tried.append(choice.replica)
        exchange = Exchange(
            self.request, choice.replica, now, self.deadline_at, self.exchange_ended
        )
        exchange.expected_s = choice.expected_s
        self.open_exchanges.append(exchange)
        self.policy.dispatcher.start(exchange)

    @answers_errors
    def exchange_ended(self, exchange: Exchange, outcome: ExchangeOutcome) -> None:
        """Process the outcome of one exchange."""
        now = self.reactor.seconds()
        if exchange in self.open_exchanges:
            self.open_exchanges.remove(exchange)
        self.was_sent = self.was_sent or exchange.sent_at > 0.0
        answer = self.process_outcome(exchange, outcome, now)
        if self.settled:
            return
        if answer is not None:
            self.complete(answer)
        elif not self.open_exchanges and not self.send_extra(now):
            self.complete(self.failure_answer(now))

    def process_outcome(
        self, exchange: Exchange, outcome: ExchangeOutcome, now: float
    ) -> CallerAnswer | None:
        """Return the answer for an outcome, ``None`` if it is no final answer."""
        replica_id = exchange.replica.replica_id
        match outcome:
            case Answered(reply):
                self.may_have_run = True
                if reply.is_success:
                    self.observe(exchange, now)
                    return forward(reply)
                self.reasons.append(f"{replica_id}:status {reply.status}")
                return self.process_error(reply)
            case NotRun(detail, sent):
                self.attempts -= 1
                self.refusals += sent
                self.reasons.append(f"{replica_id}:{detail}")
            case Failed(detail):
                self.may_have_run = True
                self.reasons.append(f"{replica_id}:{detail}")
        return None

    def process_error(self, reply: ReplicaReply) -> CallerAnswer | None:
        """Forward a replica's error unless another replica may succeed.

        A status that would promise the caller that nothing ran is not forwarded: only
        an answer that states so is certain, and this one does not.
        """
        unsigned = reply.signature is None or reply.mismatched or reply.content_encoded
        if unsigned or 200 <= reply.status < 300 or reply.status in NOT_RUN_STATUSES:
            return None
        self.error_reply = reply
        if self.route.idempotent and reply.status >= INTERNAL_SERVER_ERROR:
            return None
        return forward(reply)

    def observe(self, exchange: Exchange, now: float) -> None:
        """Update the latency estimates from a successful reply."""
        dispatcher = self.policy.dispatcher
        took_s = dispatcher.observe_reply_time(exchange, self.median_s, now)
        self.policy.observe(self.route, took_s)
        if self.adapts and exchange.expected_s > 0.0:
            ratio = (now - exchange.started_at) / exchange.expected_s
            self.policy.overdue_ratios.observe(self.route.name, ratio)

    def send_extra(self, now: float) -> bool:
        """Send to one more replica if idempotency, attempts, time and budget allow."""
        if self.may_have_run and not self.route.idempotent:
            return False
        if self.attempts >= self.route.max_attempts or self.refusals > MAX_REFUSALS:
            return False
        if now + self.median_s * MIN_TIME_RATIO > self.deadline_at:
            return False
        choice = self.choose(now)
        if choice is None:
            return False
        is_repeat = self.was_sent or self.open_exchanges
        if is_repeat and not self.policy.try_spend_retry(self.service, now):
            return False
        self.repeats += 1
        self.send(choice, now)
        return True

    def schedule(self, now: float) -> None:
        """Set the timer to the hedge or to the deadline, whichever is first."""
        due_at = self.deadline_at
        if self.hedge_at is not None:
            due_at = min(due_at, self.hedge_at)
        self.timer = self.reactor.callLater(max(0.0, due_at - now), self.on_timer)

    @answers_errors
    def on_timer(self) -> None:
        """Handle the timer: hedge, fail over or end the request at its deadline."""
        self.timer = None
        if self.settled:
            return
        now = self.reactor.seconds()
        if now >= self.deadline_at:
            self.complete(self.failure_answer(now))
            return
        if self.hedge_at is not None and now >= self.hedge_at:
            self.hedge_at = None
            if not any(exchange.sent_at for exchange in self.open_exchanges):
                self.fail_over(now)
            elif self.route.idempotent:
                self.hedges += self.send_extra(now)
        if not self.settled:
            self.schedule(now)

    def fail_over(self, now: float) -> None:
        """Replace a replica to which no connection could be established.

        Nothing was sent, so this is safe for any request and uses neither an attempt
        nor the retry budget.
        """
        failover_at = self.open_exchanges[-1].started_at + FAILOVER_AFTER_S
        if now < failover_at:
            self.hedge_at = failover_at
            return
        choice = self.choose(now)
        if choice is None:
            return
        for exchange in self.open_exchanges:
            self.policy.dispatcher.abandon(exchange)
            self.attempts -= 1
        self.open_exchanges.clear()
        self.send(choice, now)
        self.hedge_at = now + self.hedge_delay_s

    def failure_answer(self, now: float) -> CallerAnswer:
        """Return the error for a request without a usable reply."""
        detail = "; ".join(self.reasons[-4:])
        running = any(exchange.sent_at for exchange in self.open_exchanges)
        if not self.may_have_run and not running:
            problem = Problem(ErrorKind.TARGET_UNAVAILABLE, detail)
            return error_answer(problem, self.retry_after_s(now))
        if self.error_reply is not None and not running:
            return forward(self.error_reply)
        if now >= self.deadline_at:
            return error_answer(
                Problem(ErrorKind.DEADLINE_EXCEEDED, detail or "no reply")
            )
        return error_answer(Problem(ErrorKind.OUTCOME_UNKNOWN, detail))

    def may_be_running(self) -> bool:
        """Return whether any replica may still be running the request."""
        return any(exchange.sent_at for exchange in self.open_exchanges)

    def complete(self, answer: CallerAnswer) -> None:
        """Abandon the open exchanges and finish with ``answer``."""
        self.settled = True
        try:
            if self.timer is not None and self.timer.active():
                self.timer.cancel()
            self.abandon_all()
        finally:
            self.finish(answer)

    def fail_unexpectedly(self) -> None:
        """Answer after an unexpected error."""
        if not self.settled:
            running = any(exchange.sent_at for exchange in self.open_exchanges)
            may_have_run = self.may_have_run or self.was_sent or running
            self.complete(unexpected_error_answer(may_have_run))

    def cancel(self) -> None:
        """Stop after the caller has disconnected."""
        if self.settled:
            return
        self.settled = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.abandon_all()

    def abandon_all(self) -> None:
        """Abandon exchanges that are idempotent or unsent; others run to their end."""
        for exchange in self.open_exchanges:
            if self.route.idempotent or not exchange.sent_at:
                self.policy.dispatcher.abandon(exchange)
        self.open_exchanges.clear()


def forward(reply: ReplicaReply) -> CallerAnswer:
    """Return a replica's reply unchanged as the caller's answer."""
    return CallerAnswer(reply.status, reply.headers, reply.body, "answered")
