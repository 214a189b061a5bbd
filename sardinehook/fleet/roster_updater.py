"""Updates of a data centre's roster in the platform's store."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

import structlog
from returns.result import Failure, Success
from twisted.internet.task import deferLater

from sardinehook.fleet.roster import (
    EMPTY_ROSTER,
    Roster,
    RosterMember,
    decode_roster,
    encode_roster,
    evict,
    join,
    release,
    roster_key,
)
from sardinehook.store.port import CREATE, Conflict, Entry, Store
from sardinehook.store.vm_list import VmLister

__all__ = ["RosterUpdater"]

logger = structlog.get_logger(__name__)

MIN_RETRY_S = 0.05
MAX_RETRY_S = 10.0


class RosterUpdater:
    """Reads and changes one roster by compare-and-swap.

    ``on_roster`` is called with every roster that was read or written, and whether
    this process wrote it. A write with unknown outcome is settled by reading the store
    again: every change starts from the stored roster, so applying it twice has no
    further effect.
    """

    def __init__(
        self,
        reactor: Any,  # noqa: ANN401
        store: Store,
        vm_list: VmLister,
        data_centre: str,
        on_roster: Callable[[Roster, bool], None],
        random: Random,
    ) -> None:
        self.reactor = reactor
        self.store = store
        self.vm_list = vm_list
        self.key = roster_key(data_centre)
        self.on_roster = on_roster
        self.random = random
        self.stopped = False

    async def join(self, member: RosterMember) -> None:
        """Add a process, retrying with backoff until the store confirms it."""
        attempt = 0
        while not self.stopped and not await self.try_join(member):
            await self.back_off(attempt)
            attempt += 1

    async def try_join(self, member: RosterMember) -> bool:
        """Add a process once, stamped with the time of the platform's VM list."""
        match await self.vm_list.fetch():
            case Success(vm_list):
                joining = member._replace(as_of_ms=vm_list.as_of_ms)
                return await self.change(lambda roster: join(roster, joining))
        return False

    async def release(self, name: str, boot: int, attempts: int) -> bool:
        """Remove a process; return False if no attempt succeeded."""
        for attempt in range(attempts):
            if await self.change(lambda roster: release(roster, name, boot)):
                return True
            await self.back_off(attempt)
        return False

    async def evict_removed_vms(self) -> None:
        """Remove the members whose VMs were removed."""
        match await self.vm_list.fetch():
            case Success(vm_list):
                await self.change(lambda roster: evict(roster, vm_list))

    async def back_off(self, attempt: int) -> None:
        """Wait with exponential backoff and jitter."""
        longest = min(MAX_RETRY_S, MIN_RETRY_S * 2**attempt)
        await deferLater(self.reactor, self.random.uniform(longest / 2, longest))

    async def read(self) -> bool:
        """Read the roster and report it; return False if the store did not answer."""
        match await self.store.get(self.key):
            case Success(entry):
                self.deliver(entry)
                return True
        return False

    async def change(self, update: Callable[[Roster], Roster]) -> bool:
        """Apply a change once; return False if it has to be retried."""
        match await self.store.get(self.key):
            case Success(entry):
                return await self.write(entry, update)
        return False

    async def write(
        self, entry: Entry | None, update: Callable[[Roster], Roster]
    ) -> bool:
        """Write the changed roster by compare-and-swap, if it differs."""
        roster = self.decode(entry)
        if roster is None:
            return False
        updated = update(roster)
        if updated == roster:
            self.on_roster(roster, False)
            return True
        expect = CREATE if entry is None else entry.revision
        match await self.store.put(self.key, encode_roster(updated), expect):
            case Success(_):
                self.on_roster(updated, True)
                return True
            case Failure(Conflict(current)):
                self.deliver(current)
        return False

    def decode(self, entry: Entry | None) -> Roster | None:
        """Decode a stored roster; log a malformed one and return None.

        A malformed roster is never overwritten.
        """
        if entry is None:
            return EMPTY_ROSTER
        roster = decode_roster(entry.value)
        if roster is None:
            logger.error("roster_malformed", key=self.key, revision=entry.revision)
        return roster

    def deliver(self, entry: Entry | None) -> None:
        """Report a roster that was read."""
        roster = self.decode(entry)
        if roster is not None:
            self.on_roster(roster, False)
