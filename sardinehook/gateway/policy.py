"""State shared by requests: latency estimates, retry budgets, replica choice."""

from __future__ import annotations

from collections.abc import Callable

from sardinehook.gateway.admission.priority import effective_priority
from sardinehook.gateway.configuration import Route
from sardinehook.gateway.directory import Directory
from sardinehook.gateway.dispatch import Dispatcher
from sardinehook.gateway.interfaces import CallerCodec, CallerRequest
from sardinehook.gateway.reactor import GatewayReactor
from sardinehook.gateway.replica_selection import ReplicaSelector
from sardinehook.gateway.retry_budget import RetryBudget, SlidingWindowCounter
from sardinehook.gateway.routing.hedging import OverdueRatios
from sardinehook.gateway.settings import Bounds
from sardinehook.gateway.unused_replica import describe_unused
from sardinehook.query.latency import LatencyEstimates

__all__ = [
    "DEMAND_WINDOW_S",
    "FAILOVER_AFTER_S",
    "RequestPolicy",
    "answer_deadline",
    "request_deadline",
]

FAILOVER_AFTER_S = 0.06  # live replicas accept a connection by then
ANSWER_MARGIN_S = 0.01  # for I/O on a busy VM, timer lag and merging
ANSWER_MARGIN_RATIO = 0.1  # of the time: 10 ms would be a quarter of a short objective
INITIAL_LATENCY_RATIO = 0.2  # of the objective: the latency assumed for a new route
MEDIAN = 0.5
DEMAND_WINDOW_S = 5.0  # window for counting requests
RATE_RESERVE = 1.0  # requests of a limited rate that are left for a higher priority
MAX_EXPLAINED_REPLICAS = 4  # of a service, in an error detail
MS_PER_S = 1000.0


def answer_deadline(request: CallerRequest, within_s: float) -> float:
    """Return when to write the answer so that it arrives within ``within_s``.

    The network path and a processing margin are subtracted.

    >>> request = CallerRequest(b"r", b"GET", b"/", "h", (), b"", None, 10.0, 0.016)
    >>> answer_deadline(request, 0.2), round(answer_deadline(request, 0.04), 3)
    (10.174, 10.02)
    """
    margin_s = min(ANSWER_MARGIN_S, ANSWER_MARGIN_RATIO * within_s)
    return request.received_at + within_s - request.network_s - margin_s


def request_deadline(request: CallerRequest, route: Route) -> float:
    """Return the deadline from the timeouts of the route and the caller."""
    patience_s = route.timeout_s
    if request.caller_timeout_s is not None:
        patience_s = min(patience_s, request.caller_timeout_s)
    return answer_deadline(request, patience_s)


class RequestPolicy:
    """Estimates, budgets and collaborators that all requests of a gateway share."""

    def __init__(
        self,
        reactor: GatewayReactor,
        directory: Directory,
        dispatcher: Dispatcher,
        selector: ReplicaSelector,
        callers: CallerCodec,
    ) -> None:
        self.reactor = reactor
        self.directory = directory
        self.dispatcher = dispatcher
        self.selector = selector
        self.callers = callers
        self.bounds = Bounds()
        self.latencies = LatencyEstimates()
        self.overdue_ratios = OverdueRatios()
        self.budgets: dict[str, RetryBudget] = {}
        self.counting_since = float("-inf")
        self.on_retry_denied: Callable[[], object] = int
        self.searches = SlidingWindowCounter(DEMAND_WINDOW_S)
        self.single_requests = SlidingWindowCounter(DEMAND_WINDOW_S)

    def configure(self, bounds: Bounds) -> None:
        """Apply the limits of the deployment; a new window restarts the budgets."""
        if bounds.repeat_window_s != self.bounds.repeat_window_s:
            self.restart_counting()
        self.bounds = bounds
        self.selector.bounds = bounds
        self.directory.drain_s = bounds.drain_s

    def restart_counting(self) -> None:
        """Restart all counts; what was sent before is unknown."""
        self.budgets.clear()
        self.counting_since = self.reactor.seconds()
        self.selector.counting_since = self.counting_since

    def budget_for(self, service: str) -> RetryBudget:
        """Return the retry budget of a service, creating it if needed."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = RetryBudget(self.bounds.repeat_window_s, self.counting_since)
            self.budgets[service] = budget
        return budget

    def try_spend_retry(self, service: str, now: float) -> bool:
        """Spend one retry from a service's budget; return whether there was one."""
        sharing_gateways = self.directory.share_divisor(service)
        if self.budget_for(service).spend(self.bounds, sharing_gateways, now):
            return True
        self.on_retry_denied()
        return False

    def priority_of(self, request: CallerRequest, route: Route) -> int:
        """Return the priority of a request under the configuration in force."""
        return effective_priority(self.directory.configuration, request, route)

    def rate_reserve(self, priority: int, service: str) -> float:
        """Return how many requests of a limited rate to leave for others.

        Requests of the highest priority that the service gets may use them all.
        """
        top = self.directory.top_priorities.get(service, priority)
        return 0.0 if priority <= top else RATE_RESERVE

    def wait_s(self, priority: int, service: str, now: float) -> float:
        """Return how long until pauses and limits of replicas allow a request."""
        return self.directory.wait_s(service, self.rate_reserve(priority, service), now)

    def latency_s(self, route: Route, quantile: float = MEDIAN) -> float:
        """Return a quantile of the latency of replicas for a route, in seconds."""
        known = self.latencies.quantile(route.name, quantile)
        if known is None:
            return INITIAL_LATENCY_RATIO * route.objective_s
        return known / MS_PER_S

    def knows_latency(self, route: Route) -> bool:
        """Return whether the latency of a route is measured and not assumed."""
        return self.latencies.quantile(route.name, MEDIAN) is not None

    def observe(self, route: Route, took_s: float) -> None:
        """Record the latency of a reply."""
        self.latencies.record(route.name, took_s * MS_PER_S)

    def explain(self, service: str) -> str:
        """Describe for the log why the replicas of a service were not chosen."""
        now = self.reactor.seconds()
        known = self.directory.by_service.get(service, [])
        states = [
            f"{replica.replica_id} {describe_unused(self.directory, replica, now)}"
            for replica in known[:MAX_EXPLAINED_REPLICAS]
        ]
        return f"{service}: {', '.join(states) or 'none registered'}"
