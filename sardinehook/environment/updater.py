"""Keeps the document in force up to date from peers and the platform's service."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

import structlog

from sardinehook.environment.holder import DocumentHolder
from sardinehook.environment.revision import Revision
from sardinehook.environment.spread import (
    DIGEST_CHARACTERS,
    Message,
    RevisionAnnounce,
    RevisionDelta,
    RevisionRequest,
    Send,
    Spread,
)
from sardinehook.environment.store_watch import StoreWatch
from sardinehook.fleet.wire import register_message
from sardinehook.observe.events import EventName, log_event
from sardinehook.store.port import Store
from sardinehook.transport.reactor import Timer, Timers

__all__ = ["DocumentUpdater", "register_messages"]

logger = structlog.get_logger(__name__)

ISOLATED_S = 9.0
START_READ_S = 0.5
START_READS_PER_S = 200.0


def register_messages() -> None:
    """Give the messages about revisions their numbers on the wire."""
    register_message(40, RevisionAnnounce)
    register_message(41, RevisionRequest)
    register_message(42, RevisionDelta)


register_messages()


class DocumentUpdater:
    """Runs the spread of revisions in one process.

    ``send`` gives a message to a peer and may lose it; ``peers`` names those that
    are thought alive. The store is watched by the few nodes that are told to, and by
    one that has no document or hears no peer.
    """

    def __init__(
        self,
        reactor: Timers,
        store: Store,
        holder: DocumentHolder,
        send: Callable[[str, Message], None],
        peers: Callable[[], Sequence[str]],
        rng: random.Random,
    ) -> None:
        self.reactor = reactor
        self.holder = holder
        self.send = send
        self.peers = peers
        self.rng = rng
        self.spread = Spread(holder, rng)
        self.watch = StoreWatch(
            reactor, store, holder.environment, self.offer_from_store, rng
        )
        self.told_to_watch = False
        self.timer: Timer | None = None
        self.retry_timer: Timer | None = None
        self.read_from = 0.0

    def start(self, expected: Sequence[str] = ()) -> None:
        """Ask the peers, and the store if they don't know a document.

        ``expected`` names peers that may not be connected yet, but whose answers
        are awaited for a little while.
        """
        now = self.reactor.seconds()
        peers = sorted({*self.peers(), *expected})
        self.spread.heard_at = now
        spread_s = self.rng.random() * len(peers) / START_READS_PER_S
        self.read_from = now + (START_READ_S + spread_s if peers else 0.0)
        self.send_all(self.spread.start(peers, now))
        self.arm()
        self.settle_watch()

    def stop(self) -> None:
        """Stop watching and sending."""
        for timer in (self.timer, self.retry_timer):
            if timer is not None and timer.active():
                timer.cancel()
        self.timer = self.retry_timer = None
        self.watch.stop()

    def set_watching(self, told: bool) -> None:
        """Tell whether this node is one of those that watch the store."""
        self.told_to_watch = told
        if self.timer is not None:
            self.settle_watch()

    def on_message(self, peer: str, message: Message) -> None:
        """Take a message of a peer."""
        now = self.reactor.seconds()
        before = self.holder.number
        self.send_all(self.spread.receive(peer, message, self.peers(), now))
        self.arm_retry(now)
        self.log_change(before, peer)

    def offer_from_store(self, revision: Revision) -> None:
        """Take a revision that the store answered."""
        before = self.holder.number
        now = self.reactor.seconds()
        self.send_all(self.spread.offer(revision, self.peers(), now))
        self.log_change(before, "store")

    def tick(self) -> None:
        """Do what is due from time to time."""
        before = self.holder.number
        self.send_all(self.spread.tick(self.peers(), self.reactor.seconds()))
        self.log_change(before, "start")
        self.settle_watch()
        self.arm()

    def arm(self) -> None:
        """Set the timer of the next tick."""
        self.timer = self.reactor.callLater(self.spread.next_tick_s(), self.tick)

    def arm_retry(self, now: float) -> None:
        """Set the timer after which a request without an answer is sent again."""
        running = self.retry_timer is not None and self.retry_timer.active()
        if self.spread.pending is None or self.timer is None or running:
            return
        delay_s = max(0.0, self.spread.pending.until - now)
        self.retry_timer = self.reactor.callLater(delay_s, self.retry)

    def retry(self) -> None:
        """Ask again if the answer is overdue."""
        now = self.reactor.seconds()
        self.send_all(self.spread.request_newest(self.peers(), now))
        self.arm_retry(now)

    def settle_watch(self) -> None:
        """Start or stop the watch of the store as wanted."""
        if self.wants_watch(self.reactor.seconds()):
            self.watch.start()
        else:
            self.watch.stop()

    def wants_watch(self, now: float) -> bool:
        """Whether this node has to look at the store itself."""
        if self.told_to_watch:
            return True
        if self.holder.in_force is None:
            return now >= self.read_from
        if not self.peers():
            return True
        return now - self.spread.heard_at > ISOLATED_S

    def send_all(self, sends: Sequence[Send]) -> None:
        """Send messages."""
        for send in sends:
            self.send(send.peer, send.message)

    def log_change(self, before: int, source: str) -> None:
        """Log where a revision came from that is in force now."""
        revision = self.holder.in_force
        if revision is None or revision.number == before:
            return
        log_event(
            logger,
            EventName.REVISION_RECEIVED,
            revision=revision.number,
            cause=source,
            detail=f"digest {revision.digest[:DIGEST_CHARACTERS]}",
        )
