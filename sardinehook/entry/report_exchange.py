"""Exchanges owners' replica reports between entry processes."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall

from sardinehook.messages import ReplicaReport, TargetState

__all__ = ["ReportExchange"]

EXCHANGE_INTERVAL_S = 0.25


class ReportedState(NamedTuple):
    """The part of a report whose change triggers sending it to peers."""

    state: TargetState
    index_versions: tuple[int, ...]
    partitioning: int


def reported_state(report: ReplicaReport) -> ReportedState:
    """Return the state to compare; load is excluded, as replies carry it."""
    return ReportedState(
        report.state, tuple(report.index_versions), report.partitioning
    )


class ReportExchange:
    """Sends each peer the reports that changed since the last one sent to it.

    A peer whose link is new is sent every report. ``on_report`` is called with every
    local report at each exchange.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        local_reports: Callable[[], Sequence[ReplicaReport]],
        peers: Callable[[], Iterable[str]],
        send: Callable[[str, ReplicaReport], bool],
        on_report: Callable[[ReplicaReport], None],
    ) -> None:
        self.local_reports = local_reports
        self.peers = peers
        self.send = send
        self.on_report = on_report
        self.last_sent: dict[str, dict[str, ReportedState]] = {}
        self.loop = LoopingCall(self.exchange)
        self.loop.clock = reactor

    def start(self) -> None:
        """Start the periodic exchange."""
        self.loop.start(EXCHANGE_INTERVAL_S)

    def stop(self) -> None:
        """Stop the exchange."""
        if self.loop.running:
            self.loop.stop()

    def exchange(self) -> None:
        """Apply the local reports and send each peer those that changed."""
        reports = self.local_reports()
        for report in reports:
            self.on_report(report)
        for peer in self.peers():
            self.send_changes(peer, reports)

    def send_changes(self, peer: str, reports: Sequence[ReplicaReport]) -> None:
        """Send one peer the reports that changed since the last one sent to it."""
        last_sent = self.last_sent.setdefault(peer, {})
        for report in reports:
            state = reported_state(report)
            if last_sent.get(report.replica) != state and self.send(peer, report):
                last_sent[report.replica] = state

    def forget(self, peer: str) -> None:
        """Discard what was sent to a peer whose link was lost; resend everything."""
        self.last_sent.pop(peer, None)
