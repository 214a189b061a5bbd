"""Child processes: start, wait for readiness, signal and stop."""

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
    """A process did not become ready; the message ends with its last output."""


class Child:
    """A child Python process that appends its output to a log file."""

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
        """The process id; the process must have been started."""
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
        """Wait for a log line that starts with ``prefix`` and return it.

        Raises ``StartError`` if the process exits first or the wait times out.
        """
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            for line in self.log.read_text(errors="replace").splitlines():
                if line.startswith(prefix):
                    return line
            if not self.running:
                break
            time.sleep(POLL_S)
        tail = self.log.read_text(errors="replace")[-2000:]
        raise StartError(f"{self.name} did not log {prefix!r}: {tail}")

    @property
    def running(self) -> bool:
        """Whether the process is running."""
        return self.process is not None and self.process.poll() is None

    @property
    def exit_code(self) -> int:
        """The exit code; a negative signal number, or ``STILL_RUNNING``."""
        code = None if self.process is None else self.process.poll()
        return STILL_RUNNING if code is None else code

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.running:
            assert self.process is not None
            self.process.send_signal(number)

    def handles(self, number: int) -> bool:
        """Return whether the process runs and ignores or catches a signal."""
        return self.running and handles_signal(self.pid, number)

    def kill(self) -> None:
        """Send SIGKILL and wait for the exit."""
        self.signal(signal.SIGKILL)
        self.wait()

    def pause(self) -> None:
        """Suspend the process with SIGSTOP until ``resume``."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a suspended process with SIGCONT."""
        self.signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Send SIGTERM for a graceful stop; does not wait for the exit."""
        self.signal(signal.SIGTERM)

    def wait(self, timeout_s: float = END_TIMEOUT_S) -> int:
        """Wait for the exit and return its code; kill it after ``timeout_s``."""
        assert self.process is not None
        try:
            return self.process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.process.kill()
            return self.process.wait()


def handles_signal(pid: int, number: int) -> bool:
    """Return whether a process ignores or catches a signal, by the kernel's masks."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return False
    masks = [
        int(value, 16)
        for name, _, value in (line.partition(":") for line in status.splitlines())
        if name in ("SigIgn", "SigCgt")
    ]
    return any(mask >> (number - 1) & 1 for mask in masks)
