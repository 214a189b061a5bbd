"""Which faults a soak injects, and when: a function of the seed alone."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from random import Random
from typing import NamedTuple

__all__ = [
    "CallersLeave",
    "ChangeConfiguration",
    "DrainReplica",
    "Evacuate",
    "Fault",
    "GatewayKill",
    "GatewayPause",
    "GatewayReload",
    "GatewayStop",
    "ReplicaFault",
    "Reshard",
    "Scheduled",
    "Size",
    "StoreFault",
    "StoreLink",
    "make_schedule",
]

SETTLE_S = 3.0  # calm at the start
SERIES_SHARE = 0.3  # of the faults come as a series of the same kind
MOST_IN_SERIES = 4
SERIES_GAP_S = 0.7
SHORTEST_S = 0.5
LONGEST_S = 5.0


@dataclass(frozen=True, slots=True)
class GatewayStop:
    """SIGTERM, then a new start."""

    gateway: int


@dataclass(frozen=True, slots=True)
class GatewayKill:
    """SIGKILL, then a new start."""

    gateway: int


@dataclass(frozen=True, slots=True)
class GatewayPause:
    """SIGSTOP for a time, then SIGCONT."""

    gateway: int


@dataclass(frozen=True, slots=True)
class GatewayReload:
    """The settings file changes, with SIGHUP or without."""

    gateway: int
    signalled: bool


@dataclass(frozen=True, slots=True)
class StoreLink:
    """A gateway's connections to the store are disturbed by the proxy."""

    gateway: int
    mode: str


@dataclass(frozen=True, slots=True)
class StoreFault:
    """The store itself misbehaves towards all."""

    mode: str


@dataclass(frozen=True, slots=True)
class ReplicaFault:
    """A replica, or the proxy in front of it, misbehaves."""

    replica: int
    mode: str


@dataclass(frozen=True, slots=True)
class DrainReplica:
    """A replica drains and leaves; another one starts at its address."""

    replica: int


@dataclass(frozen=True, slots=True)
class Evacuate:
    """A data centre is taken out for a time."""

    data_centre: int


@dataclass(frozen=True, slots=True)
class ChangeConfiguration:
    """The operators move a route to another service."""


@dataclass(frozen=True, slots=True)
class Reshard:
    """The operators name the other set of shards."""


@dataclass(frozen=True, slots=True)
class CallersLeave:
    """Some callers leave before their answer for a time."""


Fault = (
    GatewayStop
    | GatewayKill
    | GatewayPause
    | GatewayReload
    | StoreLink
    | StoreFault
    | ReplicaFault
    | DrainReplica
    | Evacuate
    | ChangeConfiguration
    | Reshard
    | CallersLeave
)

LINK_MODES = ("delay", "reset", "cut_up", "cut_down", "silent")
STORE_MODES = ("busy", "slow", "lost", "compact", "lapse")
REPLICA_MODES = ("pause", "errors", "garble", "extra", "lost", *LINK_MODES)


class Scheduled(NamedTuple):
    """A fault, its start in seconds, and how long it lasts where that applies."""

    at: float
    fault: Fault
    for_s: float


class Size(NamedTuple):
    """What there is to disturb."""

    gateways: int
    replicas: int
    data_centres: int


def make_schedule(
    seed: int, size: Size, duration_s: float, mean_gap_s: float
) -> list[Scheduled]:
    """Draw faults; those of a series follow each other, and all may overlap.

    >>> size = Size(4, 8, 3)
    >>> make_schedule(1, size, 20.0, 1.0) == make_schedule(1, size, 20.0, 1.0)
    True
    """
    rng = Random(seed)
    scheduled: list[Scheduled] = []
    at = SETTLE_S
    while at < duration_s:
        scheduled.extend(draw_series(rng, size, at))
        at += rng.expovariate(1.0 / mean_gap_s)
    within = [one for one in scheduled if one.at < duration_s]
    return sorted(within, key=lambda one: one.at)


def draw_series(rng: Random, size: Size, at: float) -> Iterator[Scheduled]:
    """Draw one fault, or several of one kind in a row."""
    draw = rng.choice(KINDS)
    count = rng.randint(2, MOST_IN_SERIES) if rng.random() < SERIES_SHARE else 1
    for _ in range(count):
        yield Scheduled(at, draw(rng, size), rng.uniform(SHORTEST_S, LONGEST_S))
        at += rng.uniform(0.0, 2 * SERIES_GAP_S)


Draw = Callable[[Random, Size], Fault]

# How often a kind stands here is how often it is drawn.
KINDS: tuple[Draw, ...] = (
    lambda rng, size: GatewayStop(rng.randrange(size.gateways)),
    lambda rng, size: GatewayKill(rng.randrange(size.gateways)),
    lambda rng, size: GatewayPause(rng.randrange(size.gateways)),
    lambda rng, size: GatewayReload(rng.randrange(size.gateways), rng.random() < 0.5),
    lambda rng, size: StoreLink(rng.randrange(size.gateways), rng.choice(LINK_MODES)),
    lambda rng, size: StoreFault(rng.choice(STORE_MODES)),
    *[
        lambda rng, size: ReplicaFault(
            rng.randrange(size.replicas), rng.choice(REPLICA_MODES)
        )
    ]
    * 3,
    *[lambda rng, size: DrainReplica(rng.randrange(size.replicas))] * 2,
    lambda rng, size: Evacuate(rng.randrange(size.data_centres)),
    *[lambda _rng, _size: ChangeConfiguration()] * 2,
    lambda _rng, _size: Reshard(),
    lambda _rng, _size: CallersLeave(),
)
