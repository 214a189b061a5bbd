"""Writes the example documents of both firms (``python -m bench.make_examples``)."""

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

__all__ = ["EXAMPLES", "Firm", "main", "make_document"]

LOOPBACK = "127.0.0.1"


class Group(NamedTuple):
    """An index, with how many services and replicas of each it has."""

    services: int
    replicas: int
    slots: int
    connections: int
    connect_cost_ms: float


class Firm(NamedTuple):
    """What the documents of a firm have in common."""

    region: str
    data_centres: tuple[str, ...]
    groups: dict[str, Group]
    workloads: dict[str, Workload]


class Example(NamedTuple):
    """One document; its replicas take the ports from ``first_port`` up."""

    firm: Firm
    environment: str
    first_port: int


SZOVETSEG = Firm(
    region="alfold",
    data_centres=("kecskemet-a", "szolnok-b", "bekes-c"),
    groups={
        "logfinder": Group(20, 2, 2, 25, 6.0),
        "memberbook": Group(30, 2, 2, 25, 6.0),
        "fixdesk": Group(1, 7, 3, 110, 1.0),
        "alertmail": Group(1, 3, 3, 110, 1.0),
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

LAKESHORE = Firm(
    region="great-lakes",
    data_centres=("duluth", "marquette", "traverse"),
    groups={
        "order-desk": Group(20, 2, 3, 30, 6.0),
        "invoicing": Group(30, 2, 3, 30, 6.0),
        "warehouse": Group(1, 5, 6, 50, 1.0),
        "scheduling": Group(1, 3, 6, 50, 1.0),
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
    """Make a document whose services have replicas in different data centres."""
    firm = example.firm
    ports = count(example.first_port)
    indexes = {
        name: make_index(name, group, firm, ports)
        for name, group in firm.groups.items()
    }
    data_centres = {name: DataCentre(firm.region) for name in firm.data_centres}
    return EnvironmentDocument(
        example.environment, data_centres, indexes, firm.workloads
    )


def make_index(name: str, group: Group, firm: Firm, ports: count[int]) -> Index:
    """Make an index; an index of one service names the service after itself."""
    services: dict[str, list[Replica]] = {}
    for place in range(group.services):
        service = name if group.services == 1 else f"{name}-{place + 1:02d}"
        services[service] = [
            make_replica(service, number, place, firm, next(ports))
            for number in range(group.replicas)
        ]
    return Index(group.slots, group.connections, group.connect_cost_ms, services)


def make_replica(
    service: str, number: int, place: int, firm: Firm, port: int
) -> Replica:
    """Make a replica; data centres take turns."""
    centre = firm.data_centres[(place + number) % len(firm.data_centres)]
    return Replica(f"{service}-r{number + 1}", centre, f"{LOOPBACK}:{port}")


def main(directory: Path) -> None:
    """Write every example document."""
    for name, example in EXAMPLES.items():
        text = document_text(make_document(example))
        (directory / f"{name}.yaml").write_text(text)


if __name__ == "__main__":
    main(Path(sys.argv[1] if len(sys.argv) > 1 else "examples"))
