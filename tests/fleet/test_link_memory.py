"""Memory of the messages that wait on a link."""

from __future__ import annotations

from typing import Any, cast

from twisted.internet.task import Clock

from sardinehook.fleet.connection import (
    MESSAGE_OVERHEAD_BYTES,
    UNSENT_LIMIT_BYTES,
    Link,
)
from sardinehook.fleet.wire import Pong, encode_message


class Host:
    """What a link needs to queue messages."""

    def __init__(self) -> None:
        self.reactor = Clock()


class TestQueue:
    def test_small_messages_count_with_their_overhead(self) -> None:
        """Guards against queues that hold far more memory than their limit."""
        link = Link(cast(Any, Host()))
        queued = 0
        while link.enqueue(encode_message(Pong())) and queued < UNSENT_LIMIT_BYTES:
            queued += 1
        assert queued <= UNSENT_LIMIT_BYTES // MESSAGE_OVERHEAD_BYTES
