"""Consistency rules of environment documents that the schema can't express."""

from __future__ import annotations

from collections.abc import Iterator
from ipaddress import ip_address
from typing import NamedTuple

from sardinehook.environment.document import (
    EnvironmentDocument,
    Index,
    Replica,
    Scope,
    Wait,
    Workload,
)

__all__ = ["RuleViolation", "rule_violations"]

MAX_PORT = 65_535

Path = tuple[str | int, ...]


class RuleViolation(NamedTuple):
    """A violated rule: the path of the offending value, and what is wrong with it."""

    path: Path
    message: str


def rule_violations(document: EnvironmentDocument) -> Iterator[RuleViolation]:
    """Yield all rule violations of a document."""
    if not document.data_centres:
        yield RuleViolation(("data_centres",), "must contain at least one data centre")
    if not document.indexes:
        yield RuleViolation(("indexes",), "must contain at least one index")
    yield from index_violations(document)
    yield from replica_violations(document)
    for name, workload in document.workloads.items():
        for violation in workload_violations(workload, document.indexes):
            yield violation._replace(path=("workloads", name, *violation.path))


def index_violations(document: EnvironmentDocument) -> Iterator[RuleViolation]:
    """Check each index on its own, and that each service belongs to one index."""
    owners: dict[str, str] = {}
    for name, index in document.indexes.items():
        path: Path = ("indexes", name)
        if index.cold_start_slots > index.slots:
            message = f"{index.cold_start_slots} is more than slots ({index.slots})"
            yield RuleViolation((*path, "cold_start_slots"), message)
        if not index.services:
            yield RuleViolation(
                (*path, "services"), "must contain at least one service"
            )
        for service, replicas in index.services.items():
            where = (*path, "services", service)
            if not replicas:
                yield RuleViolation(where, "must contain at least one replica")
            if owners.setdefault(service, name) != name:
                message = f"already belongs to index {owners[service]}"
                yield RuleViolation(where, message)


def replica_violations(document: EnvironmentDocument) -> Iterator[RuleViolation]:
    """Check that replicas have unique names and addresses and known data centres."""
    names: set[str] = set()
    addresses: set[str] = set()
    for path, replica in every_replica(document.indexes):
        if replica.data_centre not in document.data_centres:
            message = f"unknown data centre {replica.data_centre}"
            yield RuleViolation((*path, "data_centre"), message)
        if replica.name in names:
            yield RuleViolation((*path, "name"), f"duplicate name {replica.name}")
        if replica.address in addresses:
            yield RuleViolation(
                (*path, "address"), f"duplicate address {replica.address}"
            )
        if not is_address(replica.address):
            yield RuleViolation((*path, "address"), f"{replica.address} is not IP:port")
        names.add(replica.name)
        addresses.add(replica.address)


def every_replica(indexes: dict[str, Index]) -> Iterator[tuple[Path, Replica]]:
    """Yield all replicas with their paths."""
    for name, index in indexes.items():
        for service, replicas in index.services.items():
            for position, replica in enumerate(replicas):
                yield ("indexes", name, "services", service, position), replica


def is_address(text: str) -> bool:
    """Return whether a string is an IP address and a port.

    >>> is_address("127.0.0.1:21000"), is_address("[::1]:80"), is_address("1.2.3:4")
    (True, True, False)
    """
    host, _, port = text.rpartition(":")
    try:
        ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return False
    return 1 <= int(port) <= MAX_PORT


def workload_violations(
    workload: Workload, indexes: dict[str, Index]
) -> Iterator[RuleViolation]:
    """Check a workload on its own and against the indexes."""
    if not workload.indexes:
        yield RuleViolation(("indexes",), "must name at least one index")
    for position, name in enumerate(workload.indexes):
        if name not in indexes:
            yield RuleViolation(("indexes", position), f"unknown index {name}")
        if name in workload.indexes[:position]:
            yield RuleViolation(("indexes", position), f"duplicate index {name}")
    if workload.scope is Scope.ONE and len(workload.indexes) > 1:
        yield RuleViolation(("indexes",), "scope one allows only one index")
    if not workload.idempotent and workload.scope is not Scope.ONE:
        yield RuleViolation(("scope",), "a non-idempotent workload requires scope one")
    yield from wait_violations(workload)


def wait_violations(workload: Workload) -> Iterator[RuleViolation]:
    """Check that the coverage bounds and times of a workload are consistent."""
    if workload.enough_coverage < workload.least_coverage:
        yield RuleViolation(("enough_coverage",), "is less than least_coverage")
    if workload.wait is Wait.FULL and workload.enough_coverage < 1.0:
        yield RuleViolation(("enough_coverage",), "applies to wait enough only")
    if workload.settle_ms >= workload.deadline_ms:
        yield RuleViolation(("settle_ms",), "is not less than deadline_ms")
