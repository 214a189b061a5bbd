"""Tests of the watch of the platform's list of VMs."""

from __future__ import annotations

from typing import cast

from returns.result import Failure, Result, Success
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import Clock

from sardinehook.entry.dispatcher import IndexedReplica
from sardinehook.entry.vm_watch import FETCH_INTERVAL_S, VmNotice, VmWatch
from sardinehook.environment.document import Index, Replica
from sardinehook.messages import TargetState
from sardinehook.store.port import StoreFailure, StoreUnavailable
from sardinehook.store.vm_list import Vm, VmList, VmState

REPLICA = Replica("r1", "duluth", "127.0.0.1:1")
REPLICAS = {"r1": IndexedReplica(REPLICA, Index(2, 25, 6.0, {"s": [REPLICA]}))}


class FakeVmList:
    """A list that tests set; ``None`` fails."""

    def __init__(self) -> None:
        self.vms: tuple[Vm, ...] | None = ()

    async def fetch(self) -> Result[VmList, StoreFailure]:
        if self.vms is None:
            return Failure(StoreUnavailable("down", False))
        return Success(VmList(0.0, self.vms))


class Fixture:
    """A watch with its list, its notes and what it sent to its peer."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.listed = FakeVmList()
        self.noted: list[tuple[str, TargetState, str]] = []
        self.sent: list[VmNotice] = []
        self.watch = VmWatch(
            cast("IReactorTime", self.clock),
            self.listed,
            lambda *note: self.noted.append(note),
            lambda: ["e2"],
            self.send,
        )
        self.watch.configure(REPLICAS)
        self.watch.should_fetch(True)

    def send(self, _node: str, notice: VmNotice) -> bool:
        self.sent.append(notice)
        return True

    def show(self, *vms: Vm) -> None:
        self.listed.vms = vms
        self.clock.advance(FETCH_INTERVAL_S)


def vm(state: VmState = VmState.LIVE, incarnation: int = 1) -> Vm:
    return Vm("r1", "duluth", "127.0.0.1:1", incarnation, state)


class TestVmWatch:
    def test_a_replica_that_was_never_listed_is_not_gone(self) -> None:
        fixture = Fixture()
        fixture.show()
        assert fixture.noted == []

    def test_leaving_and_gone_are_noted_here_and_at_peers(self) -> None:
        fixture = Fixture()
        fixture.show(vm())
        fixture.show(vm(VmState.LEAVING))
        fixture.show(vm(VmState.LEAVING))
        fixture.show()
        states = [state for _, state, _ in fixture.noted]
        expected = [TargetState.UNKNOWN, TargetState.DRAINING, TargetState.GONE]
        assert states == expected
        assert [notice.state for notice in fixture.sent] == expected

    def test_a_new_incarnation_is_noted(self) -> None:
        fixture = Fixture()
        fixture.show(vm())
        fixture.show(vm(incarnation=2))
        assert fixture.noted[-1] == ("r1", TargetState.UNKNOWN, "2")

    def test_an_outage_says_nothing_of_replicas(self) -> None:
        fixture = Fixture()
        fixture.show(vm())
        fixture.listed.vms = None
        fixture.clock.advance(FETCH_INTERVAL_S)
        assert len(fixture.noted) == 1

    def test_a_peer_s_notice_is_noted(self) -> None:
        fixture = Fixture()
        fixture.watch.take(VmNotice("r1", TargetState.DRAINING, "1"))
        assert fixture.noted == [("r1", TargetState.DRAINING, "1")]
