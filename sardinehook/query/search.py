"""One search from its first sub-query to its answer."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from returns.pipeline import is_successful

from sardinehook.environment.document import Wait, Workload
from sardinehook.errors import ErrorKind, Problem
from sardinehook.messages import NO_ORDER_KEY, Outcome, SubQuery, SubReply
from sardinehook.query.actions import Action, Cancel, Send, Settle
from sardinehook.query.answer import SearchAnswer
from sardinehook.query.coverage import (
    Coverage,
    MissingReason,
    MissingService,
    missing_reason,
)
from sardinehook.query.index_answer import IndexAnswer
from sardinehook.query.merge import Hit, distinct_hits, parse_page
from sardinehook.query.plan import Attempt, SearchRequest, ServicePlan, ServiceState
from sardinehook.query.policy import SearchPolicy
from sardinehook.query.snapshot import ANY_SNAPSHOT, Snapshot

__all__ = ["Search", "SearchRequest", "ServicePlan", "Snapshot"]

SETTLE_RESERVE_RATIO = 0.02
SETTLE_RESERVE_MOST_MS = 2.0


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
        self.settle_at = request.deadline_at - settle_reserve(request, now)
        self.enough_reached = False
        self.attempts: dict[int, Attempt] = {}
        self.answered_count = 0
        self.open_count = len(self.services)
        self.began = False
        self.indexes = self.open_indexes(snapshots)

    def open_indexes(self, snapshots: Mapping[str, Snapshot]) -> dict[str, IndexAnswer]:
        """Start the collection of each index that is asked."""
        names = {state.index for state in self.services}
        most_bytes = self.policy.limits.query_bytes // max(1, len(names))
        return {
            name: IndexAnswer(name, snapshots.get(name), self.limit, most_bytes)
            for name in sorted(names)
        }

    def begin(self, now: float) -> list[Action]:
        """Ask one replica of each service."""
        actions: list[Action] = []
        for state in self.services:
            if not state.replicas:
                self.close(state, MissingReason.NO_REPLICA)
            elif now < self.settle_at:
                actions.append(self.send(state, state.replicas[0], now))
        return self.with_settlement(actions, now)

    def on_reply(self, reply: SubReply, now: float) -> list[Action]:
        """Take in the end of a sub-query; unknown and repeated ones are dropped."""
        attempt = self.attempts.pop(reply.sub_query_id, None)
        if self.settled or attempt is None:
            return []
        state = attempt.service
        state.outstanding.remove(reply.sub_query_id)
        self.began = self.began or reply.began
        reason = self.take(attempt, reply)
        if reason is None:
            return self.with_settlement(self.answer_service(state), now)
        state.reason = reason
        if not state.outstanding:
            self.close(state, reason)
        return self.with_settlement([], now)

    def on_timer(self, now: float) -> list[Action]:
        """Do what is due at ``now``."""
        return self.with_settlement([], now)

    def next_timer(self) -> float | None:
        """Return when ``on_timer`` is due next, ``None`` once settled."""
        return None if self.settled else self.settle_at

    def send(self, state: ServiceState, replica: str, now: float) -> Send:
        """Ask ``replica`` and remember it."""
        snapshot = self.indexes[state.index].snapshot
        wanted = ANY_SNAPSHOT if snapshot is None else snapshot
        sub_query_id = next(self.policy.sub_query_ids)
        self.attempts[sub_query_id] = Attempt(
            sub_query_id, state, replica, snapshot, now
        )
        state.outstanding.append(sub_query_id)
        state.reason = MissingReason.LATE
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

    def take(self, attempt: Attempt, reply: SubReply) -> MissingReason | None:
        """Count a reply as answered, or tell why it is not."""
        if reply.outcome is not Outcome.ANSWERED:
            return missing_reason(reply.outcome)
        if len(reply.body) > self.policy.limits.reply_bytes:
            return MissingReason.TOO_LARGE
        index = self.indexes[attempt.service.index]
        snapshot = Snapshot(reply.index_version, reply.partitioning)
        if not index.accepts(snapshot):
            return MissingReason.WRONG_VERSION
        page = parse_page(reply.body)
        if not is_successful(page):
            return page.failure()
        index.add(attempt.service.service, snapshot, page.unwrap(), len(reply.body))
        return None

    def answer_service(self, state: ServiceState) -> list[Action]:
        """Close a service that answered and cancel its other attempts."""
        cancels: list[Action] = [Cancel(held) for held in state.outstanding]
        for sub_query_id in state.outstanding:
            del self.attempts[sub_query_id]
            self.began = True
        state.outstanding.clear()
        state.closed = True
        self.open_count -= 1
        self.answered_count += 1
        return cancels

    def close(self, state: ServiceState, reason: MissingReason) -> None:
        """Give up a service."""
        state.reason = reason
        state.closed = True
        self.open_count -= 1

    def with_settlement(self, actions: list[Action], now: float) -> list[Action]:
        """Settle if nothing more is worth waiting for."""
        if self.settled:
            return []
        self.note_enough(now)
        if self.open_count == 0 or now >= self.settle_at or self.is_hopeless():
            actions.extend(self.settle())
        return actions

    def note_enough(self, now: float) -> None:
        """Bring the settlement forward once enough services have answered."""
        if self.enough_reached or self.workload.wait is not Wait.ENOUGH:
            return
        if self.answered_ratio(self.answered_count) >= self.workload.enough_coverage:
            self.enough_reached = True
            early_at = now + self.workload.settle_ms / 1000.0
            self.settle_at = min(self.settle_at, early_at)

    def is_hopeless(self) -> bool:
        """Tell whether the least coverage is out of reach."""
        reachable = self.answered_ratio(self.answered_count + self.open_count)
        return reachable < self.workload.least_coverage

    def answered_ratio(self, answered: int) -> float:
        """Return ``answered`` as a share of the services asked."""
        return answered / len(self.services) if self.services else 1.0

    def settle(self) -> list[Action]:
        """Cancel what is out and answer the caller."""
        actions: list[Action] = [Cancel(held) for held in self.attempts]
        self.began = self.began or bool(self.attempts)
        self.attempts.clear()
        self.settled = True
        coverage = self.coverage()
        actions.append(Settle(self.outcome(coverage), coverage))
        return actions

    def coverage(self) -> Coverage:
        """Count the services whose accepted reply is of the snapshot."""
        answered = {name: held.answered() for name, held in self.indexes.items()}
        missing = tuple(
            MissingService(state.service, self.reason_missing(state))
            for state in self.services
            if state.service not in answered[state.index]
        )
        snapshot = {
            name: leading
            for name, held in self.indexes.items()
            if answered[name] and (leading := held.leading()) is not None
        }
        asked = len(self.services)
        return Coverage(asked, asked - len(missing), missing, snapshot)

    def reason_missing(self, state: ServiceState) -> MissingReason:
        """Tell why a service is missing, also one that answered another snapshot."""
        answered_another = any(
            state.service in services
            for services in self.indexes[state.index].services.values()
        )
        return MissingReason.WRONG_VERSION if answered_another else state.reason

    def outcome(self, coverage: Coverage) -> SearchAnswer | Problem:
        """Return the answer, or why there is none."""
        enough = coverage.ratio >= self.workload.least_coverage
        if enough and (coverage.answered or not coverage.asked):
            return self.answer(coverage)
        detail = f"{coverage.answered} of {coverage.asked} services answered"
        if coverage.answered:
            return Problem(ErrorKind.COVERAGE_BELOW_LEAST, detail)
        if not self.began:
            return Problem(ErrorKind.TARGET_UNAVAILABLE, detail)
        return Problem(ErrorKind.COVERAGE_BELOW_LEAST, detail)

    def answer(self, coverage: Coverage) -> SearchAnswer:
        """Merge the records of all indexes."""
        hits: list[Hit] = []
        limited = False
        for held in self.indexes.values():
            merger = held.merger()
            if merger is not None:
                merged = merger.merged()
                hits.extend(merged.records)
                limited = limited or merged.limited
        distinct = distinct_hits(hits)
        limited = limited or len(distinct) > self.limit
        records = tuple(distinct[: self.limit])
        return SearchAnswer(self.request.request_id, records, coverage, limited)


def settle_reserve(request: SearchRequest, now: float) -> float:
    """Return the seconds kept before the deadline for the answer's way back."""
    time_left = max(0.0, request.deadline_at - now)
    return min(time_left * SETTLE_RESERVE_RATIO, SETTLE_RESERVE_MOST_MS / 1000.0)
