"""Writes log lines without ever blocking, at a bounded rate."""

from __future__ import annotations

import os
from collections.abc import Callable

__all__ = ["RateLimitedStream"]

MAX_LINES_PER_S = 100.0  # ten times what the heaviest day needs of one gateway
BURST_LINES = 400.0  # a start tells of all replicas and gateways
MAX_LINE_BYTES = 4000  # a pipe takes up to 4,096 bytes whole or not at all


class RateLimitedStream:
    """A stream for log lines over a file descriptor.

    Lines beyond the rate and those that a full pipe does not take are left out and
    counted; the next line that is written says how many. ``on_drop`` is called for
    each. Lines are cut at ``MAX_LINE_BYTES``.
    """

    def __init__(
        self,
        descriptor: int,
        seconds: Callable[[], float],
        on_drop: Callable[[], None],
    ) -> None:
        self.descriptor = descriptor
        self.seconds = seconds
        self.on_drop = on_drop
        self.left = BURST_LINES
        self.refilled_at = seconds()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write one line, or count it as left out."""
        if not self.take_turn():
            self.drop()
            return len(text)
        line = text.rstrip("\n")
        if self.dropped:
            line = f"{line} lines_dropped={self.dropped}"
        try:
            os.write(self.descriptor, line.encode()[:MAX_LINE_BYTES] + b"\n")
            self.dropped = 0
        except OSError:
            self.drop()
        return len(text)

    def flush(self) -> None:
        """Do nothing: each line has been written."""

    def take_turn(self) -> bool:
        """Take one line from the rate, if there is one left."""
        now = self.seconds()
        refill = (now - self.refilled_at) * MAX_LINES_PER_S
        self.left = min(BURST_LINES, self.left + refill)
        self.refilled_at = now
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True

    def drop(self) -> None:
        """Count a line that is left out."""
        self.dropped += 1
        self.on_drop()
