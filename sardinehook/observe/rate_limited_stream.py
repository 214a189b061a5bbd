"""Non-blocking, rate-limited output stream for log lines."""

from __future__ import annotations

import os
from collections.abc import Callable

__all__ = ["RateLimitedStream"]

MAX_LINES_PER_S = 100.0  # ten times the need of one gateway on its busiest day
BURST_LINES = 400.0  # start-up logs all replicas and gateways
MAX_LINE_BYTES = 4000  # pipe writes are atomic up to 4,096 bytes


class RateLimitedStream:
    """Writes log lines to a file descriptor without blocking.

    A token bucket limits the rate. Lines above the rate and lines that a full pipe
    does not accept are dropped and counted; the next line written carries the count
    as ``lines_dropped``. ``on_drop`` is called for each dropped line. Lines are
    truncated to ``MAX_LINE_BYTES``.
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
        self.tokens = BURST_LINES
        self.refilled_at = seconds()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write one line, or drop and count it; return the length of ``text``."""
        if not self.try_take_token():
            self.count_drop()
            return len(text)
        line = text.rstrip("\n")
        if self.dropped:
            line = f"{line} lines_dropped={self.dropped}"
        try:
            os.write(self.descriptor, line.encode()[:MAX_LINE_BYTES] + b"\n")
            self.dropped = 0
        except OSError:
            self.count_drop()
        return len(text)

    def flush(self) -> None:
        """Do nothing: lines are not buffered."""

    def try_take_token(self) -> bool:
        """Take the token for one line; return False if the bucket is empty."""
        now = self.seconds()
        refill = (now - self.refilled_at) * MAX_LINES_PER_S
        self.tokens = min(BURST_LINES, self.tokens + refill)
        self.refilled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def count_drop(self) -> None:
        """Count a dropped line and report it to ``on_drop``."""
        self.dropped += 1
        self.on_drop()
