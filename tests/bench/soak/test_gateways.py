"""Gateways of a soak that exit unexpectedly or take too much memory."""

from __future__ import annotations

from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
from twisted.internet.testing import MemoryReactorClock

from bench.processes import STILL_RUNNING, Child
from bench.soak.gateways import MEMORY_BYTES, Gateway, GatewayOptions
from bench.soak.history import History


class ScriptedChild(Child):
    """A child process whose exit the test scripts."""

    starts = 0
    code = STILL_RUNNING

    def start(self) -> None:
        self.starts += 1
        self.code = STILL_RUNNING

    @property
    def running(self) -> bool:
        return self.starts > 0 and self.code == STILL_RUNNING

    @property
    def exit_code(self) -> int:
        return self.code

    @property
    def pid(self) -> int:
        return 1


class Rig:
    """A gateway with a scripted process, and the reported violations."""

    def __init__(self, folder: Path) -> None:
        self.violations: list[tuple[str, str]] = []
        reactor = MemoryReactorClock()
        testbed: Any = SimpleNamespace(reactor=reactor, history=History(), store_port=1)
        options = GatewayOptions(
            folder, False, "", lambda *one: self.violations.append(one)
        )
        self.gateway = Gateway(testbed, options, 0, [[1, 2, 3, 4, 5, 6]])
        self.child = ScriptedChild("g-0", [], folder / "log", folder)
        self.gateway.child = self.child
        self.gateway.start()


class TestUnexpectedExit:
    def test_unexpected_exit_is_reported_and_restarted(self, tmp_path: Path) -> None:
        rig = Rig(tmp_path)
        rig.child.code = 1
        rig.gateway.restart_if_exited()
        rig.gateway.restart_if_exited()
        assert rig.violations == [("exit", "g-0 exited unexpectedly with code 1")]
        assert rig.child.starts == 2

    def test_exit_during_a_planned_stop_is_not_reported(self, tmp_path: Path) -> None:
        rig = Rig(tmp_path)
        rig.gateway.in_transition = True
        rig.child.code = 0
        rig.gateway.restart_if_exited()
        assert rig.violations == []
        assert rig.child.starts == 1


class TestMemory:
    @pytest.mark.parametrize(("excess", "reported"), [(0, []), (1, ["memory"])])
    def test_more_than_the_memory_of_a_vm_is_reported(
        self,
        tmp_path: Path,
        monkeypatch: pytest.MonkeyPatch,
        excess: int,
        reported: list[str],
    ) -> None:
        rig = Rig(tmp_path)
        held = MEMORY_BYTES + excess
        monkeypatch.setattr("bench.soak.gateways.resident_bytes", lambda _pid: held)
        rig.gateway.check_memory()
        assert [name for name, _ in rig.violations] == reported
