"""Chooses the shards that a search queries, from their expected latencies."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from sardinehook.errors import ErrorKind, Problem
from sardinehook.gateway.replica_selection import SelectedReplica

__all__ = ["SPARE_SHARDS", "Ask", "FanOutPlan", "Refuse", "plan_fan_out"]

SPARE_SHARDS = 1  # doubtful or limited shards queried beyond the least coverage


@dataclass(frozen=True, slots=True)
class Ask:
    """Query the shards at these positions."""

    positions: frozenset[int]


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the search because of the shards at these positions."""

    problem: Problem
    positions: tuple[int, ...]


FanOutPlan = Ask | Refuse


def plan_fan_out(
    choices: Sequence[SelectedReplica | None], least_shards: int, left_s: float
) -> FanOutPlan:
    """Decide which shards to query with ``left_s`` left until the objective.

    Shards that are likely to reply in time are queried, and so are those that are
    slow but idle. Of the rest, only as many are queried as the least coverage needs,
    plus one spare, fastest first: their replicas then serve some searches in time
    rather than none. If queues would make the search late it is refused, since it
    and the searches behind it would miss their objective. If replicas are slow even
    without a queue it is started, since a later retry would not help.
    """
    available = [
        position for position, choice in enumerate(choices) if choice is not None
    ]
    if len(available) < least_shards:
        missing = tuple(p for p, choice in enumerate(choices) if choice is None)
        detail = f"{len(missing)} of {len(choices)} shards have no replica to ask"
        return Refuse(Problem(ErrorKind.TARGET_UNAVAILABLE, detail), missing)
    by_position = {
        position: choice for position, choice in enumerate(choices) if choice
    }
    in_time = [
        position for position in available if by_position[position].expected_s <= left_s
    ]
    doubtful = [
        position for position in available if by_position[position].expected_s > left_s
    ]
    idle = [
        p for p in doubtful if by_position[p].expected_s <= by_position[p].unloaded_s
    ]
    doubtful.sort(key=lambda position: by_position[position].expected_s)
    needed = least_shards - len(in_time)
    if needed <= 0:
        return Ask(frozenset(in_time + idle))
    decisive = by_position[doubtful[needed - 1]]
    if decisive.unloaded_s <= left_s:
        detail = f"the queues of {len(doubtful)} shards are too long"
        return Refuse(Problem(ErrorKind.OVERLOADED, detail), tuple(doubtful))
    return Ask(frozenset(in_time + idle + doubtful[: needed + SPARE_SHARDS]))
