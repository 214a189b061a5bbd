"""Settings of a gateway process, and the service bounds that it has to meet."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["Bounds", "GatewaySettings"]


class Bounds(NamedTuple):
    """Service bounds of this deployment, as its settings state them.

    ``repeat_ratio`` and ``repeat_slack`` bound the hedges and retries to a service
    within ``repeat_window_s``, summed over all gateways. ``cold_factor`` and
    ``cold_slack`` bound how many requests a cold replica gets in one second.

    In ``quota_window_s``, an organisation may exceed its quota by the ratio
    ``quota_overage`` and by ``quota_slack`` requests. If ``revocation_strict`` is set,
    a gateway that has not heard from the store for ``revocation_s`` accepts no keys. A
    version that is rolled out gets ``canary_share`` of the requests and
    ``canary_slack`` more at most until it is found good, and none ``rollback_s`` after
    it has shown to be bad.
    """

    drain_s: float = 3.0
    grace_s: float = 6.0
    configuration_s: float = 3.0
    evacuation_s: float = 5.0
    repeat_ratio: float = 0.2
    repeat_window_s: float = 10.0
    repeat_slack: float = 50.0
    cold_factor: float = 1.5
    cold_slack: float = 5.0
    quota_window_s: float = 5.0
    quota_overage: float = 0.1
    quota_slack: float = 20.0
    revocation_strict: bool = False
    revocation_s: float = 5.0
    canary_share: float = 0.1
    canary_slack: float = 50.0
    rollback_s: float = 5.0


class GatewaySettings(NamedTuple):
    """Identity and addresses of one gateway; addresses are ``IP:port``.

    ``front_address`` accepts connections of callers, ``ready_address`` probes of the
    load balancer, ``peer_address`` calls of other gateways and ``heartbeat_address``
    their heartbeats. ``metrics_address`` serves the metrics. ``seeds`` are peer
    addresses of gateways, which may be down. Datagrams of the usage ledger are sent to
    ``usage_address``, empty if there is no port for them. ``link_mbps`` is the
    bandwidth of the VM, and ``cores`` the number of its processor cores that this
    process may use.
    ``contracts`` names the parts of the service that the deployment has agreed on.
    """

    node: str
    data_centre: str
    front_address: str
    ready_address: str
    peer_address: str
    metrics_address: str
    store_address: str
    seeds: tuple[str, ...]
    bounds: Bounds = Bounds()
    heartbeat_address: str = ""
    link_mbps: float = 0.0
    cores: float = 1.0
    contracts: frozenset[str] = frozenset()
    usage_address: str = ""
