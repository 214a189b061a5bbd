"""Prometheus metrics of a gateway; label values don't grow with the fleet."""

from __future__ import annotations

from collections.abc import Mapping

from sardinehook.gateway.organisations.key_index import KeyIndex
from sardinehook.gateway.organisations.organisation import Organisations
from sardinehook.observe.buckets import LAG_BUCKETS_SECONDS, REQUEST_BUCKETS_SECONDS
from sardinehook.observe.instruments import Instruments

__all__ = ["GatewayMetrics"]


class GatewayMetrics:
    """All metrics of one gateway."""

    def __init__(self) -> None:
        self.instruments = instruments = Instruments()
        self.requests = instruments.labelled_counter(
            "sardinehook_requests",
            "Callers' requests by kind of destination and outcome",
            ["kind", "outcome"],
        )
        self.request_seconds = instruments.labelled_histogram(
            "sardinehook_request_seconds",
            "Time from a caller's request to its answer",
            ["kind"],
            REQUEST_BUCKETS_SECONDS,
        )
        self.extra_sends = instruments.labelled_counter(
            "sardinehook_extra_sends",
            "Requests sent to a further replica",
            ["cause"],
        )
        self.store_calls = instruments.labelled_counter(
            "sardinehook_store_calls",
            "Calls on the platform's store",
            ["operation", "outcome"],
        )
        self.peer_calls = instruments.labelled_counter(
            "sardinehook_peer_calls",
            "Calls for changes to other gateways",
            ["outcome"],
        )
        self.invalid_statuses = instruments.labelled_counter(
            "sardinehook_invalid_statuses",
            "Replies with an invalid status, by the kind of sender",
            ["sender"],
        )
        self.missing_shards = instruments.labelled_counter(
            "sardinehook_missing_shards",
            "Shards that were left out of answers, by why",
            ["reason"],
        )
        self.repeats_denied = instruments.counter(
            "sardinehook_repeats_denied",
            "Hedges and retries for which no budget was left",
        )
        self.cold_denied = instruments.counter(
            "sardinehook_cold_denied",
            "Times that a cold replica was passed over, since its rate was used up",
        )
        self.rate_denied = instruments.counter(
            "sardinehook_rate_denied",
            "Times that a replica was passed over, since its stated rate was used up",
        )
        self.quota_decisions = instruments.labelled_counter(
            "sardinehook_quota_decisions",
            "Requests of organisations with a quota, by where it was decided, and how",
            ["place", "outcome"],
        )
        self.quota_given_back = instruments.counter(
            "sardinehook_quota_given_back",
            "Requests that were admitted and did not run",
        )
        self.usage_datagrams = instruments.labelled_counter(
            "sardinehook_usage_datagrams",
            "Datagrams of the usage ledger that were sent, and malformed ones",
            ["kind"],
        )
        self.usage_holders = instruments.gauge(
            "sardinehook_usage_holders", "Holders of the usage ledger in the fleet"
        )
        self.usage_silent_holders = instruments.gauge(
            "sardinehook_usage_silent_holders",
            "Other holders of the usage ledger that are not in contact",
        )
        self.pace_denied = instruments.counter(
            "sardinehook_pace_denied",
            "Times that a replica was put last, since its window of requests was full",
        )
        self.paced_replicas = instruments.gauge(
            "sardinehook_paced_replicas",
            "Replicas with a window of requests after a start or a recovery",
        )
        self.new_connections_lost = instruments.counter(
            "sardinehook_new_connections_lost",
            "Connections that replicas closed at once, as beyond their limit",
        )
        self.pauses = instruments.counter(
            "sardinehook_replica_pauses",
            "Answers of replicas that asked for a pause",
        )
        self.leaving_replicas = instruments.gauge(
            "sardinehook_leaving_replicas",
            "Replicas whose answers say that they leave",
        )
        self.limited_replicas = instruments.gauge(
            "sardinehook_limited_replicas",
            "Replicas that state a limit of requests per second",
        )
        self.rollout_sends = instruments.labelled_counter(
            "sardinehook_rollout_sends",
            "Requests to services with a rollout, by old or new version",
            ["version"],
        )
        self.rollout_answers = instruments.labelled_counter(
            "sardinehook_rollout_answers",
            "Answers of services with a rollout, by old or new version",
            ["version", "outcome"],
        )
        self.rollout_decisions = instruments.labelled_counter(
            "sardinehook_rollout_decisions",
            "Rollouts that this gateway has ended, by how",
            ["outcome"],
        )
        self.rollout_share = instruments.gauge(
            "sardinehook_rollout_share",
            "Share of the requests that goes to the version rolled out last",
        )
        self.store_age_seconds = instruments.gauge(
            "sardinehook_store_age_seconds",
            "Time since the store, or a reader of it, was heard",
        )
        self.store_era = instruments.gauge(
            "sardinehook_store_era",
            "Era of the store, which rises when it comes back from an older copy",
        )
        self.watch_pending_seconds = instruments.gauge(
            "sardinehook_watch_pending_seconds",
            "Time since the pending watch was sent to the store, 0 if none is",
        )
        self.delegated_in_flight = instruments.gauge(
            "sardinehook_handed_over",
            "Sub-requests at work for gateways with narrow links",
        )
        self.admission_waiting = instruments.gauge(
            "sardinehook_admission_waiting",
            "Requests that wait for admission",
        )
        self.admission_started_late = instruments.counter(
            "sardinehook_admission_started_late",
            "Requests that were started after they waited for admission",
        )
        self.admission_refused = instruments.labelled_counter(
            "sardinehook_admission_refused",
            "Requests that were refused admission, by why",
            ["reason"],
        )
        self.version = instruments.gauge(
            "sardinehook_configuration_version",
            "Version of the configuration in force",
        )
        self.keys_refused = instruments.labelled_counter(
            "sardinehook_keys_refused",
            "Callers' requests that were refused for their key, by why",
            ["reason"],
        )
        self.keys = instruments.gauge(
            "sardinehook_keys", "Keys of organisations in force"
        )
        self.organisations = instruments.gauge(
            "sardinehook_organisations", "Organisations in force"
        )
        self.gateways = instruments.gauge(
            "sardinehook_gateways", "Gateways known in the fleet"
        )
        self.replicas = instruments.gauge("sardinehook_replicas", "Replicas known")
        self.connections = instruments.gauge(
            "sardinehook_connections", "Connections to replicas"
        )
        self.receive_buffer_bytes = instruments.gauge(
            "sardinehook_receive_buffer_bytes",
            "What incomplete replies count against their common limit",
        )
        self.resident_bytes = instruments.gauge(
            "sardinehook_resident_bytes",
            "Resident memory of the process, 0 if unknown",
        )
        self.log_lines_dropped = instruments.counter(
            "sardinehook_log_lines_dropped",
            "Log lines left out by the ceiling or by a full pipe",
        )
        self.loop_lag_seconds = instruments.histogram(
            "sardinehook_loop_lag_seconds",
            "How late the event loop ran a timer",
            LAG_BUCKETS_SECONDS,
        )

    def count_peer_call(self, outcome: str) -> None:
        """Count a call to another gateway by its outcome."""
        self.peer_calls.labels(outcome).inc()

    def count_invalid_statuses(self, counts: Mapping[str, int]) -> None:
        """Take over the counts of this process by the kind of sender."""
        for sender, count in counts.items():
            self.invalid_statuses.labels(sender).value = float(count)

    def set_organisations(self, organisations: Organisations | None) -> None:
        """Set the numbers of organisations and keys, ``None`` if there are none."""
        known = organisations or Organisations({}, KeyIndex({}))
        self.organisations.set(len(known.by_name))
        self.keys.set(len(known.keys))

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
        return self.instruments.render()
