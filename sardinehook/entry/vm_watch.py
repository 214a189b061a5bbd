"""Follows the platform's list of VMs for replicas that leave or were replaced."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from returns.result import Success
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall

from sardinehook.entry.dispatcher import IndexedReplica
from sardinehook.fleet.wire import register_message
from sardinehook.messages import TargetState
from sardinehook.store.vm_list import Vm, VmLister, VmState

__all__ = ["VmNotice", "VmWatch"]

FETCH_INTERVAL_S = 1.5


class VmNotice(NamedTuple):
    """Tells a peer of the own data centre what the VM list says of a replica.

    ``state`` is ``DRAINING``, ``GONE`` or ``UNKNOWN`` for nothing against it.
    """

    replica: str
    state: TargetState
    incarnation: str


register_message(50, VmNotice)


class VmWatch:
    """Fetches the list where this process is told to, and passes on what changed.

    A replica is known to the list by its name. One that was never listed is not taken
    to be gone: the list may not cover targets. ``peers`` are those of the own data
    centre, so that few processes of it need to fetch.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        vm_list: VmLister,
        note: Callable[[str, TargetState, str], None],
        peers: Callable[[], Iterable[str]],
        send: Callable[[str, VmNotice], bool],
    ) -> None:
        self.vm_list = vm_list
        self.note = note
        self.peers = peers
        self.send = send
        self.replicas: Mapping[str, IndexedReplica] = {}
        self.told: dict[str, VmNotice] = {}
        self.fetching = False
        self.loop = LoopingCall(self.fetch)
        self.loop.clock = reactor

    def configure(self, replicas: Mapping[str, IndexedReplica]) -> None:
        """Use the replicas of a new document."""
        self.replicas = replicas
        self.told = {name: one for name, one in self.told.items() if name in replicas}

    def should_fetch(self, told: bool) -> None:
        """Begin or end to fetch the list."""
        if told and not self.loop.running:
            self.loop.start(FETCH_INTERVAL_S)
        elif not told and self.loop.running:
            self.loop.stop()

    def stop(self) -> None:
        """End to fetch the list."""
        self.should_fetch(False)

    def fetch(self) -> None:
        """Fetch the list unless the last fetch still waits."""
        if not self.fetching:
            self.fetching = True
            Deferred.fromCoroutine(self.fetch_once())

    async def fetch_once(self) -> None:
        """Fetch the list and pass on what changed."""
        try:
            match await self.vm_list.fetch():
                case Success(listed):
                    self.compare({vm.name: vm for vm in listed.vms})
        finally:
            self.fetching = False

    def compare(self, listed: Mapping[str, Vm]) -> None:
        """Pass on what the list says anew of each replica."""
        for name in self.replicas:
            notice = self.notice_of(name, listed.get(name))
            if notice is not None and self.told.get(name) != notice:
                self.take(notice)
                for peer in self.peers():
                    self.send(peer, notice)

    def notice_of(self, name: str, vm: Vm | None) -> VmNotice | None:
        """Return what the list says of a replica, ``None`` if nothing."""
        if vm is None:
            before = self.told.get(name)
            if before is None:
                return None
            return VmNotice(name, TargetState.GONE, before.incarnation)
        leaving = vm.state is VmState.LEAVING
        state = TargetState.DRAINING if leaving else TargetState.UNKNOWN
        return VmNotice(name, state, str(vm.incarnation))

    def take(self, notice: VmNotice) -> None:
        """Take a notice of the own list or of a peer."""
        self.told[notice.replica] = notice
        self.note(notice.replica, TargetState(notice.state), notice.incarnation)
