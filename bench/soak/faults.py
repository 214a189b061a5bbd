"""Brings the faults of a schedule about."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from bench.soak.callers import Caller
from bench.soak.gateways import Gateway
from bench.soak.proxy import Proxy
from bench.soak.schedule import (
    CallersLeave,
    ChangeConfiguration,
    DrainReplica,
    Evacuate,
    GatewayKill,
    GatewayPause,
    GatewayReload,
    GatewayStop,
    ReplicaFault,
    Reshard,
    Scheduled,
    StoreFault,
    StoreLink,
)
from bench.soak.world import World

__all__ = ["FaultInjector"]

EVACUATION_LEAST_S = 6.0


class FaultInjector:
    """Disturbs gateways, the world and callers; ``spawn`` runs what takes time."""

    def __init__(
        self,
        world: World,
        gateways: Sequence[Gateway],
        callers: Sequence[Caller],
        grace_s: float,
        spawn: Callable[[Any], None],
    ) -> None:
        self.world = world
        self.gateways = gateways
        self.callers = callers
        self.grace_s = grace_s
        self.spawn = spawn

    def inject(self, one: Scheduled) -> None:
        """Begin a fault of a gateway, or else of what is around them."""
        match one.fault:
            case GatewayStop(number):
                self.spawn(self.gateways[number].stop(self.grace_s))
            case GatewayKill(number):
                gateway = self.gateways[number]
                self.spawn(gateway.restart(gateway.child.kill, 0.0))
            case GatewayPause(number):
                self.spawn(self.gateways[number].pause(one.for_s))
            case GatewayReload(number, signalled):
                self.gateways[number].reload(signalled)
            case StoreLink(number, mode):
                gateway = self.gateways[number]
                self.disturb_link(gateway.store, mode, one.for_s, gateway.name)
            case _:
                self.inject_outside(one)

    def inject_outside(self, one: Scheduled) -> None:
        """Begin a fault of the store, replicas, operators or callers."""
        world = self.world
        match one.fault:
            case StoreFault(mode):
                self.disturb_store(mode, one.for_s)
            case ReplicaFault(number, mode):
                self.disturb_replica(number, mode, one.for_s)
            case DrainReplica(number):
                world.replicas[number].drain()
            case Evacuate(number):
                world.evacuate(number, one.for_s + EVACUATION_LEAST_S)
            case ChangeConfiguration():
                world.change_route()
            case Reshard():
                world.reshard()
            case CallersLeave():
                self.let_leave(one.for_s)

    def disturb_link(self, proxy: Proxy, mode: str, for_s: float, name: str) -> None:
        """Disturb the connections through a proxy for a while."""
        proxy.set_mode(mode)
        now = self.world.reactor.seconds()
        self.world.history.disturb(name, now, now + for_s)
        self.world.reactor.callLater(for_s, proxy.set_mode, "")

    def disturb_store(self, mode: str, for_s: float) -> None:
        """Let the store misbehave for a while."""
        store = self.world.store
        now = self.world.reactor.seconds()
        self.world.history.disturb("store", now, now + for_s)
        if mode == "compact":
            store.compact()
        elif mode == "lapse":
            store.lapse("servers/")
            store.lapse("sardinehook/")
        else:
            store.mode = mode
            self.world.reactor.callLater(for_s, setattr, store, "mode", "")

    def disturb_replica(self, number: int, mode: str, for_s: float) -> None:
        """Let a replica or the way to it misbehave for a while."""
        replica = self.world.replicas[number]
        server, proxy = replica.server, replica.proxy
        if server is None or proxy is None:
            return
        now = self.world.reactor.seconds()
        self.world.history.disturb(replica.identity.name, now, now + for_s)
        if mode in ("pause", "errors", "garble", "extra", "lost"):
            server.set_mode(mode)
            self.world.reactor.callLater(for_s, server.set_mode, "")
        else:
            proxy.set_mode(mode)
            self.world.reactor.callLater(for_s, proxy.set_mode, "")

    def let_leave(self, for_s: float) -> None:
        """Let callers leave early for a while."""
        for caller in self.callers:
            caller.leaves = True
            self.world.reactor.callLater(for_s, setattr, caller, "leaves", False)
