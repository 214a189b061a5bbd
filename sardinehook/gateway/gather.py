"""One search over all shards: sending, hedging, settling and merging."""

from __future__ import annotations

from collections.abc import Callable
from math import ceil

from sardinehook.errors import ErrorKind, Problem
from sardinehook.gateway.answer import CallerAnswer, refuse
from sardinehook.gateway.configuration import Route, ShardSet
from sardinehook.gateway.dispatch import (
    Answered,
    Exchange,
    ExchangeOutcome,
    Failed,
    NotRun,
)
from sardinehook.gateway.fan_out import Ask, Refuse, plan_fan_out
from sardinehook.gateway.interfaces import CallerRequest
from sardinehook.gateway.part import Part
from sardinehook.gateway.policy import (
    MOVE_AFTER_S,
    RequestPolicy,
    answer_by,
    give_up_at,
)
from sardinehook.gateway.records import merge_records, split_records
from sardinehook.gateway.replica import Replica
from sardinehook.gateway.replica_selection import SelectedReplica
from sardinehook.transport.reactor import Timer

__all__ = ["Gather"]

HEDGE_QUANTILE = 0.95  # of the replies come before a second replica is asked
HEDGE_LEAST_RATIO = 0.08  # of the objective: no hedge is sent earlier
HEDGE_MOST_RATIO = 0.35  # of the objective: time for a second reply is left then
LATE_RATIO = 1.5  # of the objective: when a late answer stops waiting for the rest
PART_DEADLINE_RATIO = 2.5  # of the objective: replicas stop work by then
REFUSED_SENDS = 2  # sends beyond the route's attempts for those that did not run
RETRY_SHARE = 0.15  # of a caller's patience, at least, passes before it comes back
CUT_OFF_RETRY_S = 2.0  # two missed probes, one a second, turn the balancer away
LEAVE_GRACE_S = 0.25  # exchanges that end within it keep their connections
ROUNDING = 1e-9  # a share times a number may come out a little too large
USEFUL_RATIO = 0.5  # of the usual latency has to be left for another try


class Gather:
    """The aggregate of one search; ``finish`` is called once with the answer.

    Each shard is asked through one replica. A shard without a reply after the time
    within which most replies come is asked through a second one, paid from the
    shard's budget. At the latency objective the search is answered with what is
    there, if that is the least coverage; a search that missed its objective goes on
    until it has the least coverage or its time is up.
    """

    def __init__(
        self,
        policy: RequestPolicy,
        request: CallerRequest,
        route: Route,
        shards: ShardSet,
        finish: Callable[[CallerAnswer], None],
    ) -> None:
        self.policy = policy
        self.reactor = policy.reactor
        self.request = request
        self.route = route
        self.shards = shards
        self.finish = finish
        self.parts = [Part(shard) for shard in shards.shards]
        self.signatures: set[bytes] = set()
        self.settled = False
        self.in_count = 0
        self.lost_count = 0
        self.hedges = 0
        self.repeats = 0
        self.may_have_run = False
        self.missed_objective = False
        self.timer: Timer | None = None
        begun = request.received_at
        self.give_up_at = give_up_at(request, route)
        objective_at = answer_by(request, route.objective_s)
        self.objective_at = min(objective_at, self.give_up_at)
        late_at = begun + LATE_RATIO * route.objective_s
        self.late_at = min(late_at, self.give_up_at)
        stop_at = begun + PART_DEADLINE_RATIO * route.objective_s
        self.part_deadline_at = min(stop_at, self.give_up_at)
        self.usual_s = policy.usual_s(route)
        hedge_s = policy.usual_s(route, HEDGE_QUANTILE)
        least_s = HEDGE_LEAST_RATIO * route.objective_s
        most_s = HEDGE_MOST_RATIO * route.objective_s
        self.hedge_delay_s = min(max(hedge_s, least_s), most_s)

    @property
    def least_parts(self) -> int:
        """How many shards an answer needs."""
        needed = self.shards.min_coverage * len(self.parts)
        return max(1, ceil(needed - ROUNDING))

    def start(self) -> None:
        """Ask one replica of each shard, unless too few shards have one."""
        now = self.reactor.seconds()
        if now + self.usual_s * USEFUL_RATIO > self.give_up_at:
            self.settle_with(refuse(Problem(ErrorKind.DEADLINE_TOO_SHORT, "too late")))
            return
        choices = [self.choose_reachable(part, now) for part in self.parts]
        match plan_fan_out(choices, self.least_parts, self.objective_at - now):
            case Refuse(problem, places):
                told = [self.policy.explain(self.parts[p].shard) for p in places[:3]]
                problem = problem._replace(detail="; ".join([problem.detail, *told]))
                self.settle_with(refuse(problem, self.retry_after_s(problem)))
            case Ask(asked):
                self.ask(choices, asked, now)

    def ask(
        self, choices: list[SelectedReplica | None], places: frozenset[int], now: float
    ) -> None:
        """Send the first requests to the shards at ``places``; the others are lost."""
        for place, choice in enumerate(choices):
            part = self.parts[place]
            self.policy.budget_of(part.shard).note_request(now)
            if choice is None or place not in places:
                part.asked = True
                part.reason = "queue too long" if choice else "no replica"
                self.lost_count += 1
            else:
                self.send(part, choice.replica, now)
            if self.settled:
                return
        self.after_change(now)
        if not self.settled:
            self.schedule(now)

    def retry_after_s(self, problem: Problem) -> float | None:
        """Return when the caller should come back; spread, so that not all do at once.

        A caller with more patience comes back later, when queues have passed; a path
        that is cut takes the balancer some seconds to route around.
        """
        now = self.reactor.seconds()
        if self.policy.directory.reachability.cut_off_data_centres(now):
            return CUT_OFF_RETRY_S
        if problem.kind is ErrorKind.OVERLOADED:
            patience_s = self.give_up_at - self.request.received_at
            spread = 1.0 + self.policy.selector.random.random()
            return RETRY_SHARE * patience_s * spread
        return None

    def choose(self, part: Part, now: float) -> SelectedReplica | None:
        """Return the replica to ask for a shard."""
        left_s = self.part_deadline_at - now
        return self.policy.selector.select(
            part.shard, self.usual_s, part.tried, left_s, now
        )

    def choose_reachable(self, part: Part, now: float) -> SelectedReplica | None:
        """Return the replica to ask first, ``None`` if all are cut off from here."""
        if not self.policy.directory.can_serve(part.shard, now):
            return None
        return self.choose(part, now)

    def send(self, part: Part, replica: Replica, now: float) -> None:
        """Ask ``replica`` for a shard."""
        part.asked = True
        part.attempts += 1
        part.tried.append(replica)
        part.hedge_at = now + self.hedge_delay_s
        exchange = Exchange(
            self.request,
            replica,
            now,
            self.part_deadline_at,
            lambda exchange, outcome: self.exchange_ended(part, exchange, outcome),
        )
        part.open_exchanges.append(exchange)
        self.policy.dispatcher.start(exchange)

    def exchange_ended(
        self, part: Part, exchange: Exchange, outcome: ExchangeOutcome
    ) -> None:
        """Take in the end of one exchange."""
        now = self.reactor.seconds()
        if exchange in part.open_exchanges:
            part.open_exchanges.remove(exchange)
        part.arrived = part.arrived or exchange.sent_at > 0.0
        self.observe(exchange, outcome, now)
        if self.settled or part.is_in:
            return
        if not self.accept(part, outcome):
            self.try_again(part, now)
        self.after_change(now)

    def observe(self, exchange: Exchange, outcome: ExchangeOutcome, now: float) -> None:
        """Learn from how long a reply took."""
        match outcome:
            case Answered(reply) if reply.is_success:
                dispatcher = self.policy.dispatcher
                took_s = dispatcher.observe_reply_time(exchange, self.usual_s, now)
                self.policy.observe(self.route, took_s)

    def accept(self, part: Part, outcome: ExchangeOutcome) -> bool:
        """Take a part in, or note why it is not one."""
        match outcome:
            case Answered(reply):
                self.may_have_run = True
                signature = reply.signature
                if not reply.is_success or signature is None:
                    part.reason = f"status {reply.status}"
                    return False
                if signature in self.signatures:
                    part.reason = "signature of another shard"
                    return False
                self.signatures.add(signature)
                part.signature = signature
                part.records = split_records(reply.body, self.shards.max_records)
                self.in_count += 1
                return True
            case NotRun(detail, sent):
                part.reason = detail
                part.attempts -= 1
                part.refusals += sent
            case Failed(detail):
                self.may_have_run = True
                part.reason = detail
        return False

    def try_again(self, part: Part, now: float) -> None:
        """Ask another replica after a failure, or give the shard up."""
        if part.open_exchanges:
            return
        if not self.send_extra(part, now):
            self.lost_count += 1
        else:
            self.repeats += 1

    def send_extra(self, part: Part, now: float) -> bool:
        """Ask one more replica for a shard if attempts, time and budget allow."""
        if part.attempts >= self.route.max_attempts or part.refusals > REFUSED_SENDS:
            return False
        if now + self.usual_s * USEFUL_RATIO > self.part_deadline_at:
            return False
        choice = self.choose(part, now)
        if choice is None:
            return False
        is_repeat = part.arrived or part.open_exchanges
        if is_repeat and not self.policy.may_repeat(part.shard, now):
            return False
        self.send(part, choice.replica, now)
        return True

    def check(self) -> None:
        """Do what is due: hedge, or settle."""
        self.timer = None
        if self.settled:
            return
        now = self.reactor.seconds()
        self.after_change(now)
        if self.settled:
            return
        for part in self.parts:
            if part.is_in or not part.open_exchanges or now < part.hedge_at:
                continue
            part.hedge_at = float("inf")
            self.note_overdue(part, now)
            if self.send_extra(part, now):
                self.hedges += 1
            else:
                self.move(part, now)
        self.schedule(now)

    def move(self, part: Part, now: float) -> None:
        """Ask another replica in place of one to which no connection comes about.

        Nothing was sent, so it costs neither an attempt nor budget.
        """
        if any(exchange.sent_at for exchange in part.open_exchanges):
            return
        oldest = part.open_exchanges[0]
        if now < oldest.started_at + MOVE_AFTER_S:
            part.hedge_at = oldest.started_at + MOVE_AFTER_S
            return
        choice = self.choose(part, now)
        if choice is None:
            return
        part.open_exchanges.remove(oldest)
        self.policy.dispatcher.abandon(oldest)
        part.attempts -= 1
        self.send(part, choice.replica, now)

    def note_overdue(self, part: Part, now: float) -> None:
        """Learn from a reply that is overdue, before it comes."""
        for exchange in part.open_exchanges:
            self.policy.dispatcher.observe_overdue(exchange, self.usual_s, now)

    def schedule(self, now: float) -> None:
        """Set the timer to what is due next."""
        due_at = self.next_deadline(now)
        for part in self.parts:
            if not part.is_in and part.open_exchanges and part.hedge_at < due_at:
                due_at = part.hedge_at
        delay_s = max(0.0, due_at - now)
        self.timer = self.reactor.callLater(delay_s, self.check)

    def next_deadline(self, now: float) -> float:
        """Return when the search is settled next, by what it has by then."""
        if now < self.objective_at:
            return self.objective_at
        return self.late_at if now < self.late_at else self.give_up_at

    def after_change(self, now: float) -> None:
        """Settle if nothing is gained by waiting on."""
        total = len(self.parts)
        if self.in_count + self.lost_count >= total:
            self.settle()
        elif total - self.lost_count < self.least_parts or now >= self.give_up_at:
            self.settle()
        elif now >= self.objective_at:
            enough = self.in_count >= self.least_parts
            if enough and (not self.missed_objective or now >= self.late_at):
                self.settle()
            self.missed_objective = True

    def settle(self) -> None:
        """Answer with the parts that are in, or say why there are too few."""
        if self.in_count >= self.least_parts:
            self.settle_with(self.merged())
            return
        missing = len(self.parts) - self.in_count
        detail = f"{missing} of {len(self.parts)} shards missing: {self.reasons()}"
        if not self.may_have_run and not self.is_waiting():
            self.settle_with(refuse(Problem(ErrorKind.TARGET_UNAVAILABLE, detail)))
            return
        kind = ErrorKind.COVERAGE_BELOW_LEAST
        if self.reactor.seconds() >= self.give_up_at:
            kind = ErrorKind.DEADLINE_EXCEEDED
        self.settle_with(refuse(Problem(kind, detail)))

    def is_waiting(self) -> bool:
        """Tell whether any replica may be at work on the search."""
        return any(
            exchange.sent_at for part in self.parts for exchange in part.open_exchanges
        )

    def merged(self) -> CallerAnswer:
        """Merge the parts that are in."""
        parts = [part for part in self.parts if part.records is not None]
        missing = len(self.parts) - len(parts)
        headers = self.policy.callers.merged_headers(
            [part.signature for part in parts], missing
        )
        records = [part.records or [] for part in parts]
        body = merge_records(records, self.shards.max_records)
        detail = self.reasons() if missing else ""
        return CallerAnswer(200, headers, body, "answered", detail)

    def reasons(self) -> str:
        """List the shards that are missing, each with the replicas asked and why."""
        missing = [part for part in self.parts if not part.is_in]
        told = [
            f"{part.shard}:{'+'.join(r.replica_id for r in part.tried)}:{part.reason}"
            for part in missing[:8]
        ]
        return "; ".join(told)

    def settle_with(self, answer: CallerAnswer) -> None:
        """End the search with an answer."""
        self.settled = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.drop_waiting()
        self.finish(answer)

    def drop_waiting(self) -> None:
        """Abandon what has not been sent; what is at work ends by its deadline."""
        for part in self.parts:
            for exchange in list(part.open_exchanges):
                if not exchange.sent_at:
                    part.open_exchanges.remove(exchange)
                    self.policy.dispatcher.abandon(exchange)

    def cancel(self) -> None:
        """Stop, since the caller has left; replicas get a moment to finish."""
        if not self.settled:
            self.settled = True
            if self.timer is not None and self.timer.active():
                self.timer.cancel()
            self.drop_waiting()
        self.reactor.callLater(LEAVE_GRACE_S, self.abandon_all)

    def abandon_all(self) -> None:
        """Abandon what is still at work."""
        for part in self.parts:
            for exchange in part.open_exchanges:
                if not exchange.done:
                    self.policy.dispatcher.abandon(exchange)
            part.open_exchanges.clear()
