"""Tells other gateways what this one knows of the store."""

from __future__ import annotations

from collections.abc import Callable
from urllib.parse import parse_qs

from sardinehook.gateway.answer import CallerAnswer
from sardinehook.gateway.reactor import GatewayReactor
from sardinehook.gateway.watch_cache import StateUpdate, WatchCache, encode_update

__all__ = ["CHANGES_PATH", "ChangeRelay", "changes_query"]

CHANGES_PATH = b"/changes"
MOST_WAIT_S = 10.0  # bounds what a malformed query can hold
MS_PER_S = 1000.0
UNAVAILABLE = 503
OK = 200

Finish = Callable[[CallerAnswer], None]


def changes_query(after: int | None, wait_s: float) -> bytes:
    """Return the target of a call for the changes after a revision.

    >>> changes_query(7, 1.5)
    b'/changes?after=7&wait_ms=1500'
    """
    known = -1 if after is None else after
    return CHANGES_PATH + b"?after=%d&wait_ms=%d" % (known, int(wait_s * MS_PER_S))


class Poll:
    """A call of another gateway that waits for changes."""

    def __init__(self, relay: ChangeRelay, after: int, finish: Finish) -> None:
        self.relay = relay
        self.after = after
        self.finish = finish

    def cancel(self) -> None:
        """Forget the call, since its caller has left."""
        self.relay.waiting.pop(self, None)


class ChangeRelay:
    """Answers calls for changes at once if there are any, else when some come.

    ``current`` tells whether this gateway follows the store itself and hears from it;
    calls do not wait for one that doesn't.
    """

    def __init__(self, reactor: GatewayReactor, cache: WatchCache) -> None:
        self.reactor = reactor
        self.cache = cache
        self.current = False
        self.waiting: dict[Poll, None] = {}
        self.encoded: tuple[StateUpdate, bytes] | None = None

    def set_current(self, current: bool) -> None:
        """Take whether this gateway follows the store itself and hears from it."""
        if current != self.current:
            self.current = current
            self.release()

    def answer(self, query: bytes, finish: Finish) -> Poll | None:
        """Answer a call, or let it wait."""
        after, wait_s = read_query(query)
        if self.cache.revision is None:
            finish(CallerAnswer(UNAVAILABLE, (), b"", "probe"))
            return None
        update = self.tell(after)
        if not self.current or update.whole or update.changes.items or not wait_s:
            finish(CallerAnswer(OK, (), self.encode(update), "probe"))
            return None
        poll = Poll(self, after, finish)
        self.waiting[poll] = None
        self.reactor.callLater(wait_s, self.end, poll)
        return poll

    def tell(self, after: int) -> StateUpdate:
        """Return what is told to a gateway that knows the revision ``after``."""
        changes = self.cache.changes_after(after)
        if changes is None:
            return StateUpdate(self.cache.everything(), True, self.current)
        return StateUpdate(changes, False, self.current)

    def release(self) -> None:
        """Answer the calls that wait, since something has changed."""
        for poll in list(self.waiting):
            self.end(poll)

    def end(self, poll: Poll) -> None:
        """Answer a call that waits."""
        if poll in self.waiting:
            del self.waiting[poll]
            body = self.encode(self.tell(poll.after))
            poll.finish(CallerAnswer(OK, (), body, "probe"))

    def encode(self, update: StateUpdate) -> bytes:
        """Encode what is told; most calls that are answered at once are told alike."""
        if self.encoded is None or self.encoded[0] != update:
            self.encoded = (update, encode_update(update))
        return self.encoded[1]


def read_query(query: bytes) -> tuple[int, float]:
    """Return the revision and the wait in seconds that a call names.

    >>> read_query(b"after=7&wait_ms=1500"), read_query(b"after=x")
    ((7, 1.5), (-1, 0.0))
    """
    fields = parse_qs(query.decode("latin-1"))

    def number(name: str, otherwise: int) -> int:
        value = fields.get(name, [""])[0]
        return int(value) if value.isdecimal() and len(value) < 19 else otherwise

    return number("after", -1), min(number("wait_ms", 0) / MS_PER_S, MOST_WAIT_S)
