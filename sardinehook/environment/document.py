"""Schema of the environment document, the configuration shared by all entry VMs."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated, NamedTuple

from pydantic import Field

__all__ = [
    "DataCentre",
    "DataCentreState",
    "EnvironmentDocument",
    "Hedge",
    "Index",
    "Limits",
    "Replica",
    "Scope",
    "Wait",
    "Workload",
]

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
Ratio = Annotated[float, Field(ge=0.0, le=1.0)]
Milliseconds = Annotated[float, Field(gt=0.0, le=600_000.0)]
Count = Annotated[int, Field(ge=1, le=1_000_000)]


class DataCentreState(StrEnum):
    """Whether a data centre accepts new requests."""

    IN = "in"
    OUT = "out"


class Scope(StrEnum):
    """Whether a workload queries all services or one that the caller names."""

    ALL = "all"
    ONE = "one"


class Hedge(StrEnum):
    """When a slow sub-query is sent to a second replica.

    ``ADAPTIVE`` derives the hedge delay from observed latencies and is limited by the
    budget of the workload. ``FIXED`` hedges after ``hedge_delay_ms`` without a budget;
    ``NONE`` never hedges and retries failures only. Both serve as baselines.
    """

    ADAPTIVE = "adaptive"
    FIXED = "fixed"
    NONE = "none"


class Wait(StrEnum):
    """When an answer is complete.

    ``ENOUGH`` completes ``settle_ms`` after ``enough_coverage`` is reached, a grace
    period for stragglers; ``FULL`` waits for all services until the deadline.
    """

    ENOUGH = "enough"
    FULL = "full"


class DataCentre(NamedTuple):
    """A data centre and whether it accepts new requests."""

    region: Name
    state: DataCentreState = DataCentreState.IN


class Replica(NamedTuple):
    """A target that serves one service. ``address`` is ``IP:port``."""

    name: Name
    data_centre: Name
    address: Annotated[str, Field(pattern=r"^[0-9a-fA-F.:\[\]]+:\d{1,5}$")]


class Index(NamedTuple):
    """The services of an index, and the capacity of each of their replicas.

    ``slots`` is the number of sub-queries that a replica runs concurrently,
    ``connections`` the number of connections it accepts from the whole fleet, and
    ``cold_start_slots`` its concurrency while it is cold.
    """

    slots: Count
    connections: Count
    connect_cost_ms: Milliseconds
    services: dict[Name, list[Replica]]
    cold_start_slots: Count = 1


class Workload(NamedTuple):
    """Deadline, coverage, hedging and priority of one kind of request.

    ``extra_load`` is the allowed ratio of hedges and retries to first attempts. A lower
    ``priority`` value is served first and shed last.
    """

    indexes: list[Name]
    scope: Scope
    deadline_ms: Milliseconds
    least_coverage: Ratio
    wait: Wait = Wait.FULL
    enough_coverage: Ratio = 1.0
    settle_ms: Milliseconds = 10.0
    idempotent: bool = True
    extra_load: Ratio = 0.05
    priority: Annotated[int, Field(ge=0, le=9)] = 5
    result_limit: Count = 100
    hedge: Hedge = Hedge.ADAPTIVE
    hedge_delay_ms: Milliseconds = 20.0


class Limits(NamedTuple):
    """Limits that apply to each entry process.

    On shutdown a process reports not-ready and keeps serving for ``stop_notice_ms``, so
    that the load balancer stops sending requests, then has ``stop_grace_ms`` to finish
    the requests in flight.
    """

    requests_in_flight: Count = 512
    request_bytes: Count = 65_536
    reply_bytes: Count = 1_048_576
    query_bytes: Count = 16_777_216
    stop_grace_ms: Milliseconds = 10_000.0
    order_retention_ms: Annotated[float, Field(gt=0.0)] = 604_800_000.0
    stop_notice_ms: Milliseconds = 1_000.0


class EnvironmentDocument(NamedTuple):
    """The complete configuration of one environment."""

    environment: Name
    data_centres: dict[Name, DataCentre]
    indexes: dict[Name, Index]
    workloads: dict[Name, Workload]
    limits: Limits = Limits()
