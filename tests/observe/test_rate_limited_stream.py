"""Log lines never block the loop and never exceed their rate."""

from __future__ import annotations

import os

from sardinehook.observe.rate_limited_stream import (
    BURST_LINES,
    MAX_LINES_PER_S,
    RateLimitedStream,
)


class OutputRig:
    """A bounded output into a pipe, with a clock."""

    def __init__(self) -> None:
        self.now = 0.0
        self.drops = 0
        self.reading, self.writing = os.pipe()
        os.set_blocking(self.reading, False)
        self.output = RateLimitedStream(self.writing, lambda: self.now, self.note_drop)

    def note_drop(self) -> None:
        """Count a line that was left out."""
        self.drops += 1

    def read(self) -> list[str]:
        """Return the lines in the pipe."""
        try:
            return os.read(self.reading, 1 << 20).decode().splitlines()
        except BlockingIOError:
            return []


class TestRate:
    def test_lines_beyond_the_rate_are_counted_and_told(self) -> None:
        rig = OutputRig()
        for _ in range(int(BURST_LINES) + 50):
            rig.output.write("event=a\n")
        assert len(rig.read()) == int(BURST_LINES)
        assert rig.drops == 50
        rig.now += 1.0
        rig.output.write("event=b\n")
        assert rig.read() == ["event=b lines_dropped=50"]

    def test_the_ceiling_holds_over_any_time(self) -> None:
        rig = OutputRig()
        written = 0
        for _ in range(50):
            rig.now += 0.1
            for _ in range(100):
                rig.output.write("event=a\n")
            written += len(rig.read())
        assert written <= BURST_LINES + 5.0 * MAX_LINES_PER_S + 1


class TestFullPipe:
    def test_a_pipe_that_nobody_reads_does_not_block(self) -> None:
        rig = OutputRig()
        for _ in range(300):
            rig.now += 1.0
            rig.output.write("x" * 3000 + "\n")
        assert rig.drops > 0
        rig.read()
        rig.output.write("event=b\n")
        assert rig.read()[-1] == f"event=b lines_dropped={rig.drops}"

    def test_a_line_is_cut_so_that_it_is_written_whole(self) -> None:
        rig = OutputRig()
        rig.output.write("y" * 9000)
        (line,) = rig.read()
        assert len(line) < 4096
