"""Renders docs/CAPACITY.md from the measurements stored in docs/slopes.

``python -m bench.capacity`` writes the page; a test checks that it is up to date.
"""

from __future__ import annotations

import math
from pathlib import Path
from typing import TypedDict

import msgspec

from bench.rig import ROOT

__all__ = ["PAGE", "render_capacity"]

PAGE = ROOT / "docs" / "CAPACITY.md"
TEMPLATE = ROOT / "docs" / "capacity.template.md"
SLOPES = ROOT / "docs" / "slopes"

NODES = 550
REPLICAS = 4300
QUERIES_PER_S = 120_000
FAN_OUT = 740
DATA_CENTRES = 7
CHANGES_PER_DAY = 330
RESTARTS_PER_DAY = 890
SECONDS_PER_DAY = 86_400
TARGET_BATCH_WINDOW_S = 0.002
MEMORY_LIMIT_MB = 64.0
ROSTER_ENTRY_BYTES = 64
VIEW_ENTRY_BYTES = 64


class Slopes(TypedDict):
    """The stored result of one measurement."""

    experiment: str
    seed: int
    figures: dict[str, float]
    bounds: dict[str, float]


def read_slopes(name: str) -> dict[str, float]:
    """Read the figures of one measurement."""
    path = SLOPES / f"{name}.json"
    return msgspec.json.decode(path.read_bytes(), type=Slopes)["figures"]


def data_path_figures() -> dict[str, float]:
    """Return the figures of the data path: processor time, links and connections."""
    cost_slopes = read_slopes("subquery-cost")
    policy_us = read_slopes("fanout-growth")["fan_out_740_us"]
    per_node = QUERIES_PER_S * FAN_OUT / NODES
    owners = NODES * (1.0 - math.exp(-FAN_OUT / NODES))
    link_us = 2 * cost_slopes["link_batch_1_us"]
    relayed_us = 2 * (
        cost_slopes["link_batch_100_us"] + cost_slopes["link_batch_10_us"]
    )
    transport_us = cost_slopes["transport_owner_us"]
    total_us = policy_us + link_us + transport_us
    per_replica = QUERIES_PER_S * FAN_OUT / REPLICAS
    target_batch = max(1.0, per_replica * TARGET_BATCH_WINDOW_S)
    batched_us = policy_us + relayed_us + transport_us / target_batch
    return {
        "sub_queries_million": QUERIES_PER_S * FAN_OUT / 1e6,
        "per_node": per_node,
        "policy_us": policy_us,
        "link_1_us": 2 * cost_slopes["link_batch_1_us"],
        "link_10_us": 2 * cost_slopes["link_batch_10_us"],
        "link_100_us": 2 * cost_slopes["link_batch_100_us"],
        "relayed_us": relayed_us,
        "relayed_total_us": policy_us + relayed_us + transport_us,
        "relayed_cores": per_node * (policy_us + relayed_us + transport_us) / 1e6,
        "owners": owners,
        "per_frame": FAN_OUT / owners,
        "per_centre_frame": FAN_OUT / DATA_CENTRES,
        "link_cores": per_node * link_us / 1e6,
        "transport_us": transport_us,
        "total_us": total_us,
        "cores": per_node * total_us / 1e6,
        "direct_connections": float(NODES * REPLICAS),
        "per_replica": per_replica,
        "target_batch": target_batch,
        "batched_us": batched_us,
        "batched_cores": per_node * batched_us / 1e6,
        "policy_cores": per_node * policy_us / 1e6,
        "queries_per_node": QUERIES_PER_S / NODES,
    }


def control_figures() -> dict[str, float]:
    """Return the figures of control: processor time, memory, store calls and bytes."""
    control_slopes = read_slopes("control")
    membership_slopes = read_slopes("membership-cost")
    store_calls_per_data_centre = control_slopes["nodes_15_store_calls_per_s"] / 3
    nodes_per_data_centre = NODES / DATA_CENTRES
    roster_changes = 2 * RESTARTS_PER_DAY / DATA_CENTRES / SECONDS_PER_DAY
    roster_bytes = roster_changes * nodes_per_data_centre * ROSTER_ENTRY_BYTES * 2
    slope_mb = (
        control_slopes["replicas_4300_memory_mb"]
        - control_slopes["replicas_100_memory_mb"]
    ) / 4200
    memory_mb = (
        control_slopes["nodes_15_memory_mb"] + control_slopes["replicas_4300_memory_mb"]
    )
    view_bytes = VIEW_ENTRY_BYTES * REPLICAS
    return {
        "rest_percent": control_slopes["nodes_15_processor_percent"],
        "rest_memory": control_slopes["nodes_15_memory_mb"],
        "kb_per_replica": slope_mb * 1024,
        "state_memory": control_slopes["replicas_4300_memory_mb"],
        "memory": memory_mb,
        "memory_factor": memory_mb / MEMORY_LIMIT_MB,
        "apply_ms": control_slopes["replicas_4300_apply_ms"],
        "apply_percent": control_slopes["replicas_4300_apply_ms"]
        / 10
        * CHANGES_PER_DAY
        / SECONDS_PER_DAY,
        "calls_3": control_slopes["nodes_3_store_calls_per_s"],
        "calls_6": control_slopes["nodes_6_store_calls_per_s"],
        "calls_15": control_slopes["nodes_15_store_calls_per_s"],
        "calls_a_centre": store_calls_per_data_centre,
        "calls": store_calls_per_data_centre * DATA_CENTRES,
        "membership_9": control_slopes["membership_9_bytes_per_s"],
        "membership_60": control_slopes["membership_60_bytes_per_s"],
        "membership_550": membership_slopes["bytes_per_s"],
        "membership_550_restarts": membership_slopes["bytes_per_s_in_restarts"],
        "membership_percent": membership_slopes["processor_percent"],
        "death_all_s": membership_slopes["detected_all_s"],
        "roster_bytes": roster_bytes,
        "roster_changes_per_hour": roster_changes * 3600,
        "view_round_kb": view_bytes / 1024,
        "view_bytes_hourly": 2 * view_bytes / 3600,
        "nodes_a_centre": nodes_per_data_centre,
        "replicas_a_node": REPLICAS / NODES,
        "bytes": membership_slopes["bytes_per_s"]
        + roster_bytes
        + 2 * view_bytes / 3600
        + 25,
    }


def render_capacity() -> str:
    """Render the capacity page from its template."""
    values = {**data_path_figures(), **control_figures()}
    return TEMPLATE.read_text().format(**values)


def main() -> None:
    """Write the capacity page."""
    PAGE.write_text(render_capacity())
    print(f"wrote {PAGE.relative_to(Path.cwd())}")


if __name__ == "__main__":
    main()
