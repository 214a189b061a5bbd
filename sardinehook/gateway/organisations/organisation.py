"""Organisations, and the look-up of an organisation by a caller's key."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from sardinehook.gateway.organisations.key_index import KeyIndex, digest_key

__all__ = ["Organisation", "Organisations", "index_organisations"]


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

    def find(self, credential: bytes | None) -> Organisation | None:
        """Return the organisation that holds a key, ``None`` if there is none."""
        name = None if credential is None else self.keys.find(credential)
        return None if name is None else self.by_name.get(name)


def index_organisations(
    organisations: Iterable[tuple[Organisation, Iterable[bytes]]],
) -> Organisations:
    """Index organisations and their keys.

    >>> found = index_organisations([(Organisation("desk"), [b"k1", b"k2"])])
    >>> found.find(b"k2").name, found.find(b"k3"), found.find(None)
    ('desk', None, None)
    """
    by_name: dict[str, Organisation] = {}
    digests: dict[bytes, str] = {}
    for organisation, keys in organisations:
        by_name[organisation.name] = organisation
        for key in keys:
            digests.setdefault(digest_key(key), organisation.name)
    return Organisations(by_name, KeyIndex(digests))
