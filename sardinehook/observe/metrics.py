"""Prometheus metrics of an entry process, with bounded label cardinality."""

from __future__ import annotations

from enum import StrEnum

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from sardinehook.errors import ErrorKind
from sardinehook.messages import Outcome, TargetState
from sardinehook.observe.buckets import LAG_BUCKETS_SECONDS, REQUEST_BUCKETS_SECONDS

__all__ = [
    "OTHER_WORKLOAD",
    "Attempt",
    "Direction",
    "MemberState",
    "Metrics",
    "OrderOutcome",
    "StoreOperation",
]

MAX_WORKLOADS = 64
OTHER_WORKLOAD = "other"
ANSWERED = "answered"
COVERAGE_BUCKETS = (0.0, 0.5, 0.8, 0.9, 0.95, 0.98, 0.99, 0.995, 0.999, 1.0)


class Attempt(StrEnum):
    """Why a sub-query was sent."""

    FIRST = "first"
    HEDGE = "hedge"
    RETRY = "retry"


class StoreOperation(StrEnum):
    """An operation of the platform's key-value service or VM list."""

    GET = "get"
    PUT = "put"
    DELETE = "delete"
    LIST = "list"
    WATCH = "watch"
    LEASE = "lease"
    VMS = "vms"


class MemberState(StrEnum):
    """The state of a fleet member as seen by this entry process."""

    LIVE = "live"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    GONE = "gone"


class Direction(StrEnum):
    """The direction of control traffic."""

    SENT = "sent"
    RECEIVED = "received"


class OrderOutcome(StrEnum):
    """The outcome of an order as reported to its caller."""

    RUN = "run"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    IN_PROGRESS = "in_progress"


class Metrics:
    """All metrics of one process, in a separate registry.

    Labels are workload, error kind, outcome, state, operation and data centre,
    never a replica, service, caller or request: cardinality must not grow with the
    fleet.
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.workloads: set[str] = set()
        self._add_query_metrics()
        self._add_target_metrics()
        self._add_order_metrics()
        self._add_control_metrics()

    def _add_query_metrics(self) -> None:
        self.request_seconds = Histogram(
            "sardinehook_request_seconds",
            "Time from a caller's request to its answer",
            ["workload", "outcome"],
            buckets=REQUEST_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.coverage_ratio = Histogram(
            "sardinehook_coverage_ratio",
            "Services that answered, of those asked, for each answer",
            ["workload"],
            buckets=COVERAGE_BUCKETS,
            registry=self.registry,
        )
        self.sub_queries = Counter(
            "sardinehook_sub_queries",
            "Sub-queries sent",
            ["workload", "attempt"],
            registry=self.registry,
        )
        self.sub_replies = Counter(
            "sardinehook_sub_replies",
            "Ends of sub-queries, by the data centre of the target",
            ["outcome", "data_centre"],
            registry=self.registry,
        )
        self.refusals = Counter(
            "sardinehook_refusals",
            "Requests that were not answered",
            ["kind"],
            registry=self.registry,
        )
        self.in_flight = Gauge(
            "sardinehook_in_flight",
            "Callers' requests in flight",
            registry=self.registry,
        )

    def _add_target_metrics(self) -> None:
        self.connections = Gauge(
            "sardinehook_connections",
            "Open connections to targets",
            registry=self.registry,
        )
        self.connections_allowed = Gauge(
            "sardinehook_connections_allowed",
            "Connections to targets that this process may open",
            registry=self.registry,
        )
        self.slots = Gauge(
            "sardinehook_slots",
            "Slots of targets in use by this process",
            registry=self.registry,
        )
        self.slots_allowed = Gauge(
            "sardinehook_slots_allowed",
            "Slots of targets that this process may use",
            registry=self.registry,
        )
        self.queued = Gauge(
            "sardinehook_queued",
            "Sub-queries that wait for a slot here",
            registry=self.registry,
        )
        self.replicas = Gauge(
            "sardinehook_replicas",
            "Replicas owned by this process",
            ["state"],
            registry=self.registry,
        )
        self.silent_connections = Counter(
            "sardinehook_silent_connections",
            "Connections given up because nothing came over them",
            registry=self.registry,
        )

    def _add_order_metrics(self) -> None:
        self.orders = Counter(
            "sardinehook_orders",
            "Orders by what the caller was told",
            ["outcome"],
            registry=self.registry,
        )
        self.order_record_failures = Counter(
            "sardinehook_order_record_failures",
            "Outcomes of orders that could not be recorded yet",
            registry=self.registry,
        )
        self.orders_unrecorded = Gauge(
            "sardinehook_orders_unrecorded",
            "Outcomes of orders that wait to be recorded",
            registry=self.registry,
        )

    def _add_control_metrics(self) -> None:
        self.revision = Gauge(
            "sardinehook_revision",
            "Revision of the environment document in force",
            registry=self.registry,
        )
        self.store_calls = Counter(
            "sardinehook_store_calls",
            "Calls on the platform's service",
            ["operation"],
            registry=self.registry,
        )
        self.store_failures = Counter(
            "sardinehook_store_failures",
            "Calls on the platform's service that got no answer",
            ["operation"],
            registry=self.registry,
        )
        self.members = Gauge(
            "sardinehook_members",
            "Entry processes known to this one",
            ["state"],
            registry=self.registry,
        )
        self.control_bytes = Counter(
            "sardinehook_control_bytes",
            "Bytes of control messages",
            ["direction"],
            registry=self.registry,
        )
        self.loop_lag_seconds = Histogram(
            "sardinehook_loop_lag_seconds",
            "How late the event loop ran a timer",
            buckets=LAG_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.log_queries = Counter(
            "sardinehook_log_queries",
            "Queries by whether their events were written",
            ["written"],
            registry=self.registry,
        )

    def workload(self, name: str) -> str:
        """Return the label value for a workload.

        Beyond ``MAX_WORKLOADS`` distinct names, it is ``OTHER_WORKLOAD``.
        """
        if name in self.workloads:
            return name
        if len(self.workloads) >= MAX_WORKLOADS:
            return OTHER_WORKLOAD
        self.workloads.add(name)
        return name

    def observe_answer(self, workload: str, seconds: float, coverage: float) -> None:
        """Record an answer, its latency in seconds and its coverage from 0 to 1."""
        label = self.workload(workload)
        self.request_seconds.labels(label, ANSWERED).observe(seconds)
        self.coverage_ratio.labels(label).observe(coverage)

    def observe_refusal(self, workload: str, seconds: float, kind: ErrorKind) -> None:
        """Record a request that failed or was rejected, by error kind."""
        self.request_seconds.labels(self.workload(workload), kind.value).observe(
            seconds
        )
        self.refusals.labels(kind.value).inc()

    def count_sub_queries(self, workload: str, attempt: Attempt, count: int) -> None:
        """Count sub-queries sent for one request."""
        self.sub_queries.labels(self.workload(workload), attempt.value).inc(count)

    def count_sub_reply(self, outcome: Outcome, data_centre: str) -> None:
        """Count the outcome of a sub-query by the data centre of its target."""
        self.sub_replies.labels(outcome.name.lower(), data_centre).inc()

    def count_order(self, outcome: OrderOutcome) -> None:
        """Count the outcome of an order as reported to its caller."""
        self.orders.labels(outcome.value).inc()

    def count_store_call(self, operation: StoreOperation, failed: bool) -> None:
        """Count a call to the platform, and its failure if ``failed``."""
        self.store_calls.labels(operation.value).inc()
        if failed:
            self.store_failures.labels(operation.value).inc()

    def count_control_bytes(self, direction: Direction, count: int) -> None:
        """Count bytes of control messages sent or received."""
        self.control_bytes.labels(direction.value).inc(count)

    def set_replicas(self, counts: dict[TargetState, int]) -> None:
        """Set the number of owned replicas in each state; missing states are zero."""
        for state in TargetState:
            self.replicas.labels(state.name.lower()).set(counts.get(state, 0))

    def set_members(self, counts: dict[MemberState, int]) -> None:
        """Set the number of known members in each state; missing states are zero."""
        for state in MemberState:
            self.members.labels(state.value).set(counts.get(state, 0))

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
