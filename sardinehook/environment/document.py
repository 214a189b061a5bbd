"""The environment document: what operators declare and every entry VM obeys."""

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
    """Whether a data centre takes new work."""

    IN = "in"
    OUT = "out"


class Scope(StrEnum):
    """Whether a workload asks every service or one that the caller names."""

    ALL = "all"
    ONE = "one"


class Hedge(StrEnum):
    """When a slow sub-query is sent to a second replica.

    ``ADAPTIVE`` goes by the latencies seen and by the budget of the workload.
    ``FIXED`` waits ``hedge_delay_ms`` and knows no budget; ``NONE`` never hedges and
    retries failures only. Both are baselines.
    """

    ADAPTIVE = "adaptive"
    FIXED = "fixed"
    NONE = "none"


class Wait(StrEnum):
    """When an answer is settled.

    ``ENOUGH`` settles once ``enough_coverage`` is reached and the stragglers have had
    ``settle_ms`` more; ``FULL`` waits for every service until the deadline.
    """

    ENOUGH = "enough"
    FULL = "full"


class DataCentre(NamedTuple):
    """A data centre and whether operators let it take new work."""

    region: Name
    state: DataCentreState = DataCentreState.IN


class Replica(NamedTuple):
    """One target that serves a service. ``address`` is ``IP:port``."""

    name: Name
    data_centre: Name
    address: Annotated[str, Field(pattern=r"^[0-9a-fA-F.:\[\]]+:\d{1,5}$")]


class Index(NamedTuple):
    """Services that share one index, and what each of their replicas bears.

    ``slots`` is the number of sub-queries that a replica runs at a time,
    ``connections`` the connections it takes from the whole fleet and
    ``cold_start_slots`` what it runs at a time while it is cold.
    """

    slots: Count
    connections: Count
    connect_cost_ms: Milliseconds
    services: dict[Name, list[Replica]]
    cold_start_slots: Count = 1


class Workload(NamedTuple):
    """What the callers of one kind of request want of its answer.

    ``extra_load`` is the ratio of hedges and retries to first tries. A lower
    ``priority`` is served first and shed last.
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
    """Bounds that hold in each entry process.

    A process that is told to stop turns not-ready, serves on for ``stop_notice_ms``
    so that the balancer notices, then finishes what is in flight within
    ``stop_grace_ms``.
    """

    requests_in_flight: Count = 512
    request_bytes: Count = 65_536
    reply_bytes: Count = 1_048_576
    query_bytes: Count = 16_777_216
    stop_grace_ms: Milliseconds = 10_000.0
    order_retention_ms: Annotated[float, Field(gt=0.0)] = 604_800_000.0
    stop_notice_ms: Milliseconds = 1_000.0


class EnvironmentDocument(NamedTuple):
    """The whole declaration of one environment."""

    environment: Name
    data_centres: dict[Name, DataCentre]
    indexes: dict[Name, Index]
    workloads: dict[Name, Workload]
    limits: Limits = Limits()
