"""Decides how revisions spread between entry processes.

Nodes tell each other the number of the revision that they have in force: at once to a
few peers when it changes, to one peer from time to time, and to all peers at the
start. Whoever hears of a newer one asks for it and is sent what differs from its own.
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
    "SpreadCounts",
]

FANOUT = 6
ANNOUNCE_INTERVAL_S = 2.0
START_INTERVAL_S = 0.25
START_SETTLE_S = 1.0
START_PEERS = 16
SILENCE_S = 5.0
PROBED_PEERS = 3
REQUEST_TIMEOUT_S = 0.5
REQUEST_TRIES = 3
DIGEST_CHARACTERS = 12
KEPT_REVISIONS = 8
KEPT_DELTAS = 16
NO_REVISION = 0

Message = tuple[Any, ...]
"""One of the named tuples below."""


class RevisionAnnounce(NamedTuple):
    """Tells a peer which revision the sender has in force, zero for none.

    ``digest`` is the beginning of the document's digest.
    """

    number: int
    digest: str


class RevisionRequest(NamedTuple):
    """Asks for the newest revision; ``have`` is what the sender has, zero for none."""

    have: int
    have_digest: str


class RevisionDelta(NamedTuple):
    """A revision as difference from revision ``base``, zero for the whole."""

    number: int
    digest: str
    change_id: str
    author: str
    note: str
    base: int
    data: bytes


class Send(NamedTuple):
    """A message to be sent to a peer."""

    peer: str
    message: Message


class Kept(NamedTuple):
    """A revision that peers may still need as base."""

    digest: str
    packed: bytes


class Pending(NamedTuple):
    """The request whose answer is awaited until ``until``."""

    peer: str
    number: int
    until: float
    tries: int
    whole: bool


class SpreadCounts:
    """Messages sent by kind, bytes of differences sent, and what was refused.

    ``split`` counts peers that have another document under our number.
    """

    def __init__(self) -> None:
        self.announces = 0
        self.requests = 0
        self.deltas = 0
        self.delta_bytes = 0
        self.refused = 0
        self.split = 0


class Spread:
    """What one node knows of its peers' revisions.

    ``now`` is monotonic time in seconds; the caller sends what the methods return.
    Messages may be lost, repeated, reordered or come from peers that are behind.
    """

    def __init__(self, holder: DocumentHolder, rng: random.Random) -> None:
        self.holder = holder
        self.rng = rng
        self.counts = SpreadCounts()
        self.kept: OrderedDict[int, Kept] = OrderedDict()
        self.deltas: OrderedDict[tuple[int, int], bytes] = OrderedDict()
        self.newer: dict[str, int] = {}
        self.pending: Pending | None = None
        self.settles_at = float("-inf")
        self.awaited: set[str] = set()
        self.early: Revision | None = None
        self.heard_at = float("-inf")
        holder.add_listener(self.keep)
        if holder.in_force is not None:
            self.keep(holder.in_force)

    def start(self, peers: Sequence[str], now: float) -> list[Send]:
        """Ask all peers for their numbers.

        Nothing is put in force until all have answered or a little while has passed,
        so that a node that starts anew does not begin with an older revision.
        """
        self.settles_at = now + START_SETTLE_S
        self.awaited = set(peers)
        return [self.announce_to(peer) for peer in peers]

    def settling(self, now: float) -> bool:
        """Whether answers to the start are still awaited."""
        started = self.holder.in_force is None and now < self.settles_at
        return started and bool(self.awaited)

    def tick(self, peers: Sequence[str], now: float) -> list[Send]:
        """Send what is due from time to time, and ask again for what is missing."""
        asked = START_PEERS if self.holder.in_force is None else 1
        announced = [self.announce_to(peer) for peer in self.choose(peers, asked)]
        probed = self.probe(peers) if now - self.heard_at > SILENCE_S else []
        return announced + probed + self.request_newest(peers, now)

    def probe(self, peers: Sequence[str]) -> list[Send]:
        """Ask a few peers for a sign of life, which an answer to a request is."""
        request = self.own_request()
        return [Send(peer, request) for peer in self.choose(peers, PROBED_PEERS)]

    def choose(self, peers: Sequence[str], count: int) -> list[str]:
        """Choose some peers at random."""
        return self.rng.sample(list(peers), min(count, len(peers)))

    def next_tick_s(self) -> float:
        """The time until the next tick is due."""
        waiting = self.holder.in_force is None or bool(self.newer)
        interval = START_INTERVAL_S if waiting else ANNOUNCE_INTERVAL_S
        return interval * self.rng.uniform(0.8, 1.2)

    def offer(self, revision: Revision, peers: Sequence[str], now: float) -> list[Send]:
        """Put a revision in force if it is newer, and tell a few peers at once."""
        if self.settling(now):
            if self.early is None or revision.number > self.early.number:
                self.early = revision
            return []
        if not self.holder.offer(revision):
            return []
        return [self.announce_to(peer) for peer in self.choose(peers, FANOUT)]

    def receive(
        self, peer: str, message: Message, peers: Sequence[str], now: float
    ) -> list[Send]:
        """Take a message of a peer."""
        self.heard_at = now
        self.awaited.discard(peer)
        match message:
            case RevisionAnnounce(number, digest):
                return self.hear(peer, number, digest) + self.request_newest(peers, now)
            case RevisionRequest(have, have_digest):
                return self.answer(peer, have, have_digest)
            case RevisionDelta():
                return self.take(peer, message, peers, now)
        return []

    def hear(self, peer: str, number: int, digest: str) -> list[Send]:
        """Compare a peer's number with our own; a peer that is behind is told."""
        own = self.holder.number
        if number > own:
            self.newer[peer] = number
            return []
        self.newer.pop(peer, None)
        if number < own:
            return [self.announce_to(peer)]
        self.counts.split += number > 0 and digest != self.digest
        return []

    def request_newest(self, peers: Sequence[str], now: float) -> list[Send]:
        """Ask a peer with the highest number, unless an answer is awaited."""
        number = self.holder.number
        self.newer = {peer: seen for peer, seen in self.newer.items() if seen > number}
        if self.settling(now):
            return []
        tries = self.forget_silent(now)
        highest = max(self.newer.values(), default=NO_REVISION)
        if self.early is not None and self.early.number >= highest:
            early, self.early = self.early, None
            return self.offer(early, peers, now)
        if not self.newer or self.pending is not None:
            return []
        best = sorted(peer for peer, seen in self.newer.items() if seen == highest)
        return [self.request(self.rng.choice(best), now, tries + 1, whole=False)]

    def forget_silent(self, now: float) -> int:
        """End a request that is overdue or outdone; how often its peer was asked."""
        pending = self.pending
        if pending is None:
            return 0
        outdone = any(seen > pending.number for seen in self.newer.values())
        if now < pending.until and not outdone:
            return 0
        self.pending = None
        if outdone or (len(self.newer) == 1 and pending.tries < REQUEST_TRIES):
            return pending.tries
        self.newer.pop(pending.peer, None)
        return 0

    def request(self, peer: str, now: float, tries: int, whole: bool) -> Send:
        """Ask a peer for its revision, as a whole if differences don't apply."""
        self.counts.requests += 1
        number = self.newer.get(peer, NO_REVISION)
        until = now + REQUEST_TIMEOUT_S
        self.pending = Pending(peer, number, until, tries, whole)
        if whole:
            return Send(peer, RevisionRequest(NO_REVISION, ""))
        return Send(peer, self.own_request())

    def own_request(self) -> RevisionRequest:
        """A request for what is newer than our own."""
        own = self.holder.in_force
        if own is None:
            return RevisionRequest(NO_REVISION, "")
        return RevisionRequest(own.number, own.digest)

    def answer(self, peer: str, have: int, have_digest: str) -> list[Send]:
        """Send our revision to a peer that has an older one."""
        revision = self.holder.in_force
        if revision is None or revision.number <= have:
            return [self.announce_to(peer)]
        kept = self.kept.get(have)
        base = have if kept is not None and kept.digest == have_digest else NO_REVISION
        data = self.delta(base, revision.number)
        self.counts.deltas += 1
        self.counts.delta_bytes += len(data)
        return [Send(peer, RevisionDelta(*revision[:-1], base, data))]

    def delta(self, base: int, number: int) -> bytes:
        """The difference between two kept revisions, made once."""
        made = self.deltas.get((base, number))
        if made is None:
            old = self.canonical(base) if base else NO_BASE
            made = make_delta(old, self.canonical(number))
            self.deltas[base, number] = made
            if len(self.deltas) > KEPT_DELTAS:
                self.deltas.popitem(last=False)
        return made

    def take(
        self, peer: str, delta: RevisionDelta, peers: Sequence[str], now: float
    ) -> list[Send]:
        """Take a revision that a peer sent."""
        if delta.number <= self.holder.number:
            return []
        asked = self.pending
        if asked is not None and asked.peer == peer:
            self.pending = None
        match self.restore(delta):
            case Success(revision):
                sends = self.offer(revision, peers, now)
                if self.holder.number >= delta.number or self.early is revision:
                    return sends + self.request_newest(peers, now)
        self.counts.refused += 1
        if asked is not None and asked.peer == peer and not asked.whole:
            return [self.request(peer, now, asked.tries, whole=True)]
        self.newer.pop(peer, None)
        return self.request_newest(peers, now)

    def restore(self, delta: RevisionDelta) -> Result[Revision, Problem]:
        """Restore a revision from a difference and verify its digest."""
        identity = (
            delta.number,
            delta.digest,
            delta.change_id,
            delta.author,
            delta.note,
        )
        base = self.canonical(delta.base) if delta.base in self.kept else NO_BASE
        return apply_delta(base, delta.data).bind(
            lambda canonical: revision_from_envelope(Envelope(*identity, canonical))
        )

    def keep(self, revision: Revision) -> None:
        """Keep a revision that came in force, and drop the oldest."""
        packed = zstandard.compress(self.holder.canonical)
        self.kept[revision.number] = Kept(revision.digest, packed)
        if len(self.kept) > KEPT_REVISIONS:
            self.kept.popitem(last=False)

    def canonical(self, number: int) -> bytes:
        """The canonical form of a kept revision."""
        packed = self.kept[number].packed
        return zstandard.decompress(packed, max_output_size=MAX_CANONICAL_BYTES)

    @property
    def digest(self) -> str:
        """The digest of the revision in force, cut short; empty for none."""
        revision = self.holder.in_force
        return revision.digest[:DIGEST_CHARACTERS] if revision else ""

    def announce_to(self, peer: str) -> Send:
        """Tell a peer our number."""
        self.counts.announces += 1
        return Send(peer, RevisionAnnounce(self.holder.number, self.digest))
