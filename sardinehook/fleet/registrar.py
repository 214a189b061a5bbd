"""Election of a data centre's registrar through a lease in the platform's store."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import structlog
from returns.result import Failure, Success

from sardinehook.decoding import DECODE_ERRORS
from sardinehook.fleet.lease import (
    CLOCK_RATE_MARGIN,
    MS_PER_S,
    LeaseRegistry,
    lease_seconds,
)
from sardinehook.store.port import CREATE, Conflict, Entry, Store

__all__ = ["RegistrarElection", "RegistrarRecord", "registrar_key"]

logger = structlog.get_logger(__name__)

OWN_LEASE_FACTOR = 2.0
RENEWALS_PER_LEASE = 4.0


class RegistrarRecord(msgspec.Struct, frozen=True):
    """Value of the registrar's key."""

    name: str
    boot: int
    lease: str


def registrar_key(data_centre: str) -> str:
    """Return the store key that the registrar of a data centre holds."""
    return f"registrar/{data_centre}"


encoder = msgspec.msgpack.Encoder()
decoder = msgspec.msgpack.Decoder(RegistrarRecord)


class RegistrarElection:
    """Acquires and renews the registrar's lease; holds the registry of node leases.

    ``step`` must be called about every ``renewal_period_s``. The lease is counted from
    before the call that granted or renewed it, so it never outlasts the store's own
    count. ``registrar_name`` is the last known registrar.
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
        self.registry = LeaseRegistry()
        self.lease = ""
        self.lease_requested_at = 0.0
        self.ttl_s = OWN_LEASE_FACTOR * lease_seconds(1)
        self.registrar_name = ""
        self.step_running = False

    @property
    def active(self) -> bool:
        """Return whether this process is the registrar now."""
        now: float = self.reactor.seconds()
        return now < self.registry.own_until

    def renewal_period_s(self, members: int) -> float:
        """Return the seconds between two calls of ``step``."""
        return OWN_LEASE_FACTOR * lease_seconds(members) / RENEWALS_PER_LEASE

    async def step(self, members: int) -> None:
        """Renew the lease, or try to acquire it; do nothing while a step is running."""
        if self.step_running:
            return
        self.step_running = True
        try:
            if self.lease and self.active:
                await self.renew()
            else:
                self.ttl_s = OWN_LEASE_FACTOR * lease_seconds(members)
                await self.acquire()
        finally:
            self.step_running = False

    def lease_end(self, sent_at: float) -> float:
        """Return the local end of a lease requested at ``sent_at``.

        The margin covers a difference between the clock rates.
        """
        return sent_at + self.ttl_s * (1 - CLOCK_RATE_MARGIN)

    async def renew(self) -> None:
        """Renew the lease; step down at once if the store no longer has it."""
        sent_at = self.reactor.seconds()
        match await self.store.renew_lease(self.lease):
            case Success(_):
                self.registry.extend(self.lease_end(sent_at))
            case Failure(Conflict()):
                logger.warning("registrar_lease_lost", lease=self.lease)
                self.step_down()

    def step_down(self) -> None:
        """Drop the lease and stop granting node leases."""
        self.lease = ""
        self.registry.own_until = float("-inf")
        self.registry.grants.clear()

    async def acquire(self) -> None:
        """Create the registrar's key under a new lease.

        The key can be created only while no other registrar holds it.
        """
        self.step_down()
        sent_at = self.reactor.seconds()
        granted = await self.store.grant_lease(self.ttl_s * MS_PER_S)
        match granted:
            case Success(lease):
                self.lease_requested_at = sent_at
            case _:
                return
        record = RegistrarRecord(self.name, self.boot, lease)
        value = encoder.encode(record)
        match await self.store.put(self.key, value, CREATE, lease):
            case Success(_):
                self.become_registrar(lease)
            case Failure(Conflict(current)):
                await self.resolve_conflict(current, lease)
            case _:
                await self.verify_creation(lease)

    async def verify_creation(self, lease: str) -> None:
        """Resolve a creation with unknown outcome by reading the key."""
        match await self.store.get(self.key):
            case Success(entry):
                await self.resolve_conflict(entry, lease)

    async def resolve_conflict(self, entry: Entry | None, lease: str) -> None:
        """Become registrar if the key is this process's own, else revoke the lease."""
        holder = self.decode(entry)
        if holder is not None and holder.boot == self.boot and holder.lease == lease:
            self.become_registrar(lease)
            return
        if holder is not None:
            self.registrar_name = holder.name
        await self.store.revoke_lease(lease)

    def decode(self, entry: Entry | None) -> RegistrarRecord | None:
        """Decode the value of the key; return None if it is absent or malformed."""
        if entry is None:
            return None
        try:
            return decoder.decode(entry.value)
        except DECODE_ERRORS:
            return None

    def become_registrar(self, lease: str) -> None:
        """Start to act as registrar under a lease and announce it."""
        now = self.reactor.seconds()
        self.lease = lease
        self.registrar_name = self.name
        self.registry.begin(self.lease_end(self.lease_requested_at), now)
        logger.info("registrar_began", node=self.name, lease=lease)
        self.on_begin()

    async def leave(self) -> None:
        """Step down; revoke the lease if no node lease is outstanding.

        Then another node can become registrar without waiting for the lease to expire.
        """
        lease, held = self.lease, bool(self.registry.grants)
        self.step_down()
        if lease and not held:
            await self.store.revoke_lease(lease)
