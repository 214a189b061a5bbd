"""One request to one replica: at most once where it is not idempotent."""

from __future__ import annotations

from collections.abc import Callable

from sardinehook.errors import ErrorKind, Problem
from sardinehook.gateway.answer import CallerAnswer, refuse
from sardinehook.gateway.configuration import Route
from sardinehook.gateway.dispatch import (
    Answered,
    Exchange,
    ExchangeOutcome,
    Failed,
    NotRun,
)
from sardinehook.gateway.interfaces import CallerRequest, ReplicaReply
from sardinehook.gateway.policy import MOVE_AFTER_S, RequestPolicy, give_up_at
from sardinehook.gateway.replica import Replica
from sardinehook.gateway.replica_selection import SelectedReplica
from sardinehook.transport.reactor import Timer

__all__ = ["SingleCall"]

HEDGE_QUANTILE = 0.97  # of the replies come before a second replica is asked
HEDGE_MOST_RATIO = 0.6  # of the objective: an idempotent request is hedged by then
REFUSED_SENDS = 3  # sends beyond the route's attempts for those that did not run
USEFUL_RATIO = 0.3  # of the usual latency has to be left for another try
SERVER_ERROR = 500


class SingleCall:
    """The aggregate of one request; ``finish`` is called once with the answer.

    A request that is not idempotent is sent again only if it surely did not run. An
    idempotent one is also sent again after a failure, and hedged when its reply is
    overdue. Either goes to another replica where no connection comes about. A refusal
    that promises that nothing ran is given only if that is true.
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
        self.finish = finish
        self.settled = False
        self.attempts = 0
        self.refusals = 0
        self.repeats = 0
        self.hedges = 0
        self.may_have_run = False
        self.arrived = False
        self.tried: list[Replica] = []
        self.open_exchanges: list[Exchange] = []
        self.reasons: list[str] = []
        self.failure: ReplicaReply | None = None
        self.timer: Timer | None = None
        self.give_up_at = give_up_at(request, route)
        self.usual_s = policy.usual_s(route)
        hedge_s = policy.usual_s(route, HEDGE_QUANTILE)
        self.hedge_delay_s = min(hedge_s, HEDGE_MOST_RATIO * route.objective_s)
        self.hedge_at: float | None = request.received_at + self.hedge_delay_s

    def start(self) -> None:
        """Send the request to the best replica, or refuse it."""
        now = self.reactor.seconds()
        if now + self.usual_s * USEFUL_RATIO > self.give_up_at:
            problem = Problem(ErrorKind.DEADLINE_TOO_SHORT, "too late")
            self.settle_with(refuse(problem))
            return
        self.policy.budget_of(self.service).note_request(now)
        reachable = self.policy.directory.can_serve(self.service, now)
        choice = self.choose(now) if reachable else None
        if choice is None:
            problem = Problem(
                ErrorKind.TARGET_UNAVAILABLE,
                f"no replica to ask; {self.policy.explain(self.service)}",
            )
            self.settle_with(refuse(problem))
            return
        self.send(choice.replica, now)
        if not self.settled:
            self.schedule(now)

    def choose(self, now: float) -> SelectedReplica | None:
        """Return the replica to ask."""
        left_s = self.give_up_at - now
        return self.policy.selector.select(
            self.service, self.usual_s, self.tried, left_s, now
        )

    def send(self, replica: Replica, now: float) -> None:
        """Ask ``replica``."""
        self.attempts += 1
        self.tried.append(replica)
        exchange = Exchange(
            self.request, replica, now, self.give_up_at, self.exchange_ended
        )
        self.open_exchanges.append(exchange)
        self.policy.dispatcher.start(exchange)

    def exchange_ended(self, exchange: Exchange, outcome: ExchangeOutcome) -> None:
        """Take in the end of one exchange."""
        now = self.reactor.seconds()
        if exchange in self.open_exchanges:
            self.open_exchanges.remove(exchange)
        self.arrived = self.arrived or exchange.sent_at > 0.0
        answer = self.take(exchange, outcome, now)
        if self.settled:
            return
        if answer is not None:
            self.settle_with(answer)
        elif not self.open_exchanges and not self.send_extra(now):
            self.settle_with(self.failed(now))

    def take(
        self, exchange: Exchange, outcome: ExchangeOutcome, now: float
    ) -> CallerAnswer | None:
        """Return the answer that an outcome makes, ``None`` if it makes none."""
        replica_id = exchange.replica.replica_id
        match outcome:
            case Answered(reply):
                self.may_have_run = True
                if reply.is_success:
                    self.observe(exchange, now)
                    return passed_on(reply)
                self.reasons.append(f"{replica_id}:status {reply.status}")
                return self.take_failure(reply)
            case NotRun(detail, sent):
                self.attempts -= 1
                self.refusals += sent
                self.reasons.append(f"{replica_id}:{detail}")
            case Failed(detail):
                self.may_have_run = True
                self.reasons.append(f"{replica_id}:{detail}")
        return None

    def take_failure(self, reply: ReplicaReply) -> CallerAnswer | None:
        """Pass a replica's failure on unless another replica may do better."""
        unsigned = reply.signature is None or reply.mismatched or reply.content_encoded
        if unsigned or 200 <= reply.status < 300:
            return None
        self.failure = reply
        if self.route.idempotent and reply.status >= SERVER_ERROR:
            return None
        return passed_on(reply)

    def observe(self, exchange: Exchange, now: float) -> None:
        """Learn from how long a reply took."""
        dispatcher = self.policy.dispatcher
        took_s = dispatcher.observe_reply_time(exchange, self.usual_s, now)
        self.policy.observe(self.route, took_s)

    def send_extra(self, now: float) -> bool:
        """Ask one more replica if safety, attempts, time and budget allow."""
        if self.may_have_run and not self.route.idempotent:
            return False
        if self.attempts >= self.route.max_attempts or self.refusals > REFUSED_SENDS:
            return False
        if now + self.usual_s * USEFUL_RATIO > self.give_up_at:
            return False
        choice = self.choose(now)
        if choice is None:
            return False
        is_repeat = self.arrived or self.open_exchanges
        if is_repeat and not self.policy.may_repeat(self.service, now):
            return False
        self.repeats += 1
        self.send(choice.replica, now)
        return True

    def schedule(self, now: float) -> None:
        """Set the timer to what is due next."""
        due_at = self.give_up_at
        if self.hedge_at is not None:
            due_at = min(due_at, self.hedge_at)
        self.timer = self.reactor.callLater(max(0.0, due_at - now), self.check)

    def check(self) -> None:
        """Hedge, or give up at the end of the caller's patience."""
        self.timer = None
        if self.settled:
            return
        now = self.reactor.seconds()
        if now >= self.give_up_at:
            self.settle_with(self.failed(now))
            return
        if self.hedge_at is not None and now >= self.hedge_at:
            self.hedge_at = None
            if not any(exchange.sent_at for exchange in self.open_exchanges):
                self.move(now)
            elif self.route.idempotent:
                self.hedges += self.send_extra(now)
        if not self.settled:
            self.schedule(now)

    def move(self, now: float) -> None:
        """Ask another replica in place of one to which no connection comes about.

        Nothing was sent, so it is safe for any request, and costs neither an attempt
        nor budget.
        """
        ready_at = self.open_exchanges[-1].started_at + MOVE_AFTER_S
        if now < ready_at:
            self.hedge_at = ready_at
            return
        choice = self.choose(now)
        if choice is None:
            return
        for exchange in self.open_exchanges:
            self.policy.dispatcher.abandon(exchange)
            self.attempts -= 1
        self.open_exchanges.clear()
        self.send(choice.replica, now)
        self.hedge_at = now + self.hedge_delay_s

    def failed(self, now: float) -> CallerAnswer:
        """Return the answer to a request that no replica answered."""
        detail = "; ".join(self.reasons[-4:])
        at_work = any(exchange.sent_at for exchange in self.open_exchanges)
        if not self.may_have_run and not at_work:
            return refuse(Problem(ErrorKind.TARGET_UNAVAILABLE, detail))
        if self.failure is not None and not at_work:
            return passed_on(self.failure)
        if now >= self.give_up_at:
            return refuse(Problem(ErrorKind.DEADLINE_EXCEEDED, detail or "no reply"))
        return refuse(Problem(ErrorKind.OUTCOME_UNKNOWN, detail))

    def settle_with(self, answer: CallerAnswer) -> None:
        """End the request; what is still at work for it is no longer wanted."""
        self.settled = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.abandon_all()
        self.finish(answer)

    def cancel(self) -> None:
        """Stop, since the caller has left."""
        if self.settled:
            return
        self.settled = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.abandon_all()

    def abandon_all(self) -> None:
        """Abandon idempotent work; other work is left to its end."""
        for exchange in self.open_exchanges:
            if self.route.idempotent or not exchange.sent_at:
                self.policy.dispatcher.abandon(exchange)
        self.open_exchanges.clear()


def passed_on(reply: ReplicaReply) -> CallerAnswer:
    """Return a replica's reply as the caller's answer, unchanged."""
    return CallerAnswer(reply.status, reply.headers, reply.body, "answered")
