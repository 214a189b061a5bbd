"""Child processes of a rig: started, awaited and ended by their own id."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from collections.abc import Sequence
from pathlib import Path

__all__ = ["Child", "StartError"]

READY_TIMEOUT_S = 30.0
END_TIMEOUT_S = 20.0
POLL_S = 0.02
STILL_RUNNING = -1000


class StartError(RuntimeError):
    """A process of the rig did not start; its last output is the detail."""


class Child:
    """One process of the rig, with its output in a file."""

    def __init__(
        self, name: str, arguments: Sequence[str], log: Path, directory: Path
    ) -> None:
        self.name = name
        self.arguments = list(arguments)
        self.log = log
        self.directory = directory
        self.environment: dict[str, str] = {}
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """The id of the running process."""
        assert self.process is not None
        return self.process.pid

    def start(self) -> None:
        """Start the process; its output is appended to its log."""
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                [sys.executable, *self.arguments],
                stdout=output,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
                cwd=self.directory,
                env={
                    **os.environ,
                    "PYTHONPATH": str(self.directory),
                    **self.environment,
                },
            )

    def wait_for_line(self, prefix: str) -> str:
        """Wait until a line of the log starts with ``prefix`` and return the line."""
        give_up_at = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < give_up_at:
            for line in self.log.read_text(errors="replace").splitlines():
                if line.startswith(prefix):
                    return line
            if not self.running:
                break
            time.sleep(POLL_S)
        tail = self.log.read_text(errors="replace")[-2000:]
        raise StartError(f"{self.name} did not start: {tail}")

    @property
    def running(self) -> bool:
        """Whether the process is running."""
        return self.process is not None and self.process.poll() is None

    @property
    def exit_code(self) -> int:
        """The exit code, negative for a signal and for a process that runs on."""
        code = None if self.process is None else self.process.poll()
        return STILL_RUNNING if code is None else code

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.running:
            assert self.process is not None
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process without warning."""
        self.signal(signal.SIGKILL)
        self.wait()

    def pause(self) -> None:
        """Stop the process from running until ``resume``."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a paused process run on."""
        self.signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask the process to stop gracefully; ``wait`` for its end."""
        self.signal(signal.SIGTERM)

    def wait(self, timeout_s: float = END_TIMEOUT_S) -> int:
        """Wait for the end of the process; kill it after ``timeout_s`` seconds."""
        assert self.process is not None
        try:
            return self.process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.process.kill()
            return self.process.wait()
