"""Polls the platform's VM list for replicas that leave or were replaced."""

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
    """The state of a replica in the VM list, sent to peers in the same data centre.

    ``state`` is ``DRAINING``, ``GONE``, or ``UNKNOWN`` if the VM is listed as live.
    """

    replica: str
    state: TargetState
    incarnation: str


register_message(50, VmNotice)


class VmWatch:
    """Polls the VM list if fetching is enabled, and passes on changes.

    Replicas and VMs are matched by name. A replica that was never listed is not
    considered gone, as the list may not cover targets. Changes are sent to ``peers``,
    those of the same data centre, so that few processes of it need to poll.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        vm_list: VmLister,
        on_state: Callable[[str, TargetState, str], None],
        peers: Callable[[], Iterable[str]],
        send: Callable[[str, VmNotice], bool],
    ) -> None:
        self.vm_list = vm_list
        self.on_state = on_state
        self.peers = peers
        self.send = send
        self.replicas: Mapping[str, IndexedReplica] = {}
        self.last_notices: dict[str, VmNotice] = {}
        self.fetching = False
        self.loop = LoopingCall(self.fetch)
        self.loop.clock = reactor

    def configure(self, replicas: Mapping[str, IndexedReplica]) -> None:
        """Use the replicas of a new document."""
        self.replicas = replicas
        self.last_notices = {
            name: notice
            for name, notice in self.last_notices.items()
            if name in replicas
        }

    def set_fetching(self, enabled: bool) -> None:
        """Start or stop polling the list."""
        if enabled and not self.loop.running:
            self.loop.start(FETCH_INTERVAL_S)
        elif not enabled and self.loop.running:
            self.loop.stop()

    def stop(self) -> None:
        """Stop polling the list."""
        self.set_fetching(False)

    def fetch(self) -> None:
        """Fetch the list unless a fetch is in progress."""
        if not self.fetching:
            self.fetching = True
            Deferred.fromCoroutine(self.fetch_once())

    async def fetch_once(self) -> None:
        """Fetch the list and pass on changes; an outage changes nothing."""
        try:
            match await self.vm_list.fetch():
                case Success(listed):
                    self.process_list({vm.name: vm for vm in listed.vms})
        finally:
            self.fetching = False

    def process_list(self, listed: Mapping[str, Vm]) -> None:
        """Apply changed replica states and send them to the peers."""
        for name in self.replicas:
            notice = self.notice_of(name, listed.get(name))
            if notice is not None and self.last_notices.get(name) != notice:
                self.on_notice(notice)
                for peer in self.peers():
                    self.send(peer, notice)

    def notice_of(self, name: str, vm: Vm | None) -> VmNotice | None:
        """Return the notice for a replica, ``None`` if it was never listed."""
        if vm is None:
            previous = self.last_notices.get(name)
            if previous is None:
                return None
            return VmNotice(name, TargetState.GONE, previous.incarnation)
        leaving = vm.state is VmState.LEAVING
        state = TargetState.DRAINING if leaving else TargetState.UNKNOWN
        return VmNotice(name, state, str(vm.incarnation))

    def on_notice(self, notice: VmNotice) -> None:
        """Apply a notice from the list or from a peer."""
        self.last_notices[notice.replica] = notice
        self.on_state(notice.replica, TargetState(notice.state), notice.incarnation)
