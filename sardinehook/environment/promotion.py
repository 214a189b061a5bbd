"""Promotion of a tested policy from one environment to another.

A document consists of placement and policy. The *placement* differs by environment: its
name, the data centres with their states, and the replicas of each service. Everything
else is *policy*: workloads, limits, and the capacity of each index. Promotion copies
the policy unchanged and keeps the placement of the target environment.
"""

from __future__ import annotations

from returns.result import Failure, Result, Success

from sardinehook.environment.canonical import canonical_bytes, digest_of
from sardinehook.environment.document import EnvironmentDocument, Index
from sardinehook.environment.document_rules import rule_violations
from sardinehook.environment.yaml_data import dotted
from sardinehook.errors import ErrorKind, Problem

__all__ = ["policy_digest", "promote_policy", "same_policy"]

MAX_SERVICES_NAMED = 5


def policy_of(document: EnvironmentDocument) -> EnvironmentDocument:
    """Return a document without its placement; the names of the services stay."""
    indexes = {
        name: index._replace(services={service: [] for service in index.services})
        for name, index in document.indexes.items()
    }
    return document._replace(environment="", data_centres={}, indexes=indexes)


def policy_digest(document: EnvironmentDocument) -> str:
    """Return the digest of a document's policy; promotion leaves it unchanged."""
    return digest_of(canonical_bytes(policy_of(document)))


def same_policy(first: EnvironmentDocument, second: EnvironmentDocument) -> bool:
    """Return whether two documents have the same policy."""
    return policy_of(first) == policy_of(second)


def promote_policy(
    tested: EnvironmentDocument, placement: EnvironmentDocument
) -> Result[EnvironmentDocument, Problem]:
    """Combine the policy of ``tested`` with the placement of another document.

    Fails if ``placement`` has no replicas of a service, since a policy doesn't say
    where a service runs, or if the resulting document violates a consistency rule.
    """
    missing = [
        service
        for name, index in tested.indexes.items()
        for service in index.services
        if name not in placement.indexes
        or service not in placement.indexes[name].services
    ]
    if missing:
        named = ", ".join(missing[:MAX_SERVICES_NAMED])
        detail = f"{placement.environment} has no replicas of {named}"
        return Failure(Problem(ErrorKind.INVALID_DOCUMENT, detail))
    indexes = {
        name: with_placement(name, index, placement)
        for name, index in tested.indexes.items()
    }
    document = tested._replace(
        environment=placement.environment,
        data_centres=placement.data_centres,
        indexes=indexes,
    )
    return validate(document)


def with_placement(name: str, index: Index, placement: EnvironmentDocument) -> Index:
    """Return an index of the tested policy with the replicas of another document."""
    replicas = placement.indexes[name].services
    return index._replace(
        services={service: replicas[service] for service in index.services}
    )


def validate(document: EnvironmentDocument) -> Result[EnvironmentDocument, Problem]:
    """Check the consistency rules; fail with the first violation."""
    for violation in rule_violations(document):
        detail = f"{dotted(violation.path)}: {violation.message}"
        return Failure(Problem(ErrorKind.INVALID_DOCUMENT, detail))
    return Success(document)
