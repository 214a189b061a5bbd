"""Gateway process: settings, readiness, signals and failures at the start."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest
from returns.result import Failure, Result, Success
from structlog.testing import capture_logs

from sardinehook.gateway.metrics import GatewayMetrics
from sardinehook.gateway.process import Dialects, GatewayProcess, SettingsSource
from sardinehook.gateway.settings import Bounds, GatewaySettings
from sardinehook.platform.callers import PlatformCallers
from sardinehook.platform.discovery import PlatformKeys
from sardinehook.platform.replicas import PlatformReplicas
from sardinehook.platform.settings import SETTINGS_VARIABLE
from tests.gateway.fake_transport import RecordingReactor
from tests.gateway.test_follower import ScriptedStore

SETTINGS = GatewaySettings(
    "g-1",
    "here",
    "127.0.0.1:1",
    "127.0.0.1:2",
    "127.0.0.1:3",
    "",
    "127.0.0.1:4",
    (),
)


class ProcessRig:
    """A gateway on a simulated clock, with settings that tests replace."""

    def __init__(self) -> None:
        self.reactor = RecordingReactor()
        self.settings_result: Result[GatewaySettings, str] = Success(SETTINGS)
        self.modified_at = 1.0
        self.process = GatewayProcess(
            self.reactor,
            SETTINGS,
            Dialects(PlatformCallers(), PlatformReplicas(), PlatformKeys()),
            lambda _metrics: ScriptedStore(),
            GatewayMetrics(),
            SettingsSource(lambda: self.settings_result, lambda: self.modified_at),
        )


class TestSettings:
    def test_changed_file_puts_new_bounds_in_force(self) -> None:
        rig = ProcessRig()
        rig.settings_result = Success(SETTINGS._replace(bounds=Bounds(drain_s=9.0)))
        rig.process.watch_settings()
        assert rig.process.directory.drain_s == 3.0
        rig.modified_at = 2.0
        rig.process.watch_settings()
        assert rig.process.directory.drain_s == 9.0

    def test_malformed_settings_are_ignored_on_reload(self) -> None:
        rig = ProcessRig()
        rig.settings_result = Failure("invalid settings")
        rig.process.reload()
        assert rig.process.settings == SETTINGS


class TestReadiness:
    def test_gateway_without_configuration_is_not_ready(self) -> None:
        assert ProcessRig().process.unready_reason() == "no configuration yet"

    def test_reason_with_changing_figures_is_logged_once(self) -> None:
        rig = ProcessRig()
        reasons = iter(["cut off from b: 3 of 4", "cut off from b: 5 of 6"])
        rig.process.find_unready_reason = lambda: next(reasons)  # type: ignore[method-assign]
        with capture_logs() as lines:
            rig.process.unready_reason()
            rig.process.unready_reason()
        assert len([line for line in lines if line["event"] == "readiness"]) == 1


SETTINGS_FILE = """
Node = "g-1"
Ip = "127.0.0.1"
Zone = "here"
InternalPorts = []
[Listen]
Front = "127.0.0.1:0"
Ready = "127.0.0.1:0"
[platform]
Addr = "127.0.0.1:1"
"""


class RunningGateway:
    """A gateway in a separate process."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "boot.toml"
        self.path.write_text(SETTINGS_FILE)
        self.process = subprocess.Popen(
            [sys.executable, "-m", "sardinehook.gateway"],
            env={**os.environ, SETTINGS_VARIABLE: str(self.path)},
            stdout=subprocess.PIPE,
            text=True,
        )

    def wait_for(self, event: str) -> str:
        """Return the first log line of an event; fail if the process ends before."""
        assert self.process.stdout is not None
        for line in self.process.stdout:
            if f"event={event}" in line:
                return line
        pytest.fail(f"the process ended without {event}")


def wait_until_ignored(pid: int, number: signal.Signals) -> None:
    """Wait until a process ignores a signal, as a gateway does early on."""
    give_up_at = time.monotonic() + 10.0
    status = Path(f"/proc/{pid}/status")
    while time.monotonic() < give_up_at:
        lines = status.read_text().splitlines()
        (ignored,) = (line.split()[1] for line in lines if line.startswith("SigIgn"))
        if int(ignored, 16) >> (number - 1) & 1:
            return
        time.sleep(0.001)
    pytest.fail(f"the process never ignored {number.name}")


class TestSignals:
    """SIGHUP at any time must not end the process, SIGTERM must stop it gracefully."""

    def test_sighup_reloads_and_sigterm_stops_gracefully(self, tmp_path: Path) -> None:
        gateway = RunningGateway(tmp_path)
        try:
            gateway.wait_for("process_started")
            gateway.process.send_signal(signal.SIGHUP)
            assert "state=unchanged" in gateway.wait_for("settings_reloaded")
            began = time.monotonic()
            gateway.process.send_signal(signal.SIGTERM)
            gateway.wait_for("process_stopped")
            assert gateway.process.wait(10) == 0
            assert time.monotonic() - began < Bounds().grace_s
        finally:
            gateway.process.kill()
            gateway.process.wait()

    def test_sighup_during_the_start_is_ignored(self, tmp_path: Path) -> None:
        gateway = RunningGateway(tmp_path)
        try:
            wait_until_ignored(gateway.process.pid, signal.SIGHUP)
            gateway.process.send_signal(signal.SIGHUP)
            gateway.wait_for("process_started")
            assert gateway.process.poll() is None
        finally:
            gateway.process.kill()
            gateway.process.wait()

    def test_address_in_use_fails_the_start(self, tmp_path: Path) -> None:
        with socket.socket() as other:
            other.bind(("127.0.0.1", 0))
            other.listen()
            front = f"127.0.0.1:{other.getsockname()[1]}"
            path = tmp_path / "boot.toml"
            text = SETTINGS_FILE.replace('"127.0.0.1:0"', f'"{front}"', 1)
            path.write_text(text)
            ended = subprocess.run(
                [sys.executable, "-m", "sardinehook.gateway"],
                env={**os.environ, SETTINGS_VARIABLE: str(path)},
                capture_output=True,
                text=True,
                timeout=30,
            )
        assert ended.returncode == 1
        (line,) = ended.stdout.splitlines()
        assert "process_failed" in line
        assert front.rpartition(":")[2] in line

    def test_malformed_settings_fail_the_start_with_one_line(
        self, tmp_path: Path
    ) -> None:
        path = tmp_path / "boot.toml"
        path.write_text("Node = 1")
        ended = subprocess.run(
            [sys.executable, "-m", "sardinehook.gateway"],
            env={**os.environ, SETTINGS_VARIABLE: str(path)},
            capture_output=True,
            text=True,
            timeout=30,
        )
        assert ended.returncode == 2
        assert ended.stderr.count("\n") == 1
