"""Decoder for the configuration that the platform's operators write."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta
from returns.result import Failure, Result, Success

from sardinehook.decoding import (
    DECODE_ERRORS,
    Count,
    Measure,
    Number,
    is_header_value,
)
from sardinehook.gateway.configuration import (
    CallerLimits,
    Configuration,
    Destination,
    Route,
    Service,
    ShardSet,
    TrafficSplit,
    WeightedService,
    index_routes,
)
from sardinehook.gateway.organisations.key_index import DIGEST_BYTES, digest_key
from sardinehook.gateway.organisations.organisation import (
    Organisation,
    Organisations,
    index_digests,
)

__all__ = ["CONFIGURATION_KEY", "UNREADABLE", "decode_configuration"]

CONFIGURATION_KEY = "op/config"
# Begins the text that replaces a configuration whose keys could not be found.
UNREADABLE = b"unreadable configuration: "

MS_PER_S = 1000.0
IDEMPOTENT_ROUTE_TYPE = "safe"


class WireSplit(msgspec.Struct, rename="pascal"):
    """A weighted service in a traffic split."""

    service: str
    weight: Measure


class WireRoute(msgspec.Struct, rename="pascal"):
    """A route in the operators' configuration."""

    name: str
    host: str
    prefix: str
    route_type: str
    timeout_ms: Measure
    # A latency objective, not a timeout.
    target_latency_ms: Measure
    # 0 is the highest priority.
    priority: Count = 0
    # The number of replicas that may be tried, not the number of retries.
    max_attempts: Count = 1
    service: str | None = None
    traffic_split: list[WireSplit] | None = None
    # The services that serve the shards.
    gather: list[str] | None = None
    top_k: Count = 0
    min_coverage: Annotated[float, Meta(ge=0.0, le=1.0)] = 0.0
    # Needs no key.
    anonymous: bool = False


class WireService(msgspec.Struct, rename="pascal"):
    """A service in the operators' configuration."""

    name: str
    health_path: str = "/health"
    # The connections to one replica, over all its clients.
    max_conns: Count = 0
    cold_start_s: Measure = 0.0
    # Requests per second that a cold replica can handle; 0 if not specified.
    cold_per_s: Measure = 0.0


Digest = Annotated[bytes, Meta(min_length=DIGEST_BYTES, max_length=DIGEST_BYTES)]


class WireTenant(msgspec.Struct, rename="pascal", omit_defaults=True):
    """An organisation in the operators' configuration."""

    name: str
    api_keys: list[str] | None = None
    # Digests of keys, which the gateways put in place of the keys.
    key_digests: list[Digest] | None = None
    # Takes precedence over the priority of a route.
    priority: Count | None = None
    # The quota over all gateways; none if the rate is 0 or absent.
    rate_per_s: Measure | None = None
    burst: Measure | None = None


class WireLimits(msgspec.Struct, rename="pascal"):
    """Size limits and timeouts for callers' requests."""

    max_header_bytes: Count = 16384
    max_body_bytes: Count = 262144
    header_timeout_ms: Measure = 3000.0
    idle_timeout_ms: Measure = 15000.0


class WireConfiguration(msgspec.Struct, rename="pascal"):
    """The configuration document."""

    version: Number
    routes: list[WireRoute]
    services: list[WireService]
    limits: WireLimits = msgspec.field(default_factory=WireLimits)
    # If present, callers need keys, also if the list is empty.
    tenants: list[WireTenant] | None = None


DECODER = msgspec.json.Decoder(WireConfiguration, strict=False)


def decode_configuration(value: bytes) -> Result[Configuration, str]:
    """Decode one version of the configuration; a failure is one line for the log.

    >>> decode_configuration(b"{").failure()
    'malformed configuration: Input data was truncated'
    """
    if value.startswith(UNREADABLE):
        detail = value[len(UNREADABLE) :].decode(errors="replace")
        return Failure(f"malformed configuration: {detail}")
    try:
        wire = DECODER.decode(value)
        routes = [read_route(route) for route in wire.routes]
        organisations = read_organisations(wire.tenants)
    except DECODE_ERRORS as error:
        return Failure(f"malformed configuration: {error}")
    services = {service.name: read_service(service) for service in wire.services}
    limits = read_limits(wire.limits)
    return Success(
        Configuration(
            wire.version, index_routes(routes), services, limits, organisations
        )
    )


def read_route(wire: WireRoute) -> Route:
    """Convert a route; raises ``ValueError`` if it has no destination."""
    return Route(
        wire.name,
        wire.host,
        wire.prefix,
        wire.route_type == IDEMPOTENT_ROUTE_TYPE,
        wire.timeout_ms / MS_PER_S,
        wire.target_latency_ms / MS_PER_S,
        wire.priority,
        max(1, wire.max_attempts),
        read_destination(wire),
        wire.anonymous,
    )


def read_destination(wire: WireRoute) -> Destination:
    """Convert the destination: a shard set, a traffic split or a single service.

    Raises ``ValueError`` if there is none, or if a split has no positive weight.
    """
    if wire.gather:
        return ShardSet(tuple(wire.gather), wire.top_k, wire.min_coverage)
    if wire.traffic_split:
        weighted = [
            WeightedService(service.service, service.weight)
            for service in wire.traffic_split
        ]
        if sum(service.weight for service in weighted) <= 0.0:
            raise ValueError(
                f"route {wire.name} has a traffic split without positive weight"
            )
        return TrafficSplit(tuple(weighted))
    if wire.service:
        return TrafficSplit((WeightedService(wire.service, 1.0),))
    raise ValueError(f"route {wire.name} has no service, traffic split or shards")


def read_service(wire: WireService) -> Service:
    """Convert a service of the operators' configuration."""
    return Service(
        wire.name,
        wire.health_path,
        wire.max_conns,
        wire.cold_start_s,
        wire.cold_per_s,
    )


def read_organisations(tenants: list[WireTenant] | None) -> Organisations | None:
    """Convert the organisations; raises ``ValueError`` for a name unfit for a header.

    >>> read_organisations([WireTenant(" ")])
    Traceback (most recent call last):
    ValueError: invalid name of an organisation: ' '
    """
    if tenants is None:
        return None
    for tenant in tenants:
        if not is_header_value(tenant.name):
            raise ValueError(f"invalid name of an organisation: {tenant.name!r}")
    return index_digests(
        (
            Organisation(
                tenant.name,
                tenant.priority,
                tenant.rate_per_s or 0.0,
                tenant.burst or 0.0,
            ),
            [
                *(tenant.key_digests or ()),
                *(digest_key(key.encode()) for key in tenant.api_keys or ()),
            ],
        )
        for tenant in tenants
    )


def read_limits(wire: WireLimits) -> CallerLimits:
    """Convert the limits for callers' requests, with times in seconds."""
    return CallerLimits(
        wire.max_header_bytes,
        wire.max_body_bytes,
        wire.header_timeout_ms / MS_PER_S,
        wire.idle_timeout_ms / MS_PER_S,
    )
