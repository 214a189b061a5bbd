"""Gossip protocol that spreads revisions between entry processes.

Nodes announce the number of the revision that they have in force: immediately to
``ANNOUNCE_FANOUT`` random peers when it changes, periodically to one random peer, and
to all peers at startup. A node that learns of a newer revision requests it and receives
a delta against its own revision.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Sequence
from typing import Any, NamedTuple

import zstandard
from returns.result import Result, Success

from sardinehook.environment.delta import NO_BASE, apply_delta, make_delta
from sardinehook.environment.holder import DocumentHolder
from sardinehook.environment.revision import (
    MAX_CANONICAL_BYTES,
    Envelope,
    Revision,
    revision_from_envelope,
)
from sardinehook.errors import Problem

__all__ = [
    "DIGEST_CHARACTERS",
    "Message",
    "RevisionAnnounce",
    "RevisionDelta",
    "RevisionRequest",
    "Send",
    "Spread",
    "SpreadCounters",
]

ANNOUNCE_FANOUT = 6
ANNOUNCE_INTERVAL_S = 2.0
START_INTERVAL_S = 0.25
START_TIMEOUT_S = 1.0
START_PEERS = 16
PROBE_AFTER_S = 5.0
PROBED_PEERS = 3
REQUEST_TIMEOUT_S = 0.5
REQUEST_TRIES = 3
DIGEST_CHARACTERS = 12
MAX_BASE_REVISIONS = 8
MAX_CACHED_DELTAS = 16
NO_REVISION = 0

Message = tuple[Any, ...]
"""One of the messages ``RevisionAnnounce``, ``RevisionRequest``, ``RevisionDelta``."""


class RevisionAnnounce(NamedTuple):
    """Announces the revision in force on the sender; ``number`` is zero for none.

    ``digest`` is the first ``DIGEST_CHARACTERS`` of the document's digest.
    """

    number: int
    digest: str


class RevisionRequest(NamedTuple):
    """Requests a newer revision than ``have``, the sender's own; zero for none."""

    have: int
    have_digest: str


class RevisionDelta(NamedTuple):
    """A revision as delta against revision ``base``; zero for a full copy."""

    number: int
    digest: str
    change_id: str
    author: str
    note: str
    base: int
    data: bytes


class Send(NamedTuple):
    """A message to send to a peer."""

    peer: str
    message: Message


class BaseRevision(NamedTuple):
    """A recent revision, kept in compressed form as a base for deltas."""

    digest: str
    packed: bytes


class Pending(NamedTuple):
    """An outstanding request that times out at ``until``."""

    peer: str
    number: int
    until: float
    tries: int
    full: bool


class SpreadCounters:
    """Counters of messages sent, delta bytes sent, and deltas refused.

    ``conflicts`` counts announcements of a different document with our number.
    """

    def __init__(self) -> None:
        self.announces = 0
        self.requests = 0
        self.deltas = 0
        self.delta_bytes = 0
        self.refused = 0
        self.conflicts = 0


class Spread:
    """Protocol state of one node, without I/O.

    ``now`` is monotonic time in seconds; the caller sends the messages that the methods
    return. Messages may be lost, duplicated, reordered or outdated.
    """

    def __init__(self, holder: DocumentHolder, rng: random.Random) -> None:
        self.holder = holder
        self.rng = rng
        self.counts = SpreadCounters()
        self.base_revisions: OrderedDict[int, BaseRevision] = OrderedDict()
        self.deltas: OrderedDict[tuple[int, int], bytes] = OrderedDict()
        self.peers_ahead: dict[str, int] = {}
        self.pending: Pending | None = None
        self.start_deadline = float("-inf")
        self.unanswered: set[str] = set()
        self.startup_revision: Revision | None = None
        self.last_message_at = float("-inf")
        holder.add_listener(self.retain_base)
        if holder.in_force is not None:
            self.retain_base(holder.in_force)

    def start(self, peers: Sequence[str], now: float) -> list[Send]:
        """Announce to all peers, to which those with a newer revision reply.

        No revision is put in force until all have answered or ``START_TIMEOUT_S`` has
        passed, so that a restarted node does not begin with an outdated revision.
        """
        self.start_deadline = now + START_TIMEOUT_S
        self.unanswered = set(peers)
        return [self.announce_to(peer) for peer in peers]

    def collecting_answers(self, now: float) -> bool:
        """Return whether the node still waits for its peers' answers at startup."""
        started = self.holder.in_force is None and now < self.start_deadline
        return started and bool(self.unanswered)

    def tick(self, peers: Sequence[str], now: float) -> list[Send]:
        """Announce periodically, probe peers after silence and retry requests."""
        count = START_PEERS if self.holder.in_force is None else 1
        announced = [self.announce_to(peer) for peer in self.sample_peers(peers, count)]
        probed = self.probe(peers) if now - self.last_message_at > PROBE_AFTER_S else []
        return announced + probed + self.request_newest(peers, now)

    def probe(self, peers: Sequence[str]) -> list[Send]:
        """Send a request to a few peers, to which any live peer replies."""
        request = self.own_request()
        return [Send(peer, request) for peer in self.sample_peers(peers, PROBED_PEERS)]

    def sample_peers(self, peers: Sequence[str], count: int) -> list[str]:
        """Choose up to ``count`` peers at random."""
        return self.rng.sample(list(peers), min(count, len(peers)))

    def next_tick_s(self) -> float:
        """Return the jittered time until the next tick."""
        waiting = self.holder.in_force is None or bool(self.peers_ahead)
        interval = START_INTERVAL_S if waiting else ANNOUNCE_INTERVAL_S
        return interval * self.rng.uniform(0.8, 1.2)

    def offer(self, revision: Revision, peers: Sequence[str], now: float) -> list[Send]:
        """Put a revision in force if it is newer, and announce it to a few peers.

        At startup the highest revision offered is kept until the peers have answered.
        """
        if self.collecting_answers(now):
            if (
                self.startup_revision is None
                or revision.number > self.startup_revision.number
            ):
                self.startup_revision = revision
            return []
        if not self.holder.offer(revision):
            return []
        return [
            self.announce_to(peer) for peer in self.sample_peers(peers, ANNOUNCE_FANOUT)
        ]

    def receive(
        self, peer: str, message: Message, peers: Sequence[str], now: float
    ) -> list[Send]:
        """Process a message from a peer."""
        self.last_message_at = now
        self.unanswered.discard(peer)
        match message:
            case RevisionAnnounce(number, digest):
                return self.compare_announcement(
                    peer, number, digest
                ) + self.request_newest(peers, now)
            case RevisionRequest(have, have_digest):
                return self.answer_request(peer, have, have_digest)
            case RevisionDelta():
                return self.accept_delta(peer, message, peers, now)
        return []

    def compare_announcement(self, peer: str, number: int, digest: str) -> list[Send]:
        """Compare an announced number with our own; reply to a peer that is behind."""
        own = self.holder.number
        if number > own:
            self.peers_ahead[peer] = number
            return []
        self.peers_ahead.pop(peer, None)
        if number < own:
            return [self.announce_to(peer)]
        self.counts.conflicts += number > 0 and digest != self.digest
        return []

    def request_newest(self, peers: Sequence[str], now: float) -> list[Send]:
        """Request the highest number announced, unless a request is outstanding."""
        number = self.holder.number
        self.peers_ahead = {
            peer: seen for peer, seen in self.peers_ahead.items() if seen > number
        }
        if self.collecting_answers(now):
            return []
        tries = self.expire_request(now)
        highest = max(self.peers_ahead.values(), default=NO_REVISION)
        if (
            self.startup_revision is not None
            and self.startup_revision.number >= highest
        ):
            startup_revision, self.startup_revision = self.startup_revision, None
            return self.offer(startup_revision, peers, now)
        if not self.peers_ahead or self.pending is not None:
            return []
        best = sorted(
            peer for peer, seen in self.peers_ahead.items() if seen == highest
        )
        return [self.make_request(self.rng.choice(best), now, tries + 1, full=False)]

    def expire_request(self, now: float) -> int:
        """Drop a request that timed out or was superseded by a higher number.

        Returns the tries to count for the next request. A peer that timed out is
        forgotten if other peers are ahead too, or after ``REQUEST_TRIES``.
        """
        pending = self.pending
        if pending is None:
            return 0
        superseded = any(seen > pending.number for seen in self.peers_ahead.values())
        if now < pending.until and not superseded:
            return 0
        self.pending = None
        if superseded or (len(self.peers_ahead) == 1 and pending.tries < REQUEST_TRIES):
            return pending.tries
        self.peers_ahead.pop(pending.peer, None)
        return 0

    def make_request(self, peer: str, now: float, tries: int, full: bool) -> Send:
        """Create a request and record it as outstanding.

        ``full`` requests a full copy, for use when a delta could not be applied.
        """
        self.counts.requests += 1
        number = self.peers_ahead.get(peer, NO_REVISION)
        until = now + REQUEST_TIMEOUT_S
        self.pending = Pending(peer, number, until, tries, full)
        if full:
            return Send(peer, RevisionRequest(NO_REVISION, ""))
        return Send(peer, self.own_request())

    def own_request(self) -> RevisionRequest:
        """Return a request for a newer revision than our own."""
        own = self.holder.in_force
        if own is None:
            return RevisionRequest(NO_REVISION, "")
        return RevisionRequest(own.number, own.digest)

    def answer_request(self, peer: str, have: int, have_digest: str) -> list[Send]:
        """Send our revision to a peer that has an older one, else announce it."""
        revision = self.holder.in_force
        if revision is None or revision.number <= have:
            return [self.announce_to(peer)]
        base_revision = self.base_revisions.get(have)
        base = (
            have
            if base_revision is not None and base_revision.digest == have_digest
            else NO_REVISION
        )
        data = self.cached_delta(base, revision.number)
        self.counts.deltas += 1
        self.counts.delta_bytes += len(data)
        return [Send(peer, RevisionDelta(*revision[:-1], base, data))]

    def cached_delta(self, base: int, number: int) -> bytes:
        """Return the delta between two kept revisions; deltas are cached."""
        delta = self.deltas.get((base, number))
        if delta is None:
            old = self.canonical_of(base) if base else NO_BASE
            delta = make_delta(old, self.canonical_of(number))
            self.deltas[base, number] = delta
            if len(self.deltas) > MAX_CACHED_DELTAS:
                self.deltas.popitem(last=False)
        return delta

    def accept_delta(
        self, peer: str, delta: RevisionDelta, peers: Sequence[str], now: float
    ) -> list[Send]:
        """Offer a revision from a peer; request a full copy after an invalid delta."""
        if delta.number <= self.holder.number:
            return []
        pending = self.pending
        if pending is not None and pending.peer == peer:
            self.pending = None
        match self.restore(delta):
            case Success(revision):
                sends = self.offer(revision, peers, now)
                if (
                    self.holder.number >= delta.number
                    or self.startup_revision is revision
                ):
                    return sends + self.request_newest(peers, now)
        self.counts.refused += 1
        if pending is not None and pending.peer == peer and not pending.full:
            return [self.make_request(peer, now, pending.tries, full=True)]
        self.peers_ahead.pop(peer, None)
        return self.request_newest(peers, now)

    def restore(self, delta: RevisionDelta) -> Result[Revision, Problem]:
        """Restore a revision from a delta and verify its digest."""
        identity = (
            delta.number,
            delta.digest,
            delta.change_id,
            delta.author,
            delta.note,
        )
        base = (
            self.canonical_of(delta.base)
            if delta.base in self.base_revisions
            else NO_BASE
        )
        return apply_delta(base, delta.data).bind(
            lambda canonical: revision_from_envelope(Envelope(*identity, canonical))
        )

    def retain_base(self, revision: Revision) -> None:
        """Keep the revision in force as a base for deltas; evict the oldest one."""
        packed = zstandard.compress(self.holder.canonical)
        self.base_revisions[revision.number] = BaseRevision(revision.digest, packed)
        if len(self.base_revisions) > MAX_BASE_REVISIONS:
            self.base_revisions.popitem(last=False)

    def canonical_of(self, number: int) -> bytes:
        """Return the canonical form of a kept revision."""
        packed = self.base_revisions[number].packed
        return zstandard.decompress(packed, max_output_size=MAX_CANONICAL_BYTES)

    @property
    def digest(self) -> str:
        """The truncated digest of the revision in force; empty for none."""
        revision = self.holder.in_force
        return revision.digest[:DIGEST_CHARACTERS] if revision else ""

    def announce_to(self, peer: str) -> Send:
        """Create an announcement of our revision."""
        self.counts.announces += 1
        return Send(peer, RevisionAnnounce(self.holder.number, self.digest))
