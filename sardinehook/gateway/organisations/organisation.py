"""Organisations, and the look-up of an organisation by a caller's key."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from sardinehook.gateway.organisations.key_index import KeyIndex, digest_key

__all__ = ["Organisation", "Organisations", "index_digests", "index_organisations"]


class Organisation(NamedTuple):
    """An organisation whose callers hold keys.

    ``priority`` takes precedence over the priority of the route, ``None`` if none is
    stated; 0 is the highest. ``rate_per_s`` requests per second and ``burst`` more are
    its quota over all gateways; a rate of zero means no quota.
    """

    name: str
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


@dataclass(frozen=True, slots=True)
class Organisations:
    """The organisations of one version of the configuration."""

    by_name: Mapping[str, Organisation]
    keys: KeyIndex

    def without_keys(self) -> Organisations:
        """Return the organisations without the index of their keys, which is large."""
        return Organisations(self.by_name, KeyIndex({}))

    def find(self, credential: bytes | None) -> Organisation | None:
        """Return the organisation that holds a key, ``None`` if there is none.

        An empty key belongs to nobody, also if it stands in the configuration.
        """
        name = self.keys.find(credential) if credential else None
        return None if name is None else self.by_name.get(name)


def index_organisations(
    organisations: Iterable[tuple[Organisation, Iterable[bytes]]],
) -> Organisations:
    """Index organisations and their keys.

    >>> found = index_organisations([(Organisation("desk"), [b"k1", b"k2"])])
    >>> found.find(b"k2").name, found.find(b"k3"), found.find(None)
    ('desk', None, None)
    """
    return index_digests(
        (organisation, map(digest_key, keys)) for organisation, keys in organisations
    )


def index_digests(
    organisations: Iterable[tuple[Organisation, Iterable[bytes]]],
) -> Organisations:
    """Index organisations and the digests of their keys.

    Of several organisations that have the same key, the first holds it.
    """
    by_name: dict[str, Organisation] = {}
    holders: dict[bytes, str] = {}
    for organisation, digests in organisations:
        by_name[organisation.name] = organisation
        for digest in digests:
            holders.setdefault(digest, organisation.name)
    return Organisations(by_name, KeyIndex(holders))
