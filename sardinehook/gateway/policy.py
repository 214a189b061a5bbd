"""What requests share: estimates, budgets and the choice of replicas."""

from __future__ import annotations

from collections.abc import Callable

from sardinehook.gateway.configuration import Route
from sardinehook.gateway.directory import Directory
from sardinehook.gateway.dispatch import Dispatcher
from sardinehook.gateway.interfaces import CallerCodec, CallerRequest
from sardinehook.gateway.reactor import GatewayReactor
from sardinehook.gateway.repeat_budget import RepeatBudget
from sardinehook.gateway.replica_selection import ReplicaSelector
from sardinehook.gateway.settings import Bounds
from sardinehook.query.latency import LatencyEstimates

__all__ = ["MOVE_AFTER_S", "RequestPolicy", "answer_by", "give_up_at"]

MOVE_AFTER_S = 0.06  # connections to replicas that live are open by then
ANSWER_MARGIN_S = 0.01  # reading and writing on a busy VM, a late timer, merging
FIRST_GUESS_RATIO = 0.2  # of the objective: the latency of a route not seen yet
USUAL_QUANTILE = 0.5
EXPLAINED_REPLICAS = 4  # of a service, in a line of the log
MS_PER_S = 1000.0


def answer_by(request: CallerRequest, within_s: float) -> float:
    """Return when the answer has to be written to be there ``within_s`` after it all.

    >>> request = CallerRequest(b"r", b"GET", b"/", "h", (), b"", None, 10.0, 0.016)
    >>> answer_by(request, 0.2)
    10.174
    """
    return request.received_at + within_s - request.network_s - ANSWER_MARGIN_S


def give_up_at(request: CallerRequest, route: Route) -> float:
    """Return when a request has to be answered, whatever there is by then."""
    patience_s = route.timeout_s
    if request.caller_timeout_s is not None:
        patience_s = min(patience_s, request.caller_timeout_s)
    return answer_by(request, patience_s)


class RequestPolicy:
    """Outlives single requests; one for each gateway."""

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
        self.budgets: dict[str, RepeatBudget] = {}
        self.counts_from = float("-inf")
        self.note_denied: Callable[[], object] = int

    def configure(self, bounds: Bounds) -> None:
        """Take the promises of the deployment."""
        if bounds.repeat_window_s != self.bounds.repeat_window_s:
            self.start_counting()
        self.bounds = bounds
        self.selector.bounds = bounds
        self.directory.drain_s = bounds.drain_s

    def start_counting(self) -> None:
        """Begin to count repeats; what was spent before is not known."""
        self.budgets.clear()
        self.counts_from = self.reactor.seconds()

    def budget_of(self, service: str) -> RepeatBudget:
        """Return the repeat budget of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = RepeatBudget(self.bounds.repeat_window_s, self.counts_from)
            self.budgets[service] = budget
        return budget

    def may_repeat(self, service: str, now: float) -> bool:
        """Take one repeat to a service from the budget, if there is one."""
        sharers = self.directory.share_divisor(service)
        if self.budget_of(service).spend(self.bounds, sharers, now):
            return True
        self.note_denied()
        return False

    def usual_s(self, route: Route, quantile: float = USUAL_QUANTILE) -> float:
        """Return a quantile of the time that replicas take for a route."""
        known = self.latencies.quantile(route.name, quantile)
        if known is None:
            return FIRST_GUESS_RATIO * route.objective_s
        return known / MS_PER_S

    def observe(self, route: Route, took_s: float) -> None:
        """Take in how long a replica took."""
        self.latencies.record(route.name, took_s * MS_PER_S)

    def explain(self, service: str) -> str:
        """Tell for the log why the replicas of a service are not asked."""
        now = self.reactor.seconds()
        known = self.directory.by_service.get(service, [])
        told = [
            f"{replica.replica_id} {self.directory.describe(replica, now)}"
            for replica in known[:EXPLAINED_REPLICAS]
        ]
        return f"{service}: {', '.join(told) or 'none registered'}"
