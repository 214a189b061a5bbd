"""Log lines and metrics for the outcome of each request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from sardinehook.gateway.answer import CallerAnswer
from sardinehook.gateway.metrics import GatewayMetrics
from sardinehook.gateway.reactor import GatewayReactor
from sardinehook.observe.events import EventName, log_event

if TYPE_CHECKING:
    from sardinehook.gateway.delegated_search import DelegatedSearch
    from sardinehook.gateway.gather import Gather
    from sardinehook.gateway.quota.admitted_request import LocalSearchAdmission
    from sardinehook.gateway.routing.search_routing import DelegateInquiry
    from sardinehook.gateway.single import SingleCall

    Work = (
        Gather | SingleCall | DelegatedSearch | DelegateInquiry | LocalSearchAdmission
    )

__all__ = ["RequestLog"]

logger = structlog.get_logger(__name__)

MS_PER_S = 1000.0
MISSING_REASONS = (
    ("no reply", "overdue"),
    ("queue", "queue_too_long"),
    ("no replica", "no_replica"),
    ("no connection", "unreachable"),
    ("status", "failed"),
    ("refused", "failed"),
)
SUCCESS_LOG_INTERVAL = 16  # one log line per this many ordinary successes


class RequestLog:
    """Logs each failed, late or incomplete request and a sample of the others."""

    def __init__(self, reactor: GatewayReactor, metrics: GatewayMetrics) -> None:
        self.reactor = reactor
        self.metrics = metrics
        self.successes = 0

    def record_refused(self, request: str, answer: CallerAnswer) -> None:
        """Record a request that was refused before it was started."""
        self.metrics.requests.labels("none", answer.outcome).inc()
        log_event(
            logger,
            EventName.QUERY_REFUSED,
            request=request,
            kind=answer.outcome,
            detail=answer.detail,
        )

    def count_key_refused(self, reason: str) -> None:
        """Count a request that is refused for its key."""
        self.metrics.keys_refused.labels(reason).inc()

    def record_released(self, count: int, waited_s: float) -> None:
        """Record that requests no longer wait for the first configuration."""
        log_event(
            logger,
            EventName.REQUESTS_RELEASED,
            count=count,
            took_ms=waited_s * MS_PER_S,
        )

    def record_ended(
        self,
        work: Work,
        version: int,
        answer: CallerAnswer,
        peer: str = "",
    ) -> None:
        """Record the end of a request; ``peer`` is the gateway that delegated it."""
        took_s = self.reactor.seconds() - work.request.received_at
        late = took_s > work.route.objective_s
        kind = "one" if hasattr(work, "tried") else "all"
        if peer:
            kind = "for_peer"
        self.metrics.observe(kind, answer.outcome, took_s, work.hedges, work.repeats)
        self.count_missing(work)
        answered = answer.outcome == "answered" and answer.status < 400
        notable = bool(not answered or late or answer.detail)
        self.successes += not notable
        if not notable and self.successes % SUCCESS_LOG_INTERVAL:
            return
        event = EventName.QUERY_ANSWERED if answered else EventName.QUERY_FAILED
        log_event(
            logger,
            event,
            request=work.request.request_id.decode("latin-1"),
            workload=work.route.name,
            outcome=f"{answer.status} {answer.outcome}",
            revision=version,
            detail=answer.detail,
            hedges=work.hedges,
            retries=work.repeats,
            took_ms=took_s * MS_PER_S,
            target=target_of(work),
            peer=peer or delegate_of(work),
        )

    def count_missing(self, work: Work) -> None:
        """Count the shards that are missing from an answer, by reason."""
        for shard in getattr(work, "shards", ()):
            if not shard.answered:
                kind = missing_reason(shard.reason)
                self.metrics.missing_shards.labels(kind).inc()

    def record_cancelled(self, work: Work) -> None:
        """Record a request whose caller has disconnected."""
        took_s = self.reactor.seconds() - work.request.received_at
        self.metrics.requests.labels("any", "caller_left").inc()
        log_event(
            logger,
            EventName.QUERY_CANCELLED,
            request=work.request.request_id.decode("latin-1"),
            workload=work.route.name,
            took_ms=took_s * MS_PER_S,
        )


def target_of(work: Work) -> str:
    """Return the ids of the replicas that a single request was sent to."""
    tried = getattr(work, "tried", [])
    return ",".join(replica.replica_id for replica in tried)


def delegate_of(work: Work) -> str:
    """Return the name of the gateway to which a search was delegated."""
    delegate = getattr(work, "delegate", None)
    return delegate.name if delegate else ""


def missing_reason(reason: str) -> str:
    """Map a failure reason to one of the few values of the metric's label.

    >>> missing_reason("refused with 503"), missing_reason("Connection lost.")
    ('failed', 'lost')
    """
    for start, kind in MISSING_REASONS:
        if reason.startswith(start):
            return kind
    return "lost"
