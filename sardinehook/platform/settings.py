"""Decoder for the settings file that the platform writes for each process."""

from __future__ import annotations

import tomllib
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from sardinehook.gateway.settings import Bounds, GatewaySettings

__all__ = ["SETTINGS_VARIABLE", "decode_settings"]

SETTINGS_VARIABLE = "SARDINEHOOK_SETTINGS"
MS_PER_S = 1000.0


class WireListen(msgspec.Struct, rename="pascal"):
    """The listening addresses of a process."""

    front: str
    # For the load balancer's health checks.
    ready: str
    # Named after dedicated control machines; gateways call each other at this address.
    control: str = ""


class WireBounds(msgspec.Struct, rename="pascal"):
    """The time limits and budgets that the deployment guarantees."""

    drain_ms: float = 3000.0
    grace_s: float = 6.0
    config_apply_ms: float = 3000.0
    evacuate_ms: float = 5000.0
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10.0
    budget_slack: float = 50.0
    cold_over: float = 1.5
    cold_slack: float = 5.0
    quota_window_s: float = 5.0
    quota_overage: float = 0.1
    quota_slack: float = 20.0
    # Whether keys are refused while withdrawals of keys can't be heard of.
    strict_revocation: bool = False
    revoke_ms: float = 5000.0
    canary_share: float = 0.1
    canary_slack: float = 50.0
    rollback_ms: float = 5000.0


class WirePlatform(msgspec.Struct):
    """The address of the platform's store."""

    addr: str = msgspec.field(name="Addr")


class WireLimits(msgspec.Struct, rename="pascal"):
    """The resources of the machine."""

    # The bandwidth of the machine's link, for both directions.
    link_mbps: float = 0.0
    # The share of a core that the process gets, and a factor for its speed.
    cpu_share: float = 1.0
    cores: float = 1.0


class WireSettings(msgspec.Struct, rename="pascal"):
    """The settings file."""

    node: str
    ip: str
    zone: str
    # The first and last port of a range that is free for the gateways' own protocols.
    internal_ports: list[int]
    listen: WireListen
    platform: WirePlatform = msgspec.field(name="platform")
    seeds: list[str] = []
    bounds: WireBounds = msgspec.field(default_factory=WireBounds)
    limits: WireLimits = msgspec.field(default_factory=WireLimits)
    contracts: list[str] = []


def decode_settings(text: str) -> Result[GatewaySettings, str]:
    """Decode the settings file; a failure is one line for the operator.

    >>> decode_settings("Node = 1").failure()
    'invalid settings: Expected `str`, got `int` - at `$.Node`'
    """
    try:
        raw: dict[str, Any] = tomllib.loads(text)
        wire = msgspec.convert(raw, WireSettings)
    except (tomllib.TOMLDecodeError, msgspec.MsgspecError) as error:
        return Failure(f"invalid settings: {error}")
    return Success(read_settings(wire))


def read_settings(wire: WireSettings) -> GatewaySettings:
    """Convert the settings; metrics and datagrams use the internal ports.

    The first one serves the metrics, the last one heartbeats. The port after the first
    one is that of the usage ledger.
    """
    ports = [f"{wire.ip}:{port}" for port in wire.internal_ports]
    has_usage_port = len(ports) > 1 and (
        wire.internal_ports[1] - wire.internal_ports[0] > 1
    )
    return GatewaySettings(
        wire.node,
        wire.zone,
        wire.listen.front,
        wire.listen.ready,
        wire.listen.control,
        ports[0] if ports else "",
        wire.platform.addr,
        tuple(wire.seeds),
        read_bounds(wire.bounds),
        ports[1] if len(ports) > 1 else "",
        wire.limits.link_mbps,
        wire.limits.cpu_share * wire.limits.cores,
        frozenset(wire.contracts),
        f"{wire.ip}:{wire.internal_ports[0] + 1}" if has_usage_port else "",
    )


def read_bounds(wire: WireBounds) -> Bounds:
    """Convert the guarantees, with times in seconds."""
    return Bounds(
        drain_s=wire.drain_ms / MS_PER_S,
        grace_s=wire.grace_s,
        configuration_s=wire.config_apply_ms / MS_PER_S,
        evacuation_s=wire.evacuate_ms / MS_PER_S,
        repeat_ratio=wire.retry_budget_ratio,
        repeat_window_s=wire.budget_window_s,
        repeat_slack=wire.budget_slack,
        cold_factor=wire.cold_over,
        cold_slack=wire.cold_slack,
        quota_window_s=wire.quota_window_s,
        quota_overage=wire.quota_overage,
        quota_slack=wire.quota_slack,
        revocation_strict=wire.strict_revocation,
        revocation_s=wire.revoke_ms / MS_PER_S,
        canary_share=wire.canary_share,
        canary_slack=wire.canary_slack,
        rollback_s=wire.rollback_ms / MS_PER_S,
    )
