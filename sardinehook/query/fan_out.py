"""The sub-queries of one search: which are out and when to ask elsewhere."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from heapq import heappop, heappush

from sardinehook.environment.document import Workload
from sardinehook.messages import NO_ORDER_KEY, Outcome, SubQuery
from sardinehook.query.actions import Action, Cancel, Send
from sardinehook.query.coverage import MissingReason
from sardinehook.query.hedging import hedge_delay_ms
from sardinehook.query.plan import Attempt, SearchRequest, ServiceState
from sardinehook.query.policy import SearchPolicy
from sardinehook.query.snapshot import ANY_SNAPSHOT, Snapshot

__all__ = ["FanOut"]

SETTLE_RESERVE_RATIO = 0.02
SETTLE_RESERVE_MOST_MS = 2.0
USEFUL_QUANTILE = 0.5


class FanOut:
    """Sends sub-queries, watches those that are out and pays for extra ones.

    Every sub-query beyond the first of a service (a hedge, a retry, a restart on
    another snapshot) is paid from the budget of the workload. ``settle_at`` is when
    the search is settled at the latest; ``checks`` is a heap of the times at which an
    attempt without a reply is looked at again.
    """

    def __init__(
        self,
        request: SearchRequest,
        workload: Workload,
        policy: SearchPolicy,
        now: float,
    ) -> None:
        self.request = request
        self.workload = workload
        self.policy = policy
        self.budget = policy.budgets.of(request.workload, now)
        self.reserve_s = settle_reserve(request, now)
        self.settle_at = request.deadline_at - self.reserve_s
        self.attempts: dict[int, Attempt] = {}
        self.checks: list[tuple[float, int]] = []
        self.first_attempts = 0
        self.extra_attempts = 0

    def send_first(
        self, states: Sequence[ServiceState], snapshot: Snapshot | None, now: float
    ) -> list[Action]:
        """Ask the preferred replica of each service of one index."""
        if not states:
            return []
        check_at = self.check_at(states[0].index, now)
        actions: list[Action] = []
        for state in states:
            action = self.send(state, state.replicas[0], snapshot, now)
            heappush(self.checks, (check_at, action.sub_query.sub_query_id))
            actions.append(action)
        return actions

    def send(
        self, state: ServiceState, replica: str, snapshot: Snapshot | None, now: float
    ) -> Send:
        """Ask ``replica`` and remember it."""
        wanted = ANY_SNAPSHOT if snapshot is None else snapshot
        sub_query_id = next(self.policy.sub_query_ids)
        state.attempt_count += 1
        attempt = Attempt(
            sub_query_id, state, state.attempt_count, replica, snapshot, now
        )
        self.attempts[sub_query_id] = attempt
        self.policy.chooser.observe_sent(replica, now)
        state.outstanding.append(sub_query_id)
        state.reason = state.tried[replica] = MissingReason.LATE
        return Send(
            SubQuery(
                sub_query_id,
                self.request.request_id,
                state.service,
                replica,
                wanted.index_version,
                wanted.partitioning,
                (self.settle_at - now) * 1000.0,
                self.workload.priority,
                NO_ORDER_KEY,
                self.request.body,
            )
        )

    def send_extra(
        self, state: ServiceState, snapshot: Snapshot | None, now: float
    ) -> list[Action]:
        """Ask another replica if there is one, with time and budget left."""
        replica = state.next_replica(self.policy.chooser)
        if replica is None or not self.has_time(state.index, now):
            return []
        if replica in state.tried and not self.policy.chooser.spend_repeat(replica):
            return []
        if not self.pay(1, now):
            return []
        action = self.send(state, replica, snapshot, now)
        check_at = self.check_at(state.index, now)
        heappush(self.checks, (check_at, action.sub_query.sub_query_id))
        return [action]

    def earn(self, first_attempts: int, now: float) -> None:
        """Credit the budget with first tries."""
        self.first_attempts += first_attempts
        self.budget.earn(first_attempts, self.workload.extra_load, now)

    def take(self, sub_query_id: int) -> Attempt | None:
        """Return the attempt that a reply belongs to, once."""
        attempt = self.attempts.pop(sub_query_id, None)
        if attempt is not None:
            attempt.service.outstanding.remove(sub_query_id)
        return attempt

    def abandon(self, sub_query_ids: Sequence[int], now: float) -> list[Action]:
        """Cancel attempts that are out.

        The first of a service counts as given up if it was hedged or took longer than
        its replica usually does. Without that the estimates would forget the slow
        ones, which are cancelled the most.
        """
        actions: list[Action] = []
        chooser = self.policy.chooser
        for sub_query_id in tuple(sub_query_ids):
            attempt = self.attempts.pop(sub_query_id)
            state = attempt.service
            elapsed_ms = (now - attempt.sent_at) * 1000.0
            usual_ms = chooser.record_of(attempt.replica).latency_ms
            slow = state.attempt_count > 1 or elapsed_ms > usual_ms
            if attempt.number == 1 and slow:
                chooser.observe_given_up(attempt.replica, elapsed_ms, now)
                self.policy.latencies.record(state.index, elapsed_ms)
            else:
                chooser.observe_reply(
                    attempt.replica, Outcome.CANCELLED, elapsed_ms, now
                )
            state.outstanding.remove(sub_query_id)
            actions.append(Cancel(sub_query_id))
        return actions

    def check_due(
        self, snapshots: Mapping[str, Snapshot | None], now: float
    ) -> list[Action]:
        """Ask elsewhere what has had no reply for too long."""
        actions: list[Action] = []
        while self.checks and self.checks[0][0] <= now:
            _, sub_query_id = heappop(self.checks)
            attempt = self.attempts.get(sub_query_id)
            if attempt is not None:
                snapshot = snapshots[attempt.service.index]
                actions.extend(self.check(attempt, snapshot, now))
        return actions

    def check(
        self, attempt: Attempt, snapshot: Snapshot | None, now: float
    ) -> list[Action]:
        """Ask another replica if the latest attempt has no reply for long."""
        state = attempt.service
        if state.outstanding[-1] != attempt.sub_query_id:
            return []
        extra = self.send_extra(state, snapshot, now)
        silent_at = self.silent_at(attempt.sent_at)
        if not extra and now < silent_at:
            heappush(self.checks, (silent_at, attempt.sub_query_id))
        return extra

    def next_check(self) -> float:
        """Return when a check or the settlement is due."""
        while self.checks and self.checks[0][1] not in self.attempts:
            heappop(self.checks)
        if not self.checks:
            return self.settle_at
        return min(self.checks[0][0], self.settle_at)

    def check_at(self, index: str, now: float) -> float:
        """Return when a sub-query sent now is sent elsewhere without a reply."""
        time_left_ms = (self.settle_at - now) * 1000.0
        delay_ms = hedge_delay_ms(
            self.policy.hedge, self.policy.latencies, index, time_left_ms
        )
        silent_at = self.silent_at(now)
        return silent_at if delay_ms is None else min(now + delay_ms / 1000, silent_at)

    def silent_at(self, sent_at: float) -> float:
        """Return when a sub-query without a reply counts as lost."""
        time_left = max(0.0, self.settle_at - sent_at)
        return sent_at + time_left * self.policy.reply_timeout_ratio

    def has_time(self, index: str, now: float) -> bool:
        """Tell whether a reply to a sub-query sent now can be expected in time."""
        usual_ms = self.policy.latencies.quantile(index, USEFUL_QUANTILE) or 0.0
        return now + usual_ms / 1000.0 < self.settle_at

    def pay(self, attempts: int, now: float) -> bool:
        """Take extra sub-queries from the budget."""
        if self.policy.enforces_budget and not self.budget.spend(attempts, now):
            return False
        self.extra_attempts += attempts
        return True


def settle_reserve(request: SearchRequest, now: float) -> float:
    """Return the seconds kept before the deadline for the answer's way back."""
    time_left = max(0.0, request.deadline_at - now)
    return min(time_left * SETTLE_RESERVE_RATIO, SETTLE_RESERVE_MOST_MS / 1000.0)
