"""How the gateways divide what they do, and what replicas bear, among themselves."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from sardinehook.gateway.fleet import GatewayRecord

__all__ = ["Shares", "compute_shares", "wider_gateways"]

WIDER_RATIO = 4.0  # how much wider a link has to be for a search to be handed over
KEPT_SHARE = 0.25  # of its part, for the searches that a gateway does itself after all


class Shares(NamedTuple):
    """One gateway's part of what all share.

    It has one part in ``request_divisor`` of what single requests use, and one part in
    ``search_divisor`` of what searches use. ``equal_share_gateways`` are the gateways
    with the same part.
    """

    request_divisor: float
    search_divisor: float
    equal_share_gateways: frozenset[str]


def wider_gateways(
    node: str, record: GatewayRecord, records: Mapping[str, GatewayRecord]
) -> list[str]:
    """List the gateways of the same data centre that have much wider links.

    >>> wide, narrow = (GatewayRecord("1", "a", "", mbps) for mbps in (200.0, 20.0))
    >>> wider_gateways("n", narrow, {"n": narrow, "w": wide})
    ['w']
    >>> wider_gateways("w", wide, {"n": narrow, "w": wide})
    []
    """
    if record.link_mbps <= 0.0:
        return []
    return sorted(
        name
        for name, other in records.items()
        if name != node
        and other.data_centre == record.data_centre
        and other.peer_address
        and other.link_mbps >= WIDER_RATIO * record.link_mbps
    )


def compute_shares(node: str, records: Mapping[str, GatewayRecord]) -> Shares:
    """Return the part of ``node``, which is one of ``records``.

    A gateway that hands its searches over keeps a part for those that it does itself
    while the others are away; the rest goes to those that it hands them to.

    >>> wide, narrow = (GatewayRecord("1", "a", "", mbps) for mbps in (200.0, 20.0))
    >>> records = {"n1": narrow, "n2": narrow, "w": wide}
    >>> [round(3 / compute_shares(name, records).search_divisor, 2) for name in records]
    [0.25, 0.25, 2.5]
    """
    weights = dict.fromkeys(records, 1.0)
    for name, record in records.items():
        wider = wider_gateways(name, record, records)
        if wider:
            weights[name] -= 1.0 - KEPT_SHARE
            for other in wider:
                weights[other] += (1.0 - KEPT_SHARE) / len(wider)
    own = weights[node]
    equal = frozenset(n for n, weight in weights.items() if abs(weight - own) < 1e-9)
    return Shares(float(len(records)), len(records) / own, equal)
