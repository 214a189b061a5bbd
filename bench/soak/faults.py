"""Injects the faults of a schedule into the running soak."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from bench.soak.callers import Caller
from bench.soak.gateways import Gateway
from bench.soak.proxy import Proxy
from bench.soak.schedule import (
    LINK_MODES,
    CallersDisconnect,
    ChangeConfiguration,
    DrainReplica,
    Evacuate,
    GatewayKill,
    GatewayPause,
    GatewayReload,
    GatewayStop,
    OddEntry,
    ReplicaFault,
    Reshard,
    RestoreStore,
    ScheduledFault,
    StoreFault,
    StoreLink,
)
from bench.soak.testbed import Testbed

__all__ = ["FaultInjector"]

MIN_EVACUATION_S = 6.0


class FaultInjector:
    """Injects faults into gateways, the testbed and callers.

    ``spawn`` starts the coroutines of faults that last.
    """

    def __init__(
        self,
        testbed: Testbed,
        gateways: Sequence[Gateway],
        callers: Sequence[Caller],
        grace_s: float,
        spawn: Callable[[Any], None],
    ) -> None:
        self.testbed = testbed
        self.gateways = gateways
        self.callers = callers
        self.grace_s = grace_s
        self.spawn = spawn

    def inject(self, scheduled: ScheduledFault) -> None:
        """Inject a fault into a gateway, or pass it to ``inject_outside``."""
        match scheduled.fault:
            case GatewayStop(number):
                self.spawn(self.gateways[number].stop(self.grace_s))
            case GatewayKill(number):
                gateway = self.gateways[number]
                self.spawn(gateway.restart(gateway.child.kill, 0.0))
            case GatewayPause(number):
                self.spawn(self.gateways[number].pause(scheduled.duration_s))
            case GatewayReload(number, signalled):
                self.gateways[number].reload(signalled)
            case StoreLink(number, mode):
                gateway = self.gateways[number]
                self.inject_link_fault(
                    gateway.store, mode, scheduled.duration_s, gateway.name
                )
            case _:
                self.inject_outside(scheduled)

    def inject_outside(self, scheduled: ScheduledFault) -> None:
        """Inject a fault of the store, replicas, operators or callers."""
        testbed = self.testbed
        match scheduled.fault:
            case StoreFault(mode):
                self.inject_store_fault(mode, scheduled.duration_s)
            case RestoreStore(copy_age_s):
                testbed.restore_store(copy_age_s, scheduled.duration_s)
            case ReplicaFault(number, mode):
                self.inject_replica_fault(number, mode, scheduled.duration_s)
            case DrainReplica(number):
                testbed.replicas[number].drain()
            case Evacuate(number):
                testbed.evacuate(number, scheduled.duration_s + MIN_EVACUATION_S)
            case ChangeConfiguration():
                testbed.change_route()
            case OddEntry(number):
                testbed.write_odd_entry(number)
            case Reshard():
                testbed.reshard()
            case CallersDisconnect():
                self.disconnect_callers(scheduled.duration_s)

    def inject_link_fault(
        self, proxy: Proxy, mode: str, duration_s: float, name: str
    ) -> None:
        """Put a proxy into a fault mode for a time."""
        proxy.set_mode(mode)
        now = self.testbed.reactor.seconds()
        self.testbed.history.record_disturbance(name, now, now + duration_s)
        self.testbed.reactor.callLater(duration_s, proxy.set_mode, "")

    def inject_store_fault(self, mode: str, duration_s: float) -> None:
        """Put the store into a fault mode, or compact it or expire its leases once."""
        store = self.testbed.store
        now = self.testbed.reactor.seconds()
        self.testbed.history.record_disturbance("store", now, now + duration_s)
        if mode == "compact":
            store.compact()
        elif mode == "lapse":
            store.expire_leases("servers/")
            store.expire_leases("sardinehook/")
        else:
            store.mode = mode
            self.testbed.reactor.callLater(duration_s, setattr, store, "mode", "")

    def inject_replica_fault(self, number: int, mode: str, duration_s: float) -> None:
        """Put a replica or the proxy in front of it into a fault mode for a time."""
        replica = self.testbed.replicas[number]
        server, proxy = replica.server, replica.proxy
        if server is None or proxy is None:
            return
        now = self.testbed.reactor.seconds()
        self.testbed.history.record_disturbance(
            replica.identity.name, now, now + duration_s
        )
        if mode not in LINK_MODES:
            server.set_mode(mode)
            self.testbed.reactor.callLater(duration_s, server.set_mode, "")
        else:
            proxy.set_mode(mode)
            self.testbed.reactor.callLater(duration_s, proxy.set_mode, "")

    def disconnect_callers(self, duration_s: float) -> None:
        """Let callers disconnect before their answers for a time."""
        for caller in self.callers:
            caller.disconnects_early = True
            self.testbed.reactor.callLater(
                duration_s, setattr, caller, "disconnects_early", False
            )
