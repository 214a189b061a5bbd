"""Serves the cached store state to other gateways, with long polling."""

from __future__ import annotations

from collections.abc import Callable
from urllib.parse import parse_qs

from sardinehook.gateway.answer import CallerAnswer
from sardinehook.gateway.reactor import GatewayReactor
from sardinehook.gateway.watch_cache import StateUpdate, WatchCache, encode_update

__all__ = ["CHANGES_PATH", "ChangeRelay", "changes_query"]

CHANGES_PATH = b"/changes"
MAX_WAIT_S = 10.0  # bounds how long a malformed query holds a call
MS_PER_S = 1000.0
UNAVAILABLE = 503
OK = 200

FinishCall = Callable[[CallerAnswer], None]


def changes_query(after: int | None, wait_s: float) -> bytes:
    """Return the request target for the changes after a revision.

    >>> changes_query(7, 1.5)
    b'/changes?after=7&wait_ms=1500'
    """
    known = -1 if after is None else after
    return CHANGES_PATH + b"?after=%d&wait_ms=%d" % (known, int(wait_s * MS_PER_S))


class LongPoll:
    """A pending call of another gateway that waits for changes."""

    def __init__(self, relay: ChangeRelay, after: int, finish: FinishCall) -> None:
        self.relay = relay
        self.after = after
        self.finish = finish

    def cancel(self) -> None:
        """Discard the call, since its connection is closed."""
        self.relay.waiting.pop(self, None)


class ChangeRelay:
    """Answers calls for changes at once if there are any, else as soon as some arrive.

    ``current`` says whether this gateway reads the store itself and its last call
    there succeeded. Otherwise calls are answered at once, without waiting.
    """

    def __init__(self, reactor: GatewayReactor, cache: WatchCache) -> None:
        self.reactor = reactor
        self.cache = cache
        self.current = False
        self.waiting: dict[LongPoll, None] = {}
        self.encoded: tuple[StateUpdate, bytes] | None = None

    def set_current(self, current: bool) -> None:
        """Set ``current``; if it changes, waiting calls are answered."""
        if current != self.current:
            self.current = current
            self.answer_waiting()

    def answer(self, query: bytes, finish: FinishCall) -> LongPoll | None:
        """Answer a call at once, or return it as pending for at most its wait."""
        after, wait_s = read_query(query)
        if not self.must_wait(after) or not wait_s:
            finish(self.answer_now(after))
            return None
        poll = LongPoll(self, after, finish)
        self.waiting[poll] = None
        self.reactor.callLater(wait_s, self.answer_poll, poll)
        return poll

    def must_wait(self, after: int) -> bool:
        """Return whether there is nothing to tell yet: no state, or no change."""
        if self.cache.revision is None:
            return True
        update = self.update_since(after)
        return self.current and not update.whole and not update.changes.items

    def answer_now(self, after: int) -> CallerAnswer:
        """Return the answer to a call as of now."""
        if self.cache.revision is None:
            return CallerAnswer(UNAVAILABLE, (), b"", "probe")
        body = self.encode(self.update_since(after))
        return CallerAnswer(OK, (), body, "probe")

    def update_since(self, after: int) -> StateUpdate:
        """Return the changes after a revision, or a listing if these are not logged."""
        changes = self.cache.changes_after(after)
        if changes is None:
            return StateUpdate(self.cache.listing(), True, self.current)
        return StateUpdate(changes, False, self.current)

    def answer_waiting(self) -> None:
        """Answer all pending calls, unless no state is known yet."""
        if self.cache.revision is None:
            return
        for poll in list(self.waiting):
            self.answer_poll(poll)

    def answer_poll(self, poll: LongPoll) -> None:
        """Answer a pending call, unless it was answered or cancelled before."""
        if poll in self.waiting:
            del self.waiting[poll]
            poll.finish(self.answer_now(poll.after))

    def encode(self, update: StateUpdate) -> bytes:
        """Encode an update; the last one is cached, since many calls get the same."""
        if self.encoded is None or self.encoded[0] != update:
            self.encoded = (update, encode_update(update))
        return self.encoded[1]


def read_query(query: bytes) -> tuple[int, float]:
    """Return the revision and the wait in seconds of a query, or their defaults.

    >>> read_query(b"after=7&wait_ms=1500"), read_query(b"after=x")
    ((7, 1.5), (-1, 0.0))
    """
    fields = parse_qs(query.decode("latin-1"))

    def number(name: str, default: int) -> int:
        value = fields.get(name, [""])[0]
        return int(value) if value.isdecimal() and len(value) < 19 else default

    return number("after", -1), min(number("wait_ms", 0) / MS_PER_S, MAX_WAIT_S)
