"""Classification of a target's replies."""

from __future__ import annotations

from typing import NamedTuple

from sardinehook.messages import ANY_VERSION, Outcome, SubQuery
from sardinehook.target.codec import TargetReply

__all__ = ["Result", "classify_reply"]


class Result(NamedTuple):
    """An outcome and whether the target can have begun the work."""

    outcome: Outcome
    began: bool


def classify_reply(sub_query: SubQuery, reply: TargetReply, in_time: bool) -> Result:
    """Return the result of a reply whose ids have been checked.

    ``in_time`` tells whether it came by the deadline. An answer from a snapshot other
    than the requested one is ``WRONG_VERSION``.

    >>> from sardinehook.target.codec import ReplyHead
    >>> query = SubQuery(1, "r", "s", "s-a", 7, 0, 100.0, 5, "", b"")
    >>> reply = TargetReply(200, ReplyHead(index_version=8), b"")
    >>> classify_reply(query, reply, in_time=True).outcome
    <Outcome.WRONG_VERSION: 4>
    """
    match reply.status:
        case 200 if not in_time:
            return Result(Outcome.LATE, True)
        case 200 if matches_snapshot(sub_query, reply):
            return Result(Outcome.ANSWERED, True)
        case 200:
            return Result(Outcome.WRONG_VERSION, True)
        case 412:
            return Result(Outcome.WRONG_VERSION, False)
        case 503 if reply.head.not_run:
            return Result(Outcome.SHED, False)
        case 504:
            return Result(Outcome.LATE, True)
        case _:
            return Result(Outcome.FAILED, True)


def matches_snapshot(wanted: SubQuery, reply: TargetReply) -> bool:
    """Tell whether a reply has the requested index version and partitioning."""
    head = reply.head
    if wanted.index_version not in (ANY_VERSION, head.index_version):
        return False
    return wanted.partitioning in (ANY_VERSION, head.partitioning)
