"""Scatter-gather search: sends to all shards, hedges, retries and merges."""

from __future__ import annotations

from collections.abc import Callable
from math import ceil

from sardinehook.errors import ErrorKind, Problem
from sardinehook.gateway.admission.fan_out import plan_under_load
from sardinehook.gateway.admission.retry_delay import retry_delay_s
from sardinehook.gateway.answer import CallerAnswer, error_answer
from sardinehook.gateway.configuration import Route, ShardSet
from sardinehook.gateway.dispatch import (
    Answered,
    Exchange,
    ExchangeOutcome,
    Failed,
    NotRun,
)
from sardinehook.gateway.fan_out import SPARE_SHARDS, Ask, Refuse, plan_fan_out
from sardinehook.gateway.interfaces import CallerRequest
from sardinehook.gateway.policy import (
    FAILOVER_AFTER_S,
    RequestPolicy,
    answer_deadline,
    request_deadline,
)
from sardinehook.gateway.records import split_records
from sardinehook.gateway.replica_selection import SelectedReplica
from sardinehook.gateway.routing.search_hedges import SearchHedges
from sardinehook.gateway.search_answer import merge_answer, missing_reasons
from sardinehook.gateway.shard_request import ShardRequest
from sardinehook.gateway.unexpected import answers_errors, unexpected_error_answer
from sardinehook.transport.reactor import Timer

__all__ = ["Gather"]

LATE_RATIO = 1.5  # of the objective: a late answer waits no longer for more shards
SHARD_DEADLINE_RATIO = 2.5  # of the objective: the deadline sent to replicas
MAX_REFUSALS = 2  # sends that did not run and don't count as attempts
MIN_RETRY_RATIO = 0.15  # of the caller's timeout: the least Retry-After
UNREACHABLE_RETRY_S = 2.0  # the load balancer needs two failed probes at 1 s
CANCEL_GRACE_S = 0.25  # exchanges that end by then keep their connections open
ROUNDING_TOLERANCE = 1e-9  # the product of a ratio and a count may be slightly large
MIN_TIME_RATIO = 0.5  # of the median latency must remain for another send


class Gather:
    """One search over all shards; ``finish`` is called once with the answer.

    One replica of each shard is queried. A shard without a reply after the hedge
    delay is queried at a second replica, charged to the shard's retry budget. At the
    latency objective the search is answered if it has the least coverage; otherwise
    it goes on until it has that or reaches its deadline.
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
        self.shard_set = shards
        self.priority = policy.priority_of(request, route)
        self.finish = finish
        self.shards = [ShardRequest(name) for name in shards.shards]
        self.signatures: set[bytes] = set()
        self.settled = False
        self.answered = 0
        self.failed = 0
        self.hedges = 0
        self.repeats = 0
        self.may_have_run = False
        self.missed_objective = False
        self.timer: Timer | None = None
        received_at = request.received_at
        self.deadline_at = request_deadline(request, route)
        objective_at = answer_deadline(request, route.objective_s)
        self.objective_at = min(objective_at, self.deadline_at)
        late_at = received_at + LATE_RATIO * route.objective_s
        self.late_at = min(late_at, self.deadline_at)
        shard_deadline_at = received_at + SHARD_DEADLINE_RATIO * route.objective_s
        self.shard_deadline_at = min(shard_deadline_at, self.deadline_at)
        self.median_s = policy.latency_s(route)
        self.hedge_timing = SearchHedges(
            policy, route, len(self.shards), self.median_s, self.objective_at
        )

    @property
    def required(self) -> int:
        """The number of shards that the least coverage requires."""
        needed = self.shard_set.min_coverage * len(self.shards)
        return max(1, ceil(needed - ROUNDING_TOLERANCE))

    @answers_errors
    def start(self) -> None:
        """Send to one replica of each shard, or refuse the search."""
        now = self.reactor.seconds()
        if now + self.median_s * MIN_TIME_RATIO > self.deadline_at:
            self.complete(
                error_answer(
                    Problem(ErrorKind.DEADLINE_TOO_SHORT, "too little time left")
                )
            )
            return
        self.policy.searches.add(1, now)
        choices = [self.choose_reachable(shard, now) for shard in self.shards]
        least = self.least_to_ask(choices, now)
        adapts = self.policy.directory.adapts_to_load
        plan = plan_under_load if adapts else plan_fan_out
        match plan(choices, least, self.objective_at - now):
            case Refuse(problem, positions):
                why = [self.policy.explain(self.shards[p].name) for p in positions[:3]]
                problem = problem._replace(detail="; ".join([problem.detail, *why]))
                wait_s = self.notice_wait_s(positions, least, now)
                self.complete(
                    error_answer(problem, self.retry_after_s(problem, wait_s))
                )
            case Ask(asked):
                self.send_first(choices, asked, now)

    def send_first(
        self,
        choices: list[SelectedReplica | None],
        positions: frozenset[int],
        now: float,
    ) -> None:
        """Send to the shards at ``positions`` and count the others as failed."""
        for position, choice in enumerate(choices):
            shard = self.shards[position]
            self.policy.budget_for(shard.name).record_request(now)
            if choice is None or position not in positions:
                shard.asked = True
                shard.reason = "queue too long" if choice else "no replica"
                self.failed += 1
            else:
                self.send(shard, choice, now)
            if self.settled:
                return
        self.settle_if_decided(now)
        if not self.settled:
            self.schedule(now)

    def least_to_ask(self, choices: list[SelectedReplica | None], now: float) -> int:
        """Return how many shards to query at least.

        Where limits or pauses leave no replica of a shard, one spare shard is required:
        without it, any pause makes the search fail and wastes the limited requests.
        """
        is_limited = any(
            choice is None and self.policy.wait_s(self.priority, shard.name, now)
            for shard, choice in zip(self.shards, choices, strict=True)
        )
        spare = SPARE_SHARDS if is_limited else 0
        return min(self.required + spare, len(self.shards))

    def notice_wait_s(self, missing: tuple[int, ...], least: int, now: float) -> float:
        """Return how long until enough of the missing shards may be queried again.

        Zero if it is not pauses and rate limits of replicas that prevent it.
        """
        lacking = least - (len(self.shards) - len(missing))
        if lacking <= 0:
            return 0.0
        waits = sorted(
            self.policy.wait_s(self.priority, self.shards[position].name, now)
            for position in missing
        )
        return waits[lacking - 1]

    def retry_after_s(self, problem: Problem, notice_wait_s: float) -> float | None:
        """Return the Retry-After delay, with jitter so that callers don't synchronise.

        It is the time until pauses and limits allow the search, if these prevent it.
        Otherwise it grows with the caller's timeout, so that queues drain first. Where
        a data centre is unreachable, the load balancer needs seconds to route around
        it.
        """
        now = self.reactor.seconds()
        if self.policy.directory.reachability.cut_off_data_centres(now):
            return UNREACHABLE_RETRY_S
        spread = 1.0 + self.policy.selector.random.random()
        if notice_wait_s:
            return notice_wait_s * spread
        if problem.kind is ErrorKind.OVERLOADED:
            patience_s = self.deadline_at - self.request.received_at
            if self.policy.directory.adapts_to_load:
                random = self.policy.selector.random
                return retry_delay_s(self.priority, patience_s, random)
            return MIN_RETRY_RATIO * patience_s * spread
        return None

    def choose(self, shard: ShardRequest, now: float) -> SelectedReplica | None:
        """Choose the next replica of a shard."""
        left_s = self.shard_deadline_at - now
        reserve = self.policy.rate_reserve(self.priority, shard.name)
        return self.policy.selector.select(
            shard.name, self.median_s, shard.tried, left_s, now, reserve
        )

    def choose_reachable(
        self, shard: ShardRequest, now: float
    ) -> SelectedReplica | None:
        """Choose the first replica of a shard, ``None`` if none is reachable."""
        if not self.policy.directory.can_serve(shard.name, now):
            return None
        return self.choose(shard, now)

    def send(self, shard: ShardRequest, choice: SelectedReplica, now: float) -> None:
        """Send the request for a shard to the replica of a choice."""
        shard.asked = True
        shard.attempts += 1
        shard.tried.append(choice.replica)
        shard.hedge_at = now + self.hedge_timing.delay_s(choice, now)
        exchange = Exchange(
            self.request,
            choice.replica,
            now,
            self.shard_deadline_at,
            lambda exchange, outcome: self.exchange_ended(shard, exchange, outcome),
        )
        exchange.expected_s = choice.expected_s
        shard.open_exchanges.append(exchange)
        self.policy.dispatcher.start(exchange)

    @answers_errors
    def exchange_ended(
        self, shard: ShardRequest, exchange: Exchange, outcome: ExchangeOutcome
    ) -> None:
        """Process the outcome of one exchange."""
        now = self.reactor.seconds()
        if exchange in shard.open_exchanges:
            shard.open_exchanges.remove(exchange)
        shard.was_sent = shard.was_sent or exchange.sent_at > 0.0
        self.observe(exchange, outcome, now)
        if self.settled or shard.answered:
            return
        if not self.accept(shard, outcome):
            self.retry(shard, now)
        self.settle_if_decided(now)

    def observe(self, exchange: Exchange, outcome: ExchangeOutcome, now: float) -> None:
        """Update the latency estimates from a successful reply."""
        match outcome:
            case Answered(reply) if reply.is_success:
                dispatcher = self.policy.dispatcher
                took_s = dispatcher.observe_reply_time(exchange, self.median_s, now)
                self.policy.observe(self.route, took_s)
                self.hedge_timing.observe(
                    now - exchange.started_at, exchange.expected_s
                )

    def accept(self, shard: ShardRequest, outcome: ExchangeOutcome) -> bool:
        """Accept a shard's records, or record why the reply is unusable."""
        match outcome:
            case Answered(reply):
                self.may_have_run = True
                signature = reply.signature
                if not reply.is_success or signature is None:
                    shard.reason = f"status {reply.status}"
                    return False
                if signature in self.signatures:
                    shard.reason = "signature of another shard"
                    return False
                self.signatures.add(signature)
                shard.signature = signature
                shard.records = split_records(reply.body, self.shard_set.max_records)
                self.answered += 1
                return True
            case NotRun(detail, sent):
                shard.reason = detail
                shard.attempts -= 1
                shard.refusals += sent
            case Failed(detail):
                self.may_have_run = True
                shard.reason = detail
        return False

    def retry(self, shard: ShardRequest, now: float) -> None:
        """Retry a failed shard at another replica, or count it as failed."""
        if shard.open_exchanges:
            return
        if not self.send_extra(shard, now):
            self.failed += 1
        else:
            self.repeats += 1

    def send_extra(self, shard: ShardRequest, now: float) -> bool:
        """Send to one more replica if attempts, deadline and budget allow it."""
        if shard.attempts >= self.route.max_attempts or shard.refusals > MAX_REFUSALS:
            return False
        if now + self.median_s * MIN_TIME_RATIO > self.shard_deadline_at:
            return False
        choice = self.choose(shard, now)
        if choice is None:
            return False
        is_repeat = shard.was_sent or shard.open_exchanges
        if is_repeat and not self.policy.try_spend_retry(shard.name, now):
            return False
        self.send(shard, choice, now)
        return True

    @answers_errors
    def on_timer(self) -> None:
        """Handle the timer: settle the search or send hedges that are due."""
        self.timer = None
        if self.settled:
            return
        now = self.reactor.seconds()
        self.settle_if_decided(now)
        if self.settled:
            return
        unanswered = len(self.shards) - self.answered - self.failed
        covered = self.answered >= self.required
        for shard in self.shards:
            if shard.answered or not shard.open_exchanges or now < shard.hedge_at:
                continue
            if not self.hedge_timing.is_due(shard, now, unanswered, covered):
                continue
            shard.hedge_at = float("inf")
            self.observe_overdue(shard, now)
            if self.send_extra(shard, now):
                self.hedges += 1
            else:
                self.fail_over(shard, now)
        self.schedule(now)

    def fail_over(self, shard: ShardRequest, now: float) -> None:
        """Replace a replica that doesn't connect, at no cost: nothing was sent."""
        if any(exchange.sent_at for exchange in shard.open_exchanges):
            return
        oldest = shard.open_exchanges[0]
        if now < oldest.started_at + FAILOVER_AFTER_S:
            shard.hedge_at = oldest.started_at + FAILOVER_AFTER_S
            return
        choice = self.choose(shard, now)
        if choice is None:
            return
        shard.open_exchanges.remove(oldest)
        self.policy.dispatcher.abandon(oldest)
        shard.attempts -= 1
        self.send(shard, choice, now)

    def observe_overdue(self, shard: ShardRequest, now: float) -> None:
        """Update the replica's latency estimate from an overdue reply."""
        if self.hedge_timing.adapts and now < self.hedge_timing.overdue_at(shard):
            return
        for exchange in shard.open_exchanges:
            self.policy.dispatcher.observe_overdue(exchange, self.median_s, now)

    def schedule(self, now: float) -> None:
        """Set the timer to the next deadline or hedge."""
        due_at = self.next_deadline(now)
        for shard in self.shards:
            if not shard.answered and shard.open_exchanges and shard.hedge_at < due_at:
                due_at = shard.hedge_at
        delay_s = max(0.0, due_at - now)
        self.timer = self.reactor.callLater(delay_s, self.on_timer)

    def next_deadline(self, now: float) -> float:
        """Return the next time at which the search may have to settle."""
        if now < self.objective_at:
            return self.objective_at
        return self.late_at if now < self.late_at else self.deadline_at

    def settle_if_decided(self, now: float) -> None:
        """Settle the search if waiting longer cannot improve the answer."""
        total = len(self.shards)
        if self.answered + self.failed >= total:
            self.settle()
        elif total - self.failed < self.required or now >= self.deadline_at:
            self.settle()
        elif now >= self.objective_at:
            enough = self.answered >= self.required
            if enough and (not self.missed_objective or now >= self.late_at):
                self.settle()
            self.missed_objective = True

    def settle(self) -> None:
        """Answer with the shards that replied, or with an error if too few did."""
        if self.answered >= self.required:
            self.complete(
                merge_answer(self.policy.callers, self.shard_set, self.shards)
            )
            return
        missing = len(self.shards) - self.answered
        reasons = missing_reasons(self.shards)
        detail = f"{missing} of {len(self.shards)} shards missing: {reasons}"
        if not self.may_have_run and not self.may_be_running():
            problem = Problem(ErrorKind.TARGET_UNAVAILABLE, detail)
            failed = tuple(n for n, one in enumerate(self.shards) if not one.answered)
            wait_s = self.notice_wait_s(failed, self.required, self.reactor.seconds())
            self.complete(error_answer(problem, self.retry_after_s(problem, wait_s)))
            return
        kind = ErrorKind.COVERAGE_BELOW_LEAST
        if self.reactor.seconds() >= self.deadline_at:
            kind = ErrorKind.DEADLINE_EXCEEDED
        self.complete(error_answer(Problem(kind, detail)))

    def may_be_running(self) -> bool:
        """Return whether any replica may still be running the search."""
        return any(
            exchange.sent_at
            for shard in self.shards
            for exchange in shard.open_exchanges
        )

    def complete(self, answer: CallerAnswer) -> None:
        """Abandon the unsent exchanges and finish with ``answer``."""
        self.settled = True
        try:
            if self.timer is not None and self.timer.active():
                self.timer.cancel()
            self.abandon_unsent()
        finally:
            self.finish(answer)

    def fail_unexpectedly(self) -> None:
        """Answer after an unexpected error."""
        if not self.settled:
            was_sent = any(shard.was_sent for shard in self.shards)
            may_have_run = self.may_have_run or was_sent or self.may_be_running()
            self.complete(unexpected_error_answer(may_have_run))

    def abandon_unsent(self) -> None:
        """Abandon unsent exchanges; those that were sent end by their deadline."""
        for shard in self.shards:
            for exchange in list(shard.open_exchanges):
                if not exchange.sent_at:
                    shard.open_exchanges.remove(exchange)
                    self.policy.dispatcher.abandon(exchange)

    def cancel(self) -> None:
        """Stop after the caller disconnected; replicas get a grace period."""
        if not self.settled:
            self.settled = True
            if self.timer is not None and self.timer.active():
                self.timer.cancel()
            self.abandon_unsent()
        self.reactor.callLater(CANCEL_GRACE_S, self.abandon_all)

    def abandon_all(self) -> None:
        """Abandon all exchanges that have not ended."""
        for shard in self.shards:
            for exchange in shard.open_exchanges:
                if not exchange.done:
                    self.policy.dispatcher.abandon(exchange)
            shard.open_exchanges.clear()
