"""One search from its first sub-query to its answer."""

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

RESTART_TIME_RATIO = 0.3
CONGESTED_QUEUE_RATIO = 0.1
CONGESTED_REPLY_RATIO = 0.5
NOT_HELPED_BY_RETRY = frozenset({MissingReason.TOO_LARGE, MissingReason.NO_MEMORY})
QUEUED_OUT = frozenset({Outcome.LATE, Outcome.SHED, Outcome.NOT_RUN})


class Search:
    """The aggregate of one query: whom it asked, what came back, when it is settled.

    It does no I/O and reads no clock. Each method takes the time in seconds of the
    monotonic clock and returns what to do, in order. Once ``Settle`` was returned the
    search is over and returns nothing more.
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
        self.lost_count = 0
        self.began = False
        self.reserved_bytes = 0
        self.congested_replies = 0
        self.unanswered = 0
        self.most_queued_ms = (
            (request.deadline_at - now) * 1000.0 * CONGESTED_QUEUE_RATIO
        )
        self.states: dict[str, list[ServiceState]] = {}
        for state in self.services:
            self.states.setdefault(state.index, []).append(state)
        most_bytes = policy.limits.query_bytes // max(1, len(self.states))
        self.indexes = {
            name: IndexAnswer(
                name, len(states), snapshots.get(name), self.limit, most_bytes
            )
            for name, states in sorted(self.states.items())
        }

    def begin(self, now: float) -> list[Action]:
        """Ask one replica of each service."""
        actions: list[Action] = []
        for name, index in self.indexes.items():
            asked = [state for state in self.states[name] if state.replicas]
            if now < self.fan_out.settle_at:
                actions.extend(self.fan_out.send_first(asked, index.snapshot, now))
        for state in self.services:
            if not state.replicas:
                self.close(state, MissingReason.NO_REPLICA)
        self.fan_out.earn(len(actions), now)
        return self.with_settlement(actions, now)

    def on_reply(self, reply: SubReply, now: float) -> list[Action]:
        """Take in the end of a sub-query; unknown and repeated ones are dropped."""
        attempt = self.fan_out.take(reply.sub_query_id)
        if attempt is None:
            return []
        state = attempt.service
        index = self.indexes[state.index]
        self.began = self.began or reply.began
        reason = self.accept(index, attempt, reply)
        self.observe(attempt, reply, reason, now)
        if reason is None:
            actions = self.answer_service(state, now)
        else:
            state.reason = state.tried[attempt.replica] = reason
            actions = self.retry(state, now)
        if index.can_choose():
            actions.extend(self.choose_snapshot(index, now))
        if index.refused and not index.restarted:
            actions.extend(self.restart(index, now))
        return self.with_settlement(actions, now)

    def on_timer(self, now: float) -> list[Action]:
        """Do what is due at ``now``: ask elsewhere what has no reply, or settle."""
        actions: list[Action] = []
        if not self.settled and now < self.fan_out.settle_at:
            snapshots = {name: index.snapshot for name, index in self.indexes.items()}
            actions = self.fan_out.check_due(snapshots, now)
        return self.with_settlement(actions, now)

    def cancel(self, now: float) -> list[Action]:
        """Settle at once, since the caller has left."""
        return [] if self.settled else self.settle(now)

    def next_timer(self) -> float | None:
        """Return when ``on_timer`` is due next, ``None`` once settled."""
        return None if self.settled else self.fan_out.next_check()

    def accept(
        self, index: IndexAnswer, attempt: Attempt, reply: SubReply
    ) -> MissingReason | None:
        """Count a reply as answered, or tell why it is not."""
        snapshot = Snapshot(reply.index_version, reply.partitioning)
        if reply.outcome is Outcome.WRONG_VERSION:
            self.note_refusal(index, attempt, snapshot)
        if reply.outcome is not Outcome.ANSWERED:
            return missing_reason(reply.outcome)
        if not index.accepts(snapshot):
            self.note_refusal(index, attempt, snapshot)
            return MissingReason.WRONG_VERSION
        self.policy.holdings.confirm(attempt.replica, snapshot)
        return self.collect(index, attempt.service.service, snapshot, reply.body)

    def note_refusal(
        self, index: IndexAnswer, attempt: Attempt, named: Snapshot
    ) -> None:
        """Note that a replica holds another snapshot than the one asked for."""
        index.refused[named] += 1
        wanted = attempt.snapshot
        if wanted is not None:
            self.policy.holdings.refuse(attempt.replica, wanted, named)

    def collect(
        self, index: IndexAnswer, service: str, snapshot: Snapshot, body: bytes
    ) -> MissingReason | None:
        """Take in the records of a reply, within the bounds of memory."""
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

    def observe(
        self,
        attempt: Attempt,
        reply: SubReply,
        reason: MissingReason | None,
        now: float,
    ) -> None:
        """Tell the shared estimates how a sub-query ended."""
        elapsed_ms = (now - attempt.sent_at) * 1000.0
        outcome = reply.outcome
        if outcome is not Outcome.ANSWERED:
            self.congested_replies += outcome in QUEUED_OUT
        elif reply.queued_ms > self.most_queued_ms:
            self.congested_replies += 1
        if outcome is Outcome.ANSWERED and reason is not None:
            wrong_version = reason is MissingReason.WRONG_VERSION
            outcome = Outcome.WRONG_VERSION if wrong_version else Outcome.GARBLED
        self.policy.chooser.observe_reply(attempt.replica, outcome, elapsed_ms, now)
        if outcome is Outcome.ANSWERED:
            self.policy.latencies.record(attempt.service.index, elapsed_ms)

    def was_congested(self) -> bool:
        """Tell whether most services were held up by queues, not by a few stragglers.

        A reply counts that spent ``CONGESTED_QUEUE_RATIO`` of the query's time queued
        or was refused, and a service that has no reply at the settlement.
        """
        held_up = self.congested_replies + self.unanswered
        return held_up > CONGESTED_REPLY_RATIO * len(self.services)

    def abandon(self, state: ServiceState, now: float) -> list[Action]:
        """Cancel what is out of a service; its targets may have begun."""
        if not state.outstanding:
            return []
        self.began = True
        return self.fan_out.abandon(state.outstanding, now)

    def answer_service(self, state: ServiceState, now: float) -> list[Action]:
        """Close a service that answered and cancel its other attempts."""
        cancels = self.abandon(state, now)
        state.closed = True
        self.open_count -= 1
        return cancels

    def retry(self, state: ServiceState, now: float) -> list[Action]:
        """Ask elsewhere after a failure, or give the service up."""
        if state.outstanding:
            return []
        reason = state.reason
        if reason in NOT_HELPED_BY_RETRY:
            self.close(state, reason)
            return []
        snapshot = self.indexes[state.index].snapshot
        actions = self.fan_out.send_extra(state, snapshot, now)
        if not actions:
            self.close(state, reason)
        return actions

    def close(self, state: ServiceState, reason: MissingReason) -> None:
        """Give up a service."""
        state.reason = reason
        state.closed = True
        self.open_count -= 1
        self.lost_count += 1

    def choose_snapshot(self, index: IndexAnswer, now: float) -> list[Action]:
        """Choose what the first replies favour; ask the other services again."""
        others = index.choose()
        actions: list[Action] = []
        for state in self.states[index.index]:
            if state.service in others:
                state.reopen()
                state.reason = MissingReason.WRONG_VERSION
                self.open_count += 1
                actions.extend(self.retry(state, now))
        return actions

    def restart(self, index: IndexAnswer, now: float) -> list[Action]:
        """Start an index anew on a newer snapshot if the chosen one is gone.

        This is done at most once for an index, only if the coverage aimed at can't be
        reached any more, with time left, and only if the budget bears all of it.
        """
        newer = index.newer()
        asked = [state for state in self.states[index.index] if state.replicas]
        if newer is None or not self.must_restart(asked, now):
            return []
        if not self.fan_out.pay(len(asked), now):
            return []
        index.restart(newer)
        actions: list[Action] = []
        for state in asked:
            actions.extend(self.abandon(state, now))
            self.open_count += int(state.closed)
            state.reopen()
        self.lost_count = self.count_lost()
        actions.extend(self.fan_out.send_first(asked, newer, now))
        return actions

    def count_lost(self) -> int:
        """Count the services that were given up."""
        answered = sum(index.reply_count() for index in self.indexes.values())
        return len(self.services) - self.open_count - answered

    def must_restart(self, states: Sequence[ServiceState], now: float) -> bool:
        """Tell whether wrong versions keep the coverage below what is aimed at."""
        time_left = self.fan_out.settle_at - now
        if time_left < RESTART_TIME_RATIO * (self.fan_out.settle_at - self.began_at):
            return False
        lost = sum(
            state.closed and state.reason is MissingReason.WRONG_VERSION
            for state in states
        )
        reachable = self.ratio(len(self.services) - lost)
        return lost > 0 and reachable < self.workload.enough_coverage

    def with_settlement(self, actions: list[Action], now: float) -> list[Action]:
        """Settle if nothing more is worth waiting for."""
        if self.settled:
            return []
        self.note_enough(now)
        due = now >= self.fan_out.settle_at
        if self.open_count == 0 or due or self.is_hopeless():
            actions.extend(self.settle(now))
        return actions

    def note_enough(self, now: float) -> None:
        """Bring the settlement forward once enough services have answered."""
        if self.enough_reached or self.workload.wait is not Wait.ENOUGH:
            return
        answered = sum([len(index.answered()) for index in self.indexes.values()])
        if self.ratio(answered) >= self.workload.enough_coverage:
            self.enough_reached = True
            early_at = now + self.workload.settle_ms / 1000.0
            self.fan_out.settle_at = min(self.fan_out.settle_at, early_at)

    def is_hopeless(self) -> bool:
        """Tell whether the least coverage is out of reach."""
        if not self.lost_count:
            return False
        reachable = len(self.services) - self.lost_count
        return self.ratio(reachable) < self.workload.least_coverage

    def ratio(self, answered: int) -> float:
        """Return ``answered`` as a share of the services asked."""
        return answered / len(self.services) if self.services else 1.0

    def settle(self, now: float) -> list[Action]:
        """Cancel what is out and answer the caller."""
        self.began = self.began or bool(self.fan_out.attempts)
        if now >= self.request.deadline_at - self.fan_out.reserve_s:
            self.unanswered = self.open_count
        actions = self.fan_out.abandon(tuple(self.fan_out.attempts), now)
        self.settled = True
        self.policy.memory.release(self.reserved_bytes)
        coverage = coverage_of(self.services, self.indexes)
        outcome = outcome_of(
            self.request.request_id,
            self.workload,
            coverage,
            self.indexes,
            self.limit,
            self.began,
        )
        actions.append(Settle(outcome, coverage))
        return actions
