"""Rules of promotion: what is tested in one environment and holds in another.

A document has two parts. Its *places* are what differs by environment: the name, the
data centres with their states, and the replicas of each service. All else is *policy*:
workloads, limits, and what each index bears. Policy is promoted as it was tested;
places belong to the environment.
"""

from __future__ import annotations

from returns.result import Failure, Result, Success

from sardinehook.environment.canonical import canonical_bytes, digest_of
from sardinehook.environment.document import EnvironmentDocument, Index
from sardinehook.environment.document_rules import broken_rules
from sardinehook.environment.yaml_data import dotted
from sardinehook.errors import ErrorKind, Problem

__all__ = ["policy_digest", "promote_policy", "same_policy"]

SERVICES_NAMED = 5


def policy_of(document: EnvironmentDocument) -> EnvironmentDocument:
    """A document without its places; the names of the services stay."""
    indexes = {
        name: index._replace(services={service: [] for service in index.services})
        for name, index in document.indexes.items()
    }
    return document._replace(environment="", data_centres={}, indexes=indexes)


def policy_digest(document: EnvironmentDocument) -> str:
    """The digest of a document's policy, which is equal in both environments."""
    return digest_of(canonical_bytes(policy_of(document)))


def same_policy(one: EnvironmentDocument, other: EnvironmentDocument) -> bool:
    """Whether two documents differ in places at most."""
    return policy_of(one) == policy_of(other)


def promote_policy(
    tested: EnvironmentDocument, places: EnvironmentDocument
) -> Result[EnvironmentDocument, Problem]:
    """The tested policy at the places of another document.

    A service that ``places`` has no replicas of is a problem, since no policy tells
    where a service is.
    """
    homeless = [
        service
        for name, index in tested.indexes.items()
        for service in index.services
        if name not in places.indexes or service not in places.indexes[name].services
    ]
    if homeless:
        named = ", ".join(homeless[:SERVICES_NAMED])
        detail = f"{places.environment} has no replicas of {named}"
        return Failure(Problem(ErrorKind.INVALID_DOCUMENT, detail))
    indexes = {
        name: placed(name, index, places) for name, index in tested.indexes.items()
    }
    document = tested._replace(
        environment=places.environment,
        data_centres=places.data_centres,
        indexes=indexes,
    )
    return checked(document)


def placed(name: str, index: Index, places: EnvironmentDocument) -> Index:
    """An index of the tested policy with the replicas of another document."""
    replicas = places.indexes[name].services
    return index._replace(
        services={service: replicas[service] for service in index.services}
    )


def checked(document: EnvironmentDocument) -> Result[EnvironmentDocument, Problem]:
    """Check that the parts of a document agree."""
    for rule in broken_rules(document):
        detail = f"{dotted(rule.path)}: {rule.message}"
        return Failure(Problem(ErrorKind.INVALID_DOCUMENT, detail))
    return Success(document)
