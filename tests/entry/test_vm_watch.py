"""Tests of the VM list watch."""

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
    """A list set by the test; fetching fails if it is ``None``."""

    def __init__(self) -> None:
        self.vms: tuple[Vm, ...] | None = ()

    async def fetch(self) -> Result[VmList, StoreFailure]:
        if self.vms is None:
            return Failure(StoreUnavailable("down", False))
        return Success(VmList(0.0, self.vms))


class Fixture:
    """A watch with a fake list, recording states and notices sent to the peer."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.listed = FakeVmList()
        self.states: list[tuple[str, TargetState, str]] = []
        self.sent: list[VmNotice] = []
        self.watch = VmWatch(
            cast("IReactorTime", self.clock),
            self.listed,
            lambda *state: self.states.append(state),
            lambda: ["e2"],
            self.send,
        )
        self.watch.configure(REPLICAS)
        self.watch.set_fetching(True)

    def send(self, _node: str, notice: VmNotice) -> bool:
        self.sent.append(notice)
        return True

    def set_list(self, *vms: Vm) -> None:
        self.listed.vms = vms
        self.clock.advance(FETCH_INTERVAL_S)


def vm(state: VmState = VmState.LIVE, incarnation: int = 1) -> Vm:
    return Vm("r1", "duluth", "127.0.0.1:1", incarnation, state)


class TestVmWatch:
    def test_replica_that_was_never_listed_is_not_gone(self) -> None:
        fixture = Fixture()
        fixture.set_list()
        assert fixture.states == []

    def test_leaving_and_gone_are_applied_and_sent_to_peers(self) -> None:
        fixture = Fixture()
        fixture.set_list(vm())
        fixture.set_list(vm(VmState.LEAVING))
        fixture.set_list(vm(VmState.LEAVING))
        fixture.set_list()
        states = [state for _, state, _ in fixture.states]
        expected = [TargetState.UNKNOWN, TargetState.DRAINING, TargetState.GONE]
        assert states == expected
        assert [notice.state for notice in fixture.sent] == expected

    def test_new_incarnation_is_applied(self) -> None:
        fixture = Fixture()
        fixture.set_list(vm())
        fixture.set_list(vm(incarnation=2))
        assert fixture.states[-1] == ("r1", TargetState.UNKNOWN, "2")

    def test_outage_changes_no_replica_state(self) -> None:
        fixture = Fixture()
        fixture.set_list(vm())
        fixture.listed.vms = None
        fixture.clock.advance(FETCH_INTERVAL_S)
        assert len(fixture.states) == 1

    def test_notice_from_a_peer_is_applied(self) -> None:
        fixture = Fixture()
        fixture.watch.on_notice(VmNotice("r1", TargetState.DRAINING, "1"))
        assert fixture.states == [("r1", TargetState.DRAINING, "1")]
