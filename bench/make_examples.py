"""Writes the example documents of both organisations.

Run as ``python -m bench.make_examples [DIRECTORY]``.
"""

from __future__ import annotations

import sys
from itertools import count
from pathlib import Path
from typing import NamedTuple

from sardinehook.environment.document import (
    DataCentre,
    EnvironmentDocument,
    Index,
    Replica,
    Scope,
    Wait,
    Workload,
)
from sardinehook.environment.writing import document_text

__all__ = ["EXAMPLES", "Organisation", "main", "make_document"]

LOOPBACK = "127.0.0.1"


class IndexShape(NamedTuple):
    """The size and limits of an index; ``replicas`` is per service."""

    services: int
    replicas: int
    slots: int
    connections: int
    connect_cost_ms: float


class Organisation(NamedTuple):
    """The settings that all documents of an organisation share."""

    region: str
    data_centres: tuple[str, ...]
    index_shapes: dict[str, IndexShape]
    workloads: dict[str, Workload]


class Example(NamedTuple):
    """An example document; its replicas use consecutive ports from ``first_port``."""

    organisation: Organisation
    environment: str
    first_port: int


SZOVETSEG = Organisation(
    region="alfold",
    data_centres=("kecskemet-a", "szolnok-b", "bekes-c"),
    index_shapes={
        "logfinder": IndexShape(20, 2, 2, 25, 6.0),
        "memberbook": IndexShape(30, 2, 2, 25, 6.0),
        "fixdesk": IndexShape(1, 7, 3, 110, 1.0),
        "alertmail": IndexShape(1, 3, 3, 110, 1.0),
    },
    workloads={
        "storm-night": Workload(
            indexes=["logfinder", "memberbook"],
            scope=Scope.ALL,
            deadline_ms=150.0,
            least_coverage=0.6,
            wait=Wait.ENOUGH,
            enough_coverage=0.95,
            settle_ms=10.0,
            extra_load=0.1,
            priority=1,
        ),
        "audit": Workload(
            indexes=["logfinder", "memberbook"],
            scope=Scope.ALL,
            deadline_ms=2000.0,
            least_coverage=0.98,
            priority=6,
            result_limit=10_000,
        ),
        "counter-lookup": Workload(
            indexes=["memberbook"],
            scope=Scope.ONE,
            deadline_ms=300.0,
            least_coverage=1.0,
            extra_load=0.1,
            priority=2,
        ),
        "maintenance": Workload(
            indexes=["fixdesk"],
            scope=Scope.ONE,
            deadline_ms=1000.0,
            least_coverage=1.0,
            priority=5,
        ),
        "alert": Workload(
            indexes=["alertmail"],
            scope=Scope.ONE,
            deadline_ms=2000.0,
            least_coverage=1.0,
            idempotent=False,
            extra_load=0.0,
            priority=0,
        ),
    },
)

LAKESHORE_INDEXES = ["order-desk", "invoicing", "warehouse", "scheduling"]

LAKESHORE = Organisation(
    region="great-lakes",
    data_centres=("duluth", "marquette", "traverse"),
    index_shapes={
        "order-desk": IndexShape(20, 2, 3, 30, 6.0),
        "invoicing": IndexShape(30, 2, 3, 30, 6.0),
        "warehouse": IndexShape(1, 5, 6, 50, 1.0),
        "scheduling": IndexShape(1, 3, 6, 50, 1.0),
    },
    workloads={
        "field-app": Workload(
            indexes=LAKESHORE_INDEXES,
            scope=Scope.ALL,
            deadline_ms=150.0,
            least_coverage=0.6,
            wait=Wait.ENOUGH,
            enough_coverage=0.95,
            settle_ms=10.0,
            extra_load=0.05,
            priority=1,
        ),
        "order-desk": Workload(
            indexes=LAKESHORE_INDEXES,
            scope=Scope.ALL,
            deadline_ms=400.0,
            least_coverage=0.9,
            wait=Wait.ENOUGH,
            enough_coverage=0.99,
            settle_ms=40.0,
            extra_load=0.03,
            priority=3,
        ),
        "warehouse-lookup": Workload(
            indexes=["warehouse"],
            scope=Scope.ONE,
            deadline_ms=2000.0,
            least_coverage=1.0,
            extra_load=0.02,
            priority=6,
        ),
        "place-order": Workload(
            indexes=["warehouse"],
            scope=Scope.ONE,
            deadline_ms=3000.0,
            least_coverage=1.0,
            idempotent=False,
            extra_load=0.0,
            priority=0,
        ),
        "schedule": Workload(
            indexes=["scheduling"],
            scope=Scope.ONE,
            deadline_ms=1000.0,
            least_coverage=1.0,
            extra_load=0.02,
            priority=5,
        ),
    },
)

EXAMPLES = {
    "szovetseg-production": Example(SZOVETSEG, "production", 21_000),
    "szovetseg-trial": Example(SZOVETSEG, "trial", 23_000),
    "lakeshore-production": Example(LAKESHORE, "production", 21_500),
    "lakeshore-trial": Example(LAKESHORE, "trial", 23_500),
}


def make_document(example: Example) -> EnvironmentDocument:
    """Build a document with the replicas of each service in different data centres."""
    organisation = example.organisation
    ports = count(example.first_port)
    indexes = {
        name: make_index(name, shape, organisation, ports)
        for name, shape in organisation.index_shapes.items()
    }
    data_centres = {
        name: DataCentre(organisation.region) for name in organisation.data_centres
    }
    return EnvironmentDocument(
        example.environment, data_centres, indexes, organisation.workloads
    )


def make_index(
    name: str, shape: IndexShape, organisation: Organisation, ports: count[int]
) -> Index:
    """Build an index; a single service has the name of the index."""
    services: dict[str, list[Replica]] = {}
    for position in range(shape.services):
        service = name if shape.services == 1 else f"{name}-{position + 1:02d}"
        services[service] = [
            make_replica(service, number, position, organisation, next(ports))
            for number in range(shape.replicas)
        ]
    return Index(shape.slots, shape.connections, shape.connect_cost_ms, services)


def make_replica(
    service: str, number: int, position: int, organisation: Organisation, port: int
) -> Replica:
    """Build a replica; data centres are assigned round robin."""
    data_centre = organisation.data_centres[
        (position + number) % len(organisation.data_centres)
    ]
    return Replica(f"{service}-r{number + 1}", data_centre, f"{LOOPBACK}:{port}")


def main(directory: Path) -> None:
    """Write every example document to ``directory`` as YAML."""
    for name, example in EXAMPLES.items():
        text = document_text(make_document(example))
        (directory / f"{name}.yaml").write_text(text)


if __name__ == "__main__":
    main(Path(sys.argv[1] if len(sys.argv) > 1 else "examples"))
