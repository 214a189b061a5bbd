"""Serves the cached store state to other gateways, with long polling."""

from __future__ import annotations

import re
from collections.abc import Callable
from math import ceil
from typing import NamedTuple
from urllib.parse import parse_qs

from sardinehook.gateway.answer import CallerAnswer
from sardinehook.gateway.interfaces import Header
from sardinehook.gateway.organisations.confirmation import Confirmation
from sardinehook.gateway.reactor import GatewayReactor
from sardinehook.gateway.store import Changes, Item
from sardinehook.gateway.value_difference import (
    ItemDifference,
    compare_items,
    is_large,
)
from sardinehook.gateway.watch_cache import (
    MAX_DIFFERENCES,
    StateUpdate,
    WatchCache,
    encode_update,
)

__all__ = [
    "CHANGES_PATH",
    "CONFIRMED_HEADER",
    "ChangeRelay",
    "changes_query",
    "read_confirmation",
]

CHANGES_PATH = b"/changes"
# How long before the call the sender's state was confirmed by the store.
CONFIRMED_HEADER = b"Confirmed-Before-Ms"
CONFIRMED_MS = re.compile(rb"-?\d{1,12}")
MAX_WAIT_S = 10.0  # bounds how long a malformed query holds a call
MS_PER_S = 1000.0
UNAVAILABLE = 503
OK = 200

FinishCall = Callable[[CallerAnswer], None]


def changes_query(
    after: int | None,
    wait_s: float,
    differences: bool = False,
    era: int | None = None,
) -> bytes:
    """Return the request target for the changes after a revision.

    ``differences`` says that large values may be answered as differences from those
    that the caller has at this revision. ``era`` is the store's era of the revision.

    >>> changes_query(7, 1.5)
    b'/changes?after=7&wait_ms=1500'
    >>> changes_query(7, 1.5, True)
    b'/changes?after=7&wait_ms=1500&differences=1'
    >>> changes_query(7, 1.5, era=2)
    b'/changes?after=7&wait_ms=1500&era=2'
    """
    known = -1 if after is None else after
    query = b"?after=%d&wait_ms=%d" % (known, int(wait_s * MS_PER_S))
    if differences:
        query += b"&differences=1"
    if era is not None:
        query += b"&era=%d" % era
    return CHANGES_PATH + query


class ChangesQuery(NamedTuple):
    """The query of a call for changes.

    ``era`` is ``None`` if the caller states none, as earlier versions of gateways do.
    These compare revisions alone.
    """

    after: int = -1
    wait_s: float = 0.0
    differences: bool = False
    era: int | None = None


class LongPoll:
    """A pending call of another gateway that waits for changes."""

    def __init__(
        self, relay: ChangeRelay, query: ChangesQuery, finish: FinishCall
    ) -> None:
        self.relay = relay
        self.query = query
        self.finish = finish
        self.called_at = relay.reactor.seconds()

    def cancel(self) -> None:
        """Discard the call, since its connection is closed."""
        self.relay.waiting.pop(self, None)


class ChangeRelay:
    """Answers calls for changes at once if there are any, else as soon as some arrive.

    ``current`` says whether this gateway reads the store itself and its last call
    there succeeded. Otherwise calls are answered at once, without waiting.
    """

    def __init__(
        self,
        reactor: GatewayReactor,
        cache: WatchCache,
        confirmation: Confirmation | None = None,
    ) -> None:
        self.reactor = reactor
        self.cache = cache
        self.confirmation = confirmation or Confirmation()
        self.current = False
        self.waiting: dict[LongPoll, None] = {}
        self.encoded: tuple[StateUpdate, bytes] | None = None
        self.compared: tuple[Item, Item, ItemDifference | None] | None = None

    def set_current(self, current: bool) -> None:
        """Set ``current``; if it changes, waiting calls are answered."""
        if current != self.current:
            self.current = current
            self.answer_waiting()

    def answer(self, query: bytes, finish: FinishCall) -> LongPoll | None:
        """Answer a call at once, or return it as pending for at most its wait."""
        read = read_query(query)
        if not self.must_wait(read) or not read.wait_s:
            finish(self.answer_now(read, self.reactor.seconds()))
            return None
        poll = LongPoll(self, read, finish)
        self.waiting[poll] = None
        self.reactor.callLater(read.wait_s, self.answer_poll, poll)
        return poll

    def must_wait(self, query: ChangesQuery) -> bool:
        """Return whether there is nothing to tell yet: no state, or no change."""
        if self.cache.revision is None:
            return True
        update = self.update_since(query.after, query.era)
        return self.current and not update.whole and not update.changes.items

    def answer_now(self, query: ChangesQuery, called_at: float) -> CallerAnswer:
        """Return the answer as of now to a call that arrived at ``called_at``."""
        if self.cache.revision is None:
            return CallerAnswer(UNAVAILABLE, (), b"", "probe")
        update = self.update_since(query.after, query.era)
        if query.differences and not update.whole:
            update = self.shorten(update, query.after)
        headers = confirmation_headers(self.confirmation.age_s(called_at))
        return CallerAnswer(OK, headers, self.encode(update), "probe")

    def shorten(self, update: StateUpdate, after: int) -> StateUpdate:
        """Replace large values by differences from those at the revision ``after``.

        A value stays whole if that version is not known, or if much has changed.
        """
        items: list[Item] = []
        differences: list[ItemDifference] = []
        for item in update.changes.items:
            difference = self.difference_after(item, after) if is_large(item) else None
            if difference is None or len(differences) == MAX_DIFFERENCES:
                items.append(item)
            else:
                differences.append(difference)
        changes = update.changes._replace(items=tuple(items))
        return update._replace(changes=changes, differences=tuple(differences))

    def difference_after(self, item: Item, after: int) -> ItemDifference | None:
        """Return the difference of an item from its version at a revision.

        The last one is cached, since many calls get the same.
        """
        base = self.cache.version_at(item.key, after)
        if base is None or not is_large(base):
            return None
        if self.compared is None or self.compared[:2] != (base, item):
            self.compared = (base, item, compare_items(base, item))
        return self.compared[2]

    def update_since(self, after: int, era: int | None = None) -> StateUpdate:
        """Return the changes after a revision, or a listing if these are not logged.

        A caller in an earlier era gets a listing, and one in a later era no changes.
        """
        cache = self.cache
        if era is not None and era > cache.era:
            nothing = Changes((), cache.revision or 0, cache.era)
            return StateUpdate(nothing, False, self.current)
        is_earlier = era is not None and era < cache.era
        changes = None if is_earlier else cache.changes_after(after)
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
            poll.finish(self.answer_now(poll.query, poll.called_at))

    def encode(self, update: StateUpdate) -> bytes:
        """Encode an update; the last one is cached, since many calls get the same."""
        if self.encoded is None or self.encoded[0] != update:
            self.encoded = (update, encode_update(update))
        return self.encoded[1]


def confirmation_headers(confirmed_s: float) -> tuple[Header, ...]:
    """Return the header that states how long ago the state was confirmed, if it was.

    >>> confirmation_headers(0.0121), confirmation_headers(float("inf"))
    (((b'Confirmed-Before-Ms', b'13'),), ())
    """
    if confirmed_s == float("inf"):
        return ()
    return ((CONFIRMED_HEADER, b"%d" % ceil(confirmed_s * MS_PER_S)),)


def read_confirmation(value: bytes | None) -> float | None:
    """Return the stated time in seconds, ``None`` if absent or malformed.

    >>> read_confirmation(b"-13"), read_confirmation(b"x"), read_confirmation(None)
    (-0.013, None, None)
    """
    if value is None or not CONFIRMED_MS.fullmatch(value):
        return None
    return int(value) / MS_PER_S


def read_query(query: bytes) -> ChangesQuery:
    """Return the fields of a query, or their defaults.

    >>> read_query(b"after=7&wait_ms=1500")
    ChangesQuery(after=7, wait_s=1.5, differences=False, era=None)
    >>> read_query(b"after=x&differences=1&era=2")
    ChangesQuery(after=-1, wait_s=0.0, differences=True, era=2)
    """
    fields = parse_qs(query.decode("latin-1"))

    def number(name: str, default: int) -> int:
        value = fields.get(name, [""])[0]
        return int(value) if value.isdecimal() and len(value) < 19 else default

    wait_s = min(number("wait_ms", 0) / MS_PER_S, MAX_WAIT_S)
    era = number("era", -1)
    return ChangesQuery(
        number("after", -1),
        wait_s,
        bool(number("differences", 0)),
        None if era < 0 else era,
    )
