"""Makes the tickets of requests from the estimates of the gateway."""

from __future__ import annotations

from typing import assert_never

from sardinehook.gateway.admission.ticket import LaneKey, Ticket
from sardinehook.gateway.configuration import Route
from sardinehook.gateway.gather import Gather
from sardinehook.gateway.organisations.organisation import Organisations
from sardinehook.gateway.policy import RequestPolicy, answer_deadline
from sardinehook.gateway.single import SingleCall

__all__ = ["TicketMaker", "organisation_weights"]

REFUSE_RATIO = 0.25  # of the objective: a refusal after it costs the caller a retry
REFUSE_MARGIN_S = 0.003  # to write a refusal, which needs no merging
UNQUEUED_QUANTILE = 0.1  # of reply times: those that hardly met a queue
SERVICE_TIME_WEIGHT = 0.1  # of one request in the average of service times
MAX_GROUPS = 256  # groups of services whose service time is remembered


class TicketMaker:
    """Makes tickets; remembers the usual service time of each group of services."""

    def __init__(self, policy: RequestPolicy) -> None:
        self.policy = policy
        self.service_times: dict[LaneKey, float] = {}
        self.organisations: Organisations | None = None
        self.weights: dict[str, float] = {}

    def make(self, work: Gather | SingleCall, begun: bool, now: float) -> Ticket:
        """Return the ticket of a request that arrives at ``now``."""
        request, route = work.request, work.route
        match work:
            case Gather(shard_set=shards):
                services = shards.shards
                answer_by = work.objective_at
            case SingleCall(service=service):
                services = (service,)
                answer_by = min(
                    answer_deadline(request, route.objective_s), work.deadline_at
                )
            case _:
                assert_never(work)
        key = LaneKey(services, self.policy.selector.data_centre)
        cost_s = self.cost_s(route)
        refuse_after_s = REFUSE_RATIO * route.objective_s - request.network_s
        return Ticket(
            key,
            request.organisation,
            self.weight(request.organisation),
            work.priority,
            begun,
            cost_s,
            work.median_s,
            request.received_at + refuse_after_s - REFUSE_MARGIN_S,
            answer_by,
            len(request.body),
        )

    def cost_s(self, route: Route) -> float:
        """Return how long a request of a route occupies each service."""
        return min(self.policy.latency_s(route, UNQUEUED_QUANTILE), route.objective_s)

    def service_s(self, route: Route, key: LaneKey) -> float:
        """Return the average service time of a group, with a request that has ended.

        The latency that is assumed for a new route is not remembered. For searches it
        is up to twice the real one, by which short queues look like congestion.
        """
        cost_s = self.cost_s(route)
        if self.policy.knows_latency(route):
            self.observe_service_time(key, cost_s)
        return self.service_times.get(key, cost_s)

    def observe_service_time(self, key: LaneKey, cost_s: float) -> None:
        """Include one request in the average service time of its group."""
        known = self.service_times.get(key, cost_s)
        self.service_times[key] = known + SERVICE_TIME_WEIGHT * (cost_s - known)
        if len(self.service_times) > MAX_GROUPS:
            del self.service_times[next(iter(self.service_times))]

    def weight(self, organisation: str) -> float:
        """Return the weight of an organisation in fair queueing."""
        configuration = self.policy.directory.configuration
        organisations = configuration.organisations if configuration else None
        if organisations is not self.organisations:
            self.organisations = organisations
            self.weights = organisation_weights(organisations)
        return self.weights.get(organisation, self.weights.get("", 1.0))


def organisation_weights(organisations: Organisations | None) -> dict[str, float]:
    """Return the weights of organisations: the rates of their quotas.

    An organisation without a quota has the mean of these. That is also the weight of
    all requests without an organisation together, under the empty name.
    """
    if organisations is None:
        return {}
    named = organisations.by_name.values()
    rates = [one.rate_per_s for one in named if one.rate_per_s > 0.0]
    mean = sum(rates) / len(rates) if rates else 1.0
    weights = {
        one.name: one.rate_per_s if one.rate_per_s > 0.0 else mean for one in named
    }
    return {**weights, "": mean}
