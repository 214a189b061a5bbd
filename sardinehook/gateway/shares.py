"""Division of shared limits and delegated searches among the gateways."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from sardinehook.gateway.fleet import GatewayRecord

__all__ = ["Shares", "compute_shares", "higher_bandwidth_gateways"]

MIN_BANDWIDTH_RATIO = 4.0  # of a delegate's link to that of the delegating gateway
MIN_PART = 0.2  # of its share by weight, for a gateway with less demand
RETAINED_SEARCH_SHARE = 0.25  # for searches run locally while no delegate is usable


class Shares(NamedTuple):
    """One gateway's share of limits that apply to all gateways together.

    Its limit is the total divided by ``request_divisor`` for single requests, and by
    ``search_divisor`` for searches. ``equal_share_gateways`` are the gateways with the
    same share. The weights give the shares in the rate limits of replicas, also those
    of the other gateways; ``data_centres`` says where these are.
    """

    request_divisor: float
    search_divisor: float
    equal_share_gateways: frozenset[str]
    request_weights: Mapping[str, float] = MappingProxyType({})
    search_weights: Mapping[str, float] = MappingProxyType({})
    data_centres: Mapping[str, str] = MappingProxyType({})


def higher_bandwidth_gateways(
    node: str, record: GatewayRecord, records: Mapping[str, GatewayRecord]
) -> list[str]:
    """Return the gateways of the same data centre with a far higher bandwidth.

    Searches are delegated to these. There are none if the bandwidth of ``node`` is
    unknown.

    >>> wide, narrow = (GatewayRecord("1", "a", "", mbps) for mbps in (200.0, 20.0))
    >>> higher_bandwidth_gateways("n", narrow, {"n": narrow, "w": wide})
    ['w']
    >>> higher_bandwidth_gateways("w", wide, {"n": narrow, "w": wide})
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
        and other.link_mbps >= MIN_BANDWIDTH_RATIO * record.link_mbps
    )


def compute_shares(node: str, records: Mapping[str, GatewayRecord]) -> Shares:
    """Return the share of ``node``, which is one of ``records``.

    A gateway that delegates its searches retains a fraction of its share of search
    limits, for searches run locally while its delegates are unavailable. The rest is
    divided equally among its delegates.

    >>> wide, narrow = (GatewayRecord("1", "a", "", mbps) for mbps in (200.0, 20.0))
    >>> records = {"n1": narrow, "n2": narrow, "w": wide}
    >>> [round(3 / compute_shares(name, records).search_divisor, 2) for name in records]
    [0.25, 0.25, 2.5]
    """
    weights = dict.fromkeys(records, 1.0)
    by_data_centre: dict[str, dict[str, GatewayRecord]] = {}
    for name, record in records.items():
        by_data_centre.setdefault(record.data_centre, {})[name] = record
    for name, record in records.items():
        here = by_data_centre[record.data_centre]
        delegates = higher_bandwidth_gateways(name, record, here)
        if delegates:
            weights[name] -= 1.0 - RETAINED_SEARCH_SHARE
            for other in delegates:
                weights[other] += (1.0 - RETAINED_SEARCH_SHARE) / len(delegates)
    own = weights[node]
    equal = frozenset(n for n, weight in weights.items() if abs(weight - own) < 1e-9)
    return Shares(
        float(len(records)),
        len(records) / own,
        equal,
        weigh_by_demand(
            dict.fromkeys(records, 1.0),
            {name: record.request_demand for name, record in records.items()},
        ),
        weigh_by_demand(
            weights, {name: record.search_demand for name, record in records.items()}
        ),
        {name: record.data_centre for name, record in records.items()},
    )


def weigh_by_demand(
    weights: Mapping[str, float], demands: Mapping[str, float]
) -> dict[str, float]:
    """Return weights proportional to the demands, which are negative if unknown.

    An unknown demand is estimated from the weight. Each gateway keeps a part of what
    its weight gives, since its demand may have grown since it was published.

    >>> weigh_by_demand({"a": 1.0, "b": 1.0, "c": 1.0}, {"a": 9.0, "b": 3.0, "c": -1.0})
    {'a': 9.0, 'b': 3.0, 'c': 6.0}
    """
    known = {name: demand for name, demand in demands.items() if demand >= 0.0}
    total_weight = sum(weights[name] for name in known)
    per_weight = sum(known.values()) / total_weight if total_weight else 0.0
    if not per_weight:
        return dict(weights)
    return {
        name: max(known.get(name, weight * per_weight), MIN_PART * weight * per_weight)
        for name, weight in weights.items()
    }
