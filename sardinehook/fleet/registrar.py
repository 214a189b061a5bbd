"""Runs the registrar of a data centre where the platform's service lets it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import structlog
from returns.result import Failure, Success

from sardinehook.fleet.lease import CLOCK_RATE_MARGIN, MS_PER_S, Registry, lease_seconds
from sardinehook.store.port import CREATE, Conflict, Entry, Store

__all__ = ["RegistrarDesk", "RegistrarRecord", "registrar_key"]

logger = structlog.get_logger(__name__)

OWN_LEASE_FACTOR = 2.0
RENEWALS_PER_LEASE = 4.0


class RegistrarRecord(msgspec.Struct, frozen=True):
    """What the registrar's key holds."""

    name: str
    boot: int
    lease: str


def registrar_key(data_centre: str) -> str:
    """Return the key that the registrar of a data centre holds."""
    return f"registrar/{data_centre}"


encoder = msgspec.msgpack.Encoder()
decoder = msgspec.msgpack.Decoder(RegistrarRecord)


class RegistrarDesk:
    """Takes and keeps the registrar's lease, and owns the registry of node leases.

    ``step`` is called about every ``period_s``. The lease counts from before the call
    that granted or renewed it. ``registrar`` is the one last heard of.
    """

    def __init__(
        self,
        reactor: Any,  # noqa: ANN401
        store: Store,
        data_centre: str,
        name: str,
        boot: int,
        on_begin: Callable[[], None],
    ) -> None:
        self.reactor = reactor
        self.store = store
        self.key = registrar_key(data_centre)
        self.name = name
        self.boot = boot
        self.on_begin = on_begin
        self.registry = Registry()
        self.lease = ""
        self.lease_from = 0.0
        self.ttl_s = OWN_LEASE_FACTOR * lease_seconds(1)
        self.registrar = ""
        self.busy = False

    @property
    def active(self) -> bool:
        """Whether this process is the registrar now."""
        now: float = self.reactor.seconds()
        return now < self.registry.own_until

    def period_s(self, members: int) -> float:
        """Return the seconds between two steps."""
        return OWN_LEASE_FACTOR * lease_seconds(members) / RENEWALS_PER_LEASE

    async def step(self, members: int) -> None:
        """Renew the lease, or try to take it."""
        if self.busy:
            return
        self.busy = True
        try:
            if self.lease and self.active:
                await self.renew()
            else:
                self.ttl_s = OWN_LEASE_FACTOR * lease_seconds(members)
                await self.take()
        finally:
            self.busy = False

    def until(self, sent_at: float) -> float:
        """Return the end of a lease asked for at a time."""
        return sent_at + self.ttl_s * (1 - CLOCK_RATE_MARGIN)

    async def renew(self) -> None:
        """Renew the lease; one that is gone is given up at once."""
        sent_at = self.reactor.seconds()
        match await self.store.renew_lease(self.lease):
            case Success(_):
                self.registry.prolong(self.until(sent_at))
            case Failure(Conflict()):
                logger.warning("registrar_lease_lost", lease=self.lease)
                self.give_up()

    def give_up(self) -> None:
        """Grant nothing more."""
        self.lease = ""
        self.registry.own_until = float("-inf")
        self.registry.grants.clear()

    async def take(self) -> None:
        """Create the registrar's key under a new lease."""
        self.give_up()
        sent_at = self.reactor.seconds()
        granted = await self.store.grant_lease(self.ttl_s * MS_PER_S)
        match granted:
            case Success(lease):
                self.lease_from = sent_at
            case _:
                return
        record = RegistrarRecord(self.name, self.boot, lease)
        value = encoder.encode(record)
        match await self.store.put(self.key, value, CREATE, lease):
            case Success(_):
                self.begin(lease)
            case Failure(Conflict(current)):
                await self.yield_to(current, lease)
            case _:
                await self.read_back(lease)

    async def read_back(self, lease: str) -> None:
        """Settle a creation in doubt by what the service holds."""
        match await self.store.get(self.key):
            case Success(entry):
                await self.yield_to(entry, lease)

    async def yield_to(self, entry: Entry | None, lease: str) -> None:
        """Begin if the key was created after all, else give the lease back."""
        holder = self.decode(entry)
        if holder is not None and holder.boot == self.boot and holder.lease == lease:
            self.begin(lease)
            return
        if holder is not None:
            self.registrar = holder.name
        await self.store.revoke_lease(lease)

    def decode(self, entry: Entry | None) -> RegistrarRecord | None:
        """Decode what the key holds."""
        if entry is None:
            return None
        try:
            return decoder.decode(entry.value)
        except msgspec.MsgspecError:
            return None

    def begin(self, lease: str) -> None:
        """Act as registrar."""
        now = self.reactor.seconds()
        self.lease = lease
        self.registrar = self.name
        self.registry.begin(self.until(self.lease_from), now)
        logger.info("registrar_began", node=self.name, lease=lease)
        self.on_begin()

    async def leave(self) -> None:
        """Let another node become registrar at once, if no node lease is left."""
        lease, held = self.lease, bool(self.registry.grants)
        self.give_up()
        if lease and not held:
            await self.store.revoke_lease(lease)
