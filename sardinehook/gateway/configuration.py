"""Configuration written by operators: routes, services and caller limits."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from typing import NamedTuple

from sardinehook.gateway.organisations.organisation import Organisations

__all__ = [
    "CallerLimits",
    "Configuration",
    "Destination",
    "Route",
    "Service",
    "ShardSet",
    "TrafficSplit",
    "WeightedService",
    "index_routes",
    "services_of",
]


class WeightedService(NamedTuple):
    """A service and the weight of its share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class TrafficSplit:
    """Sends each request to one replica of one service, selected by weight."""

    services: tuple[WeightedService, ...]


@dataclass(frozen=True, slots=True)
class ShardSet:
    """Sends each request to one replica of every shard and merges the answers.

    ``max_records`` limits the merged answer. The request fails if less than the
    fraction ``min_coverage`` of the shards answer.
    """

    shards: tuple[str, ...]
    max_records: int
    min_coverage: float


Destination = TrafficSplit | ShardSet


class Route(NamedTuple):
    """How the requests to one host and path prefix are handled.

    ``idempotent`` requests may run more than once. ``max_attempts`` is how many
    replicas (of each shard) may get one request. ``objective_s`` is the latency
    objective, ``timeout_s`` the time after which the caller gets an error.
    ``anonymous`` routes need no key.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_s: float
    objective_s: float
    priority: int
    max_attempts: int
    destination: Destination
    anonymous: bool = False


class Service(NamedTuple):
    """Properties that all replicas of a service share.

    ``max_connections`` is the limit of one replica for all its callers together. A
    replica in its cold start takes ``cold_requests_per_s``; zero means no limit is
    stated.
    """

    name: str
    health_path: str
    max_connections: int
    cold_start_s: float
    cold_requests_per_s: float


class CallerLimits(NamedTuple):
    """Size limits of a caller's request, and timeouts of its connection."""

    header_bytes: int = 16384
    body_bytes: int = 262144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the configuration. ``routes`` are by host, longest prefix first.

    Callers need a key if ``organisations`` is not ``None``, except on anonymous routes.

    >>> to_one = TrafficSplit((WeightedService("desk", 1.0),))
    >>> short = Route("a", "h", "/x/", True, 1.0, 0.5, 0, 2, to_one)
    >>> routes = index_routes([short, short._replace(name="b", prefix="/x/y/")])
    >>> configuration = Configuration(1, routes, {}, CallerLimits())
    >>> configuration.find_route("H", "/x/y/z").name
    'b'
    >>> configuration.find_route("h", "/x") is None
    True
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, Service]
    limits: CallerLimits
    organisations: Organisations | None = None

    def without_keys(self) -> Configuration:
        """Return this version without its index of keys, to keep it for searches."""
        if self.organisations is None:
            return self
        return replace(self, organisations=self.organisations.without_keys())

    @property
    def shard_services(self) -> frozenset[str]:
        """The services that are shards of some route."""
        return frozenset(
            shard
            for routes in self.routes.values()
            for route in routes
            if isinstance(route.destination, ShardSet)
            for shard in route.destination.shards
        )

    @property
    def named_services(self) -> frozenset[str]:
        """All services that are described, or that some route leads to."""
        routed = (
            service
            for routes in self.routes.values()
            for route in routes
            for service in services_of(route)
        )
        return frozenset((*self.services, *routed))

    @property
    def top_priorities(self) -> dict[str, int]:
        """The highest priority of requests to each service; 0 is the highest.

        The priority that an organisation states replaces that of all routes.
        """
        known = self.organisations.by_name.values() if self.organisations else ()
        own = [one.priority for one in known if one.priority is not None]
        all_state = len(own) == len(known) > 0
        top: dict[str, int] = {}
        for routes in self.routes.values():
            for route in routes:
                replaced = all_state and not route.anonymous
                best = min(own if replaced else [route.priority, *own])
                for service in services_of(route):
                    top[service] = min(top.get(service, best), best)
        return top

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route whose prefix is the longest one that ``path`` has."""
        for route in self.routes.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None


def services_of(route: Route) -> tuple[str, ...]:
    """Return the services to which a route may send a request."""
    match route.destination:
        case ShardSet(shards, _, _):
            return shards
        case TrafficSplit(services):
            return tuple(weighted.service for weighted in services)


def index_routes(routes: Iterable[Route]) -> dict[str, tuple[Route, ...]]:
    """Group routes by host, the longest prefix first."""
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host.lower(), []).append(route)
    return {
        host: tuple(sorted(found, key=lambda route: -len(route.prefix)))
        for host, found in by_host.items()
    }
