"""Which shards a search asks, given how long each one's reply is expected to take."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from sardinehook.errors import ErrorKind, Problem
from sardinehook.gateway.replica_selection import SelectedReplica

__all__ = ["Ask", "FanOut", "Refuse", "plan_fan_out"]

SPARE_SHARDS = 1  # doubtful shards asked beyond what the least coverage needs


@dataclass(frozen=True, slots=True)
class Ask:
    """Ask the shards at these places."""

    places: frozenset[int]


@dataclass(frozen=True, slots=True)
class Refuse:
    """Ask none: the search can't be served, or not in time, for these shards."""

    problem: Problem
    places: tuple[int, ...]


FanOut = Ask | Refuse


def plan_fan_out(
    choices: Sequence[SelectedReplica | None], least_shards: int, left_s: float
) -> FanOut:
    """Decide which shards to ask with ``left_s`` left until the objective.

    Shards that are likely to reply in time are asked, and so are those that are
    slow but idle. Of the others no more are asked than the least coverage needs, and
    one to spare, the most promising first: their replicas then serve some searches
    rather than none. Where queues would make the search late it is refused, since it
    and those behind it would miss their objective; where replicas are slow by
    themselves it is begun, since coming back later would not help.
    """
    offered = [place for place, choice in enumerate(choices) if choice is not None]
    if len(offered) < least_shards:
        missing = tuple(p for p, choice in enumerate(choices) if choice is None)
        detail = f"{len(missing)} of {len(choices)} shards have no replica to ask"
        return Refuse(Problem(ErrorKind.TARGET_UNAVAILABLE, detail), missing)
    found = {place: choice for place, choice in enumerate(choices) if choice}
    prompt = [place for place in offered if found[place].expected_s <= left_s]
    doubtful = [place for place in offered if found[place].expected_s > left_s]
    idle = [p for p in doubtful if found[p].expected_s <= found[p].unloaded_s]
    doubtful.sort(key=lambda place: found[place].expected_s)
    needed = least_shards - len(prompt)
    if needed <= 0:
        return Ask(frozenset(prompt + idle))
    decisive = found[doubtful[needed - 1]]
    if decisive.unloaded_s <= left_s:
        detail = f"the queues of {len(doubtful)} shards are too long"
        return Refuse(Problem(ErrorKind.OVERLOADED, detail), tuple(doubtful))
    return Ask(frozenset(prompt + idle + doubtful[: needed + SPARE_SHARDS]))
