"""Exchanges what owners know of their replicas between entry processes."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall

from sardinehook.messages import ReplicaReport, TargetState

__all__ = ["ReportExchange"]

EXCHANGE_INTERVAL_S = 0.25


class ReportedState(NamedTuple):
    """The part of a view whose change is worth telling at once."""

    state: TargetState
    index_versions: tuple[int, ...]
    partitioning: int


def facts_of(view: ReplicaReport) -> ReportedState:
    """Return what of a view is told when it changes; load is told on replies."""
    return ReportedState(view.state, tuple(view.index_versions), view.partitioning)


class ReportExchange:
    """Sends each peer the views that changed since it was last told.

    A peer whose link is new is told every view. ``take`` receives the own views as
    well as those of the peers.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        own_views: Callable[[], Sequence[ReplicaReport]],
        peers: Callable[[], Iterable[str]],
        send: Callable[[str, ReplicaReport], bool],
        take: Callable[[ReplicaReport], None],
    ) -> None:
        self.own_views = own_views
        self.peers = peers
        self.send = send
        self.take = take
        self.told: dict[str, dict[str, ReportedState]] = {}
        self.loop = LoopingCall(self.exchange)
        self.loop.clock = reactor

    def start(self) -> None:
        """Begin to exchange views."""
        self.loop.start(EXCHANGE_INTERVAL_S)

    def stop(self) -> None:
        """Exchange no more views."""
        if self.loop.running:
            self.loop.stop()

    def exchange(self) -> None:
        """Tell every peer what changed."""
        views = self.own_views()
        for view in views:
            self.take(view)
        for peer in self.peers():
            self.tell(peer, views)

    def tell(self, peer: str, views: Sequence[ReplicaReport]) -> None:
        """Tell one peer what changed since it was last told."""
        told = self.told.setdefault(peer, {})
        for view in views:
            facts = facts_of(view)
            if told.get(view.replica) != facts and self.send(peer, view):
                told[view.replica] = facts

    def forget(self, peer: str) -> None:
        """Tell a peer everything again, since its link was lost."""
        self.told.pop(peer, None)
