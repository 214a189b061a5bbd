"""Tests that log output never blocks the event loop and keeps its rate limit."""

from __future__ import annotations

import os

from sardinehook.observe.rate_limited_stream import (
    BURST_LINES,
    MAX_LINES_PER_S,
    RateLimitedStream,
)


class StreamRig:
    """A rate-limited stream that writes to a pipe, with a fake clock."""

    def __init__(self) -> None:
        self.now = 0.0
        self.drops = 0
        self.reading, self.writing = os.pipe()
        os.set_blocking(self.reading, False)
        self.stream = RateLimitedStream(self.writing, lambda: self.now, self.count_drop)

    def count_drop(self) -> None:
        """Count a dropped line."""
        self.drops += 1

    def read(self) -> list[str]:
        """Return the lines in the pipe."""
        try:
            return os.read(self.reading, 1 << 20).decode().splitlines()
        except BlockingIOError:
            return []


class TestRate:
    def test_next_line_carries_count_of_lines_dropped_above_rate(self) -> None:
        rig = StreamRig()
        for _ in range(int(BURST_LINES) + 50):
            rig.stream.write("event=a\n")
        assert len(rig.read()) == int(BURST_LINES)
        assert rig.drops == 50
        rig.now += 1.0
        rig.stream.write("event=b\n")
        assert rig.read() == ["event=b lines_dropped=50"]

    def test_rate_limit_holds_over_time(self) -> None:
        rig = StreamRig()
        written = 0
        for _ in range(50):
            rig.now += 0.1
            for _ in range(100):
                rig.stream.write("event=a\n")
            written += len(rig.read())
        assert written <= BURST_LINES + 5.0 * MAX_LINES_PER_S + 1


class TestFullPipe:
    def test_full_pipe_does_not_block(self) -> None:
        rig = StreamRig()
        for _ in range(300):
            rig.now += 1.0
            rig.stream.write("x" * 3000 + "\n")
        assert rig.drops > 0
        rig.read()
        rig.stream.write("event=b\n")
        assert rig.read()[-1] == f"event=b lines_dropped={rig.drops}"

    def test_long_line_is_truncated_to_atomic_write_size(self) -> None:
        rig = StreamRig()
        rig.stream.write("y" * 9000)
        (line,) = rig.read()
        assert len(line) < 4096
