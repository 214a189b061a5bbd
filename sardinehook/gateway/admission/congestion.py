"""Tells by the load reports of replicas whether queues held a request up."""

from __future__ import annotations

from collections.abc import Iterable
from typing import assert_never

from sardinehook.gateway.gather import Gather
from sardinehook.gateway.replica import Replica
from sardinehook.gateway.shard_request import ShardRequest
from sardinehook.gateway.single import SingleCall

__all__ = ["queued_s", "was_held_up"]

HELD_UP_RATIO = 0.25  # of the objective in queues: as long as a request may wait here
USUAL_WORK = 1.0


def was_held_up(
    work: Gather | SingleCall, started_at: float, service_s: float
) -> bool | None:
    """Return whether queues at its services held a request up, ``None`` if unknown.

    ``service_s`` is the usual time of one request to these services. A search is held
    up by the queues that it cannot avoid by leaving shards out: those of the shard that
    is the last one needed for its coverage, if shards are ordered by their queues.
    """
    limit_s = HELD_UP_RATIO * work.route.objective_s
    match work:
        case Gather():
            waits = [shard_wait_s(one, started_at, service_s) for one in work.shards]
            spare = len(work.shards) - work.required
        case SingleCall():
            waits = [call_wait_s(work, started_at, service_s)]
            spare = 0
        case _:
            assert_never(work)
    known = sorted(wait_s for wait_s in waits if wait_s is not None)
    if len(known) <= spare:
        return None
    return known[-1 - spare] > limit_s


def shard_wait_s(
    shard: ShardRequest, started_at: float, service_s: float
) -> float | None:
    """Return the queueing that one shard reported, infinite if it refused."""
    if shard.refusals and not shard.answered:
        return float("inf")
    return queued_s(shard.tried, started_at, service_s)


def call_wait_s(call: SingleCall, started_at: float, service_s: float) -> float | None:
    """Return the queueing that a replica reported, infinite if all refused."""
    if call.refusals and not call.may_have_run:
        return float("inf")
    return queued_s(call.tried, started_at, service_s)


def queued_s(
    replicas: Iterable[Replica], since: float, service_s: float
) -> float | None:
    """Return the least queueing time by the reports of some replicas.

    Reports before ``since`` are disregarded; ``None`` if there is no later one. The
    time is the number of requests waiting for each slot, times that of one request on
    the machine as it states it.
    """
    times = []
    for replica in replicas:
        load = replica.load
        if load is None or replica.load_at < since:
            continue
        work_ratio = USUAL_WORK if load.work_ratio is None else load.work_ratio
        times.append(load.waiting / max(1, load.slots) * service_s * work_ratio)
    return min(times, default=None)
