"""Applies what replicas say of themselves, and divides their rate limits."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence

from sardinehook.gateway.notices import Notices, StatedNotices
from sardinehook.gateway.rate_share import RateShare
from sardinehook.gateway.replica import Replica
from sardinehook.gateway.shares import Shares

__all__ = ["NoticeBoard"]


class NoticeBoard:
    """The notices of all replicas, as far as they outlast one answer.

    The notices of processes whose entries are gone are kept by id and start time, as
    long as they are in force: the entries may lapse and return. ``on_pause`` is called
    for each answer that asks for a pause.
    """

    def __init__(self, node: str) -> None:
        self.node = node
        self.shares = Shares(1.0, 1.0, frozenset())
        self.shard_services: frozenset[str] = frozenset()
        self.cut_off: Sequence[str] = ()
        self.kept: dict[tuple[str, int], Notices] = {}
        self.on_pause: Callable[[], object] = int

    def configure(self, shares: Shares, shard_services: frozenset[str]) -> None:
        """Set how limits are divided, and which services are searched."""
        self.shares = shares
        self.shard_services = shard_services

    def observe(
        self, replica: Replica, stated: StatedNotices, now: float
    ) -> Iterator[str]:
        """Apply the notices of an answer; yield a description of each change."""
        notices = replica.notices
        if stated.leaving and notices.leaving_since is None:
            notices.leaving_since = now
            yield "leaving"
        if stated.pause_s:
            notices.pause(stated.pause_s, now)
            self.on_pause()
            yield f"pause {stated.pause_s:g} s"
        if stated.malformed != notices.malformed:
            notices.malformed = stated.malformed
            if stated.malformed:
                yield f"malformed {stated.malformed}"
        yield from self.observe_limit(replica, stated.limit_per_s, now)

    def observe_limit(
        self, replica: Replica, limit_per_s: float | None, now: float
    ) -> Iterator[str]:
        """Apply the rate limit that an answer states, ``None`` for none."""
        share = replica.notices.rate_share
        if limit_per_s is None:
            if share is not None:
                replica.notices.rate_share = None
                yield "no limit"
            return
        if share is None:
            share = replica.notices.rate_share = RateShare(now)
        share.stated_at = now
        if share.limit_per_s != limit_per_s:
            share.limit_per_s = limit_per_s
            self.update_rate_share(replica, share, now)
            yield f"limit {limit_per_s:g}/s"

    def keep(self, replica: Replica, now: float) -> None:
        """Keep the notices of a replica that leaves the directory."""
        if replica.notices.outlast(now):
            self.kept[process_of(replica)] = replica.notices

    def restore(self, replica: Replica, now: float) -> None:
        """Restore the notices of a process whose entry lapsed and has returned."""
        notices = self.kept.pop(process_of(replica), None)
        if notices is None:
            return
        replica.notices = notices
        if notices.rate_share is not None:
            self.update_rate_share(replica, notices.rate_share, now)

    def sweep(
        self, cut_off: Sequence[str], replicas: Iterable[Replica], now: float
    ) -> None:
        """Forget notices that have ended, and apply the cut data centres."""
        for process, notices in list(self.kept.items()):
            if not notices.outlast(now):
                del self.kept[process]
        if cut_off != self.cut_off:
            self.cut_off = cut_off
            self.update_rate_shares(replicas, now)

    def update_rate_shares(self, replicas: Iterable[Replica], now: float) -> None:
        """Divide the limits of replicas among the gateways known now."""
        for replica in replicas:
            if replica.notices.rate_share is not None:
                self.update_rate_share(replica, replica.notices.rate_share, now)

    def update_rate_share(self, replica: Replica, share: RateShare, now: float) -> None:
        """Divide the limit of one replica among the gateways known now."""
        weights = self.weights_at(replica)
        share.update(share.limit_per_s, weights, self.node, replica.replica_id, now)

    def weights_at(self, replica: Replica) -> Mapping[str, float]:
        """Return the weights of the gateways that may send to a replica.

        Gateways in data centres that are cut off from here are beyond the same cut for
        a replica on this side, so that their shares would be unused.
        """
        shares = self.shares
        searched = replica.entry.service in self.shard_services
        weights = shares.search_weights if searched else shares.request_weights
        if self.cut_off and replica.entry.data_centre not in self.cut_off:
            weights = {
                name: weight
                for name, weight in weights.items()
                if shares.data_centres.get(name) not in self.cut_off
            }
        return weights if self.node in weights else {self.node: 1.0}


def process_of(replica: Replica) -> tuple[str, int]:
    """Return the id and the start time of a replica, which identify its process."""
    return replica.replica_id, replica.entry.started_ms
