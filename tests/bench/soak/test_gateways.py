"""Gateways of a soak that end when nobody told them to."""

from __future__ import annotations

from pathlib import Path
from types import SimpleNamespace
from typing import Any

from twisted.internet.testing import MemoryReactorClock

from bench.processes import STILL_RUNNING, Child
from bench.soak.gateways import Gateway, GatewayOptions
from bench.soak.history import History


class ScriptedChild(Child):
    """A process that ends when the test says so."""

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


class Rig:
    """A gateway around a scripted process, and the promises found broken."""

    def __init__(self, folder: Path) -> None:
        self.found: list[tuple[str, str]] = []
        reactor = MemoryReactorClock()
        testbed: Any = SimpleNamespace(reactor=reactor, history=History(), store_port=1)
        kind = GatewayOptions(folder, False, "", lambda *one: self.found.append(one))
        self.gateway = Gateway(testbed, kind, 0, [[1, 2, 3, 4, 5]])
        self.child = ScriptedChild("g-0", [], folder / "log", folder)
        self.gateway.child = self.child
        self.gateway.start()


class TestEnds:
    def test_a_process_that_ends_by_itself_breaks_a_promise(
        self, tmp_path: Path
    ) -> None:
        rig = Rig(tmp_path)
        rig.child.code = 1
        rig.gateway.restart_if_exited()
        rig.gateway.restart_if_exited()
        assert rig.found == [("exit", "g-0 ended by itself with 1")]
        assert rig.child.starts == 2

    def test_one_that_is_being_stopped_does_not(self, tmp_path: Path) -> None:
        rig = Rig(tmp_path)
        rig.gateway.in_transition = True
        rig.child.code = 0
        rig.gateway.restart_if_exited()
        assert rig.found == []
        assert rig.child.starts == 1
