"""Rules that tie the parts of an environment document together."""

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

__all__ = ["BrokenRule", "broken_rules"]

HIGHEST_PORT = 65_535

Path = tuple[str | int, ...]


class BrokenRule(NamedTuple):
    """A rule that a document breaks, and the path of the part that breaks it."""

    path: Path
    message: str


def broken_rules(document: EnvironmentDocument) -> Iterator[BrokenRule]:
    """Find every rule that a document breaks."""
    if not document.data_centres:
        yield BrokenRule(("data_centres",), "names no data centre")
    if not document.indexes:
        yield BrokenRule(("indexes",), "names no index")
    yield from broken_index_rules(document)
    yield from broken_replica_rules(document)
    for name, workload in document.workloads.items():
        for rule in broken_workload_rules(workload, document.indexes):
            yield rule._replace(path=("workloads", name, *rule.path))


def broken_index_rules(document: EnvironmentDocument) -> Iterator[BrokenRule]:
    """Check each index by itself, and that a service belongs to one index."""
    owners: dict[str, str] = {}
    for name, index in document.indexes.items():
        path: Path = ("indexes", name)
        if index.cold_start_slots > index.slots:
            yield BrokenRule((*path, "cold_start_slots"), "is more than slots")
        if not index.services:
            yield BrokenRule((*path, "services"), "names no service")
        for service, replicas in index.services.items():
            where = (*path, "services", service)
            if not replicas:
                yield BrokenRule(where, "has no replica")
            if owners.setdefault(service, name) != name:
                yield BrokenRule(where, f"is a service of index {owners[service]} too")


def broken_replica_rules(document: EnvironmentDocument) -> Iterator[BrokenRule]:
    """Check that replicas are distinct and stand in data centres that exist."""
    names: set[str] = set()
    addresses: set[str] = set()
    for path, replica in every_replica(document.indexes):
        if replica.data_centre not in document.data_centres:
            message = f"unknown data centre {replica.data_centre}"
            yield BrokenRule((*path, "data_centre"), message)
        if replica.name in names:
            yield BrokenRule((*path, "name"), f"{replica.name} stands twice")
        if replica.address in addresses:
            yield BrokenRule((*path, "address"), f"{replica.address} stands twice")
        if not is_address(replica.address):
            yield BrokenRule((*path, "address"), f"{replica.address} is not IP:port")
        names.add(replica.name)
        addresses.add(replica.address)


def every_replica(indexes: dict[str, Index]) -> Iterator[tuple[Path, Replica]]:
    """Go through all replicas with their paths."""
    for name, index in indexes.items():
        for service, replicas in index.services.items():
            for place, replica in enumerate(replicas):
                yield ("indexes", name, "services", service, place), replica


def is_address(text: str) -> bool:
    """Whether a text is an IP address and a port.

    >>> is_address("127.0.0.1:21000"), is_address("[::1]:80"), is_address("1.2.3:4")
    (True, True, False)
    """
    host, _, port = text.rpartition(":")
    try:
        ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return False
    return 1 <= int(port) <= HIGHEST_PORT


def broken_workload_rules(
    workload: Workload, indexes: dict[str, Index]
) -> Iterator[BrokenRule]:
    """Check a workload by itself and against the indexes."""
    if not workload.indexes:
        yield BrokenRule(("indexes",), "names no index")
    for place, name in enumerate(workload.indexes):
        if name not in indexes:
            yield BrokenRule(("indexes", place), f"unknown index {name}")
        if name in workload.indexes[:place]:
            yield BrokenRule(("indexes", place), f"{name} stands twice")
    if workload.scope is Scope.ONE and len(workload.indexes) > 1:
        yield BrokenRule(("indexes",), "scope one takes one index")
    if not workload.idempotent and workload.scope is not Scope.ONE:
        yield BrokenRule(("scope",), "a non-idempotent workload needs scope one")
    yield from broken_wait_rules(workload)


def broken_wait_rules(workload: Workload) -> Iterator[BrokenRule]:
    """Check that coverage and times are in order."""
    if workload.enough_coverage < workload.least_coverage:
        yield BrokenRule(("enough_coverage",), "is less than least_coverage")
    if workload.wait is Wait.FULL and workload.enough_coverage < 1.0:
        yield BrokenRule(("enough_coverage",), "is for wait enough only")
    if workload.settle_ms >= workload.deadline_ms:
        yield BrokenRule(("settle_ms",), "is not less than deadline_ms")
