"""Chooses the shards that a search queries, where the deployment adapts to load."""

from __future__ import annotations

from collections.abc import Sequence

from sardinehook.errors import ErrorKind, Problem
from sardinehook.gateway.fan_out import SPARE_SHARDS, Ask, FanOutPlan, Refuse
from sardinehook.gateway.replica_selection import SelectedReplica

__all__ = ["plan_under_load"]


def plan_under_load(
    choices: Sequence[SelectedReplica | None], least_shards: int, left_s: float
) -> FanOutPlan:
    """Decide which shards to query with ``left_s`` left until the objective.

    Shards that are likely to reply in time are queried, and so are slow ones without a
    queue: estimates are often too high, and the answer does not wait for them. If that
    is enough for the coverage and a spare shard, the others are left out: their
    requests would expire in queues. If it is not enough, and would be without queues,
    the search is refused before it takes a slot. If replicas are slow without queues it
    is started with the fastest, since a later retry would not help.
    """
    found = {position: one for position, one in enumerate(choices) if one is not None}
    if len(found) < least_shards:
        missing = tuple(p for p, choice in enumerate(choices) if choice is None)
        detail = f"{len(missing)} of {len(choices)} shards have no replica to ask"
        return Refuse(Problem(ErrorKind.TARGET_UNAVAILABLE, detail), missing)
    in_time = {p for p, choice in found.items() if choice.expected_s <= left_s}
    doubtful = sorted(found.keys() - in_time, key=lambda p: found[p].expected_s)
    if len(in_time) < least_shards:
        without_queues = sum(choice.unloaded_s <= left_s for choice in found.values())
        if without_queues >= least_shards:
            detail = f"the queues of {len(doubtful)} shards are too long"
            return Refuse(Problem(ErrorKind.OVERLOADED, detail), tuple(doubtful))
    idle = {p for p in doubtful if found[p].expected_s <= found[p].unloaded_s}
    asked = in_time | idle
    others = [p for p in doubtful if p not in idle]
    lacking = max(0, least_shards + SPARE_SHARDS - len(asked))
    return Ask(frozenset(asked.union(others[:lacking])))
