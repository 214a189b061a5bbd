"""A submitted sub-query and the state of its execution."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from sardinehook.messages import Outcome, SubQuery, SubReply
from sardinehook.target.codec import TargetReply
from sardinehook.target.outcome import Result

__all__ = ["Task", "TaskKey"]


class TaskKey(NamedTuple):
    """Identifies a task within the owner: the sender and its id for the sub-query."""

    sender: str
    sub_query_id: int


@dataclass(slots=True, eq=False)
class Task:
    """A submitted sub-query; times are in seconds of the reactor's clock.

    ``active_since`` excludes connections that were not used since then.
    ``may_have_begun`` is set when the sub-query is sent. ``retries`` counts how often
    it was queued again. ``completed`` is set once the reply was given.
    """

    key: TaskKey
    sub_query: SubQuery
    reply: Callable[[SubReply], None]
    received_at: float
    deadline_at: float
    sent_at: float = 0.0
    active_since: float = 0.0
    may_have_begun: bool = False
    retries: int = 0
    completed: bool = False

    def complete(
        self, result: Result, detail: str, reply: TargetReply | None, now: float
    ) -> None:
        """Give the sub-query its only reply."""
        self.completed = True
        sent_at = self.sent_at or now
        answered = reply is not None and result.outcome is Outcome.ANSWERED
        self.reply(
            SubReply(
                self.sub_query.sub_query_id,
                result.outcome,
                reply.head.index_version if reply else 0,
                reply.head.partitioning if reply else 0,
                (sent_at - self.received_at) * 1000.0,
                (now - sent_at) * 1000.0,
                result.began,
                detail or ("" if answered or not reply else f"status {reply.status}"),
                reply.body if reply and answered else b"",
            )
        )
