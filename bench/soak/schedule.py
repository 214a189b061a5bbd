"""The schedule of a soak's faults, determined by the seed alone."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from random import Random
from typing import NamedTuple

__all__ = [
    "LINK_MODES",
    "CallersDisconnect",
    "ChangeConfiguration",
    "DrainReplica",
    "Evacuate",
    "Fault",
    "GatewayKill",
    "GatewayPause",
    "GatewayReload",
    "GatewayStop",
    "OddEntry",
    "ReplicaFault",
    "Reshard",
    "RestoreStore",
    "ScheduledFault",
    "StoreFault",
    "StoreLink",
    "Topology",
    "make_overlaps",
    "make_restores",
    "make_rollout_faults",
    "make_schedule",
]

QUIET_START_S = 3.0  # without faults, after the start
SERIES_SHARE = 0.3  # of draws that give a series of faults of the same kind
MAX_SERIES_LENGTH = 4
SERIES_GAP_S = 0.7
MIN_DURATION_S = 0.5
MAX_DURATION_S = 5.0
MIN_OUTAGE_S = 0.4
MAX_OUTAGE_S = 7.0
MIN_CALM_S = 5.0  # bounds hold from 4 s after an outage
MAX_CALM_S = 9.0
LAPSE_SHARE = 0.5
MEAN_BETWEEN_TOTAL_RESTARTS_S = 10.0
MEAN_BETWEEN_ROLLOUT_FAULTS_S = 4.0
EVACUATION_SHARE = 0.4
WHOLE_DATA_CENTRE_SHARE = 0.5
MAX_COPY_AGE_S = 8.0
RESTORED_EVACUATION_SHARE = 0.7
MIN_RESTORE_S = 0.2
MAX_RESTORE_S = 1.5
OUTAGE_MODES = ("silent", "silent", "silent", "busy", "slow", "lost")


@dataclass(frozen=True, slots=True)
class GatewayStop:
    """A graceful stop by SIGTERM, then a restart."""

    gateway: int


@dataclass(frozen=True, slots=True)
class GatewayKill:
    """A crash by SIGKILL, then a restart."""

    gateway: int


@dataclass(frozen=True, slots=True)
class GatewayPause:
    """A suspended process: SIGSTOP, then SIGCONT."""

    gateway: int


@dataclass(frozen=True, slots=True)
class GatewayReload:
    """A change of the settings file, with SIGHUP if ``signalled``."""

    gateway: int
    signalled: bool


@dataclass(frozen=True, slots=True)
class StoreLink:
    """A fault of the proxy between a gateway and the store."""

    gateway: int
    mode: str


@dataclass(frozen=True, slots=True)
class StoreFault:
    """A fault of the store that affects all gateways."""

    mode: str


@dataclass(frozen=True, slots=True)
class RestoreStore:
    """The store goes away and comes back from a copy that is some seconds old."""

    copy_age_s: float


@dataclass(frozen=True, slots=True)
class ReplicaFault:
    """A fault of a replica or of the proxy in front of it."""

    replica: int
    mode: str


@dataclass(frozen=True, slots=True)
class DrainReplica:
    """A replica drains and stops; a new one starts at its address."""

    replica: int


@dataclass(frozen=True, slots=True)
class Evacuate:
    """A temporary evacuation of a data centre."""

    data_centre: int


@dataclass(frozen=True, slots=True)
class ChangeConfiguration:
    """A configuration change that moves a route to another service."""


@dataclass(frozen=True, slots=True)
class Reshard:
    """A configuration change to the other set of shards."""


@dataclass(frozen=True, slots=True)
class OddEntry:
    """Entries in the store that nobody can use; ``number`` selects a value."""

    number: int


@dataclass(frozen=True, slots=True)
class CallersDisconnect:
    """A time in which callers disconnect before their answers."""


Fault = (
    GatewayStop
    | GatewayKill
    | GatewayPause
    | GatewayReload
    | StoreLink
    | StoreFault
    | RestoreStore
    | ReplicaFault
    | DrainReplica
    | Evacuate
    | ChangeConfiguration
    | Reshard
    | OddEntry
    | CallersDisconnect
)

LINK_MODES = ("delay", "reset", "cut_up", "cut_down", "silent")
STORE_MODES = ("busy", "slow", "lost", "compact", "lapse")
NOTICE_MODES = ("limit", "limit", "refuse", "cut_head", "endless")
REPLICA_MODES = ("pause", "errors", "garble", "extra", "lost", *LINK_MODES)


class ScheduledFault(NamedTuple):
    """A fault with its start and duration, which instantaneous faults ignore."""

    at: float
    fault: Fault
    duration_s: float


class Topology(NamedTuple):
    """Numbers of the parts that faults can affect."""

    gateways: int
    replicas: int
    data_centres: int


def make_schedule(
    seed: int, topology: Topology, duration_s: float, mean_gap_s: float
) -> list[ScheduledFault]:
    """Draw the faults of a soak, sorted by start; faults may overlap.

    >>> topology = Topology(4, 8, 3)
    >>> one = make_schedule(1, topology, 20.0, 1.0)
    >>> one == make_schedule(1, topology, 20.0, 1.0)
    True
    """
    rng = Random(seed)
    scheduled: list[ScheduledFault] = []
    at = QUIET_START_S
    while at < duration_s:
        scheduled.extend(draw_series(rng, topology, at))
        at += rng.expovariate(1.0 / mean_gap_s)
    within = [one for one in scheduled if one.at < duration_s]
    return sorted(within, key=lambda one: one.at)


def draw_series(rng: Random, topology: Topology, at: float) -> Iterator[ScheduledFault]:
    """Draw one fault, or a series of faults of the same kind."""
    draw = rng.choice(FAULT_DRAWS)
    count = rng.randint(2, MAX_SERIES_LENGTH) if rng.random() < SERIES_SHARE else 1
    for _ in range(count):
        yield ScheduledFault(
            at, draw(rng, topology), rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
        )
        at += rng.uniform(0.0, 2 * SERIES_GAP_S)


def make_overlaps(
    seed: int, topology: Topology, duration_s: float
) -> list[ScheduledFault]:
    """Draw outages of the store, each with restarts and changes within and after it.

    >>> topology = Topology(6, 8, 3)
    >>> make_overlaps(1, topology, 20.0) == make_overlaps(1, topology, 20.0)
    True
    """
    rng = Random(f"{seed} overlaps")
    scheduled: list[ScheduledFault] = []
    at = QUIET_START_S
    while at < duration_s:
        outage_s = rng.uniform(MIN_OUTAGE_S, MAX_OUTAGE_S)
        scheduled.extend(draw_outage(rng, topology, at, outage_s))
        at += outage_s + rng.uniform(MIN_CALM_S, MAX_CALM_S)
    scheduled.extend(draw_total_restarts(seed, topology, duration_s))
    within = [one for one in scheduled if one.at < duration_s]
    return sorted(within, key=lambda one: one.at)


def make_rollout_faults(
    seed: int, topology: Topology, duration_s: float
) -> list[ScheduledFault]:
    """Draw the faults beside a rollout: gateways, their way to the store, the store.

    >>> topology = Topology(6, 8, 3)
    >>> len(make_rollout_faults(1, topology, 60.0)) > 5
    True
    """
    rng = Random(f"{seed} rollout faults")
    scheduled: list[ScheduledFault] = []
    at = QUIET_START_S
    while at < duration_s:
        gateway = rng.randrange(topology.gateways)
        fault: Fault = rng.choice(
            (
                GatewayKill(gateway),
                GatewayStop(gateway),
                GatewayPause(gateway),
                StoreLink(gateway, rng.choice(LINK_MODES)),
                StoreFault(rng.choice(("silent", "busy", "lost", "slow", "lapse"))),
            )
        )
        length_s = rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
        scheduled.append(ScheduledFault(at, fault, length_s))
        at += rng.expovariate(1.0 / MEAN_BETWEEN_ROLLOUT_FAULTS_S)
    return [one for one in scheduled if one.at < duration_s]


def draw_outage(
    rng: Random, topology: Topology, at: float, outage_s: float
) -> Iterator[ScheduledFault]:
    """Draw one outage of the store, and what overlaps it."""
    yield ScheduledFault(at, StoreFault(rng.choice(OUTAGE_MODES)), outage_s)
    if rng.random() < LAPSE_SHARE:
        lapse_at = at + rng.uniform(0.0, outage_s)
        yield ScheduledFault(lapse_at, StoreFault("lapse"), MIN_DURATION_S)
    for gateway in draw_gateways(rng, topology):
        kind = rng.choice((GatewayKill, GatewayKill, GatewayStop, GatewayPause))
        yield ScheduledFault(
            at + rng.uniform(0.0, outage_s), kind(gateway), MIN_DURATION_S
        )
    for _ in range(rng.randint(1, 3)):
        changed_at = at + rng.uniform(0.0, outage_s + MAX_CALM_S)
        yield ScheduledFault(changed_at, ChangeConfiguration(), 0.0)
    drain = DrainReplica(rng.randrange(topology.replicas))
    yield ScheduledFault(at + rng.uniform(0.0, outage_s), drain, 0.0)
    for _ in range(rng.randint(1, 4)):
        fault = ReplicaFault(rng.randrange(topology.replicas), rng.choice(NOTICE_MODES))
        started_at = at + rng.uniform(-MIN_CALM_S, outage_s)
        yield ScheduledFault(started_at, fault, rng.uniform(4.0, 12.0))
    yield ScheduledFault(at + rng.uniform(0.0, outage_s), OddEntry(rng.randrange(8)), 0)
    if rng.random() < EVACUATION_SHARE:
        evacuation = Evacuate(rng.randrange(topology.data_centres))
        yield ScheduledFault(at + outage_s, evacuation, MIN_DURATION_S)


def draw_total_restarts(
    seed: int, topology: Topology, duration_s: float
) -> Iterator[ScheduledFault]:
    """Draw moments at which all gateways crash, while callers stay connected."""
    rng = Random(f"{seed} total restarts")
    at = QUIET_START_S + rng.expovariate(1.0 / MEAN_BETWEEN_TOTAL_RESTARTS_S)
    while at < duration_s:
        for gateway in range(topology.gateways):
            yield ScheduledFault(at, GatewayKill(gateway), MIN_DURATION_S)
        at += MIN_CALM_S + rng.expovariate(1.0 / MEAN_BETWEEN_TOTAL_RESTARTS_S)


def make_restores(
    seed: int, topology: Topology, duration_s: float
) -> list[ScheduledFault]:
    """Draw the times at which the store comes back from an older copy.

    Before each, a replica drains and a data centre may be evacuated, at times that most
    copies are older than.

    >>> topology = Topology(6, 8, 3)
    >>> make_restores(1, topology, 20.0) == make_restores(1, topology, 20.0)
    True
    """
    rng = Random(f"{seed} restores")
    scheduled: list[ScheduledFault] = []
    at = QUIET_START_S + rng.uniform(MIN_CALM_S, MAX_CALM_S)
    while at < duration_s:
        fault = RestoreStore(rng.uniform(MIN_DURATION_S, MAX_COPY_AGE_S))
        away_s = rng.uniform(MIN_RESTORE_S, MAX_RESTORE_S)
        scheduled.append(ScheduledFault(at, fault, away_s))
        drain = DrainReplica(rng.randrange(topology.replicas))
        scheduled.append(ScheduledFault(at - rng.uniform(3.2, 5.0), drain, 0.0))
        if rng.random() < RESTORED_EVACUATION_SHARE:
            evacuation = Evacuate(rng.randrange(topology.data_centres))
            started_at = at - rng.uniform(5.2, 7.0)
            scheduled.append(ScheduledFault(started_at, evacuation, MAX_DURATION_S))
        at += away_s + rng.uniform(MIN_CALM_S, 2 * MAX_CALM_S)
    return scheduled


def draw_gateways(rng: Random, topology: Topology) -> list[int]:
    """Draw the gateways of one data centre, or any of them."""
    gateways = range(topology.gateways)
    if rng.random() < WHOLE_DATA_CENTRE_SHARE:
        return list(
            gateways[rng.randrange(topology.data_centres) :: topology.data_centres]
        )
    return rng.sample(gateways, rng.randint(0, topology.gateways))


FaultDraw = Callable[[Random, Topology], Fault]

# A kind that is listed n times is drawn n times as often.
FAULT_DRAWS: tuple[FaultDraw, ...] = (
    lambda rng, topology: GatewayStop(rng.randrange(topology.gateways)),
    lambda rng, topology: GatewayKill(rng.randrange(topology.gateways)),
    lambda rng, topology: GatewayPause(rng.randrange(topology.gateways)),
    lambda rng, topology: GatewayReload(
        rng.randrange(topology.gateways), rng.random() < 0.5
    ),
    lambda rng, topology: StoreLink(
        rng.randrange(topology.gateways), rng.choice(LINK_MODES)
    ),
    lambda rng, topology: StoreFault(rng.choice(STORE_MODES)),
    *[
        lambda rng, topology: ReplicaFault(
            rng.randrange(topology.replicas), rng.choice(REPLICA_MODES)
        )
    ]
    * 3,
    *[lambda rng, topology: DrainReplica(rng.randrange(topology.replicas))] * 2,
    lambda rng, topology: Evacuate(rng.randrange(topology.data_centres)),
    *[lambda _rng, _size: ChangeConfiguration()] * 2,
    lambda _rng, _size: Reshard(),
    lambda _rng, _size: CallersDisconnect(),
)
