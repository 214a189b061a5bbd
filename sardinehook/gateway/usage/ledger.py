"""The usage ledger of one gateway: counts, holders, and what is told to whom."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterator, Mapping
from typing import NamedTuple

from sardinehook.gateway.fleet import GatewayRecord
from sardinehook.gateway.usage.contacts import (
    SILENT_AFTER_S,
    HolderContact,
    HolderContacts,
)
from sardinehook.gateway.usage.holders import choose_holders, rank_gateways
from sardinehook.gateway.usage.interfaces import Marks
from sardinehook.gateway.usage.messages import Counts, Header, read_statements
from sardinehook.gateway.usage.table import (
    MIN_RETENTION_S,
    RESEND_S,
    Source,
    Statement,
    UsageTable,
    shorten,
)

__all__ = ["START_S", "FleetLedger", "WeighedUses"]

NO_HOLDERS: tuple[str, ...] = ()
RETAINED_WINDOWS = 2.0  # the shares of a silent holder are those of one window before
START_S = 0.3  # from a kill to the first decision: interpreter, modules, first calls
MIN_SHARE = 0.01  # of a bucket; with less, one use would count as hundreds


class WeighedUses(NamedTuple):
    """The uses of a subject by time, in units of the whole fleet.

    What this side has used of its ``share`` counts as if all others had used theirs to
    the same extent.
    """

    uses: list[tuple[float, float]]
    share: float


class FleetLedger:
    """Implements ``UsageLedger``, without a network.

    ``window_s`` is the window of the rule on quotas: silent holders and the start of
    this gateway matter for that time.
    """

    def __init__(
        self, node: str, data_centre: str, incarnation: int, window_s: float
    ) -> None:
        self.node = node
        self.data_centre = data_centre
        self.table = UsageTable(node, incarnation)
        self.contacts = HolderContacts(data_centre)
        self.holders: dict[str, tuple[str, ...]] = {}
        self.urgent_until: dict[str, float] = {}
        self.unsent: dict[str, float] = {}
        self.on_unsent: Callable[[], object] = int
        self.on_sweep: Callable[[float], object] = float
        self.holder_since: float | None = None
        self.was_informed = False
        self.set_id = 0
        self.received_sets: dict[str, tuple[int, set[int]]] = {}
        self.configure(window_s)

    def configure(self, window_s: float) -> None:
        """Use the window of the rule on quotas."""
        self.window_s = window_s
        self.table.retention_s = max(MIN_RETENTION_S, RETAINED_WINDOWS * window_s)

    def update_members(
        self,
        registered: Mapping[str, GatewayRecord],
        departed: Collection[str],
        now: float,
    ) -> bool:
        """Choose the holders among the gateways; return whether they have changed."""
        chosen = choose_holders(registered)
        has_changed = chosen != self.holders
        self.holders = chosen
        others = {
            name: data_centre
            for data_centre, names in chosen.items()
            for name in names
            if name != self.node
        }
        self.contacts.update(others, departed, now)
        if not self.is_holder():
            self.holder_since = None
            self.was_informed = False
        elif self.holder_since is None:
            self.holder_since = now
        return has_changed

    def record(self, subject: str, amount: float, now: float) -> None:
        """Count this gateway's own use; a negative amount gives use back."""
        self.table.record(subject, amount, now)

    def give_back(
        self, subject: str, amount: float, used_at: float, now: float
    ) -> None:
        """Take back use that was recorded at ``used_at``."""
        self.table.give_back(subject, amount, used_at, now)

    def total(self, subject: str, window_s: float, now: float) -> float:
        """Return the use of the fleet in the last ``window_s``, as far as known."""
        return self.table.total(subject, window_s, now)

    def take(
        self, prefix: str, marks: Marks, since: float, until: float
    ) -> dict[str, float]:
        """Return the use of the fleet between two times, each slot once."""
        return self.table.take(prefix, marks, since, until)

    def is_holder(self) -> bool:
        """Return whether this gateway receives the counts of all gateways."""
        return self.node in self.holders.get(self.data_centre, NO_HOLDERS)

    def silent_share(self, subject: str, now: float) -> float:
        """Return the share of recent use counted by holders that are silent now."""
        return self.contacts.silent_share(shorten(subject), self.window_s, now)

    def weigh_uses(self, subject: str, within_s: float, now: float) -> WeighedUses:
        """Return the uses of a subject, and the share of this side of a cut.

        While holders are silent, this side has the share that they don't have, for all
        that they have not counted themselves.
        """
        share = 1.0 - self.silent_share(subject, now)
        if share >= 1.0:
            uses = self.table.uses(subject, within_s, now)
            uses.sort()
            return WeighedUses(uses, 1.0)
        reserved = self.contacts.reserved(self.window_s, now)
        since = min(one.split_at for one in reserved)
        share = max(share, MIN_SHARE)
        silent = {one.name for one in reserved}
        here = self.table.uses(
            subject,
            within_s,
            now,
            lambda source: source.node not in silent and source.via not in silent,
        )
        uses = [
            use for use in self.table.uses(subject, within_s, now) if use[0] < since
        ]
        uses += [(at, count / share) for at, count in here if at >= since]
        return WeighedUses(sorted(uses), share)

    def started_at(self) -> float | None:
        """Return when counting began, ``None`` if use before is known from others."""
        return None if self.was_informed else self.holder_since

    def known_since(self, now: float) -> float | None:
        """Return since when use is known, ``None`` if it is for a whole window.

        Nothing ran in the time that a process needs to start.
        """
        since = self.started_at()
        if since is None or now >= since + self.window_s - START_S:
            return None
        return since

    def mark_urgent(self, subject: str, now: float) -> None:
        """Tell other holders the counts of a subject without delay, for one window."""
        self.urgent_until[shorten(subject)] = now + self.window_s

    def note_unsent(self, subject: str, amount: float, most: float) -> None:
        """Note use that other holders don't know; tell them when it is too much."""
        key = shorten(subject)
        unsent = self.unsent[key] = self.unsent.get(key, 0.0) + amount
        if unsent >= most / (len(self.contacts.by_name) + 1):
            self.on_unsent()

    def find_silent(self, now: float) -> list[HolderContact]:
        """Return the holders that have fallen silent, after keeping their shares."""
        found = self.contacts.find_silent(now)
        for contact in found:
            self.contacts.keep_shares(contact, self.uses_before_silence(contact, now))
        return found

    def uses_before_silence(
        self, contact: HolderContact, now: float
    ) -> dict[str, tuple[float, float]]:
        """Return a holder's use and that of the fleet before it fell silent."""
        ended_at = contact.last_heard_at
        window_s = now - ended_at + self.window_s
        uses: dict[str, tuple[float, float]] = {}
        for subject in self.table.subjects():
            total = own = 0.0
            for source in self.table.sources.values():
                is_silent = contact.name in (source.node, source.via)
                for at, count in source.slots_since(subject, now - window_s):
                    if at <= ended_at:
                        total += count
                        own += count * is_silent
            uses[subject] = own, total
        return uses

    def header_for(self, peer: str, now: float) -> Header:
        """Return the header of counts for a peer, which asks for what is not known."""
        contact = self.contacts.by_name.get(peer)
        asks = self.is_holder() and contact is not None and not contact.is_complete
        own = self.table.own
        is_informed = self.is_holder() and self.known_since(now) is None
        return Header(own.node, own.incarnation, is_informed, asks)

    def full_set_header(self, peer: str, now: float) -> Header:
        """Return the header of a new full set for a peer."""
        self.set_id += 1
        header = self.header_for(peer, now)
        return header._replace(set_id=self.set_id, is_full_set=True)

    def changes(self, now: float, urgent_only: bool) -> list[Statement]:
        """Return what this gateway has counted lately."""
        return [
            statement
            for statement in self.table.statements(self.table.own, now, RESEND_S)
            if not urgent_only or self.urgent_until.get(statement.subject, 0.0) > now
        ]

    def relayed_changes(self, now: float) -> list[Statement]:
        """Return what gateways of this data centre have reported lately.

        Each gateway reports to all holders of its data centre, one of which passes its
        counts on to the holders of other data centres.
        """
        return [
            statement
            for source in self.table.sources.values()
            if self.relays(source)
            for statement in self.table.statements(source, now, RESEND_S)
        ]

    def relays(self, source: Source) -> bool:
        """Return whether this holder passes on the counts of an origin."""
        if source is self.table.own or source.via != source.node:
            return False
        if source.node in self.contacts.by_name:
            return False
        here = self.holders.get(self.data_centre, NO_HOLDERS)
        heard = {one.name for one in self.contacts.in_contact()} | {self.node}
        able = rank_gateways((name for name in here if name in heard), source.node)
        return bool(able) and able[0] == self.node

    def lacks_set(self, now: float) -> bool:
        """Return whether a holder that is heard has not stated all that it knows."""
        return any(
            not one.is_complete and now - one.heard_at <= SILENT_AFTER_S
            for one in self.contacts.by_name.values()
        )

    def everything(self, now: float) -> Iterator[Statement]:
        """Yield all that is known, also what a peer counted before it restarted.

        The latest counts come first, since the number of datagrams is limited.
        """
        recent_s = RETAINED_WINDOWS * self.window_s
        sources = list(self.table.sources.values())
        for source in sources:
            yield from self.table.statements(source, now, recent_s)
        for source in sources:
            yield from self.table.statements(source, now, float("inf"), recent_s)

    def apply(self, counts: Counts, now: float) -> None:
        """Apply a datagram of counts."""
        for statement in read_statements(counts, self.table.retention_s):
            self.table.merge(statement, counts.node, now)
        if counts.parts:
            self.record_part(counts, now)
        self.contacts.record_heard(counts.node, now)

    def record_part(self, counts: Counts, now: float) -> None:
        """Record a part of a full set, and whether the set is complete."""
        set_id, seen = self.received_sets.get(counts.node, (-1, set()))
        if set_id != counts.set_id:
            seen = set()
        seen.add(counts.part)
        self.received_sets[counts.node] = counts.set_id, seen
        if len(seen) >= counts.parts:
            del self.received_sets[counts.node]
            self.contacts.record_complete(counts.node, now)
            self.was_informed = self.was_informed or counts.informed

    def sweep(self, now: float) -> None:
        """Remove expired counts."""
        self.on_sweep(now)
        self.table.sweep(now)
        for subject in [s for s, until in self.urgent_until.items() if until <= now]:
            del self.urgent_until[subject]
