"""Prometheus metrics of a gateway; label values don't grow with the fleet."""

from __future__ import annotations

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from sardinehook.observe.metrics import LAG_BUCKETS_SECONDS, REQUEST_BUCKETS_SECONDS

__all__ = ["GatewayMetrics"]


class GatewayMetrics:
    """All metrics of one gateway, in their own registry."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        registry = self.registry
        self.requests = Counter(
            "sardinehook_requests",
            "Callers' requests by kind of destination and outcome",
            ["kind", "outcome"],
            registry=registry,
        )
        self.request_seconds = Histogram(
            "sardinehook_request_seconds",
            "Time from a caller's request to its answer",
            ["kind"],
            buckets=REQUEST_BUCKETS_SECONDS,
            registry=registry,
        )
        self.extra_sends = Counter(
            "sardinehook_extra_sends",
            "Requests sent to a further replica",
            ["cause"],
            registry=registry,
        )
        self.store_calls = Counter(
            "sardinehook_store_calls",
            "Calls on the platform's store",
            ["operation", "outcome"],
            registry=registry,
        )
        self.peer_calls = Counter(
            "sardinehook_peer_calls",
            "Calls for changes to other gateways",
            ["outcome"],
            registry=registry,
        )
        self.missing_shards = Counter(
            "sardinehook_missing_shards",
            "Shards that were left out of answers, by why",
            ["reason"],
            registry=registry,
        )
        self.repeats_denied = Counter(
            "sardinehook_repeats_denied",
            "Hedges and retries for which no budget was left",
            registry=registry,
        )
        self.cold_denied = Counter(
            "sardinehook_cold_denied",
            "Times that a cold replica was passed over, since its rate was used up",
            registry=registry,
        )
        self.rate_denied = Counter(
            "sardinehook_rate_denied",
            "Times that a replica was passed over, since its stated rate was used up",
            registry=registry,
        )
        self.pauses = Counter(
            "sardinehook_replica_pauses",
            "Answers of replicas that asked for a pause",
            registry=registry,
        )
        self.leaving_replicas = Gauge(
            "sardinehook_leaving_replicas",
            "Replicas whose answers say that they leave",
            registry=registry,
        )
        self.limited_replicas = Gauge(
            "sardinehook_limited_replicas",
            "Replicas that state a limit of requests per second",
            registry=registry,
        )
        self.store_age_seconds = Gauge(
            "sardinehook_store_age_seconds",
            "Time since the store, or a reader of it, was heard",
            registry=registry,
        )
        self.watch_pending_seconds = Gauge(
            "sardinehook_watch_pending_seconds",
            "Time since the pending watch was sent to the store, 0 if none is",
            registry=registry,
        )
        self.delegated_in_flight = Gauge(
            "sardinehook_handed_over",
            "Sub-requests at work for gateways with narrow links",
            registry=registry,
        )
        self.version = Gauge(
            "sardinehook_configuration_version",
            "Version of the configuration in force",
            registry=registry,
        )
        self.gateways = Gauge(
            "sardinehook_gateways", "Gateways known in the fleet", registry=registry
        )
        self.replicas = Gauge(
            "sardinehook_replicas", "Replicas known", registry=registry
        )
        self.connections = Gauge(
            "sardinehook_connections", "Connections to replicas", registry=registry
        )
        self.log_lines_dropped = Counter(
            "sardinehook_log_lines_dropped",
            "Log lines left out by the ceiling or by a full pipe",
            registry=registry,
        )
        self.loop_lag_seconds = Histogram(
            "sardinehook_loop_lag_seconds",
            "How late the event loop ran a timer",
            buckets=LAG_BUCKETS_SECONDS,
            registry=registry,
        )

    def count_peer_call(self, outcome: str) -> None:
        """Count a call to another gateway by its outcome."""
        self.peer_calls.labels(outcome).inc()

    def observe(
        self, kind: str, outcome: str, seconds: float, hedges: int, repeats: int
    ) -> None:
        """Record a completed request and its extra sends."""
        self.requests.labels(kind, outcome).inc()
        self.request_seconds.labels(kind).observe(seconds)
        if hedges:
            self.extra_sends.labels("hedge").inc(hedges)
        if repeats:
            self.extra_sends.labels("failure").inc(repeats)

    def render(self) -> bytes:
        """Render all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
