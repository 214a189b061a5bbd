"""The state machine of one search, from its first sub-queries to its outcome."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from returns.pipeline import is_successful

from sardinehook.environment.document import Wait, Workload
from sardinehook.messages import Outcome, SubReply
from sardinehook.query.actions import Action, Cancel, Send, Settle
from sardinehook.query.coverage import MissingReason, missing_reason
from sardinehook.query.fan_out import FanOut
from sardinehook.query.index_answer import IndexAnswer
from sardinehook.query.merge import parse_page
from sardinehook.query.plan import Attempt, SearchRequest, ServicePlan, ServiceState
from sardinehook.query.policy import SearchPolicy
from sardinehook.query.settlement import coverage_of, outcome_of
from sardinehook.query.snapshot import Snapshot

__all__ = [
    "Action",
    "Cancel",
    "Search",
    "SearchRequest",
    "Send",
    "ServicePlan",
    "Settle",
    "Snapshot",
]

MIN_RESTART_TIME_RATIO = 0.3
CONGESTED_QUEUE_RATIO = 0.1
CONGESTED_REPLY_RATIO = 0.5
NOT_RETRYABLE = frozenset({MissingReason.TOO_LARGE, MissingReason.NO_MEMORY})
CONGESTION_OUTCOMES = frozenset({Outcome.LATE, Outcome.SHED, Outcome.NOT_RUN})


class Search:
    """The state of one search: sub-queries sent, replies accepted, settlement.

    It does no I/O and reads no clock. Each method takes the time of the monotonic
    clock in seconds and returns the actions to perform, in order. Once it has returned
    ``Settle`` the search is over and returns no more actions.
    """

    def __init__(
        self,
        request: SearchRequest,
        workload: Workload,
        services: Sequence[ServicePlan],
        snapshots: Mapping[str, Snapshot],
        policy: SearchPolicy,
        now: float,
    ) -> None:
        self.request = request
        self.workload = workload
        self.policy = policy
        self.settled = False
        self.services = [ServiceState(plan) for plan in services]
        self.limit = min(request.limit, workload.result_limit)
        self.began_at = now
        self.fan_out = FanOut(request, workload, policy, now)
        self.enough_reached = False
        self.open_count = len(self.services)
        self.failed_count = 0
        self.may_have_begun = False
        self.reserved_bytes = 0
        self.congested_replies = 0
        self.unanswered_count = 0
        self.max_queued_ms = (
            (request.deadline_at - now) * 1000.0 * CONGESTED_QUEUE_RATIO
        )
        self.states_by_index: dict[str, list[ServiceState]] = {}
        for state in self.services:
            self.states_by_index.setdefault(state.index, []).append(state)
        max_bytes = policy.limits.query_bytes // max(1, len(self.states_by_index))
        self.indexes = {
            name: IndexAnswer(
                name, len(states), snapshots.get(name), self.limit, max_bytes
            )
            for name, states in sorted(self.states_by_index.items())
        }

    def begin(self, now: float) -> list[Action]:
        """Send a sub-query to the preferred replica of each service."""
        actions: list[Action] = []
        for name, index in self.indexes.items():
            asked = [state for state in self.states_by_index[name] if state.replicas]
            if now < self.fan_out.settle_at:
                actions.extend(self.fan_out.send_first(asked, index.snapshot, now))
        for state in self.services:
            if not state.replicas:
                self.mark_failed(state, MissingReason.NO_REPLICA)
        self.fan_out.credit_budget(len(actions), now)
        return self.settle_if_done(actions, now)

    def on_reply(self, reply: SubReply, now: float) -> list[Action]:
        """Process the reply to a sub-query; unknown and repeated ones are dropped."""
        attempt = self.fan_out.remove_attempt(reply.sub_query_id)
        if attempt is None:
            return []
        state = attempt.service
        index = self.indexes[state.index]
        self.may_have_begun = self.may_have_begun or reply.began
        reason = self.accept_reply(index, attempt, reply)
        self.record_outcome(attempt, reply, reason, now)
        if reason is None:
            actions = self.mark_answered(state, now)
        else:
            state.reason = state.tried[attempt.replica] = reason
            actions = self.retry(state, now)
        if index.can_choose_snapshot():
            actions.extend(self.choose_snapshot(index, now))
        if index.mismatch_counts and not index.restarted:
            actions.extend(self.restart(index, now))
        return self.settle_if_done(actions, now)

    def on_timer(self, now: float) -> list[Action]:
        """Perform what is due at ``now``: send hedges and retries, or settle."""
        actions: list[Action] = []
        if not self.settled and now < self.fan_out.settle_at:
            snapshots = {name: index.snapshot for name, index in self.indexes.items()}
            actions = self.fan_out.run_due_checks(snapshots, now)
        return self.settle_if_done(actions, now)

    def cancel(self, now: float) -> list[Action]:
        """Settle at once, because the caller has left."""
        return [] if self.settled else self.settle(now)

    def next_timer(self) -> float | None:
        """Return the time at which ``on_timer`` is due next, ``None`` once settled."""
        return None if self.settled else self.fan_out.next_check()

    def accept_reply(
        self, index: IndexAnswer, attempt: Attempt, reply: SubReply
    ) -> MissingReason | None:
        """Add a reply to the answer; return the reason if it can't be used."""
        snapshot = Snapshot(reply.index_version, reply.partitioning)
        if reply.outcome is Outcome.WRONG_VERSION:
            self.record_mismatch(index, attempt, snapshot)
        if reply.outcome is not Outcome.ANSWERED:
            return missing_reason(reply.outcome)
        if not index.accepts(snapshot):
            self.record_mismatch(index, attempt, snapshot)
            return MissingReason.WRONG_VERSION
        self.policy.replica_snapshots.confirm(attempt.replica, snapshot)
        return self.add_page(index, attempt.service.service, snapshot, reply.body)

    def record_mismatch(
        self, index: IndexAnswer, attempt: Attempt, named: Snapshot
    ) -> None:
        """Record that a replica lacks the snapshot it was asked for.

        ``named`` is the snapshot of its reply.
        """
        index.mismatch_counts[named] += 1
        wanted = attempt.snapshot
        if wanted is not None:
            self.policy.replica_snapshots.correct(attempt.replica, wanted, named)

    def add_page(
        self, index: IndexAnswer, service: str, snapshot: Snapshot, body: bytes
    ) -> MissingReason | None:
        """Add the records of a reply within the size limit and the memory budget."""
        size = len(body)
        if size > self.policy.limits.reply_bytes:
            return MissingReason.TOO_LARGE
        page = parse_page(body)
        if not is_successful(page):
            return page.failure()
        if not self.policy.memory.reserve(size):
            return MissingReason.NO_MEMORY
        kept = index.add(service, snapshot, page.unwrap(), size)
        self.policy.memory.release(size - kept)
        self.reserved_bytes += kept
        return None

    def record_outcome(
        self,
        attempt: Attempt,
        reply: SubReply,
        reason: MissingReason | None,
        now: float,
    ) -> None:
        """Update the replica statistics and latencies with the end of a sub-query.

        It also counts the replies that show congestion.
        """
        elapsed_ms = (now - attempt.sent_at) * 1000.0
        outcome = reply.outcome
        if outcome is not Outcome.ANSWERED:
            self.congested_replies += outcome in CONGESTION_OUTCOMES
        elif reply.queued_ms > self.max_queued_ms:
            self.congested_replies += 1
        if outcome is Outcome.ANSWERED and reason is not None:
            wrong_version = reason is MissingReason.WRONG_VERSION
            outcome = Outcome.WRONG_VERSION if wrong_version else Outcome.GARBLED
        self.policy.chooser.observe_reply(attempt.replica, outcome, elapsed_ms, now)
        if outcome is Outcome.ANSWERED:
            self.policy.latencies.record(attempt.service.index, elapsed_ms)

    def was_congested(self) -> bool:
        """Tell whether most services were delayed by queues, not by a few stragglers.

        A service counts if its reply spent more than ``CONGESTED_QUEUE_RATIO`` of the
        query's time queued or was shed, not run or late, or if it has no reply at a
        settlement at the deadline.
        """
        congested = self.congested_replies + self.unanswered_count
        return congested > CONGESTED_REPLY_RATIO * len(self.services)

    def cancel_service(self, state: ServiceState, now: float) -> list[Action]:
        """Cancel the outstanding sub-queries of a service, which may have begun."""
        if not state.outstanding:
            return []
        self.may_have_begun = True
        return self.fan_out.cancel_attempts(state.outstanding, now)

    def mark_answered(self, state: ServiceState, now: float) -> list[Action]:
        """Close a service that has answered and cancel its other attempts."""
        cancels = self.cancel_service(state, now)
        state.closed = True
        self.open_count -= 1
        return cancels

    def retry(self, state: ServiceState, now: float) -> list[Action]:
        """Send another attempt after a failure, or close the service as failed.

        Nothing is done while another attempt of the service is outstanding.
        """
        if state.outstanding:
            return []
        reason = state.reason
        if reason in NOT_RETRYABLE:
            self.mark_failed(state, reason)
            return []
        snapshot = self.indexes[state.index].snapshot
        actions = self.fan_out.send_extra(state, snapshot, now)
        if not actions:
            self.mark_failed(state, reason)
        return actions

    def mark_failed(self, state: ServiceState, reason: MissingReason) -> None:
        """Close a service as failed; it is missing for ``reason``."""
        state.reason = reason
        state.closed = True
        self.open_count -= 1
        self.failed_count += 1

    def choose_snapshot(self, index: IndexAnswer, now: float) -> list[Action]:
        """Choose the snapshot by the first replies.

        The services that answered from other snapshots are asked again.
        """
        others = index.choose_snapshot()
        actions: list[Action] = []
        for state in self.states_by_index[index.index]:
            if state.service in others:
                state.reopen()
                state.reason = MissingReason.WRONG_VERSION
                self.open_count += 1
                actions.extend(self.retry(state, now))
        return actions

    def restart(self, index: IndexAnswer, now: float) -> list[Action]:
        """Restart an index on a newer snapshot if targets have dropped the chosen one.

        This happens at most once for an index, only if ``enough_coverage`` is out of
        reach otherwise, enough time is left and the budget covers all services.
        """
        newer = index.newer_snapshot()
        asked = [state for state in self.states_by_index[index.index] if state.replicas]
        if newer is None or not self.should_restart(asked, now):
            return []
        if not self.fan_out.spend_budget(len(asked), now):
            return []
        index.restart(newer)
        actions: list[Action] = []
        for state in asked:
            actions.extend(self.cancel_service(state, now))
            self.open_count += int(state.closed)
            state.reopen()
        self.failed_count = self.count_failed()
        actions.extend(self.fan_out.send_first(asked, newer, now))
        return actions

    def count_failed(self) -> int:
        """Count the services that were closed as failed."""
        answered = sum(index.answered_count() for index in self.indexes.values())
        return len(self.services) - self.open_count - answered

    def should_restart(self, states: Sequence[ServiceState], now: float) -> bool:
        """Tell whether wrong versions keep the coverage below ``enough_coverage``.

        Returns false if less than ``MIN_RESTART_TIME_RATIO`` of the time is left.
        """
        time_left = self.fan_out.settle_at - now
        if time_left < MIN_RESTART_TIME_RATIO * (
            self.fan_out.settle_at - self.began_at
        ):
            return False
        mismatched = sum(
            state.closed and state.reason is MissingReason.WRONG_VERSION
            for state in states
        )
        reachable = self.coverage_ratio(len(self.services) - mismatched)
        return mismatched > 0 and reachable < self.workload.enough_coverage

    def settle_if_done(self, actions: list[Action], now: float) -> list[Action]:
        """Settle if all services are closed, time is up or coverage out of reach."""
        if self.settled:
            return []
        self.check_enough_coverage(now)
        due = now >= self.fan_out.settle_at
        if self.open_count == 0 or due or self.is_least_coverage_unreachable():
            actions.extend(self.settle(now))
        return actions

    def check_enough_coverage(self, now: float) -> None:
        """Bring the settlement forward once ``enough_coverage`` is reached.

        Only workloads that wait for enough, not for full coverage, settle early.
        """
        if self.enough_reached or self.workload.wait is not Wait.ENOUGH:
            return
        answered = sum(
            [len(index.answered_services()) for index in self.indexes.values()]
        )
        if self.coverage_ratio(answered) >= self.workload.enough_coverage:
            self.enough_reached = True
            early_at = now + self.workload.settle_ms / 1000.0
            self.fan_out.settle_at = min(self.fan_out.settle_at, early_at)

    def is_least_coverage_unreachable(self) -> bool:
        """Tell whether failed services put ``least_coverage`` out of reach."""
        if not self.failed_count:
            return False
        reachable = len(self.services) - self.failed_count
        return self.coverage_ratio(reachable) < self.workload.least_coverage

    def coverage_ratio(self, answered: int) -> float:
        """Return ``answered`` as a share of all services, 1.0 if there are none."""
        return answered / len(self.services) if self.services else 1.0

    def settle(self, now: float) -> list[Action]:
        """Cancel the outstanding sub-queries and return the outcome."""
        self.may_have_begun = self.may_have_begun or bool(self.fan_out.attempts)
        if now >= self.request.deadline_at - self.fan_out.settle_reserve_s:
            self.unanswered_count = self.open_count
        actions = self.fan_out.cancel_attempts(tuple(self.fan_out.attempts), now)
        self.settled = True
        self.policy.memory.release(self.reserved_bytes)
        coverage = coverage_of(self.services, self.indexes)
        outcome = outcome_of(
            self.request.request_id,
            self.workload,
            coverage,
            self.indexes,
            self.limit,
            self.may_have_begun,
        )
        actions.append(Settle(outcome, coverage))
        return actions
