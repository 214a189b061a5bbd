"""Takes callers' requests: routes them, starts their work and tells their story."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Protocol

from returns.result import Failure, Success

from sardinehook.errors import ErrorKind, Problem
from sardinehook.gateway.answer import CallerAnswer, refuse
from sardinehook.gateway.configuration import (
    Configuration,
    Route,
    ShardSet,
    TrafficSplit,
    WeightedService,
)
from sardinehook.gateway.delegated_search import DelegatedSearch
from sardinehook.gateway.delegates import Delegates
from sardinehook.gateway.gather import Gather
from sardinehook.gateway.interfaces import CallerRequest, HttpRequest
from sardinehook.gateway.policy import RequestPolicy
from sardinehook.gateway.repeat_budget import SlidingCount
from sardinehook.gateway.search_codec import (
    HandedOver,
    decode_search,
    encode_outcome,
)
from sardinehook.gateway.single import SingleCall
from sardinehook.gateway.story import RequestStories

__all__ = ["RequestDesk", "Work"]

TRAFFIC_WINDOW_S = 5.0  # over which the demand for each route is counted
STARTING_RETRY_S = 0.2  # a gateway that starts has its configuration by then
VERSIONS_KEPT = 8  # under which other gateways may still hand searches over
CUT_OFF_SHARE = 0.5  # of the demand: a gateway that can't serve more turns not-ready

Finish = Callable[[CallerAnswer], None]


class Work(Protocol):
    """A caller's request that is being worked on."""

    def cancel(self) -> None:
        """Stop, since the caller has left."""
        ...


class WeightedRotation:
    """Deals requests to services by weight, evenly at each moment.

    Smooth weighted round robin: each service earns its weight at every request, and
    the richest one pays for it. Random first credits keep gateways from choosing
    alike.
    """

    def __init__(self, services: tuple[WeightedService, ...], random: Random) -> None:
        self.services = services
        self.total = sum(part.weight for part in services)
        self.credits = [random.random() * self.total for _ in services]

    def next(self) -> str:
        """Return the service that gets the next request."""
        for place, part in enumerate(self.services):
            self.credits[place] += part.weight
        best = max(range(len(self.services)), key=self.credits.__getitem__)
        self.credits[best] -= self.total
        return self.services[best].service


class RequestDesk:
    """Answers or starts each request under the configuration in force."""

    def __init__(
        self,
        policy: RequestPolicy,
        stories: RequestStories,
        random: Random,
    ) -> None:
        self.policy = policy
        self.stories = stories
        self.random = random
        self.reactor = policy.reactor
        self.configuration: Configuration | None = None
        self.rotations: dict[str, WeightedRotation] = {}
        self.traffic: dict[str, SlidingCount] = {}
        self.cut_off_before = ""
        self.in_flight = 0
        self.recent_versions: dict[int, Configuration] = {}
        self.delegates: Delegates | None = None
        self.stopping = False
        self.handed_over = 0
        self.most_handed_over = 0

    def configure(self, configuration: Configuration) -> None:
        """Put a configuration in force for the requests that come from now on."""
        self.configuration = configuration
        self.recent_versions[configuration.version] = configuration
        while len(self.recent_versions) > VERSIONS_KEPT:
            del self.recent_versions[min(self.recent_versions)]
        for host_routes in configuration.routes.values():
            for route in host_routes:
                self.configure_rotation(route)

    def configure_rotation(self, route: Route) -> None:
        """Keep the rotation of a route unless its services or weights changed."""
        match route.destination:
            case TrafficSplit(services) if len(services) > 1:
                known = self.rotations.get(route.name)
                if known is None or known.services != services:
                    self.rotations[route.name] = WeightedRotation(services, self.random)

    def cut_off_reason(self) -> str:
        """Return why other gateways could serve callers better, empty if none could.

        A gateway that is cut off from what most of its callers need says so, so that
        the balancer sends them to other data centres. It says so on the first doubt:
        the balancer looks away only after two probes. Routes that can't be served
        anywhere don't count.

        Where others search for this gateway, it says what they say: the balancer looks
        away from a data centre only when all gateways of it agree.
        """
        delegates = self.delegates.cut_off() if self.delegates else []
        if delegates:
            return f"cut off as {', '.join(delegates)}"
        now = self.reactor.seconds()
        silent = self.policy.directory.reachability.suspected_data_centres(now)
        if not silent or self.configuration is None:
            self.cut_off_before = ""
            return ""
        wanted = lost = 0
        for routes in self.configuration.routes.values():
            for route in filter(self.has_replicas, routes):
                requests = self.recent(route).total(now)
                wanted += requests
                lost += requests * self.is_out_of_reach(route, now)
        if lost > CUT_OFF_SHARE * wanted:
            places = ",".join(silent)
            self.cut_off_before = f"cut off from {places}: {lost} of {wanted} requests"
        elif wanted:
            self.cut_off_before = ""
        # Once callers have gone elsewhere, there is no demand to judge by.
        return self.cut_off_before

    def recent(self, route: Route) -> SlidingCount:
        """Return the count of a route's recent requests."""
        count = self.traffic.get(route.name)
        if count is None:
            count = self.traffic[route.name] = SlidingCount(TRAFFIC_WINDOW_S)
        return count

    def has_replicas(self, route: Route) -> bool:
        """Tell whether any replica of a route is registered."""
        known = self.policy.directory.by_service
        match route.destination:
            case ShardSet(shards, _, _):
                return any(known.get(shard) for shard in shards)
            case TrafficSplit(services):
                return any(known.get(part.service) for part in services)

    def is_out_of_reach(self, route: Route, now: float) -> bool:
        """Tell whether silent data centres keep this gateway from serving a route."""
        directory = self.policy.directory
        match route.destination:
            case ShardSet(shards, _, least):
                lost = sum(directory.all_suspected(shard, now) for shard in shards)
                return len(shards) - lost < least * len(shards)
            case TrafficSplit(services):
                return all(
                    directory.all_suspected(part.service, now) for part in services
                )

    def take(self, raw: HttpRequest, finish: Finish) -> Work | None:
        """Start a request; ``finish`` is called once, perhaps before this returns."""
        match self.policy.callers.read_request(raw):
            case Success(request):
                return self.route(request, finish)
            case Failure(detail):
                answer = refuse(Problem(ErrorKind.BAD_REQUEST, str(detail)))
                self.stories.refused(raw.target.decode("latin-1"), answer)
                finish(answer)
        return None

    def route(self, request: CallerRequest, finish: Finish) -> Work | None:
        """Find the route of a request and start its work."""
        configuration = self.configuration
        if configuration is None:
            return self.refuse(
                request, Problem(ErrorKind.NO_DOCUMENT, "no configuration yet"), finish
            )
        route = configuration.find_route(request.host, request.path)
        if route is None:
            detail = f"no route in version {configuration.version}"
            return self.refuse(request, Problem(ErrorKind.NOT_FOUND, detail), finish)
        return self.begin(request, route, configuration, finish)

    def refuse(
        self, request: CallerRequest, problem: Problem, finish: Finish
    ) -> Work | None:
        """Answer a request that starts no work."""
        starting = problem.kind is ErrorKind.NO_DOCUMENT
        answer = refuse(problem, STARTING_RETRY_S if starting else None)
        self.stories.refused(request.request_id.decode("latin-1"), answer)
        finish(answer)
        return None

    def begin(
        self,
        request: CallerRequest,
        route: Route,
        configuration: Configuration,
        finish: Finish,
    ) -> Work | None:
        """Start the work that a route asks for."""
        self.in_flight += 1
        self.recent(route).add(1, request.received_at)
        leavable = LeavableWork(self)

        def done(answer: CallerAnswer) -> None:
            self.in_flight -= 1
            self.stories.ended(leavable.work, configuration.version, answer)
            finish(answer)

        match route.destination:
            case ShardSet() as shards:
                self.search(leavable, request, route, shards, configuration, done)
            case TrafficSplit(services):
                service = self.choose_service(route, services)
                leavable.begin(SingleCall(self.policy, request, route, service, done))
        return None if leavable.work.settled else leavable

    def search(
        self,
        leavable: LeavableWork,
        request: CallerRequest,
        route: Route,
        shards: ShardSet,
        configuration: Configuration,
        done: Finish,
    ) -> None:
        """Start a search at a delegate, or here if there is none that takes it."""

        def search_here() -> None:
            leavable.begin(Gather(self.policy, request, route, shards, done))

        delegates = self.delegates
        delegate = delegates.choose() if delegates else None
        if delegates is None or delegate is None:
            search_here()
            return
        version = configuration.version
        leavable.begin(
            DelegatedSearch(
                self.policy,
                delegates,
                delegate,
                request,
                route,
                version,
                done,
                search_here,
            )
        )

    def take_over(self, body: bytes, finish: Finish) -> Work | None:
        """Do a search for another gateway, under the version that it has in force.

        It is not taken where that version is not known here, or where there is enough
        to do; the other gateway then searches itself.
        """
        match decode_search(body, self.reactor.seconds()):
            case Success(handed):
                return self.begin_for_peer(handed, finish)
            case Failure(detail):
                finish(not_taken(str(detail)))
        return None

    def begin_for_peer(self, handed: HandedOver, finish: Finish) -> Work | None:
        """Start a search for another gateway."""
        request = handed.request
        configuration = self.recent_versions.get(handed.version)
        route = configuration and configuration.find_route(request.host, request.path)
        if not route or not isinstance(route.destination, ShardSet):
            finish(not_taken(f"version {handed.version} is not known"))
            return None
        shards = route.destination
        size = len(shards.shards)
        if self.stopping or self.handed_over + size > self.most_handed_over:
            finish(not_taken("stopping" if self.stopping else "enough to do"))
            return None
        self.handed_over += size
        self.recent(route).add(1, request.received_at)
        leavable = LeavableWork(self, handed.node, size)

        def done(answer: CallerAnswer) -> None:
            self.handed_over -= size
            work = leavable.work
            self.stories.ended(work, handed.version, answer, handed.node)
            outcome = encode_outcome(answer, work.hedges, work.repeats)
            finish(CallerAnswer(200, (), outcome, "for a peer"))

        leavable.begin(Gather(self.policy, request, route, shards, done))
        return None if leavable.work.settled else leavable

    def choose_service(
        self, route: Route, services: tuple[WeightedService, ...]
    ) -> str:
        """Return the service that gets this request."""
        if len(services) == 1:
            return services[0].service
        return self.rotations[route.name].next()


def not_taken(reason: str) -> CallerAnswer:
    """Return the answer to a gateway whose search is not taken over."""
    return CallerAnswer(503, (), reason.encode(), "not taken", reason)


class LeavableWork:
    """Work whose caller may leave; ``peer`` is the gateway that handed it over."""

    def __init__(self, desk: RequestDesk, peer: str = "", size: int = 0) -> None:
        self.desk = desk
        self.peer = peer
        self.size = size
        self.work: Gather | SingleCall | DelegatedSearch

    def begin(self, work: Gather | SingleCall | DelegatedSearch) -> None:
        """Start work, in place of work that was not taken over."""
        self.work = work
        work.start()

    def cancel(self) -> None:
        """Stop the work and note that its caller has left."""
        if not self.work.settled:
            if self.peer:
                self.desk.handed_over -= self.size
            else:
                self.desk.in_flight -= 1
            self.desk.stories.left(self.work)
        self.work.cancel()
