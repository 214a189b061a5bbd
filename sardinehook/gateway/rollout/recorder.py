"""Counts the requests and answers of both versions, as this gateway sees them."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from sardinehook.gateway.directory import Directory
from sardinehook.gateway.dispatch import (
    Answered,
    Exchange,
    ExchangeOutcome,
    Failed,
    NotRun,
)
from sardinehook.gateway.rollout.evidence import (
    FAILURES,
    NEW,
    OLD,
    REQUESTS,
    ReplicaKey,
    bucket_of,
    fair_time_s,
    subject_of,
)
from sardinehook.gateway.rollout.service import ServiceRollout
from sardinehook.gateway.usage.interfaces import UsageLedger

__all__ = ["RolloutRecorder"]

# A reply that was given up takes this much longer than the time waited for it.
ABANDONED_RATIO = 1.5
# Of the objective: one given up sooner tells nothing, since its caller has left.
MIN_ABANDONED_RATIO = 0.2
OVERLOADED_WAITING = 1  # requests waiting at a replica that may refuse more


class Counted(NamedTuple):
    """What an answer counts as; ``took_s`` is ``None`` if it is not timed."""

    failed: bool
    took_s: float | None


class RolloutRecorder:
    """Records evidence in the ledger, and in one of this gateway's own counts."""

    def __init__(
        self,
        directory: Directory,
        data_centre: str,
        ledger: UsageLedger,
        own: UsageLedger,
        count_answer: Callable[[str, str], None],
    ) -> None:
        self.directory = directory
        self.data_centre = data_centre
        self.ledgers = (ledger,) if ledger is own else (ledger, own)
        self.count_answer = count_answer

    def key_of(self, rollout: ServiceRollout, exchange: Exchange) -> ReplicaKey:
        """Return the replica of an exchange, as evidence names it."""
        entry = exchange.replica.entry
        is_new = rollout.is_new(exchange.replica)
        far = entry.data_centre != self.data_centre
        return ReplicaKey(entry.replica_id, entry.data_centre, is_new, far)

    def record_end(
        self,
        rollout: ServiceRollout,
        exchange: Exchange,
        outcome: ExchangeOutcome,
        now: float,
    ) -> None:
        """Record the answer to a request that was sent."""
        counted = self.judge(exchange, outcome, now)
        if counted is not None:
            self.record(rollout, exchange, counted, now)

    def record_abandoned(
        self, rollout: ServiceRollout, exchange: Exchange, now: float
    ) -> None:
        """Record a request whose reply was given up, mostly for that to a hedge."""
        took_s = self.fair_time_s(exchange, now)
        route = self.route_of(exchange)
        if took_s is None or route is None:
            return
        if now - exchange.sent_at >= MIN_ABANDONED_RATIO * route[1]:
            counted = Counted(False, ABANDONED_RATIO * took_s)
            self.record(rollout, exchange, counted, now)

    def judge(
        self, exchange: Exchange, outcome: ExchangeOutcome, now: float
    ) -> Counted | None:
        """Return what an answer counts as, ``None`` if it tells nothing."""
        took_s = self.fair_time_s(exchange, now)
        match outcome:
            case Answered(reply):
                caller_error = 400 <= reply.status < 500 and reply.signature is not None
                if reply.is_success or caller_error:
                    return Counted(False, took_s if reply.is_success else None)
                return Counted(True, None)
            case Failed():
                return Counted(True, took_s)
            case NotRun():
                return None if self.may_refuse(exchange, now) else Counted(True, None)

    def may_refuse(self, exchange: Exchange, now: float) -> bool:
        """Return whether a replica had a reason to refuse a request.

        It may be busy, leave, limit its rate, or be another one at that address.
        """
        replica = exchange.replica
        notices = replica.notices
        if self.directory.replicas.get(replica.replica_id) is not replica:
            return True
        if not notices.allow_requests(now) or notices.rate_share is not None:
            return True
        if replica.is_cold(now) or replica.entry.draining:
            return True
        load = replica.load
        return load is not None and (
            load.waiting >= OVERLOADED_WAITING or load.running >= load.slots
        )

    def fair_time_s(self, exchange: Exchange, now: float) -> float | None:
        """Return the reply time without what load adds, ``None`` in a cold start."""
        replica = exchange.replica
        if replica.is_cold(now):
            return None
        load = replica.load
        queued = load.waiting / max(1, load.slots) if load else 0.0
        return fair_time_s(
            now - exchange.sent_at,
            exchange.expected_service_times,
            queued,
            load.work_ratio if load else None,
        )

    def record(
        self,
        rollout: ServiceRollout,
        exchange: Exchange,
        counted: Counted,
        now: float,
    ) -> None:
        """Count an answer under its route and replica."""
        route = self.route_of(exchange)
        order = rollout.order
        if route is None or order is None:
            return
        rollout.last_answer_at = now
        key = self.key_of(rollout, exchange)
        counters = [REQUESTS]
        if counted.failed:
            counters.append(FAILURES)
        if counted.took_s is not None:
            counters.append(f"t{bucket_of(counted.took_s)}")
        # Evidence after the decision would be sent for as long as the order stays.
        for counter in () if rollout.is_decided else counters:
            subject = subject_of(
                order.service, order.target_version, route[0], key, counter
            )
            for ledger in self.ledgers:
                ledger.record(subject, 1.0, now)
        kind = NEW if key.is_new else OLD
        self.count_answer(kind, "failed" if counted.failed else "answered")

    def route_of(self, exchange: Exchange) -> tuple[str, float] | None:
        """Return the name and the objective of the route of an exchange."""
        configuration = self.directory.configuration
        request = exchange.request
        if configuration is None:
            return None
        route = configuration.find_route(request.host, request.path)
        return None if route is None else (route.name, route.objective_s)
