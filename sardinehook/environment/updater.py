"""Keeps the document in force up to date from peers and the key-value store."""

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

ISOLATION_TIMEOUT_S = 9.0
START_READ_DELAY_S = 0.5
START_READS_PER_S = 200.0


def register_messages() -> None:
    """Register the message numbers of the revision protocol."""
    register_message(40, RevisionAnnounce)
    register_message(41, RevisionRequest)
    register_message(42, RevisionDelta)


register_messages()


class DocumentUpdater:
    """Runs the revision protocol and the store watch of one process.

    ``send`` sends a message to a peer without a delivery guarantee; ``peers`` returns
    the peers considered alive. The store is watched by the few nodes assigned with
    ``set_watching``, and by nodes without a document or isolated from their peers.
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
        self.assigned_to_watch = False
        self.timer: Timer | None = None
        self.retry_timer: Timer | None = None
        self.first_read_at = 0.0

    def start(self, expected: Sequence[str] = ()) -> None:
        """Query the peers, and the store if no peer has a document.

        ``expected`` names peers that may not be connected yet; their answers are
        awaited as well. The first store read is delayed at random, so that a fleet that
        restarts at once makes about ``START_READS_PER_S`` reads per second.
        """
        now = self.reactor.seconds()
        peers = sorted({*self.peers(), *expected})
        self.spread.last_message_at = now
        spread_s = self.rng.random() * len(peers) / START_READS_PER_S
        self.first_read_at = now + (START_READ_DELAY_S + spread_s if peers else 0.0)
        self.send_all(self.spread.start(peers, now))
        self.schedule_tick()
        self.update_watch()

    def stop(self) -> None:
        """Cancel the timers and stop the store watch."""
        for timer in (self.timer, self.retry_timer):
            if timer is not None and timer.active():
                timer.cancel()
        self.timer = self.retry_timer = None
        self.watch.stop()

    def set_watching(self, assigned: bool) -> None:
        """Set whether this node is assigned to watch the store."""
        self.assigned_to_watch = assigned
        if self.timer is not None:
            self.update_watch()

    def on_message(self, peer: str, message: Message) -> None:
        """Process a message from a peer."""
        now = self.reactor.seconds()
        before = self.holder.number
        self.send_all(self.spread.receive(peer, message, self.peers(), now))
        self.schedule_retry(now)
        self.log_revision(before, peer)

    def offer_from_store(self, revision: Revision) -> None:
        """Offer a revision read from the store."""
        before = self.holder.number
        now = self.reactor.seconds()
        self.send_all(self.spread.offer(revision, self.peers(), now))
        self.log_revision(before, "store")

    def tick(self) -> None:
        """Run the periodic work of the protocol and schedule the next tick."""
        before = self.holder.number
        self.send_all(self.spread.tick(self.peers(), self.reactor.seconds()))
        self.log_revision(before, "start")
        self.update_watch()
        self.schedule_tick()

    def schedule_tick(self) -> None:
        """Schedule the next tick."""
        self.timer = self.reactor.callLater(self.spread.next_tick_s(), self.tick)

    def schedule_retry(self, now: float) -> None:
        """Schedule the retry of the outstanding request at its timeout."""
        running = self.retry_timer is not None and self.retry_timer.active()
        if self.spread.pending is None or self.timer is None or running:
            return
        delay_s = max(0.0, self.spread.pending.until - now)
        self.retry_timer = self.reactor.callLater(delay_s, self.retry)

    def retry(self) -> None:
        """Retry the outstanding request if it has timed out."""
        now = self.reactor.seconds()
        self.send_all(self.spread.request_newest(self.peers(), now))
        self.schedule_retry(now)

    def update_watch(self) -> None:
        """Start or stop the store watch as needed."""
        if self.needs_watch(self.reactor.seconds()):
            self.watch.start()
        else:
            self.watch.stop()

    def needs_watch(self, now: float) -> bool:
        """Return whether this node has to watch the store itself."""
        if self.assigned_to_watch:
            return True
        if self.holder.in_force is None:
            return now >= self.first_read_at
        if not self.peers():
            return True
        return now - self.spread.last_message_at > ISOLATION_TIMEOUT_S

    def send_all(self, sends: Sequence[Send]) -> None:
        """Send all messages to their peers."""
        for send in sends:
            self.send(send.peer, send.message)

    def log_revision(self, before: int, source: str) -> None:
        """Log the source of the revision in force if its number has changed."""
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
