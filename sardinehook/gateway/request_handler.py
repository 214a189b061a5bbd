"""Handles callers' requests: routes, runs and logs them."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from returns.result import Failure, Result, Success

from sardinehook.errors import ErrorKind, Problem
from sardinehook.gateway.admission.gate import AdmissionGate
from sardinehook.gateway.answer import CallerAnswer, error_answer
from sardinehook.gateway.configuration import (
    Configuration,
    Route,
    ShardSet,
    TrafficSplit,
    WeightedService,
)
from sardinehook.gateway.delegated_search import DelegatedSearch
from sardinehook.gateway.delegates import DELEGATION_FULL, Delegates
from sardinehook.gateway.gather import Gather
from sardinehook.gateway.http_server import Cancellable
from sardinehook.gateway.interfaces import CallerRequest, HttpRequest
from sardinehook.gateway.organisations.confirmation import Confirmation
from sardinehook.gateway.organisations.identification import (
    KeyRefusal,
    identify_caller,
)
from sardinehook.gateway.organisations.organisation import Organisation
from sardinehook.gateway.policy import (
    DEMAND_WINDOW_S,
    RequestPolicy,
    request_deadline,
)
from sardinehook.gateway.quota.admitted_request import (
    AdmittedRequest,
    LocalSearchAdmission,
)
from sardinehook.gateway.quota.gate import UNCOUNTED, QuotaGate, Receipt
from sardinehook.gateway.request_log import RequestLog
from sardinehook.gateway.retry_budget import SlidingWindowCounter
from sardinehook.gateway.round_robin import WeightedRoundRobin
from sardinehook.gateway.routing.delegate_load import (
    MIN_CONCURRENT_SEARCHES,
    DelegateReport,
)
from sardinehook.gateway.routing.search_routing import (
    DelegateInquiry,
    PendingSearch,
    SearchRouting,
)
from sardinehook.gateway.running_request import RunningRequest
from sardinehook.gateway.search_codec import (
    DelegatedRequest,
    decode_search,
    encode_answer,
)
from sardinehook.gateway.single import SingleCall
from sardinehook.gateway.startup_queue import StartupQueue

__all__ = ["Cancellable", "RequestHandler"]

STARTING_RETRY_S = 0.2  # a starting gateway has loaded its configuration by then
MAX_KEPT_VERSIONS = 8  # other gateways may delegate searches under older ones
IDEMPOTENT_TIME_RATIO = 3.0  # of the objective: hardly any answer takes longer
MAX_UNSERVED_RATIO = 0.5  # of the demand: not ready if more can't be served

Finish = Callable[[CallerAnswer], None]


class RequestHandler:
    """Starts or refuses each request under the configuration in force."""

    def __init__(
        self,
        policy: RequestPolicy,
        request_log: RequestLog,
        random: Random,
    ) -> None:
        self.policy = policy
        self.request_log = request_log
        self.random = random
        self.reactor = policy.reactor
        self.admission = AdmissionGate(policy, request_log.metrics)
        self.configuration: Configuration | None = None
        self.round_robins: dict[str, WeightedRoundRobin] = {}
        self.demand: dict[str, SlidingWindowCounter] = {}
        self.last_cut_off_reason = ""
        self.in_flight = 0
        self.recent_versions: dict[int, Configuration] = {}
        self.delegates: Delegates | None = None
        self.confirmation = Confirmation()
        self.quota: QuotaGate | None = None
        self.stopping = False
        self.stops_at = float("inf")
        self.delegated_in_flight = 0
        self.max_delegated = 0
        self.startup_queue = StartupQueue(
            policy.reactor, request_log, self.route, self.refuse_starting
        )

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration to all requests that arrive from now on."""
        self.configuration = configuration
        # Delegated searches name their organisation: only callers need the keys.
        self.recent_versions[configuration.version] = configuration.without_keys()
        while len(self.recent_versions) > MAX_KEPT_VERSIONS:
            del self.recent_versions[min(self.recent_versions)]
        for host_routes in configuration.routes.values():
            for route in host_routes:
                self.update_round_robin(route)

    def update_round_robin(self, route: Route) -> None:
        """Reset the round robin of a route if its services or weights changed."""
        match route.destination:
            case TrafficSplit(services) if len(services) > 1:
                current = self.round_robins.get(route.name)
                if current is None or current.services != services:
                    self.round_robins[route.name] = WeightedRoundRobin(
                        services, self.random
                    )

    def cut_off_reason(self) -> str:
        """Return why the gateway should report not ready, empty if it should not.

        A gateway that cannot reach the replicas for most of its recent requests
        reports not ready, so that the load balancer sends callers to other data
        centres. It does so at the first suspicion, since the load balancer acts only
        after two failed probes. Routes without registered replicas don't count.

        A gateway with delegates reports what they report: the load balancer avoids a
        data centre only when all its gateways are not ready.
        """
        delegates = self.delegates.cut_off() if self.delegates else []
        if delegates:
            return f"cut off as {', '.join(delegates)}"
        now = self.reactor.seconds()
        suspects = self.policy.directory.reachability.suspected_data_centres(now)
        if not suspects or self.configuration is None:
            self.last_cut_off_reason = ""
            return ""
        requested = unserved = 0
        for routes in self.configuration.routes.values():
            for route in filter(self.has_replicas, routes):
                requests = self.demand_of(route).total(now)
                requested += requests
                unserved += requests * self.is_out_of_reach(route, now)
        if unserved > MAX_UNSERVED_RATIO * requested:
            data_centres = ",".join(suspects)
            self.last_cut_off_reason = (
                f"cut off from {data_centres}: {unserved} of {requested} requests"
            )
        elif requested:
            self.last_cut_off_reason = ""
        # Without recent demand the reason stays: callers have been sent elsewhere.
        return self.last_cut_off_reason

    def demand_of(self, route: Route) -> SlidingWindowCounter:
        """Return the counter of a route's recent requests."""
        count = self.demand.get(route.name)
        if count is None:
            count = self.demand[route.name] = SlidingWindowCounter(DEMAND_WINDOW_S)
        return count

    def has_replicas(self, route: Route) -> bool:
        """Return whether any replica of a route is registered."""
        by_service = self.policy.directory.by_service
        match route.destination:
            case ShardSet(shards, _, _):
                return any(by_service.get(shard) for shard in shards)
            case TrafficSplit(services):
                return any(by_service.get(weighted.service) for weighted in services)

    def is_out_of_reach(self, route: Route, now: float) -> bool:
        """Return whether unreachable data centres make a route unservable here."""
        directory = self.policy.directory
        match route.destination:
            case ShardSet(shards, _, least):
                unserved = sum(directory.all_suspected(shard, now) for shard in shards)
                return len(shards) - unserved < least * len(shards)
            case TrafficSplit(services):
                return all(
                    directory.all_suspected(weighted.service, now)
                    for weighted in services
                )

    def handle(self, raw: HttpRequest, finish: Finish) -> Cancellable | None:
        """Start a request; ``finish`` is called once, possibly before this returns."""
        match self.policy.callers.read_request(raw):
            case Success(request):
                return self.route(request, finish)
            case Failure(detail):
                answer = error_answer(Problem(ErrorKind.BAD_REQUEST, str(detail)))
                self.request_log.record_refused(raw.target.decode("latin-1"), answer)
                finish(answer)
        return None

    def route(self, request: CallerRequest, finish: Finish) -> Cancellable | None:
        """Find the route of a request and start it."""
        configuration = self.configuration
        if configuration is None:
            if self.startup_queue.has_room:
                return self.startup_queue.add(request, finish)
            return self.refuse_starting(request, finish)
        route = configuration.find_route(request.host, request.path)
        if route is None:
            detail = (
                f"no route matches in configuration version {configuration.version}"
            )
            return self.refuse(request, Problem(ErrorKind.NOT_FOUND, detail), finish)
        match self.identify(request, route, configuration):
            case Success(identified):
                request = identified
            case Failure(KeyRefusal(reason, problem)):
                self.request_log.count_key_refused(reason)
                return self.refuse(request, problem, finish)
        if not self.can_finish(request, route):
            detail = "the gateway stops before the request would be finished"
            return self.refuse(request, Problem(ErrorKind.STOPPING, detail), finish)
        return self.admit(request, route, configuration, finish)

    def admit(
        self,
        request: CallerRequest,
        route: Route,
        configuration: Configuration,
        finish: Finish,
    ) -> Cancellable | None:
        """Begin a request if the quota of its organisation allows it.

        A search that a delegate will take is admitted there.
        """
        limited = self.limited_organisation(request)
        is_search = isinstance(route.destination, ShardSet)
        if limited is None or (is_search and self.has_usable_delegate):
            return self.begin(request, route, configuration, finish)

        def begin(receipt: Receipt) -> Cancellable | None:
            if is_search and self.has_usable_delegate:
                receipt.give_back()  # one became usable meanwhile, and admits it
            return self.begin(request, route, configuration, finish, receipt)

        def refuse(answer: CallerAnswer) -> None:
            self.refuse_with(request, answer, finish)

        gate, organisation = limited
        return AdmittedRequest(gate, organisation, begin, refuse).start()

    @property
    def has_usable_delegate(self) -> bool:
        """Whether the next search is handed over to a delegate."""
        return self.delegates is not None and bool(self.delegates.usable())

    def limited_organisation(
        self, request: CallerRequest
    ) -> tuple[QuotaGate, Organisation] | None:
        """Return the organisation of a request if it has a quota, with the gate."""
        gate = self.quota
        organisation = gate and gate.find(request.organisation)
        return (gate, organisation) if gate and organisation else None

    def identify(
        self, request: CallerRequest, route: Route, configuration: Configuration
    ) -> Result[CallerRequest, KeyRefusal]:
        """Replace the key of a request by the name of the organisation that has it."""
        return identify_caller(
            configuration.organisations,
            route.anonymous,
            request.credential,
            self.policy.bounds,
            self.confirmation.age_s(self.reactor.seconds()),
        ).map(lambda name: request._replace(organisation=name, credential=None))

    def can_finish(self, request: CallerRequest, route: Route) -> bool:
        """Return whether a request that arrives now is finished before the stop.

        ``stops_at`` is finite once the load balancer has led callers elsewhere: another
        gateway then serves a refused request. One that may run once only is not taken
        if the stop could cut it, since its caller could not repeat it.
        """
        if not route.idempotent:
            return request_deadline(request, route) <= self.stops_at
        needed_s = IDEMPOTENT_TIME_RATIO * route.objective_s
        return request.received_at + needed_s <= self.stops_at

    def refuse_starting(
        self, request: CallerRequest, finish: Finish
    ) -> Cancellable | None:
        """Refuse a request because no configuration is known."""
        problem = Problem(ErrorKind.NO_DOCUMENT, "no configuration yet")
        return self.refuse(request, problem, finish)

    def refuse(
        self, request: CallerRequest, problem: Problem, finish: Finish
    ) -> Cancellable | None:
        """Answer a request with an error before it is started."""
        starting = problem.kind is ErrorKind.NO_DOCUMENT
        answer = error_answer(problem, STARTING_RETRY_S if starting else None)
        self.refuse_with(request, answer, finish)
        return None

    def refuse_with(
        self, request: CallerRequest, answer: CallerAnswer, finish: Finish
    ) -> None:
        """Log and pass on the answer to a request that is not started."""
        self.request_log.record_refused(request.request_id.decode("latin-1"), answer)
        finish(answer)

    def begin(
        self,
        request: CallerRequest,
        route: Route,
        configuration: Configuration,
        finish: Finish,
        receipt: Receipt = UNCOUNTED,
    ) -> Cancellable | None:
        """Start a search or a single request, as the route requires."""
        self.in_flight += 1
        self.demand_of(route).add(1, request.received_at)
        running = RunningRequest(self, receipt)

        def done(answer: CallerAnswer) -> None:
            self.in_flight -= 1
            try:
                running.receipt.settle(answer)
                version = configuration.version
                self.request_log.record_ended(running.work, version, answer)
            finally:
                finish(answer)

        match route.destination:
            case ShardSet() as shards:
                self.start_search(running, request, route, shards, configuration, done)
            case TrafficSplit(services):
                service = self.choose_service(route, services)
                running.begin(SingleCall(self.policy, request, route, service, done))
        return None if running.work.settled else running

    def start_search(
        self,
        running: RunningRequest,
        request: CallerRequest,
        route: Route,
        shards: ShardSet,
        configuration: Configuration,
        done: Finish,
    ) -> None:
        """Delegate a search, or run it locally if no delegate is usable."""

        def gather(receipt: Receipt) -> None:
            running.receipt = receipt
            running.begin(Gather(self.policy, request, route, shards, done))

        def start_local_search() -> None:
            limited = self.limited_organisation(request)
            if limited is None or running.receipt.is_counted:
                gather(running.receipt)
            else:
                running.begin(
                    LocalSearchAdmission(*limited, request, route, gather, done)
                )

        def begin(work: DelegateInquiry | DelegatedSearch) -> None:
            if isinstance(work, DelegatedSearch):
                running.receipt.give_back()  # the delegate admits the search
            running.begin(work)

        delegates = self.delegates
        if delegates is not None and self.policy.directory.adapts_to_load:
            count, version = len(shards.shards), configuration.version
            search = PendingSearch(request, route, count, version)
            SearchRouting(
                self.policy, delegates, search, begin, done, start_local_search
            ).start()
            return
        delegate = delegates.choose() if delegates else None
        if delegates is None or delegate is None:
            gather(running.receipt)  # admitted before: no delegate was there to do it
            return
        version = configuration.version
        running.begin(
            DelegatedSearch(
                self.policy,
                delegates,
                delegate,
                request,
                route,
                version,
                done,
                start_local_search,
            )
        )

    def handle_delegated(self, body: bytes, finish: Finish) -> Cancellable | None:
        """Run a search for another gateway, under that gateway's configuration.

        It is refused if that configuration version is unknown here or if the limit of
        delegated sub-requests is reached; the other gateway then searches locally.
        """
        match decode_search(body, self.reactor.seconds()):
            case Success(delegated):
                return self.begin_delegated(delegated, finish)
            case Failure(detail):
                finish(delegation_refused(str(detail)))
        return None

    def begin_delegated(
        self, delegated: DelegatedRequest, finish: Finish
    ) -> Cancellable | None:
        """Start a delegated search, or refuse it."""
        request = delegated.request
        configuration = self.recent_versions.get(delegated.version)
        route = configuration and configuration.find_route(request.host, request.path)
        if not route or not isinstance(route.destination, ShardSet):
            finish(
                delegation_refused(
                    f"configuration version {delegated.version} is unknown"
                )
            )
            return None
        shards = route.destination
        shard_count = len(shards.shards)
        limit = self.max_delegated
        if self.policy.directory.adapts_to_load:
            limit = max(limit, MIN_CONCURRENT_SEARCHES * shard_count)
        if self.stopping or self.delegated_in_flight + shard_count > limit:
            finish(delegation_refused("stopping" if self.stopping else DELEGATION_FULL))
            return None

        def begin(receipt: Receipt) -> Cancellable | None:
            return self.run_delegated(delegated, route, shards, receipt, finish)

        def refuse(answer: CallerAnswer) -> None:
            encoded = CallerAnswer(200, (), encode_answer(answer, 0, 0), "for a peer")
            self.refuse_with(request, answer, lambda _answer: finish(encoded))

        limited = self.limited_organisation(request)
        if limited is None:
            return begin(UNCOUNTED)
        return AdmittedRequest(*limited, begin, refuse).start()

    def run_delegated(
        self,
        delegated: DelegatedRequest,
        route: Route,
        shards: ShardSet,
        receipt: Receipt,
        finish: Finish,
    ) -> Cancellable | None:
        """Run a delegated search that is admitted."""
        request = delegated.request
        shard_count = len(shards.shards)
        self.delegated_in_flight += shard_count
        self.demand_of(route).add(1, request.received_at)
        running = RunningRequest(self, receipt, delegated.node, shard_count)

        def done(answer: CallerAnswer) -> None:
            self.delegated_in_flight -= shard_count
            work = running.work
            try:
                receipt.settle(answer)
                self.request_log.record_ended(
                    work, delegated.version, answer, delegated.node
                )
            finally:
                outcome = encode_answer(answer, work.hedges, work.repeats)
                finish(CallerAnswer(200, (), outcome, "for a peer"))

        running.begin(Gather(self.policy, request, route, shards, done))
        return None if running.work.settled else running

    def delegate_report(self) -> DelegateReport:
        """Return the load of this gateway as a delegate of others."""
        open_exchanges = len(self.policy.dispatcher.exchanges)
        in_flight = max(self.delegated_in_flight, open_exchanges)
        return DelegateReport(in_flight, self.max_delegated)

    def choose_service(
        self, route: Route, services: tuple[WeightedService, ...]
    ) -> str:
        """Choose the service for a request by weight."""
        if len(services) == 1:
            return services[0].service
        return self.round_robins[route.name].next()


def delegation_refused(reason: str) -> CallerAnswer:
    """Return the answer to a gateway whose delegated search is refused."""
    return CallerAnswer(503, (), reason.encode(), "not taken", reason)
