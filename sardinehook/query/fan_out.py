"""The sub-queries of one search: first attempts, hedges and retries."""

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
MAX_SETTLE_RESERVE_MS = 2.0
EXPECTED_QUANTILE = 0.5


class FanOut:
    """Creates the sub-queries of a search and tracks the outstanding ones.

    Every sub-query beyond the first of a service (a hedge, a retry, a restart on
    another snapshot) is charged to the budget of the workload. ``settle_at`` is the
    latest time of the settlement; ``checks`` is a heap of the times at which an
    attempt without a reply is due for a hedge or has timed out.
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
        self.settle_reserve_s = settle_reserve(request, now)
        self.settle_at = request.deadline_at - self.settle_reserve_s
        self.attempts: dict[int, Attempt] = {}
        self.checks: list[tuple[float, int]] = []
        self.first_attempts = 0
        self.extra_attempts = 0

    def send_first(
        self, states: Sequence[ServiceState], snapshot: Snapshot | None, now: float
    ) -> list[Action]:
        """Send a sub-query to the preferred replica of each service of one index."""
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
        """Create a sub-query to ``replica`` and track it as outstanding."""
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
        """Send a hedge or a retry if a replica, time and budget are left."""
        replica = state.next_replica(self.policy.chooser)
        if replica is None or not self.has_time(state.index, now):
            return []
        if replica in state.tried and not self.policy.chooser.spend_retry(replica):
            return []
        if not self.spend_budget(1, now):
            return []
        action = self.send(state, replica, snapshot, now)
        check_at = self.check_at(state.index, now)
        heappush(self.checks, (check_at, action.sub_query.sub_query_id))
        return [action]

    def credit_budget(self, first_attempts: int, now: float) -> None:
        """Credit the budget with first attempts."""
        self.first_attempts += first_attempts
        self.budget.earn(first_attempts, self.workload.extra_load, now)

    def remove_attempt(self, sub_query_id: int) -> Attempt | None:
        """Remove and return an outstanding attempt, ``None`` if it is not known."""
        attempt = self.attempts.pop(sub_query_id, None)
        if attempt is not None:
            attempt.service.outstanding.remove(sub_query_id)
        return attempt

    def cancel_attempts(self, sub_query_ids: Sequence[int], now: float) -> list[Action]:
        """Cancel outstanding attempts.

        The first attempt of a service counts as slow if it was hedged or has taken
        longer than the average of its replica. Otherwise the estimates would miss the
        slow replicas, whose attempts are cancelled most often.
        """
        actions: list[Action] = []
        chooser = self.policy.chooser
        for sub_query_id in tuple(sub_query_ids):
            attempt = self.attempts.pop(sub_query_id)
            state = attempt.service
            elapsed_ms = (now - attempt.sent_at) * 1000.0
            average_ms = chooser.stats_of(attempt.replica).latency_ms
            slow = state.attempt_count > 1 or elapsed_ms > average_ms
            if attempt.number == 1 and slow:
                chooser.observe_slow_cancel(attempt.replica, elapsed_ms, now)
                self.policy.latencies.record(state.index, elapsed_ms)
            else:
                chooser.observe_reply(
                    attempt.replica, Outcome.CANCELLED, elapsed_ms, now
                )
            state.outstanding.remove(sub_query_id)
            actions.append(Cancel(sub_query_id))
        return actions

    def run_due_checks(
        self, snapshots: Mapping[str, Snapshot | None], now: float
    ) -> list[Action]:
        """Send hedges and retries for the attempts that are due."""
        actions: list[Action] = []
        while self.checks and self.checks[0][0] <= now:
            _, sub_query_id = heappop(self.checks)
            attempt = self.attempts.get(sub_query_id)
            if attempt is not None:
                snapshot = snapshots[attempt.service.index]
                actions.extend(self.check_attempt(attempt, snapshot, now))
        return actions

    def check_attempt(
        self, attempt: Attempt, snapshot: Snapshot | None, now: float
    ) -> list[Action]:
        """Send a hedge or retry if ``attempt`` is the latest one of its service.

        If none can be sent, the attempt is checked again at its reply timeout.
        """
        state = attempt.service
        if state.outstanding[-1] != attempt.sub_query_id:
            return []
        extra = self.send_extra(state, snapshot, now)
        reply_timeout_at = self.reply_timeout_at(attempt.sent_at)
        if not extra and now < reply_timeout_at:
            heappush(self.checks, (reply_timeout_at, attempt.sub_query_id))
        return extra

    def next_check(self) -> float:
        """Return the time of the next check or of the settlement, if earlier."""
        while self.checks and self.checks[0][1] not in self.attempts:
            heappop(self.checks)
        if not self.checks:
            return self.settle_at
        return min(self.checks[0][0], self.settle_at)

    def check_at(self, index: str, now: float) -> float:
        """Return the time to hedge or retry a sub-query that is sent at ``now``."""
        time_left_ms = (self.settle_at - now) * 1000.0
        delay_ms = hedge_delay_ms(
            self.policy.hedge, self.policy.latencies, index, time_left_ms
        )
        reply_timeout_at = self.reply_timeout_at(now)
        return (
            reply_timeout_at
            if delay_ms is None
            else min(now + delay_ms / 1000, reply_timeout_at)
        )

    def reply_timeout_at(self, sent_at: float) -> float:
        """Return the time at which a sub-query without a reply has timed out."""
        time_left = max(0.0, self.settle_at - sent_at)
        return sent_at + time_left * self.policy.reply_timeout_ratio

    def has_time(self, index: str, now: float) -> bool:
        """Tell whether a sub-query sent at ``now`` is likely to be answered in time."""
        expected_ms = self.policy.latencies.quantile(index, EXPECTED_QUANTILE) or 0.0
        return now + expected_ms / 1000.0 < self.settle_at

    def spend_budget(self, attempts: int, now: float) -> bool:
        """Charge extra sub-queries to the budget; return false if it is exceeded."""
        if self.policy.enforces_budget and not self.budget.spend(attempts, now):
            return False
        self.extra_attempts += attempts
        return True


def settle_reserve(request: SearchRequest, now: float) -> float:
    """Return the seconds before the deadline reserved for returning the answer."""
    time_left = max(0.0, request.deadline_at - now)
    return min(time_left * SETTLE_RESERVE_RATIO, MAX_SETTLE_RESERVE_MS / 1000.0)
