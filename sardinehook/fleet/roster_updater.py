"""Changes the roster of a data centre in the platform's service."""

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

    ``on_roster`` gets every roster that was read or written, and whether it was
    written here. A write in doubt is
    settled by reading back: each change looks at what the service holds, so doing it
    again changes nothing.
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
        """Add a process, trying until the service answers."""
        attempt = 0
        while not self.stopped and not await self.try_join(member):
            await self.back_off(attempt)
            attempt += 1

    async def try_join(self, member: RosterMember) -> bool:
        """Add a process as of the platform's time."""
        match await self.vm_list.fetch():
            case Success(vm_list):
                joining = member._replace(as_of_ms=vm_list.as_of_ms)
                return await self.change(lambda roster: join(roster, joining))
        return False

    async def release(self, name: str, boot: int, attempts: int) -> bool:
        """Take out a process; False when the service could not be reached."""
        for attempt in range(attempts):
            if await self.change(lambda roster: release(roster, name, boot)):
                return True
            await self.back_off(attempt)
        return False

    async def evict_removed_vms(self) -> None:
        """Take out the members whose VMs are no more."""
        match await self.vm_list.fetch():
            case Success(vm_list):
                await self.change(lambda roster: evict(roster, vm_list))

    async def back_off(self, attempt: int) -> None:
        """Wait for a jittered time that grows with the attempts."""
        longest = min(MAX_RETRY_S, MIN_RETRY_S * 2**attempt)
        await deferLater(self.reactor, self.random.uniform(longest / 2, longest))

    async def read(self) -> bool:
        """Read the roster; False when the service gave no answer."""
        match await self.store.get(self.key):
            case Success(entry):
                self.deliver(entry)
                return True
        return False

    async def change(self, update: Callable[[Roster], Roster]) -> bool:
        """Apply a change once; False when it has to be tried again."""
        match await self.store.get(self.key):
            case Success(entry):
                return await self.write(entry, update)
        return False

    async def write(
        self, entry: Entry | None, update: Callable[[Roster], Roster]
    ) -> bool:
        """Write the roster that follows from the one that was read."""
        roster = self.decode(entry)
        if roster is None:
            return False
        following = update(roster)
        if following == roster:
            self.on_roster(roster, False)
            return True
        expect = CREATE if entry is None else entry.revision
        match await self.store.put(self.key, encode_roster(following), expect):
            case Success(_):
                self.on_roster(following, True)
                return True
            case Failure(Conflict(current)):
                self.deliver(current)
        return False

    def decode(self, entry: Entry | None) -> Roster | None:
        """Decode what the service holds; a malformed roster is left alone."""
        if entry is None:
            return EMPTY_ROSTER
        roster = decode_roster(entry.value)
        if roster is None:
            logger.error("roster_malformed", key=self.key, revision=entry.revision)
        return roster

    def deliver(self, entry: Entry | None) -> None:
        """Pass on a roster that was read."""
        roster = self.decode(entry)
        if roster is not None:
            self.on_roster(roster, False)
