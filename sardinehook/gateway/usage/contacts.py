"""Which other holders of the ledger are heard, and what silent ones may still use.

The decisions use no network. A holder that is killed leaves its share to the others
after one window. One that is only cut off goes on using its share, so the others leave
it that share until its registration has ended.
"""

from __future__ import annotations

from collections.abc import Container, Mapping

__all__ = ["SILENT_AFTER_S", "HolderContact", "HolderContacts"]

SILENT_AFTER_S = 1.0  # four missed statements, and event-loop lag of a busy holder
EQUAL_RATIO = 0.5  # of a limit is shared equally: callers move after a cut


class HolderContact:
    """What is known about another holder.

    It is in contact if it was heard lately and has stated all its counts since it was
    last silent. ``shares`` are its shares of the use of each subject before it fell
    silent, ``equal_share`` that of subjects that were not used then.
    """

    __slots__ = (
        "data_centre",
        "equal_share",
        "heard_at",
        "is_complete",
        "last_heard_at",
        "name",
        "shares",
        "silent_since",
    )

    def __init__(self, name: str, data_centre: str, now: float) -> None:
        self.name = name
        self.data_centre = data_centre
        self.heard_at = float("-inf")
        self.is_complete = False
        self.silent_since: float | None = now
        self.last_heard_at = float("-inf")
        self.shares: dict[str, float] = {}
        self.equal_share = 0.0

    @property
    def was_heard(self) -> bool:
        """Whether this holder has ever been in contact."""
        return self.last_heard_at > float("-inf")

    @property
    def split_at(self) -> float:
        """Since when a silent holder uses its share only: no counts came later."""
        if self.was_heard or self.silent_since is None:
            return self.last_heard_at
        return self.silent_since


class HolderContacts:
    """The contacts of one holder with all others."""

    def __init__(self, data_centre: str) -> None:
        self.data_centre = data_centre
        self.by_name: dict[str, HolderContact] = {}

    def update(
        self,
        holders: Mapping[str, str],
        departed: Container[str],
        now: float,
    ) -> None:
        """Use the other holders, by name with their data centres.

        ``departed`` are gateways whose registration has ended a short time ago: a
        holder among them may be cut off from the store only.
        """
        for name in list(self.by_name):
            if name not in holders and name not in departed:
                del self.by_name[name]
        for name, data_centre in holders.items():
            if name not in self.by_name:
                self.by_name[name] = HolderContact(name, data_centre, now)

    def record_heard(self, name: str, now: float) -> None:
        """Record a datagram of a holder."""
        contact = self.by_name.get(name)
        if contact is not None:
            contact.heard_at = now
            self.settle(contact, now)

    def record_complete(self, name: str, now: float) -> None:
        """Record that a holder has stated all that it knows."""
        contact = self.by_name.get(name)
        if contact is not None:
            contact.is_complete = True
            self.settle(contact, now)

    def settle(self, contact: HolderContact, now: float) -> None:
        """Take a holder as in contact again if it is heard and known completely."""
        if contact.is_complete and now - contact.heard_at <= SILENT_AFTER_S:
            contact.silent_since = None
            contact.shares.clear()
            contact.last_heard_at = contact.heard_at

    def find_silent(self, now: float) -> list[HolderContact]:
        """Return the holders that have fallen silent since the last call."""
        found = []
        for contact in self.by_name.values():
            if now - contact.heard_at > SILENT_AFTER_S:
                contact.is_complete = False
                if contact.silent_since is None:
                    contact.silent_since = now
                    contact.last_heard_at = contact.heard_at
                    found.append(contact)
        return found

    def in_contact(self) -> list[HolderContact]:
        """Return the holders that are in contact."""
        return [one for one in self.by_name.values() if one.silent_since is None]

    def reserved(self, window_s: float, now: float) -> list[HolderContact]:
        """Return the silent holders that may still use their shares.

        After one window a silent holder counts as dead if another one of its data
        centre is in contact. If no holder at all is in contact, it is this gateway that
        is cut off, unless all holders are in its own data centre.
        """
        heard_in = {one.data_centre for one in self.in_contact()}
        has_others = any(
            one.data_centre != self.data_centre for one in self.by_name.values()
        )
        if heard_in or not has_others:
            heard_in.add(self.data_centre)
        return [
            one
            for one in self.by_name.values()
            if one.silent_since is not None
            and (now - one.silent_since <= window_s or one.data_centre not in heard_in)
        ]

    def keep_shares(
        self,
        contact: HolderContact,
        uses: Mapping[str, tuple[float, float]],
    ) -> None:
        """Keep the shares of a holder that has fallen silent.

        ``uses`` are its own use of each subject and that of the whole fleet before. A
        part of a limit is shared equally: quotas are above the usual use, and the
        callers of a data centre that is cut off are led to the others.
        """
        contact.equal_share = 1.0 / (len(self.by_name) + 1)
        contact.shares = {
            subject: EQUAL_RATIO * contact.equal_share
            + (1.0 - EQUAL_RATIO) * use / total
            for subject, (use, total) in uses.items()
            if total > 0.0
        }

    def silent_share(self, subject: str, window_s: float, now: float) -> float:
        """Return the share of a subject that silent holders may still use."""
        reserved = self.reserved(window_s, now)
        equal_share = 1.0 / (len(self.by_name) + 1)
        heard_in = {one.data_centre for one in self.in_contact()} | {self.data_centre}
        share = 0.0
        for one in reserved:
            if one.was_heard:
                share += one.shares.get(subject, one.equal_share)
            elif one.data_centre not in heard_in:
                share += equal_share
        return min(1.0, share)
