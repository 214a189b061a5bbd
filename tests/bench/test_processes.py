"""Child processes of the bench."""

from __future__ import annotations

import signal
import subprocess
import sys

import pytest

from bench.processes import handles_signal

READY = "import sys, time; print('ready', flush=True); time.sleep(60)"
IGNORING = f"import signal; signal.signal(signal.SIGHUP, signal.SIG_IGN); {READY}"
CATCHING = f"import signal; signal.signal(signal.SIGHUP, print); {READY}"


class TestHandlesSignal:
    """Guards against a soak that ends a starting process by its own signal."""

    @pytest.mark.parametrize(
        ("code", "handles"), [(READY, False), (IGNORING, True), (CATCHING, True)]
    )
    def test_tells_whether_the_signal_would_end_the_process(
        self, code: str, handles: bool
    ) -> None:
        command = [sys.executable, "-c", code]
        with subprocess.Popen(command, stdout=subprocess.PIPE) as child:
            try:
                assert child.stdout is not None
                assert child.stdout.readline() == b"ready\n"
                assert handles_signal(child.pid, signal.SIGHUP) is handles
            finally:
                child.kill()
        assert not handles_signal(child.pid, signal.SIGHUP)
