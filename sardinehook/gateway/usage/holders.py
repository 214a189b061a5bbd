"""Selects the gateways that hold the usage ledger, from the records of all gateways."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from hashlib import blake2b

from sardinehook.gateway.fleet import GatewayRecord
from sardinehook.gateway.shares import higher_bandwidth_gateways

__all__ = ["choose_holders", "rank_gateways"]

HOLDERS_WITHOUT_DELEGATES = 2  # of a data centre: one answers while the other is down
MAX_HOLDERS = 4  # of a data centre; each sends its counts to all others
HASH_BYTES = 8
PURPOSE = b"usage holders"


def choose_holders(
    records: Mapping[str, GatewayRecord],
) -> dict[str, tuple[str, ...]]:
    """Return the holders of each data centre.

    These are its delegates, since they see most requests anyway, and otherwise the
    gateways with the lowest hashes. All gateways that know the same records choose the
    same holders.

    >>> wide, narrow = (GatewayRecord("1", "a", "", mbps) for mbps in (200.0, 20.0))
    >>> wide.usage_at = narrow.usage_at = "10.0.0.1:2"
    >>> choose_holders({"n1": narrow, "w": wide, "n2": narrow})
    {'a': ('w',)}
    >>> len(choose_holders({"n1": narrow, "n2": narrow, "n3": narrow})["a"])
    2
    """
    by_data_centre: dict[str, dict[str, GatewayRecord]] = {}
    for name, record in records.items():
        by_data_centre.setdefault(record.data_centre, {})[name] = record
    chosen = {
        data_centre: choose_in_data_centre(here)
        for data_centre, here in sorted(by_data_centre.items())
    }
    return {data_centre: names for data_centre, names in chosen.items() if names}


def choose_in_data_centre(records: Mapping[str, GatewayRecord]) -> tuple[str, ...]:
    """Return the holders among the gateways of one data centre."""
    able = [name for name, record in records.items() if record.usage_at]
    with_link = {n: record for n, record in records.items() if record.link_mbps > 0.0}
    delegates: set[str] = set()
    if with_link:
        # The gateway with the least bandwidth has all the delegates there are.
        narrowest = min(with_link, key=lambda name: (with_link[name].link_mbps, name))
        delegates.update(
            higher_bandwidth_gateways(narrowest, with_link[narrowest], with_link)
        )
    ranked = rank_gateways(able, "")
    found = [name for name in ranked if name in delegates]
    if found:
        found.sort(key=lambda name: -records[name].link_mbps)
        return tuple(found[:MAX_HOLDERS])
    return tuple(ranked[:HOLDERS_WITHOUT_DELEGATES])


def rank_gateways(names: Iterable[str], subject: str) -> list[str]:
    """Sort gateways by their hash for a subject, which differs between subjects.

    A gateway that joins or leaves does not change the order of the others (rendezvous
    hashing).
    """
    return sorted(names, key=lambda name: (hash_of(name, subject), name))


def hash_of(name: str, subject: str) -> bytes:
    """Return the hash of a gateway for a subject.

    A CRC would order two gateways alike for half of all subjects of a length.
    """
    text = f"{name} {subject}".encode()
    return blake2b(text, digest_size=HASH_BYTES, person=PURPOSE).digest()
