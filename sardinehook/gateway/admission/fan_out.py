"""Chooses the shards that a search queries, where the deployment adapts to load."""

from __future__ import annotations

from collections.abc import Sequence

from sardinehook.errors import ErrorKind, Problem
from sardinehook.gateway.fan_out import SPARE_SHARDS, Ask, FanOutPlan, Refuse
from sardinehook.gateway.replica_selection import SelectedReplica

__all__ = ["plan_under_load"]

WORTH_ASKING_RATIO = 1.5  # of the time left: estimates are often too high by a half


def plan_under_load(
    choices: Sequence[SelectedReplica | None], least_shards: int, left_s: float
) -> FanOutPlan:
    """Decide which shards to query with ``left_s`` left until the objective.

    Shards that are likely to reply in time are queried, and so are idle ones that may
    still do. If that is enough for the coverage and a spare shard, the others are left
    out: their replies would come after the answer, and their requests would take slots
    and the budget of hedges. If it is not enough, and would be without queues, the
    search is refused before it takes a slot. If replicas are slow without queues it is
    started with the fastest, since a later retry would not help.
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
    worth_asking = {p for p in doubtful if is_worth_asking(found[p], left_s)}
    asked = in_time | worth_asking
    others = [p for p in doubtful if p not in worth_asking]
    lacking = max(0, least_shards + SPARE_SHARDS - len(asked))
    return Ask(frozenset(asked.union(others[:lacking])))


def is_worth_asking(choice: SelectedReplica, left_s: float) -> bool:
    """Return whether a doubtful replica has no queue and may still reply in time."""
    is_idle = choice.expected_s <= choice.unloaded_s
    return is_idle and choice.expected_s <= WORTH_ASKING_RATIO * left_s
